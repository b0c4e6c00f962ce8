package load

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/fake/engine"
	"github.com/ibistrail/ibistrail/fake/logservice"
	"github.com/ibistrail/ibistrail/fake/service"
	"github.com/ibistrail/ibistrail/fake/vmlist"
	"github.com/ibistrail/ibistrail/fake/weightstore"
)

// breakThings sets and lifts the faults at their times.
func (w *World) breakThings(ctx context.Context, events []FaultEvent, began time.Time) error {
	errs := make([]error, len(events))
	var wg sync.WaitGroup
	for i, e := range events {
		wg.Go(func() { errs[i] = w.breakThing(ctx, e, began) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (w *World) breakThing(ctx context.Context, e FaultEvent, began time.Time) error {
	at := began.Add(time.Duration(e.AtMs) * time.Millisecond)
	pause(ctx, time.Until(at))
	if ctx.Err() != nil {
		return nil
	}
	if err := w.set(e, true); err != nil {
		return err
	}
	if e.ForMs == 0 {
		return nil
	}
	pause(ctx, time.Until(at.Add(time.Duration(e.ForMs)*time.Millisecond)))
	return w.set(e, false)
}

// set sets or lifts one fault.
func (w *World) set(e FaultEvent, on bool) error {
	set := e.Set
	if !on {
		set = json.RawMessage("{}")
	}
	switch e.Kind {
	case "engine":
		return w.setEngines(e.Names, set)
	case "service":
		return w.setServices(e.Names, set)
	case "log":
		return setFaults[logservice.Faults](set, w.platform.Log.SetFaults)
	case "store":
		return setFaults[weightstore.Faults](set, w.platform.Store.SetFaults)
	case "vms":
		return setFaults[vmlist.Faults](set, w.platform.VMs.SetFaults)
	case "platform":
		return w.platformOut(on)
	case "zone":
		return w.zoneOut(e.Names, on)
	}
	return fmt.Errorf("load: fault kind %q is unknown; use engine, service, log, store, vms, platform or zone", e.Kind)
}

func setFaults[F any](raw json.RawMessage, apply func(F) error) error {
	var f F
	if err := json.Unmarshal(raw, &f); err != nil {
		return fmt.Errorf("load: switches %s do not decode: %w", raw, err)
	}
	return apply(f)
}

func (w *World) setEngines(names []string, set json.RawMessage) error {
	for _, n := range names {
		e := w.engines.Engines[n]
		if e == nil {
			return fmt.Errorf("load: engine %q is not in the plan", n)
		}
		if err := setFaults[engine.Faults](set, e.SetFaults); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) setServices(names []string, set json.RawMessage) error {
	for _, n := range names {
		s := w.services.Services[n]
		if s == nil {
			return fmt.Errorf("load: service %q is not in the plan", n)
		}
		if err := setFaults[service.Faults](set, s.SetFaults); err != nil {
			return err
		}
	}
	return nil
}

// platformOut ends or begins the service of the log, the weight store and the list of VMs. They keep
// their ports, which another connection could take in the meantime.
func (w *World) platformOut(on bool) error {
	if err := w.platform.Log.SetFaults(logservice.Faults{Outage: on}); err != nil {
		return err
	}
	if err := w.platform.Store.SetFaults(weightstore.Faults{Outage: on}); err != nil {
		return err
	}
	return w.platform.VMs.SetFaults(vmlist.Faults{Outage: on})
}

// zoneOut takes zones away: their entry VMs for good, their targets until the fault is lifted.
func (w *World) zoneOut(zones []string, on bool) error {
	for _, v := range w.vms {
		if on && slices.Contains(zones, v.gate.AvailabilityZone) {
			w.kill(v)
		}
	}
	for _, t := range w.Plan.Endpoints.Engines {
		if !slices.Contains(zones, t.AvailabilityZone) {
			continue
		}
		if err := w.engines.Engines[t.Name].SetFaults(engine.Faults{Crash: on}); err != nil {
			return err
		}
	}
	for _, t := range w.Plan.Endpoints.Services {
		if !slices.Contains(zones, t.AvailabilityZone) {
			continue
		}
		if err := w.services.Services[t.Name].SetFaults(service.Faults{Crash: on}); err != nil {
			return err
		}
	}
	return nil
}
