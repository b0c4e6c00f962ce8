package scenario

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/ibistrail/ibistrail/fake/engine"
	"github.com/ibistrail/ibistrail/fake/service"
	"github.com/ibistrail/ibistrail/trial"
)

// admin returns the base URL of a stand-in's switches: log, store, vms, engine1, service1 or a target's name.
func (c *cluster) admin(name string) (string, error) {
	e := c.plan.Endpoints
	switch name {
	case "log", "store", "vms":
		return e.PlatformAdmin + "/" + name, nil
	}
	for i, t := range e.Engines {
		if name == t.Name || name == fmt.Sprintf("engine%d", i+1) {
			return e.EnginesAdmin + "/" + t.Name, nil
		}
	}
	for i, t := range e.Services {
		if name == t.Name || name == fmt.Sprintf("service%d", i+1) {
			return e.ServicesAdmin + "/" + t.Name, nil
		}
	}
	return "", fmt.Errorf("no stand-in %q", name)
}

// targets expands engine*, service* and POOL/* to names.
func (c *cluster) targets(name string) []string {
	var out []string
	for _, t := range append(c.plan.Endpoints.Engines, c.plan.Endpoints.Services...) {
		if name == t.Pool+"/*" {
			out = append(out, t.Name)
		}
	}
	if out == nil {
		return []string{name}
	}
	return out
}

// cmdFault replaces the switches of stand-ins: fault NAME JSON; NAME may be POOL/*.
func (c *cluster) cmdFault(w words) error {
	names, body := w[:len(w)-1], []byte(w[len(w)-1])
	for _, n := range names {
		for _, name := range c.targets(n) {
			base, err := c.admin(name)
			if err != nil {
				return err
			}
			if _, err := c.request(http.MethodPost, base+"/faults", body); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *cluster) cmdOutage(w words) error {
	for _, name := range w.bares() {
		if err := c.cmdFault(words{name, `{"outage":true}`}); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) cmdRecover(w words) error {
	for _, name := range w.bares() {
		if err := c.cmdFault(words{name, `{}`}); err != nil {
			return err
		}
	}
	return nil
}

// cmdLoseAnswer loses the answers of the next appends: lose-answer N [STREAM].
func (c *cluster) cmdLoseAnswer(w words) error {
	return c.cmdFault(words{"log", fmt.Sprintf(`{"lose_append_answers":%s,"stream":%q}`, w.bare(0), w.bare(1))})
}

// cmdExpire drops all records of a stream.
func (c *cluster) cmdExpire(w words) error {
	_, err := c.request(http.MethodPost, c.plan.Endpoints.PlatformAdmin+"/log/expire/"+w.bare(0), nil)
	return err
}

// cmdOrder gives engines a weight order as a former holder of a lease would: order ENGINE… version=N
// [mode=MODE] [token=N].
func (c *cluster) cmdOrder(w words) error {
	o := trial.Order{ID: "scenario", Kind: trial.OrderLoadVersion, Version: w.int("version", 1), FencingToken: w.int("token", 0), Mode: trial.SwapMode(w.get("mode", string(trial.SwapNow)))}
	for _, n := range w.bares() {
		for _, name := range c.targets(n) {
			target, err := c.target(name)
			if err != nil {
				return err
			}
			if _, err := trial.NewEngineClient(c.http).Order(c.ctx, c.engineAddress(target), o); err != nil {
				return err
			}
		}
	}
	return nil
}

// engineAddress returns the address of an engine by its full name.
func (c *cluster) engineAddress(name string) string {
	for _, t := range c.plan.Endpoints.Engines {
		if t.Name == name {
			return t.Address
		}
	}
	return ""
}

// cmdAppend appends a record to a stream: append STREAM ID JSON.
func (c *cluster) cmdAppend(w words) error {
	_, err := trial.NewLogClient(c.plan.Endpoints.Log, c.http).Append(c.ctx, w[0], []trial.NewRecord{{ID: w[1], Data: json.RawMessage(w[2])}})
	return err
}

// cmdLeaving marks a VM on the list of VMs.
func (c *cluster) cmdLeaving(w words) error {
	for _, name := range w.bares() {
		t, err := c.target(name)
		if err != nil {
			return err
		}
		if _, err := c.request(http.MethodPost, c.plan.Endpoints.PlatformAdmin+"/vms/vms/"+t+"/leaving", nil); err != nil {
			return err
		}
	}
	return nil
}

// target returns the full name of a target.
func (c *cluster) target(name string) (string, error) {
	for i, t := range c.plan.Endpoints.Engines {
		if name == t.Name || name == fmt.Sprintf("engine%d", i+1) {
			return t.Name, nil
		}
	}
	for i, t := range c.plan.Endpoints.Services {
		if name == t.Name || name == fmt.Sprintf("service%d", i+1) {
			return t.Name, nil
		}
	}
	return "", fmt.Errorf("no target %q", name)
}

// cmdPublish publishes a weight version, as the trainer does: publish MODEL VERSION.
func (c *cluster) cmdPublish(w words) error {
	v, err := strconv.ParseInt(w.bare(1), 10, 64)
	if err != nil {
		return err
	}
	if err := trial.NewStoreClient(c.plan.Endpoints.Store, c.http).Publish(c.ctx, w.bare(0), v); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions[w.bare(0)] = v
	return nil
}

// executedCall is an executed call and the service that executed it.
type executedCall struct {
	service.Call
	Service string
}

// calls returns the executed calls of all services.
func (c *cluster) calls() ([]executedCall, error) {
	var out []executedCall
	var errs []error
	for _, t := range c.plan.Endpoints.Services {
		var j service.Journal
		errs = append(errs, c.getJSON(c.plan.Endpoints.ServicesAdmin+"/"+t.Name+"/journal", &j))
		for _, call := range j.Calls {
			out = append(out, executedCall{call, t.Name})
		}
	}
	return out, errors.Join(errs...)
}

// journals returns the journals of engines by name.
func (c *cluster) journals() (map[string]engine.Journal, error) {
	out := map[string]engine.Journal{}
	var errs []error
	for _, t := range c.plan.Endpoints.Engines {
		var j engine.Journal
		errs = append(errs, c.getJSON(c.plan.Endpoints.EnginesAdmin+"/"+t.Name+"/journal", &j))
		out[t.Name] = j
	}
	return out, errors.Join(errs...)
}

// compact returns v as one line of JSON, for messages.
func compact(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(bytes.TrimSpace(raw))
}
