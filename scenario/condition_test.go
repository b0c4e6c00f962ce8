package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/fake/engine"
	"github.com/ibistrail/ibistrail/trial"
)

// cmdExpect compares fields of a result, a trainer or a load: expect NAME FIELD=VALUE…; a value is a
// range or a word, or several of them separated by |.
func (c *cluster) cmdExpect(args cmdArgs) error {
	name := args.positional(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	var v any
	switch {
	case c.results[name] != nil:
		v = c.results[name]
	case c.trainers[name] != nil:
		v = c.trainers[name]
	case c.loads[name] != nil:
		v = c.loads[name]
	default:
		return fmt.Errorf("no result, trainer or load is named %q", name)
	}
	raw := compactJSON(v)
	var fields map[string]any
	if err := json.Unmarshal([]byte(raw), &fields); err != nil {
		return err
	}
	for _, a := range args {
		key, want, ok := strings.Cut(a, "=")
		if !ok {
			continue
		}
		got, exists := fields[key]
		if !exists {
			return fmt.Errorf("%s has no field %q: %s", name, key, raw)
		}
		if err := matchField(got, want); err != nil {
			return fmt.Errorf("%s: %s: %w: %s", name, key, err, raw)
		}
	}
	return nil
}

// matchField returns an error unless the field's value matches one of the alternatives in want, which are separated by |.
func matchField(got any, want string) error {
	for _, alternative := range strings.Split(want, "|") {
		n, isNumber := got.(float64)
		if !isNumber && fmt.Sprint(got) == alternative {
			return nil
		}
		if !isNumber {
			continue
		}
		in, err := inRange(int64(n), alternative)
		if err != nil {
			return err
		}
		if in {
			return nil
		}
	}
	return fmt.Errorf("is %v, want %s", got, want)
}

// cmdCheck fails unless a condition holds now; cmdAwait waits until it does. Conditions:
//
//	executed CHECK RANGE     calls with that check header that the services have executed
//	ran TEXT RANGE           requests with TEXT in the prompt that the engines have started
//	crashes RANGE            crashes of engines so far
//	ready|notready GATE…     readiness that a gate reports to load balancers
//	up GATE…                 gates that answer health checks
//	running|stopped PROC…    processes that run, or have exited
//	version TARGET RANGE     weight version of an engine
//	versions MODEL RANGE     weight version of each engine of the model, except for engines listed after RANGE
//	revision RANGE GATE…     revision of the configuration that gates apply; +RANGE counts from the deployment
//	nodes RANGE              nodes that stewards report as alive
//	orders TARGET RANGE      orders that an engine has applied
//	quiet TARGET MARK MS     no request arrived at a target later than MS milliseconds after MARK, and that time is over
//	step NAME RANGE          samples that a trainer has received
//	sent LOAD RANGE          requests that a load has sent; await sent LOAD +N waits for N more
//	claims                   stewards have read all claims, and calls with keys succeed through each gate
//	exec PROGRAM ARG…        the program exits with status 0
func (c *cluster) cmdCheck(w cmdArgs) error { return c.condition(w) }

func (c *cluster) cmdAwait(cond cmdArgs) error {
	if cond[0] == "sent" {
		cond = c.resolveRelativeCount(cond)
	}
	return c.await(strings.Join(cond, " "), func() error { return c.condition(cond) })
}

// condition returns nil if a condition holds now.
func (c *cluster) condition(cond cmdArgs) error {
	args := cond[1:]
	switch cond[0] {
	case "executed":
		return c.checkExecuted(args)
	case "ran":
		return c.checkEngineRuns(args)
	case "crashes":
		return c.checkCrashes(args)
	case "ready", "notready":
		return c.checkReadiness(args, cond[0] == "ready")
	case "up":
		return c.checkUp(args)
	case "running", "stopped":
		return c.checkRunning(args, cond[0] == "running")
	case "version":
		return c.checkVersion(args[1], args[0])
	case "versions":
		return c.checkModelVersions(args)
	case "revision":
		return c.checkRevision(args)
	case "nodes":
		return c.checkLiveNodes(args)
	case "orders":
		return c.checkOrders(args)
	case "quiet":
		return c.checkNoArrivals(args)
	case "step":
		return c.checkHeldSamples(args)
	case "sent":
		return c.checkSentRequests(args)
	case "claims":
		return c.checkClaims()
	case "exec":
		return c.execProgram(args)
	}
	return fmt.Errorf("unknown condition %q; see cmdCheck for the list", cond[0])
}

// checkRange returns an error that names what was counted if n is outside of the range spec.
func checkRange(n int64, spec, what string) error {
	ok, err := inRange(n, spec)
	if err == nil && !ok {
		err = fmt.Errorf("%s is %d, want %s", what, n, spec)
	}
	return err
}

func (c *cluster) checkExecuted(args cmdArgs) error {
	calls, err := c.executedCalls()
	if err != nil {
		return err
	}
	n := int64(0)
	for _, call := range calls {
		if call.CheckID == args[0] {
			n++
		}
	}
	return checkRange(n, args[1], "executions of "+args[0])
}

func (c *cluster) checkEngineRuns(args cmdArgs) error {
	journals, err := c.engineJournals()
	if err != nil {
		return err
	}
	n := int64(0)
	for _, j := range journals {
		for _, r := range j.Runs {
			if r.Started && strings.Contains(r.Prompt, args[0]) {
				n++
			}
		}
	}
	return checkRange(n, args[1], "runs of "+args[0])
}

func (c *cluster) checkCrashes(args cmdArgs) error {
	journals, err := c.engineJournals()
	if err != nil {
		return err
	}
	n := int64(0)
	for _, j := range journals {
		n += int64(j.Crashes)
	}
	return checkRange(n, args[0], "crashes")
}

func (c *cluster) checkReadiness(names cmdArgs, want bool) error {
	for _, name := range names {
		i, ok := parseIndex(name, "gate", len(c.plan.Gates))
		if !ok {
			return fmt.Errorf("no gate %q", name)
		}
		_, err := c.request(http.MethodGet, "http://"+c.plan.Gates[i].GateHTTP+"/readyz", nil)
		if want && err != nil {
			return err
		}
		if !want && err == nil {
			return fmt.Errorf("%s is ready", name)
		}
	}
	return nil
}

func (c *cluster) checkUp(names cmdArgs) error {
	for _, name := range names {
		i, ok := parseIndex(name, "gate", len(c.plan.Gates))
		if !ok {
			return fmt.Errorf("no gate %q", name)
		}
		if _, err := c.request(http.MethodGet, "http://"+c.plan.Gates[i].GateHTTP+"/healthz", nil); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) awaitReady(names ...string) error {
	return c.await("ready gates", func() error { return c.checkReadiness(names, true) })
}

func (c *cluster) checkRunning(names cmdArgs, want bool) error {
	for _, name := range names {
		p, err := c.proc(name)
		if err != nil {
			return err
		}
		if p.running() != want {
			return fmt.Errorf("%s: running is %t", name, !want)
		}
	}
	return nil
}

func (c *cluster) checkVersion(spec string, names ...string) error {
	for _, name := range names {
		target, err := c.targetName(name)
		if err != nil {
			return err
		}
		st, err := trial.NewEngineClient(c.http).Status(c.ctx, c.engineAddress(target))
		if err != nil {
			return err
		}
		if err := checkRange(st.Version, spec, "version of "+name); err != nil {
			return err
		}
	}
	return nil
}

// checkModelVersions checks the version of each engine of a model, except for those listed after the range.
func (c *cluster) checkModelVersions(args cmdArgs) error {
	for i, e := range c.plan.Engines.Engines {
		name := fmt.Sprintf("engine%d", i+1)
		if e.Options.Model != args[0] || args[2:].hasFlag(name) {
			continue
		}
		if err := c.checkVersion(args[1], name); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) checkRevision(args cmdArgs) error {
	names := args[1:]
	if len(names) == 0 {
		names = c.gateNames()
	}
	for _, name := range names {
		i, ok := parseIndex(name, "gate", len(c.plan.Gates))
		if !ok {
			return fmt.Errorf("no gate %q", name)
		}
		n, err := c.gateRevision(i)
		if err != nil {
			return err
		}
		if since, ok := strings.CutPrefix(args[0], "+"); ok {
			err = checkRange(n-c.revisionAtStart, since, "revision of "+name+" since the deployment")
		} else {
			err = checkRange(n, args[0], "revision of "+name)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// gateRevision returns the revision of the configuration that gate i, from 0, applies.
func (c *cluster) gateRevision(i int) (int64, error) {
	resp, err := c.http.Get("http://" + c.plan.Gates[i].GateHTTP + "/readyz")
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return strconv.ParseInt(resp.Header.Get("Ibistrail-Revision"), 10, 64)
}

func (c *cluster) checkLiveNodes(args cmdArgs) error {
	cmd := exec.Command(filepath.Join(binDir, "ibisctl"), "nodes", "--output", "json")
	cmd.Env = append(cmd.Environ(), "IBISCTL_SERVER="+c.ts.Getenv("IBISCTL_SERVER"), "IBISCTL_TOKEN_FILE="+c.ts.Getenv("IBISCTL_TOKEN_FILE"))
	out, err := cmd.Output()
	if err != nil {
		return fmt.Errorf("ibisctl nodes: %w", err)
	}
	n := int64(strings.Count(string(out), `"status": "alive"`) + strings.Count(string(out), `"status":"alive"`))
	return checkRange(n, args[0], "live nodes")
}

// engineJournal returns the record of requests, orders and crashes of one engine.
func (c *cluster) engineJournal(name string) (engine.Journal, error) {
	var j engine.Journal
	base, err := c.adminURL(name)
	if err != nil {
		return j, err
	}
	return j, c.getJSON(base+"/journal", &j)
}

func (c *cluster) checkOrders(args cmdArgs) error {
	j, err := c.engineJournal(args[0])
	if err != nil {
		return err
	}
	n := int64(0)
	for _, o := range j.Orders {
		if o.Result == "ok" {
			n++
		}
	}
	return checkRange(n, args[1], "orders of "+args[0])
}

// cmdMark stores the current time under a name: mark NAME.
func (c *cluster) cmdMark(args cmdArgs) error {
	c.marks[args.positional(0)] = time.Now()
	return nil
}

// checkNoArrivals returns an error if a request or order arrived at a target later than a grace period in
// milliseconds after a mark, or if the grace period is not over yet.
func (c *cluster) checkNoArrivals(args cmdArgs) error {
	ms, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	limit := c.marks[args[1]].Add(time.Duration(ms) * time.Millisecond)
	if time.Now().Before(limit) {
		return fmt.Errorf("the grace period of %d ms after %s is not over yet", ms, args[1])
	}
	late, err := c.arrivalsAfter(args[0], limit)
	if err != nil {
		return err
	}
	if len(late) > 0 {
		return fmt.Errorf("%d requests arrived at %s after the grace period, the first is %s", len(late), args[0], late[0])
	}
	return nil
}

// arrivalsAfter lists the calls, requests and orders that arrived at a target after a time.
func (c *cluster) arrivalsAfter(name string, after time.Time) ([]string, error) {
	var late []string
	target, err := c.targetName(name)
	if err != nil {
		return nil, err
	}
	for _, t := range c.plan.Endpoints.Services {
		if t.Name != target {
			continue
		}
		calls, err := c.executedCalls()
		if err != nil {
			return nil, err
		}
		for _, call := range calls {
			if call.Service == target && call.Time.After(after) {
				late = append(late, compactJSON(call))
			}
		}
		return late, nil
	}
	j, err := c.engineJournal(name)
	if err != nil {
		return nil, err
	}
	for _, r := range j.Runs {
		if r.Arrived.After(after) {
			late = append(late, compactJSON(r))
		}
	}
	for _, o := range j.Orders {
		if o.Time.After(after) {
			late = append(late, compactJSON(o))
		}
	}
	return late, nil
}

func (c *cluster) checkHeldSamples(args cmdArgs) error {
	c.mu.Lock()
	t := c.trainers[args[0]]
	c.mu.Unlock()
	if t == nil {
		return fmt.Errorf("no trainer %q", args[0])
	}
	return checkRange(t.heldSamples.Load(), args[1], "samples of "+args[0])
}

func (c *cluster) checkSentRequests(args cmdArgs) error {
	c.mu.Lock()
	l := c.loads[args[0]]
	c.mu.Unlock()
	if l == nil {
		return fmt.Errorf("no load %q", args[0])
	}
	return checkRange(l.lastRequest.Load(), args[1], "requests of "+args[0])
}

// resolveRelativeCount rewrites "sent LOAD +N" to an absolute range that begins N above the current count.
func (c *cluster) resolveRelativeCount(cond cmdArgs) cmdArgs {
	c.mu.Lock()
	l := c.loads[cond[1]]
	c.mu.Unlock()
	n, err := strconv.ParseInt(strings.TrimPrefix(cond[2], "+"), 10, 64)
	if l == nil || err != nil || cond[2][0] != '+' {
		return cond
	}
	return cmdArgs{cond[0], cond[1], fmt.Sprintf("%d..", l.lastRequest.Load()+n)}
}

// execProgram runs one of the built programs with the script's settings of ibisctl.
func (c *cluster) execProgram(args cmdArgs) error {
	cmd := exec.Command(filepath.Join(binDir, args[0]), args[1:]...)
	cmd.Dir = c.env.WorkDir
	cmd.Env = append(cmd.Environ(), "IBISCTL_SERVER="+c.ts.Getenv("IBISCTL_SERVER"), "IBISCTL_TOKEN_FILE="+c.ts.Getenv("IBISCTL_TOKEN_FILE"))
	out, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, out)
	}
	return nil
}
