package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// Limits of a test run.
const (
	// maxDeployments limits the deployments that run concurrently.
	maxDeployments = 5
	// awaitTimeout limits the wait for a condition of await, and for the exit of a process.
	awaitTimeout  = 40 * time.Second
	awaitInterval = 20 * time.Millisecond
)

var (
	// binDir holds the built programs.
	binDir string
	// deploymentSlots is a semaphore of running deployments.
	deploymentSlots = make(chan struct{}, maxDeployments)
	hostCount       atomic.Int64
)

func TestMain(m *testing.M) { os.Exit(runMain(m)) }

// runMain builds the programs, unless IBISTRAIL_BIN names a directory that holds them, and runs the tests.
func runMain(m *testing.M) int {
	binDir = os.Getenv("IBISTRAIL_BIN")
	if binDir == "" {
		dir, err := os.MkdirTemp("", "ibistrail-bin")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(dir)
		binDir = dir
		build := exec.Command("go", "build", "-o", dir+"/", "github.com/ibistrail/ibistrail/cmd/...")
		build.Stdout, build.Stderr = os.Stderr, os.Stderr
		if err := build.Run(); err != nil {
			fmt.Fprintln(os.Stderr, "build:", err)
			return 1
		}
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds:  commands(),
	})
}

type clusterKey struct{}

// setup creates a cluster on its own loopback address for each script.
func setup(env *testscript.Env) error {
	deploymentSlots <- struct{}{}
	env.Defer(func() { <-deploymentSlots })
	n := int(hostCount.Add(1))
	c := newCluster(env, fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, 1+n/200, 1+n%200))
	env.Values[clusterKey{}] = c
	env.Defer(c.close)
	env.Setenv("PATH", binDir+string(filepath.ListSeparator)+env.Getenv("PATH"))
	return nil
}

func clusterFromScript(ts *testscript.TestScript) *cluster { return ts.Value(clusterKey{}).(*cluster) }

// commands returns the script commands by name.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, f := range map[string]func(*cluster, cmdArgs) error{
		"deploy": (*cluster).cmdDeploy, "start": (*cluster).cmdStart, "sigkill": (*cluster).cmdKill, "term": (*cluster).cmdTerm,
		"ended": (*cluster).cmdEnded, "freeze": (*cluster).cmdFreeze, "thaw": (*cluster).cmdThaw,
		"cut": (*cluster).cmdCut, "heal": (*cluster).cmdHeal,
		"fault": (*cluster).cmdFault, "outage": (*cluster).cmdOutage, "recover": (*cluster).cmdRecover, "lose-answer": (*cluster).cmdLoseAnswer,
		"expire": (*cluster).cmdExpire, "leaving": (*cluster).cmdLeaving, "publish": (*cluster).cmdPublish,
		"ticket": (*cluster).cmdTicket, "call": (*cluster).cmdCall, "complete": (*cluster).cmdComplete, "trainer": (*cluster).cmdTrainer,
		"load": (*cluster).cmdLoad, "end": (*cluster).cmdEnd, "join": (*cluster).cmdJoin, "expect": (*cluster).cmdExpect,
		"check": (*cluster).cmdCheck, "await": (*cluster).cmdAwait, "mark": (*cluster).cmdMark, "append": (*cluster).cmdAppend, "order": (*cluster).cmdOrder, "race": (*cluster).cmdRace,
	} {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			c := clusterFromScript(ts)
			c.ts = ts
			err := f(c, cmdArgs(args))
			if neg && err == nil {
				ts.Fatalf("%s succeeded, want an error", name)
			}
			if !neg && err != nil {
				ts.Fatalf("%v", err)
			}
		}
	}
	return out
}

// cmdArgs holds the arguments of a command: positional arguments, among them flags, and KEY=VALUE options.
type cmdArgs []string

// positional returns positional argument i, or "".
func (args cmdArgs) positional(i int) string {
	for _, a := range args {
		if isOption(a) {
			continue
		}
		if i == 0 {
			return a
		}
		i--
	}
	return ""
}

func (args cmdArgs) positionals() []string {
	var out []string
	for _, a := range args {
		if !isOption(a) {
			out = append(out, a)
		}
	}
	return out
}

func isOption(a string) bool { i := strings.IndexByte(a, '='); return i > 0 && a[0] != '{' }

// option returns the value of an option, or def.
func (args cmdArgs) option(key, def string) string {
	for _, a := range args {
		if v, ok := strings.CutPrefix(a, key+"="); ok {
			return v
		}
	}
	return def
}

// hasFlag reports whether word is one of the arguments.
func (args cmdArgs) hasFlag(word string) bool {
	for _, a := range args {
		if a == word {
			return true
		}
	}
	return false
}

// intOption returns the value of an option, or def if it is absent or not a number.
func (args cmdArgs) intOption(key string, def int64) int64 {
	v, err := strconv.ParseInt(args.option(key, strconv.FormatInt(def, 10)), 10, 64)
	if err != nil {
		return def
	}
	return v
}

// inRange reports whether n lies in the range spec: "N", "N..", "..M" or "N..M", both ends included.
func inRange(n int64, spec string) (bool, error) {
	lo, hi, found := strings.Cut(spec, "..")
	if !found {
		hi = lo
	}
	low, high := int64(0), int64(1)<<62
	var err error
	if lo != "" {
		if low, err = strconv.ParseInt(lo, 10, 64); err != nil {
			return false, fmt.Errorf("range %q: %w", spec, err)
		}
	}
	if hi != "" {
		if high, err = strconv.ParseInt(hi, 10, 64); err != nil {
			return false, fmt.Errorf("range %q: %w", spec, err)
		}
	}
	return n >= low && n <= high, nil
}
