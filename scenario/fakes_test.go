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

// adminURL returns the base URL of the admin interface of a fake: log, store, vms, engine1, service1 or a target's name.
func (c *cluster) adminURL(name string) (string, error) {
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
	return "", fmt.Errorf("no fake %q; use log, store, vms, engine1, service1 or a target's name", name)
}

// expandTargets returns the targets of POOL/*, or name itself for any other name.
func (c *cluster) expandTargets(name string) []string {
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

// cmdFault replaces the injected faults of fakes: fault NAME… JSON; NAME may be POOL/*.
func (c *cluster) cmdFault(args cmdArgs) error {
	names, body := args[:len(args)-1], []byte(args[len(args)-1])
	for _, n := range names {
		for _, name := range c.expandTargets(n) {
			base, err := c.adminURL(name)
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

// cmdOutage starts an outage of fakes: outage NAME…
func (c *cluster) cmdOutage(args cmdArgs) error {
	for _, name := range args.positionals() {
		if err := c.cmdFault(cmdArgs{name, `{"outage":true}`}); err != nil {
			return err
		}
	}
	return nil
}

// cmdRecover removes the injected faults of fakes: recover NAME…
func (c *cluster) cmdRecover(args cmdArgs) error {
	for _, name := range args.positionals() {
		if err := c.cmdFault(cmdArgs{name, `{}`}); err != nil {
			return err
		}
	}
	return nil
}

// cmdLoseAnswer makes the log drop the answers to the next N appends: lose-answer N [STREAM].
func (c *cluster) cmdLoseAnswer(args cmdArgs) error {
	return c.cmdFault(cmdArgs{"log", fmt.Sprintf(`{"lose_append_answers":%s,"stream":%q}`, args.positional(0), args.positional(1))})
}

// cmdExpire deletes all records of a stream: expire STREAM.
func (c *cluster) cmdExpire(args cmdArgs) error {
	_, err := c.request(http.MethodPost, c.plan.Endpoints.PlatformAdmin+"/log/expire/"+args.positional(0), nil)
	return err
}

// cmdOrder sends engines a weight order, as a previous holder of the pool's lease would: order ENGINE… version=N
// [mode=MODE] [token=N].
func (c *cluster) cmdOrder(args cmdArgs) error {
	o := trial.Order{ID: "scenario", Kind: trial.OrderLoadVersion, Version: args.intOption("version", 1), FencingToken: args.intOption("token", 0), Mode: trial.SwapMode(args.option("mode", string(trial.SwapNow)))}
	for _, n := range args.positionals() {
		for _, name := range c.expandTargets(n) {
			target, err := c.targetName(name)
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

// engineAddress returns the address of the engine with the given full name, or "".
func (c *cluster) engineAddress(name string) string {
	for _, t := range c.plan.Endpoints.Engines {
		if t.Name == name {
			return t.Address
		}
	}
	return ""
}

// cmdAppend appends a record to a stream: append STREAM ID JSON.
func (c *cluster) cmdAppend(args cmdArgs) error {
	_, err := trial.NewLogClient(c.plan.Endpoints.Log, c.http).Append(c.ctx, args[0], []trial.NewRecord{{ID: args[1], Data: json.RawMessage(args[2])}})
	return err
}

// cmdLeaving marks the VMs of targets as leaving in the platform's VM list: leaving TARGET…
func (c *cluster) cmdLeaving(args cmdArgs) error {
	for _, name := range args.positionals() {
		t, err := c.targetName(name)
		if err != nil {
			return err
		}
		if _, err := c.request(http.MethodPost, c.plan.Endpoints.PlatformAdmin+"/vms/vms/"+t+"/leaving", nil); err != nil {
			return err
		}
	}
	return nil
}

// targetName returns the full name of a target that is given as engine1, service1 or by its full name.
func (c *cluster) targetName(name string) (string, error) {
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
	return "", fmt.Errorf("no target %q; use engine1, service1 or a full name", name)
}

// cmdPublish publishes a weight version, as the trainer does: publish MODEL VERSION.
func (c *cluster) cmdPublish(args cmdArgs) error {
	v, err := strconv.ParseInt(args.positional(1), 10, 64)
	if err != nil {
		return err
	}
	if err := trial.NewStoreClient(c.plan.Endpoints.Store, c.http).Publish(c.ctx, args.positional(0), v); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.publishedVersions[args.positional(0)] = v
	return nil
}

// executedCall is a call and the service that executed it.
type executedCall struct {
	service.Call
	Service string
}

// executedCalls returns the calls that all services have executed.
func (c *cluster) executedCalls() ([]executedCall, error) {
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

// engineJournals returns the journals of all engines, by full name.
func (c *cluster) engineJournals() (map[string]engine.Journal, error) {
	out := map[string]engine.Journal{}
	var errs []error
	for _, t := range c.plan.Endpoints.Engines {
		var j engine.Journal
		errs = append(errs, c.getJSON(c.plan.Endpoints.EnginesAdmin+"/"+t.Name+"/journal", &j))
		out[t.Name] = j
	}
	return out, errors.Join(errs...)
}

// compactJSON returns v as one line of JSON, or the text of the encoding error.
func compactJSON(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(bytes.TrimSpace(raw))
}
