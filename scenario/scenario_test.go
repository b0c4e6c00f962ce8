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

// Bounds of a run.
const (
	// maxDeployments bounds the deployments that run at a time.
	maxDeployments = 5
	// awaitTimeout bounds the wait for a condition that must come about.
	awaitTimeout  = 40 * time.Second
	awaitInterval = 20 * time.Millisecond
)

var (
	// binDir holds the built programs.
	binDir string
	// slots holds one token for each deployment that runs.
	slots = make(chan struct{}, maxDeployments)
	hosts atomic.Int64
)

func TestMain(m *testing.M) { os.Exit(runMain(m)) }

// runMain builds the programs, unless IBISTRAIL_BIN names a directory with them.
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

// setup gives each script a cluster of its own at an IP number of its own.
func setup(env *testscript.Env) error {
	slots <- struct{}{}
	env.Defer(func() { <-slots })
	n := int(hosts.Add(1))
	c := newCluster(env, fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, 1+n/200, 1+n%200))
	env.Values[clusterKey{}] = c
	env.Defer(c.close)
	env.Setenv("PATH", binDir+string(filepath.ListSeparator)+env.Getenv("PATH"))
	return nil
}

func clusterOf(ts *testscript.TestScript) *cluster { return ts.Value(clusterKey{}).(*cluster) }

// commands are the commands of the scripts.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, f := range map[string]func(*cluster, words) error{
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
			c := clusterOf(ts)
			c.ts = ts
			err := f(c, words(args))
			if neg && err == nil {
				ts.Fatalf("%s succeeded", name)
			}
			if !neg && err != nil {
				ts.Fatalf("%v", err)
			}
		}
	}
	return out
}

// words are the arguments of a command: bare words and KEY=VALUE options.
type words []string

// bare returns the i-th bare word, or "".
func (w words) bare(i int) string {
	for _, a := range w {
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

// bares returns all bare words.
func (w words) bares() []string {
	var out []string
	for _, a := range w {
		if !isOption(a) {
			out = append(out, a)
		}
	}
	return out
}

func isOption(a string) bool { i := strings.IndexByte(a, '='); return i > 0 && a[0] != '{' }

// get returns the value of an option, or def.
func (w words) get(key, def string) string {
	for _, a := range w {
		if v, ok := strings.CutPrefix(a, key+"="); ok {
			return v
		}
	}
	return def
}

// has tells whether a bare word is there.
func (w words) has(word string) bool {
	for _, a := range w {
		if a == word {
			return true
		}
	}
	return false
}

func (w words) int(key string, def int64) int64 {
	v, err := strconv.ParseInt(w.get(key, strconv.FormatInt(def, 10)), 10, 64)
	if err != nil {
		return def
	}
	return v
}

// inRange tells whether n lies in "N", "N..", "..M" or "N..M".
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
