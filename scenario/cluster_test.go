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

// cluster is one deployment of real processes with what the script did to it.
type cluster struct {
	env  *testscript.Env
	ts   *testscript.TestScript
	host string
	dir  string
	plan *deployment.Deployment
	http *http.Client

	procs   map[string]*proc
	blocked map[string]map[string]bool // by process, addresses that it may not dial

	// revisionAtStart is the configuration's revision once the deployment is ready.
	revisionAtStart int64

	warm   int // calls that tried whether claims are decided
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	results  map[string]*result
	trainers map[string]*trainer
	loads    map[string]*load
	tickets  map[string]string
	versions map[string]int64 // the newest published, by model
	marks    map[string]time.Time
}

// proc is one process.
type proc struct {
	spec  deployment.Proc
	cmd   *exec.Cmd
	ended chan struct{}
	err   error
}

func newCluster(env *testscript.Env, host string) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	return &cluster{
		env: env, host: host, dir: filepath.Join(env.WorkDir, "run"), ctx: ctx, cancel: cancel,
		http:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
		procs: map[string]*proc{}, blocked: map[string]map[string]bool{}, results: map[string]*result{}, trainers: map[string]*trainer{},
		loads: map[string]*load{}, tickets: map[string]string{}, versions: map[string]int64{}, marks: map[string]time.Time{},
	}
}

// close ends all that the script started, and keeps the logs of the processes if it failed.
func (c *cluster) close() {
	c.cancel()
	c.wg.Wait()
	for _, p := range c.procs {
		if p.running() {
			_ = p.cmd.Process.Signal(syscall.SIGCONT) // a frozen process
			_ = p.cmd.Process.Kill()                  // it may have ended
			<-p.ended
		}
	}
	c.http.CloseIdleConnections()
	if dir := os.Getenv("SCENARIO_LOGS"); dir != "" && c.ts != nil {
		_ = os.CopyFS(filepath.Join(dir, strings.ReplaceAll(c.ts.Name(), "/", "_")), os.DirFS(filepath.Join(c.dir, "logs"))) // logs are a help only
	}
}

func (p *proc) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// cmdDeploy plans a deployment, starts it and applies its tables: deploy PRESET [OPTION=VALUE...].
func (c *cluster) cmdDeploy(w words) error {
	o := deployment.Options{
		Preset: deployment.Preset(w.bare(0)), Host: c.host, Debug: true, VMsPerZone: int(w.int("vms", 0)),
		RetentionMs: w.int("retention-ms", 0), VMListLagMs: w.int("vm-list-lag-ms", 200), LeaseTTLMs: w.int("lease-ttl-ms", 0),
		BalancerLagMs: w.int("balancer-lag-ms", 200), DrainTimeoutMs: w.int("drain-timeout-ms", 0), FetchMs: w.int("fetch-ms", 30),
		LoadRate: int(w.int("load-rate", 0)), FencingUnchecked: w.has("fencing-unchecked"), RestartMs: w.int("restart-ms", 0),
	}
	o.Rates.DecodeTokensPerSecond = float64(w.int("decode", 0))
	o.Policy.Quarantine, o.Policy.Hedging = w.get("quarantine", ""), w.get("hedging", "")
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
	c.export()
	for model, v := range c.plan.Platform.Store.Versions {
		c.versions[model] = v
	}
	for _, p := range c.plan.Procs(c.dir) {
		if err := c.launch(p); err != nil {
			return err
		}
	}
	if w.has("empty") {
		return nil
	}
	if err := c.await("tables applied", func() error { return c.ctl("apply", filepath.Join(c.dir, deployment.FileTables)) }); err != nil {
		return err
	}
	if err := c.awaitReady(c.gateNames()...); err != nil {
		return err
	}
	if err := c.await("claims through each gate", c.claims); err != nil {
		return err
	}
	c.revisionAtStart, err = c.gateRevision(0)
	return err
}

// claims tells whether each steward that reads the claims knows all of them, and whether a call with
// a caller's own key is run through each gate.
func (c *cluster) claims() error {
	for i := range c.plan.Stewards {
		var state struct {
			Claims struct{ Following, Ready bool }
		}
		if err := c.getJSON("http://"+c.plan.Stewards[i].DebugAddress+"/debug/state", &state); err != nil {
			return err
		}
		if !state.Claims.Ready && (state.Claims.Following || i < 2*len(c.plan.Zones)) {
			return fmt.Errorf("steward%d does not know all claims", i+1)
		}
	}
	path, as := c.nonIdempotent()
	for i, g := range c.plan.Gates {
		c.warm++
		id := fmt.Sprintf("warm-%d", c.warm)
		r := c.call(callClient(), request{url: "http://" + g.GateHTTP, as: as, method: http.MethodPost, path: path + "/warm",
			body: []byte(id), header: map[string]string{service.HeaderCheck: id, "Idempotency-Key": id}})
		if r.Outcome != "done" {
			return fmt.Errorf("gate%d: %s", i+1, compact(r))
		}
	}
	return nil
}

// nonIdempotent returns the path and a caller of the deployment's route whose calls may not be repeated.
func (c *cluster) nonIdempotent() (path, caller string) {
	for _, r := range c.plan.Tables.Routes {
		if r.NonIdempotent {
			return r.PathPrefix, r.Callers[0].Name
		}
	}
	return "", ""
}

// export sets what scripts use: the tables' path, ibisctl's environment, and the deployment's names.
func (c *cluster) export() {
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

// ctl runs ibisctl against all stewards.
func (c *cluster) ctl(args ...string) error {
	cmd := exec.Command(filepath.Join(binDir, "ibisctl"), args...)
	cmd.Env = append(os.Environ(), "IBISCTL_SERVER="+c.ts.Getenv("IBISCTL_SERVER"), "IBISCTL_TOKEN_FILE="+c.ts.Getenv("IBISCTL_TOKEN_FILE"))
	out, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("ibisctl %s: %w: %s", strings.Join(args, " "), err, out)
	}
	return nil
}

// launch starts a process; its log is appended to.
func (c *cluster) launch(spec deployment.Proc) error {
	f, err := os.OpenFile(filepath.Join(c.dir, "logs", spec.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	p := &proc{spec: spec, cmd: exec.Command(filepath.Join(binDir, spec.Binary), spec.Args...), ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = f, f
	if err := p.cmd.Start(); err != nil {
		return err
	}
	c.procs[spec.Name] = p
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	return nil
}

// await repeats cond until it holds.
func (c *cluster) await(what string, cond func() error) error {
	deadline := time.Now().Add(awaitTimeout)
	for {
		err := cond()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: did not come about within %s: %w", what, awaitTimeout, err)
		}
		time.Sleep(awaitInterval)
	}
}

// proc returns the process of a name such as gate1, steward2, platform, engines or services.
func (c *cluster) proc(name string) (*proc, error) {
	full := name
	if i, ok := index(name, "gate", len(c.plan.Gates)); ok {
		full = "gate-" + c.plan.Gates[i].ID
	}
	if i, ok := index(name, "steward", len(c.plan.Stewards)); ok {
		full = "steward-" + c.plan.Stewards[i].ID
	}
	p := c.procs[full]
	if p == nil {
		return nil, fmt.Errorf("no process %q; use gate1, steward1, …, platform, engines or services", name)
	}
	return p, nil
}

// index reads the number of a name such as gate2.
func index(name, prefix string, n int) (int, bool) {
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

func (c *cluster) cmdStart(w words) error {
	for _, name := range w.bares() {
		p, err := c.proc(name)
		if err != nil {
			return err
		}
		if p.running() {
			return fmt.Errorf("%s runs already", name)
		}
		if err := c.launch(p.spec); err != nil {
			return err
		}
		if len(c.blocked[p.spec.Name]) > 0 {
			if err := c.await("cut of "+name, func() error { return c.sendBlocked(p.spec.Name) }); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *cluster) signal(w words, sig syscall.Signal) error {
	for _, name := range w.bares() {
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

func (c *cluster) cmdKill(w words) error {
	if err := c.signal(w, syscall.SIGKILL); err != nil {
		return err
	}
	for _, name := range w.bares() {
		p, _ := c.proc(name)
		<-p.ended
	}
	return nil
}

func (c *cluster) cmdTerm(w words) error { return c.signal(w, syscall.SIGTERM) }

func (c *cluster) cmdFreeze(w words) error { return c.signal(w, syscall.SIGSTOP) }

func (c *cluster) cmdThaw(w words) error { return c.signal(w, syscall.SIGCONT) }

// cmdEnded waits until processes have ended by themselves with status 0.
func (c *cluster) cmdEnded(w words) error {
	for _, name := range w.bares() {
		p, err := c.proc(name)
		if err != nil {
			return err
		}
		select {
		case <-p.ended:
		case <-time.After(awaitTimeout):
			return fmt.Errorf("%s still runs after %s", name, awaitTimeout)
		}
		if p.err != nil {
			return fmt.Errorf("%s: %w", name, p.err)
		}
	}
	return nil
}
