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
// range, or words with | between them.
func (c *cluster) cmdExpect(w words) error {
	name := w.bare(0)
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
		return fmt.Errorf("nothing is called %q", name)
	}
	raw := compact(v)
	var fields map[string]any
	if err := json.Unmarshal([]byte(raw), &fields); err != nil {
		return err
	}
	for _, a := range w {
		key, want, ok := strings.Cut(a, "=")
		if !ok {
			continue
		}
		got, known := fields[key]
		if !known {
			return fmt.Errorf("%s has no field %q: %s", name, key, raw)
		}
		if err := matches(got, want); err != nil {
			return fmt.Errorf("%s: %s: %w: %s", name, key, err, raw)
		}
	}
	return nil
}

// matches compares a field with one of the wanted values.
func matches(got any, want string) error {
	for _, alternative := range strings.Split(want, "|") {
		n, number := got.(float64)
		if !number && fmt.Sprint(got) == alternative {
			return nil
		}
		if !number {
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

// cmdCheck tells whether a condition holds now, cmdAwait waits until it does. Conditions:
//
//	executed CHECK RANGE     how many calls with that check the services have executed
//	ran TEXT RANGE           how many requests whose prompt holds TEXT the engines have started
//	crashes RANGE            how many engines' crashes there were
//	ready|notready GATE…     what a gate tells its balancer
//	up GATE…                 gates that answer at all
//	running|stopped PROC…    processes
//	version TARGET RANGE     the weight version that an engine runs
//	versions MODEL RANGE     the same for each engine of the model
//	revision RANGE GATE…     the configuration that gates have in force; +RANGE counts from the deployment
//	nodes RANGE              nodes that a steward knows to be alive
//	orders TARGET RANGE      orders that an engine took in, applied ones
//	quiet TARGET MARK MS     no request arrived at a target later than MS milliseconds after MARK
//	step NAME RANGE          samples that a trainer holds
//	sent LOAD RANGE          requests that a load has sent; await sent LOAD +N waits for N more
//	claims                   stewards know all claims, and calls with keys run through each gate
//	exec PROGRAM ARG…        the program succeeds
func (c *cluster) cmdCheck(w words) error { return c.condition(w) }

func (c *cluster) cmdAwait(w words) error {
	if w[0] == "sent" {
		w = c.more(w)
	}
	return c.await(strings.Join(w, " "), func() error { return c.condition(w) })
}

// condition evaluates a condition once.
func (c *cluster) condition(w words) error {
	args := w[1:]
	switch w[0] {
	case "executed":
		return c.executed(args)
	case "ran":
		return c.ran(args)
	case "crashes":
		return c.crashes(args)
	case "ready", "notready":
		return c.readiness(args, w[0] == "ready")
	case "up":
		return c.up(args)
	case "running", "stopped":
		return c.alive(args, w[0] == "running")
	case "version":
		return c.version(args[1], args[0])
	case "versions":
		return c.allVersions(args)
	case "revision":
		return c.revision(args)
	case "nodes":
		return c.nodes(args)
	case "orders":
		return c.orders(args)
	case "quiet":
		return c.quiet(args)
	case "step":
		return c.held(args)
	case "sent":
		return c.sent(args)
	case "claims":
		return c.claims()
	case "exec":
		return c.exec(args)
	}
	return fmt.Errorf("condition %q is unknown", w[0])
}

// within returns an error that shows what was counted if n is out of range.
func within(n int64, spec, what string) error {
	ok, err := inRange(n, spec)
	if err == nil && !ok {
		err = fmt.Errorf("%s is %d, want %s", what, n, spec)
	}
	return err
}

func (c *cluster) executed(args words) error {
	calls, err := c.calls()
	if err != nil {
		return err
	}
	n := int64(0)
	for _, call := range calls {
		if call.Check == args[0] {
			n++
		}
	}
	return within(n, args[1], "executions of "+args[0])
}

func (c *cluster) ran(args words) error {
	journals, err := c.journals()
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
	return within(n, args[1], "runs of "+args[0])
}

func (c *cluster) crashes(args words) error {
	journals, err := c.journals()
	if err != nil {
		return err
	}
	n := int64(0)
	for _, j := range journals {
		n += int64(j.Crashes)
	}
	return within(n, args[0], "crashes")
}

func (c *cluster) readiness(names words, want bool) error {
	for _, name := range names {
		i, ok := index(name, "gate", len(c.plan.Gates))
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

func (c *cluster) up(names words) error {
	for _, name := range names {
		i, ok := index(name, "gate", len(c.plan.Gates))
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
	return c.await("ready gates", func() error { return c.readiness(names, true) })
}

func (c *cluster) alive(names words, want bool) error {
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

func (c *cluster) version(spec string, names ...string) error {
	for _, name := range names {
		target, err := c.target(name)
		if err != nil {
			return err
		}
		st, err := trial.NewEngineClient(c.http).Status(c.ctx, c.engineAddress(target))
		if err != nil {
			return err
		}
		if err := within(st.Version, spec, "version of "+name); err != nil {
			return err
		}
	}
	return nil
}

// allVersions checks each engine of a model, but those named after.
func (c *cluster) allVersions(args words) error {
	for i, e := range c.plan.Engines.Engines {
		name := fmt.Sprintf("engine%d", i+1)
		if e.Options.Model != args[0] || args[2:].has(name) {
			continue
		}
		if err := c.version(args[1], name); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) revision(args words) error {
	names := args[1:]
	if len(names) == 0 {
		names = c.gateNames()
	}
	for _, name := range names {
		i, ok := index(name, "gate", len(c.plan.Gates))
		if !ok {
			return fmt.Errorf("no gate %q", name)
		}
		n, err := c.gateRevision(i)
		if err != nil {
			return err
		}
		if since, ok := strings.CutPrefix(args[0], "+"); ok {
			err = within(n-c.revisionAtStart, since, "revision of "+name+" since the deployment")
		} else {
			err = within(n, args[0], "revision of "+name)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// gateRevision returns the revision that a gate has in force.
func (c *cluster) gateRevision(i int) (int64, error) {
	resp, err := c.http.Get("http://" + c.plan.Gates[i].GateHTTP + "/readyz")
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return strconv.ParseInt(resp.Header.Get("Ibistrail-Revision"), 10, 64)
}

func (c *cluster) nodes(args words) error {
	cmd := exec.Command(filepath.Join(binDir, "ibisctl"), "nodes", "--output", "json")
	cmd.Env = append(cmd.Environ(), "IBISCTL_SERVER="+c.ts.Getenv("IBISCTL_SERVER"), "IBISCTL_TOKEN_FILE="+c.ts.Getenv("IBISCTL_TOKEN_FILE"))
	out, err := cmd.Output()
	if err != nil {
		return fmt.Errorf("ibisctl nodes: %w", err)
	}
	n := int64(strings.Count(string(out), `"status": "alive"`) + strings.Count(string(out), `"status":"alive"`))
	return within(n, args[0], "live nodes")
}

// journal returns the journal of one engine.
func (c *cluster) journal(name string) (engine.Journal, error) {
	var j engine.Journal
	base, err := c.admin(name)
	if err != nil {
		return j, err
	}
	return j, c.getJSON(base+"/journal", &j)
}

func (c *cluster) orders(args words) error {
	j, err := c.journal(args[0])
	if err != nil {
		return err
	}
	n := int64(0)
	for _, o := range j.Orders {
		if o.Result == "ok" {
			n++
		}
	}
	return within(n, args[1], "orders of "+args[0])
}

// cmdMark remembers the time under a name.
func (c *cluster) cmdMark(w words) error {
	c.marks[w.bare(0)] = time.Now()
	return nil
}

// quiet tells whether no request arrived at a target after a mark and a grace in milliseconds, and
// that the grace is over.
func (c *cluster) quiet(args words) error {
	ms, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	limit := c.marks[args[1]].Add(time.Duration(ms) * time.Millisecond)
	if time.Now().Before(limit) {
		return fmt.Errorf("%d ms after %s are not over", ms, args[1])
	}
	late, err := c.arrivals(args[0], limit)
	if err != nil {
		return err
	}
	if len(late) > 0 {
		return fmt.Errorf("%d requests arrived at %s too late, such as %s", len(late), args[0], late[0])
	}
	return nil
}

// arrivals lists what arrived at a target after a time.
func (c *cluster) arrivals(name string, after time.Time) ([]string, error) {
	var late []string
	target, err := c.target(name)
	if err != nil {
		return nil, err
	}
	for _, t := range c.plan.Endpoints.Services {
		if t.Name != target {
			continue
		}
		calls, err := c.calls()
		if err != nil {
			return nil, err
		}
		for _, call := range calls {
			if call.Service == target && call.Time.After(after) {
				late = append(late, compact(call))
			}
		}
		return late, nil
	}
	j, err := c.journal(name)
	if err != nil {
		return nil, err
	}
	for _, r := range j.Runs {
		if r.Arrived.After(after) {
			late = append(late, compact(r))
		}
	}
	for _, o := range j.Orders {
		if o.Time.After(after) {
			late = append(late, compact(o))
		}
	}
	return late, nil
}

func (c *cluster) held(args words) error {
	c.mu.Lock()
	t := c.trainers[args[0]]
	c.mu.Unlock()
	if t == nil {
		return fmt.Errorf("no trainer %q", args[0])
	}
	return within(t.held.Load(), args[1], "samples of "+args[0])
}

func (c *cluster) sent(args words) error {
	c.mu.Lock()
	l := c.loads[args[0]]
	c.mu.Unlock()
	if l == nil {
		return fmt.Errorf("no load %q", args[0])
	}
	return within(l.serial.Load(), args[1], "requests of "+args[0])
}

// more turns "sent LOAD +N" into a number to wait for.
func (c *cluster) more(w words) words {
	c.mu.Lock()
	l := c.loads[w[1]]
	c.mu.Unlock()
	n, err := strconv.ParseInt(strings.TrimPrefix(w[2], "+"), 10, 64)
	if l == nil || err != nil || w[2][0] != '+' {
		return w
	}
	return words{w[0], w[1], fmt.Sprintf("%d..", l.serial.Load()+n)}
}

// exec runs a program of the system with the environment of the script.
func (c *cluster) exec(args words) error {
	cmd := exec.Command(filepath.Join(binDir, args[0]), args[1:]...)
	cmd.Dir = c.env.WorkDir
	cmd.Env = append(cmd.Environ(), "IBISCTL_SERVER="+c.ts.Getenv("IBISCTL_SERVER"), "IBISCTL_TOKEN_FILE="+c.ts.Getenv("IBISCTL_TOKEN_FILE"))
	out, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, out)
	}
	return nil
}
