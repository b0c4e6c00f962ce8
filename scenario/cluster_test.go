package scenario

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ibistrail/ibistrail/fake/deployment"
	"github.com/ibistrail/ibistrail/fake/service"
	"github.com/rogpeppe/go-internal/testscript"
)

// cluster is one deployment of real processes and the state of the script that drives it.
type cluster struct {
	env  *testscript.Env
	ts   *testscript.TestScript
	host string
	dir  string
	plan *deployment.Deployment
	http *http.Client

	procs   map[string]*proc
	blocked map[string]map[string]bool // by process, the addresses that it may not dial

	// revisionAtStart is the revision of the configuration at the end of cmdDeploy.
	revisionAtStart int64

	warmupCalls int // calls that checkClaims has sent
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup

	mu                sync.Mutex
	results           map[string]*result
	trainers          map[string]*trainer
	loads             map[string]*load
	tickets           map[string]string
	publishedVersions map[string]int64 // newest published weight version, by model
	marks             map[string]time.Time
}

// proc is one process of the deployment.
type proc struct {
	spec   deployment.Process
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

func newCluster(env *testscript.Env, host string) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	return &cluster{
		env: env, host: host, dir: filepath.Join(env.WorkDir, "run"), ctx: ctx, cancel: cancel,
		http:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
		procs: map[string]*proc{}, blocked: map[string]map[string]bool{}, results: map[string]*result{}, trainers: map[string]*trainer{},
		loads: map[string]*load{}, tickets: map[string]string{}, publishedVersions: map[string]int64{}, marks: map[string]time.Time{},
	}
}

// close stops all background work and processes. If SCENARIO_LOGS is set, it copies the process logs there.
func (c *cluster) close() {
	c.cancel()
	c.wg.Wait()
	for _, p := range c.procs {
		if p.running() {
			_ = p.cmd.Process.Signal(syscall.SIGCONT) // resume a process that the script froze
			_ = p.cmd.Process.Kill()                  // the process may have exited meanwhile
			<-p.exited
		}
	}
	c.http.CloseIdleConnections()
	if dir := os.Getenv("SCENARIO_LOGS"); dir != "" && c.ts != nil {
		_ = os.CopyFS(filepath.Join(dir, strings.ReplaceAll(c.ts.Name(), "/", "_")), os.DirFS(filepath.Join(c.dir, "logs"))) // best effort: logs only help to debug
	}
}

func (p *proc) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// cmdDeploy plans a deployment, starts it, applies its tables and waits until each gate serves calls:
// deploy PRESET [OPTION=VALUE...] [empty]; with empty it only starts the processes.
func (c *cluster) cmdDeploy(args cmdArgs) error {
	o := deployment.Options{
		Preset: deployment.Preset(args.positional(0)), Host: c.host, Debug: true, VMsPerZone: int(args.intOption("vms", 0)),
		RetentionMs: args.intOption("retention-ms", 0), VMListLagMs: args.intOption("vm-list-lag-ms", 200), LeaseTTLMs: args.intOption("lease-ttl-ms", 0),
		BalancerLagMs: args.intOption("balancer-lag-ms", 200), DrainTimeoutMs: args.intOption("drain-timeout-ms", 0), FetchMs: args.intOption("fetch-ms", 30),
		LoadRate: int(args.intOption("load-rate", 0)), FencingUnchecked: args.hasFlag("fencing-unchecked"), RestartMs: args.intOption("restart-ms", 0),
	}
	o.Rates.DecodeTokensPerSecond = float64(args.intOption("decode", 0))
	o.Policy.Quarantine, o.Policy.Hedging = args.option("quarantine", ""), args.option("hedging", "")
	var err error
	if c.plan, err = deployment.Plan(o); err != nil {
		return err
	}
	if err := c.plan.Write(c.dir); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(c.dir, "logs"), 0o755); err != nil {
		return err
	}
	c.exportEnv()
	for model, v := range c.plan.Platform.Store.Versions {
		c.publishedVersions[model] = v
	}
	for _, p := range c.plan.Processes(c.dir) {
		if err := c.launch(p); err != nil {
			return err
		}
	}
	if args.hasFlag("empty") {
		return nil
	}
	if err := c.await("tables applied", func() error { return c.runCtl("apply", filepath.Join(c.dir, deployment.FileTables)) }); err != nil {
		return err
	}
	if err := c.awaitReady(c.gateNames()...); err != nil {
		return err
	}
	if err := c.await("claims through each gate", c.checkClaims); err != nil {
		return err
	}
	c.revisionAtStart, err = c.gateRevision(0)
	return err
}

// checkClaims returns an error unless each steward that must follow the claims has read all of them, and a call with
// an idempotency key succeeds through each gate.
func (c *cluster) checkClaims() error {
	for i := range c.plan.Stewards {
		var state struct {
			Claims struct{ Following, Ready bool }
		}
		if err := c.getJSON("http://"+c.plan.Stewards[i].DebugAddress+"/debug/state", &state); err != nil {
			return err
		}
		if !state.Claims.Ready && (state.Claims.Following || i < 2*len(c.plan.Zones)) {
			return fmt.Errorf("steward%d has not read all claims yet", i+1)
		}
	}
	path, caller := c.nonIdempotent()
	for i, g := range c.plan.Gates {
		c.warmupCalls++
		id := fmt.Sprintf("warm-%d", c.warmupCalls)
		r := c.callService(newCallClient(), httpCall{url: "http://" + g.GateHTTP, caller: caller, method: http.MethodPost, path: path + "/warm",
			body: []byte(id), header: map[string]string{service.HeaderCheckID: id, "Idempotency-Key": id}})
		if r.Outcome != "done" {
			return fmt.Errorf("gate%d: %s", i+1, compactJSON(r))
		}
	}
	return nil
}

// nonIdempotent returns the path and a caller of the deployment's first non-idempotent route.
func (c *cluster) nonIdempotent() (path, caller string) {
	for _, r := range c.plan.Tables.Routes {
		if r.NonIdempotent {
			return r.PathPrefix, r.Callers[0].Name
		}
	}
	return "", ""
}

// exportEnv sets the environment of the script: the path of the tables, the settings of ibisctl and the nodes' addresses.
func (c *cluster) exportEnv() {
	var rpc []string
	for _, s := range c.plan.Stewards {
		rpc = append(rpc, s.StewardAddress)
	}
	for k, v := range map[string]string{
		"IBISCTL_SERVER": strings.Join(rpc, ","), "IBISCTL_TOKEN_FILE": filepath.Join(c.dir, deployment.FileOperatorToken),
		"RUN": c.dir, "TABLES": filepath.Join(c.dir, deployment.FileTables),
	} {
		c.ts.Setenv(k, v)
	}
	for i, s := range c.plan.Stewards {
		c.ts.Setenv(fmt.Sprintf("STEWARD%d", i+1), s.StewardAddress)
		c.ts.Setenv(fmt.Sprintf("GATE%d", i+1), "http://"+c.plan.Gates[i].GateHTTP)
	}
}

// runCtl runs ibisctl with the addresses of all stewards.
func (c *cluster) runCtl(args ...string) error {
	cmd := exec.Command(filepath.Join(binDir, "ibisctl"), args...)
	cmd.Env = append(os.Environ(), "IBISCTL_SERVER="+c.ts.Getenv("IBISCTL_SERVER"), "IBISCTL_TOKEN_FILE="+c.ts.Getenv("IBISCTL_TOKEN_FILE"))
	out, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("ibisctl %s: %w: %s", strings.Join(args, " "), err, out)
	}
	return nil
}

// launch starts a process and appends its output to its log file, which a restart continues.
func (c *cluster) launch(spec deployment.Process) error {
	f, err := os.OpenFile(filepath.Join(c.dir, "logs", spec.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	p := &proc{spec: spec, cmd: exec.Command(filepath.Join(binDir, spec.Binary), spec.Args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = f, f
	if err := p.cmd.Start(); err != nil {
		return err
	}
	c.procs[spec.Name] = p
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	return nil
}

// await polls cond until it returns nil, for at most awaitTimeout.
func (c *cluster) await(what string, cond func() error) error {
	deadline := time.Now().Add(awaitTimeout)
	for {
		err := cond()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: condition not met within %s: %w", what, awaitTimeout, err)
		}
		time.Sleep(awaitInterval)
	}
}

// proc returns the process with a script name such as gate1, steward2, platform, engines or services.
func (c *cluster) proc(name string) (*proc, error) {
	fullName := name
	if i, ok := parseIndex(name, "gate", len(c.plan.Gates)); ok {
		fullName = "gate-" + c.plan.Gates[i].ID
	}
	if i, ok := parseIndex(name, "steward", len(c.plan.Stewards)); ok {
		fullName = "steward-" + c.plan.Stewards[i].ID
	}
	p := c.procs[fullName]
	if p == nil {
		return nil, fmt.Errorf("no process %q; use gate1, steward1, …, platform, engines or services", name)
	}
	return p, nil
}

// parseIndex returns the index, from 0, of a name such as gate2, whose number runs from 1 to n.
func parseIndex(name, prefix string, n int) (int, bool) {
	var i int
	if _, err := fmt.Sscanf(name, prefix+"%d", &i); err != nil || fmt.Sprintf("%s%d", prefix, i) != name || i < 1 || i > n {
		return 0, false
	}
	return i - 1, true
}

func (c *cluster) gateNames() []string {
	var out []string
	for i := range c.plan.Gates {
		out = append(out, fmt.Sprintf("gate%d", i+1))
	}
	return out
}

// cmdStart starts processes that have exited: start PROC… Cuts of the network apply to them again.
func (c *cluster) cmdStart(args cmdArgs) error {
	for _, name := range args.positionals() {
		p, err := c.proc(name)
		if err != nil {
			return err
		}
		if p.running() {
			return fmt.Errorf("%s is already running; stop it before start", name)
		}
		if err := c.launch(p.spec); err != nil {
			return err
		}
		if len(c.blocked[p.spec.Name]) > 0 {
			if err := c.await("network cut of "+name, func() error { return c.sendBlocked(p.spec.Name) }); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *cluster) signal(args cmdArgs, sig syscall.Signal) error {
	for _, name := range args.positionals() {
		p, err := c.proc(name)
		if err != nil {
			return err
		}
		if err := p.cmd.Process.Signal(sig); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

func (c *cluster) cmdKill(args cmdArgs) error {
	if err := c.signal(args, syscall.SIGKILL); err != nil {
		return err
	}
	for _, name := range args.positionals() {
		p, _ := c.proc(name)
		<-p.exited
	}
	return nil
}

func (c *cluster) cmdTerm(args cmdArgs) error { return c.signal(args, syscall.SIGTERM) }

func (c *cluster) cmdFreeze(args cmdArgs) error { return c.signal(args, syscall.SIGSTOP) }

func (c *cluster) cmdThaw(args cmdArgs) error { return c.signal(args, syscall.SIGCONT) }

// cmdEnded waits until processes have exited with status 0: ended PROC…
func (c *cluster) cmdEnded(args cmdArgs) error {
	for _, name := range args.positionals() {
		p, err := c.proc(name)
		if err != nil {
			return err
		}
		select {
		case <-p.exited:
		case <-time.After(awaitTimeout):
			return fmt.Errorf("%s has not exited within %s", name, awaitTimeout)
		}
		if p.err != nil {
			return fmt.Errorf("%s exited: %w", name, p.err)
		}
	}
	return nil
}
