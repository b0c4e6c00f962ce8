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

const (
	readyTimeout      = 30 * time.Second
	readyPollInterval = 20 * time.Millisecond
	applyTimeoutMs    = 5000
)

// LocalDeployment is a complete deployment in this process: real gates and stewards with simulated engines, services
// and platform. All of them communicate over loopback TCP only.
type LocalDeployment struct {
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
	gate           settings.Gate
	dialer         *process.Dialer
	gateMetrics    *process.Metrics
	stewardMetrics *process.Metrics
	listeners      []*abortableListener
	stop           context.CancelFunc
	// shortenStop makes a planned shutdown of the gate skip the wait for the load balancer; nil until the gate is created.
	shortenStop func()
}

// StartLocalDeployment plans and starts a deployment, applies its tables and waits up to 30 s until each gate is ready.
func StartLocalDeployment(ctx context.Context, o deployment.Options, log *slog.Logger) (*LocalDeployment, error) {
	plan, err := deployment.Plan(o)
	if err != nil {
		return nil, err
	}
	return startPlan(ctx, plan, log)
}

func startPlan(ctx context.Context, plan *deployment.Deployment, log *slog.Logger) (*LocalDeployment, error) {
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d := &LocalDeployment{Plan: plan, Site: NewSite(plan.Endpoints, plan.Tables), log: log, vms: map[string]*vm{}, cancel: cancel}
	if err := d.start(run); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.awaitReady(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *LocalDeployment) start(ctx context.Context) error {
	var errs [3]error
	d.platform, errs[0] = deployment.StartPlatform(d.Plan.Platform)
	d.engines, errs[1] = deployment.StartEngines(d.Plan.Engines)
	d.services, errs[2] = deployment.StartServices(d.Plan.Services)
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	for i := range d.Plan.Gates {
		if err := d.startVM(ctx, d.Plan.Gates[i], d.Plan.Stewards[i]); err != nil {
			return err
		}
	}
	return nil
}

func (d *LocalDeployment) startVM(ctx context.Context, gs settings.Gate, ss settings.Steward) error {
	ctx, stop := context.WithCancel(ctx)
	v := &vm{gate: gs, dialer: process.NewDialer(nil), gateMetrics: process.NewMetrics(), stewardMetrics: process.NewMetrics(), stop: stop}
	d.vms[gs.ID] = v
	st, err := steward.New(steward.Options{Settings: ss, PeerToken: d.Plan.PeerToken, Log: d.log, Metrics: v.stewardMetrics, Dialer: v.dialer})
	if err != nil {
		return err
	}
	var listeners [5]*abortableListener
	for i, address := range []string{gs.GateHTTP, gs.GateAddress, gs.DebugAddress, ss.StewardAddress, ss.DebugAddress} {
		if listeners[i], err = listenAbortable(address); err != nil {
			return err
		}
	}
	v.listeners = listeners[:]
	g, err := gate.New(gate.Options{Settings: gs, PeerToken: d.Plan.PeerToken, Log: d.log, Metrics: v.gateMetrics, Dialer: v.dialer,
		Listeners: &gate.Listeners{HTTP: listeners[0], RPC: listeners[1], Debug: listeners[2]}})
	if err != nil {
		return err
	}
	v.shortenStop = g.SkipBalancerLag
	d.wg.Go(func() {
		d.logNodeExit("steward", gs.ID, st.Run(ctx, steward.Listeners{RPC: listeners[3], Debug: listeners[4]}))
	})
	d.wg.Go(func() { d.logNodeExit("gate", gs.ID, g.Run(ctx)) })
	return nil
}

func (d *LocalDeployment) logNodeExit(kind, id string, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		d.log.Warn("node_ended", "kind", kind, "node", id, "err", err)
	}
}

// awaitReady applies the tables and waits until each gate is ready, at most readyTimeout in total.
func (d *LocalDeployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := pollUntilDone(ctx, "the tables to be applied", func() error { return d.apply(ctx, config.Snapshot{}, d.Plan.Tables) }); err != nil {
		return err
	}
	for _, g := range d.Plan.Endpoints.Gates {
		err := pollUntilDone(ctx, "readiness of gate "+g.ID, func() error { return d.checkReady(ctx, g.HTTP) })
		if err != nil {
			return err
		}
	}
	return nil
}

// checkReady returns an error unless the gate is ready and has received the tables (its revision is not 0).
func (d *LocalDeployment) checkReady(ctx context.Context, gate string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, gate+"/readyz", nil)
	if err != nil {
		return err
	}
	resp, err := d.Site.HTTP.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Ibistrail-Revision") == "0" {
		return fmt.Errorf("gate answered /readyz with status %s and revision %s", resp.Status, resp.Header.Get("Ibistrail-Revision"))
	}
	return nil
}

// pollUntilDone calls f until it succeeds or ctx ends.
func pollUntilDone(ctx context.Context, what string, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		sleep(ctx, readyPollInterval)
		if ctx.Err() != nil {
			return fmt.Errorf("load: timed out waiting for %s: %w", what, err)
		}
	}
}

// apply publishes the difference between old and next through the first steward that answers.
func (d *LocalDeployment) apply(ctx context.Context, old config.Snapshot, next config.Tables) error {
	pool := rpc.NewPool(rpc.Options{})
	defer pool.Close()
	change := config.Diff(old, next, "load")
	change.ID = uuid.NewString()
	var last error
	for _, s := range d.Plan.Endpoints.Stewards {
		var res wire.ApplyResult
		params := wire.ApplyParams{OperatorParams: wire.OperatorParams{Token: d.Plan.Endpoints.Tokens.Operator}, Change: change, TimeoutMs: applyTimeoutMs}
		if last = pool.Call(ctx, s.RPC, wire.MethodApply, params, &res); last != nil {
			continue
		}
		if !res.Decision.Accepted {
			return fmt.Errorf("load: change was rejected: conflicts %v, problems %v", res.Decision.Conflicts, res.Decision.Problems)
		}
		return nil
	}
	return last
}

// Close stops all gates and stewards without draining, then the stand-ins, and waits until they have ended.
func (d *LocalDeployment) Close() {
	for _, v := range d.vms {
		d.powerOff(v)
	}
	d.cancel()
	for _, s := range []*deployment.Standins{d.services, d.engines, d.platform} {
		if s != nil {
			s.Close()
		}
	}
	d.Site.HTTP.CloseIdleConnections()
	d.wg.Wait()
}

// powerOff stops a VM abruptly, as a power loss does: its connections break and it can reach no other node.
func (d *LocalDeployment) powerOff(v *vm) {
	for _, ln := range v.listeners {
		ln.breakConns()
	}
	v.dialer.SetUnreachable(d.dialableAddresses())
	for _, ln := range v.listeners {
		ln.abort()
	}
	if v.shortenStop != nil {
		v.shortenStop()
	}
	v.stop()
}

// dialableAddresses returns all addresses that a node may dial.
func (d *LocalDeployment) dialableAddresses() []string {
	p := &d.Plan.Platform
	out := []string{p.LogAddress, p.StoreAddress, p.VMListAddress}
	for i := range d.Plan.Gates {
		g := &d.Plan.Gates[i]
		out = append(out, g.GateHTTP, g.GateAddress, g.StewardAddress)
	}
	for _, pool := range d.Plan.Tables.Pools {
		for _, t := range pool.Targets {
			out = append(out, t.Address)
		}
	}
	return out
}
