package load

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fake/deployment"
	"github.com/ibistrail/ibistrail/gate"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/settings"
	"github.com/ibistrail/ibistrail/steward"
	"github.com/ibistrail/ibistrail/wire"
)

// Bounds of a world's start.
const (
	worldReadyTimeout  = 30 * time.Second
	worldReadyInterval = 20 * time.Millisecond
	applyTimeoutMs     = 5000
)

// World is a whole deployment inside this process: real gates and stewards before modelled
// engines, which meet over loopback TCP only.
type World struct {
	Plan *deployment.Deployment
	Site *Site

	log                         *slog.Logger
	platform, engines, services *deployment.Standins
	vms                         map[string]*vm
	cancel                      context.CancelFunc
	wg                          sync.WaitGroup
}

// vm is one entry VM: a gate and a steward.
type vm struct {
	gate    settings.Gate
	dialer  *process.Dialer
	metrics *process.Metrics // of the gate
	control *process.Metrics // of the steward
	doors   []*door
	stop    context.CancelFunc
	// hurry shortens the gate's planned stop.
	hurry func()
}

// StartWorld plans and starts a deployment, applies its tables and waits until each gate is ready.
func StartWorld(ctx context.Context, o deployment.Options, log *slog.Logger) (*World, error) {
	plan, err := deployment.Plan(o)
	if err != nil {
		return nil, err
	}
	return startPlan(ctx, plan, log)
}

func startPlan(ctx context.Context, plan *deployment.Deployment, log *slog.Logger) (*World, error) {
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	w := &World{Plan: plan, Site: NewSite(plan.Endpoints, plan.Tables), log: log, vms: map[string]*vm{}, cancel: cancel}
	if err := w.start(run); err != nil {
		w.Close()
		return nil, err
	}
	if err := w.await(ctx); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (w *World) start(ctx context.Context) error {
	var errs [3]error
	w.platform, errs[0] = deployment.StartPlatform(w.Plan.Platform)
	w.engines, errs[1] = deployment.StartEngines(w.Plan.Engines)
	w.services, errs[2] = deployment.StartServices(w.Plan.Services)
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	for i := range w.Plan.Gates {
		if err := w.startVM(ctx, w.Plan.Gates[i], w.Plan.Stewards[i]); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) startVM(ctx context.Context, gs settings.Gate, ss settings.Steward) error {
	ctx, stop := context.WithCancel(ctx)
	v := &vm{gate: gs, dialer: process.NewDialer(nil), metrics: process.NewMetrics(), control: process.NewMetrics(), stop: stop}
	w.vms[gs.ID] = v
	st, err := steward.New(steward.Options{Settings: ss, PeerToken: w.Plan.PeerToken, Log: w.log, Metrics: v.control, Dialer: v.dialer})
	if err != nil {
		return err
	}
	var ls [5]*door
	for i, address := range []string{gs.GateHTTP, gs.GateAddress, gs.DebugAddress, ss.StewardAddress, ss.DebugAddress} {
		if ls[i], err = openDoor(address); err != nil {
			return err
		}
	}
	v.doors = ls[:]
	g, err := gate.New(gate.Options{Settings: gs, PeerToken: w.Plan.PeerToken, Log: w.log, Metrics: v.metrics, Dialer: v.dialer,
		Listeners: &gate.Listeners{HTTP: ls[0], RPC: ls[1], Debug: ls[2]}})
	if err != nil {
		return err
	}
	v.hurry = g.Hurry
	w.wg.Go(func() { w.ended("steward", gs.ID, st.Run(ctx, steward.Listeners{RPC: ls[3], Debug: ls[4]})) })
	w.wg.Go(func() { w.ended("gate", gs.ID, g.Run(ctx)) })
	return nil
}

func (w *World) ended(kind, id string, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		w.log.Warn("node_ended", "kind", kind, "node", id, "err", err)
	}
}

// await applies the tables and waits until each gate is ready.
func (w *World) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, worldReadyTimeout)
	defer cancel()
	if err := eventually(ctx, "the tables in force", func() error { return w.apply(ctx, config.Snapshot{}, w.Plan.Tables) }); err != nil {
		return err
	}
	for _, g := range w.Plan.Endpoints.Gates {
		err := eventually(ctx, "a ready gate "+g.ID, func() error { return w.serving(ctx, g.HTTP) })
		if err != nil {
			return err
		}
	}
	return nil
}

// serving tells whether a gate has the tables: its list of models is not empty.
func (w *World) serving(ctx context.Context, gate string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, gate+"/readyz", nil)
	if err != nil {
		return err
	}
	resp, err := w.Site.HTTP.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Ibistrail-Revision") == "0" {
		return fmt.Errorf("status %s, revision %s", resp.Status, resp.Header.Get("Ibistrail-Revision"))
	}
	return nil
}

func eventually(ctx context.Context, what string, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		pause(ctx, worldReadyInterval)
		if ctx.Err() != nil {
			return fmt.Errorf("load: %s did not come about: %w", what, err)
		}
	}
}

// apply publishes the change from old to next through the first steward that answers.
func (w *World) apply(ctx context.Context, old config.Snapshot, next config.Tables) error {
	pool := rpc.NewPool(rpc.Options{})
	defer pool.Close()
	change := config.Diff(old, next, "load")
	change.ID = uuid.NewString()
	var last error
	for _, s := range w.Plan.Endpoints.Stewards {
		var res wire.ApplyResult
		params := wire.ApplyParams{OperatorParams: wire.OperatorParams{Token: w.Plan.Endpoints.Tokens.Operator}, Change: change, TimeoutMs: applyTimeoutMs}
		if last = pool.Call(ctx, s.RPC, wire.MethodApply, params, &res); last != nil {
			continue
		}
		if !res.Decision.Accepted {
			return fmt.Errorf("load: change was not accepted: %v %v", res.Decision.Conflicts, res.Decision.Problems)
		}
		return nil
	}
	return last
}

// Close stops all nodes at once and then the stand-ins.
func (w *World) Close() {
	for _, v := range w.vms {
		w.kill(v)
	}
	w.cancel()
	for _, s := range []*deployment.Standins{w.services, w.engines, w.platform} {
		if s != nil {
			s.Close()
		}
	}
	w.Site.HTTP.CloseIdleConnections()
	w.wg.Wait()
}

// kill ends a VM as the loss of its power does: its connections break and it reaches nobody.
func (w *World) kill(v *vm) {
	for _, d := range v.doors {
		d.cut()
	}
	v.dialer.SetUnreachable(w.addresses())
	for _, d := range v.doors {
		d.abort()
	}
	if v.hurry != nil {
		v.hurry()
	}
	v.stop()
}

// addresses returns all that a node may dial.
func (w *World) addresses() []string {
	p := &w.Plan.Platform
	out := []string{p.LogAddress, p.StoreAddress, p.VMListAddress}
	for i := range w.Plan.Gates {
		g := &w.Plan.Gates[i]
		out = append(out, g.GateHTTP, g.GateAddress, g.StewardAddress)
	}
	for _, pool := range w.Plan.Tables.Pools {
		for _, t := range pool.Targets {
			out = append(out, t.Address)
		}
	}
	return out
}
