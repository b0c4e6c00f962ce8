package gate

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// plannedStop is the state of a planned stop, which drains the gate before it exits.
type plannedStop struct {
	started     context.Context // done once the stop has started
	start       context.CancelFunc
	skipLag     chan struct{} // closed to skip the wait for the balancer
	skipLagOnce sync.Once
}

func newPlannedStop() *plannedStop {
	ctx, cancel := context.WithCancel(context.Background())
	return &plannedStop{started: ctx, start: cancel, skipLag: make(chan struct{})}
}

func (s *plannedStop) stopping() bool { return s.started.Err() != nil }

// SkipBalancerLag makes a planned stop skip the wait for the balancer. Requests in flight still complete.
func (g *Gate) SkipBalancerLag() { g.stop.skipLagOnce.Do(func() { close(g.stop.skipLag) }) }

// runPlannedStop performs the planned stop. First readiness fails, while requests are still served until the
// balancer has noticed. Then steps are handed over to peers, and requests in flight complete. All of this is
// bounded by the drain timeout; requests that are still in flight then are aborted.
func (g *Gate) runPlannedStop(srv *http.Server) error {
	g.stop.start()
	s := &g.opts.Settings
	started := time.Now()
	g.log.Info("planned_stop", "balancer_lag_ms", s.BalancerLagMs, "drain_timeout_ms", s.DrainTimeoutMs)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.DrainTimeoutMs)*time.Millisecond)
	defer cancel()
	g.waitBalancerLag(ctx, time.Duration(s.BalancerLagMs)*time.Millisecond)
	drained := make(chan error, 1)
	go func() { drained <- g.rollouts.Drain(ctx) }()
	err := srv.Shutdown(ctx)
	if derr := <-drained; derr != nil {
		g.log.Warn("steps_not_handed_over", "err", derr)
	}
	g.log.Info("planned_stop_done", "seconds", time.Since(started).Seconds(), "cut", err != nil)
	if err != nil {
		g.opts.Metrics.SubMap("stop").Add("cut", 1)
	}
	return nil
}

// waitBalancerLag waits until the balancer has noticed that the gate is not ready.
func (g *Gate) waitBalancerLag(ctx context.Context, lag time.Duration) {
	t := time.NewTimer(lag)
	defer t.Stop()
	select {
	case <-t.C:
	case <-g.stop.skipLag:
		g.log.Info("planned_stop_hurried")
	case <-ctx.Done():
	}
}
