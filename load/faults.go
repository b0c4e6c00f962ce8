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

// injectFaults sets and clears all faults at their times and returns the first error.
func (d *LocalDeployment) injectFaults(ctx context.Context, events []FaultEvent, runStart time.Time) error {
	errs := make([]error, len(events))
	var wg sync.WaitGroup
	for i, e := range events {
		wg.Go(func() { errs[i] = d.injectFault(ctx, e, runStart) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// injectFault sets one fault at its time and clears it after its duration.
func (d *LocalDeployment) injectFault(ctx context.Context, e FaultEvent, runStart time.Time) error {
	start := runStart.Add(time.Duration(e.AtMs) * time.Millisecond)
	sleep(ctx, time.Until(start))
	if ctx.Err() != nil {
		return nil
	}
	if err := d.setFault(e, true); err != nil {
		return err
	}
	if e.ForMs == 0 {
		return nil
	}
	sleep(ctx, time.Until(start.Add(time.Duration(e.ForMs)*time.Millisecond)))
	return d.setFault(e, false)
}

// setFault sets a fault, or clears it if on is false.
func (d *LocalDeployment) setFault(e FaultEvent, on bool) error {
	set := e.Set
	if !on {
		set = json.RawMessage("{}")
	}
	switch e.Kind {
	case "engine":
		return d.setEngines(e.Names, set)
	case "service":
		return d.setServices(e.Names, set)
	case "log":
		return setFaults[logservice.Faults](set, d.platform.Log.SetFaults)
	case "store":
		return setFaults[weightstore.Faults](set, d.platform.Store.SetFaults)
	case "vms":
		return setFaults[vmlist.Faults](set, d.platform.VMs.SetFaults)
	case "platform":
		return d.setPlatformOutage(on)
	case "zone":
		return d.setZoneOutage(e.Names, on)
	}
	return fmt.Errorf("load: fault kind %q is unknown; use engine, service, log, store, vms, platform or zone", e.Kind)
}

func setFaults[F any](raw json.RawMessage, apply func(F) error) error {
	var f F
	if err := json.Unmarshal(raw, &f); err != nil {
		return fmt.Errorf("load: decode fault switches %s: %w", raw, err)
	}
	return apply(f)
}

func (d *LocalDeployment) setEngines(names []string, set json.RawMessage) error {
	for _, n := range names {
		e := d.engines.Engines[n]
		if e == nil {
			return fmt.Errorf("load: engine %q is not in the deployment plan; check the names of the fault", n)
		}
		if err := setFaults[engine.Faults](set, e.SetFaults); err != nil {
			return err
		}
	}
	return nil
}

func (d *LocalDeployment) setServices(names []string, set json.RawMessage) error {
	for _, n := range names {
		s := d.services.Services[n]
		if s == nil {
			return fmt.Errorf("load: service %q is not in the deployment plan; check the names of the fault", n)
		}
		if err := setFaults[service.Faults](set, s.SetFaults); err != nil {
			return err
		}
	}
	return nil
}

// setPlatformOutage makes the log, the weight store and the VM list unavailable, or available again. They keep their
// ports open, because another connection could take a closed port in the meantime.
func (d *LocalDeployment) setPlatformOutage(on bool) error {
	if err := d.platform.Log.SetFaults(logservice.Faults{Outage: on}); err != nil {
		return err
	}
	if err := d.platform.Store.SetFaults(weightstore.Faults{Outage: on}); err != nil {
		return err
	}
	return d.platform.VMs.SetFaults(vmlist.Faults{Outage: on})
}

// setZoneOutage stops the entry VMs of zones permanently and crashes their targets until the fault is cleared.
func (d *LocalDeployment) setZoneOutage(zones []string, on bool) error {
	for _, v := range d.vms {
		if on && slices.Contains(zones, v.gate.AvailabilityZone) {
			d.powerOff(v)
		}
	}
	for _, t := range d.Plan.Endpoints.Engines {
		if !slices.Contains(zones, t.AvailabilityZone) {
			continue
		}
		if err := d.engines.Engines[t.Name].SetFaults(engine.Faults{Crash: on}); err != nil {
			return err
		}
	}
	for _, t := range d.Plan.Endpoints.Services {
		if !slices.Contains(zones, t.AvailabilityZone) {
			continue
		}
		if err := d.services.Services[t.Name].SetFaults(service.Faults{Crash: on}); err != nil {
			return err
		}
	}
	return nil
}
