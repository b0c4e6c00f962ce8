package gate

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// stopper holds the state of a planned stop.
type stopper struct {
	began     context.Context
	begin     context.CancelFunc
	hurry     chan struct{}
	hurryOnce sync.Once
}

func newStopper() *stopper {
	ctx, cancel := context.WithCancel(context.Background())
	return &stopper{began: ctx, begin: cancel, hurry: make(chan struct{})}
}

func (s *stopper) stopping() bool { return s.began.Err() != nil }

// Hurry shortens a planned stop: the balancer's lag is not waited out. What is in flight still ends.
func (g *Gate) Hurry() { g.stop.hurryOnce.Do(func() { close(g.stop.hurry) }) }

// planned performs the planned stop: readiness fails first, requests are served while the balancer
// notices, steps go to peers, and what is in flight ends by itself within the drain timeout.
func (g *Gate) planned(srv *http.Server) error {
	g.stop.begin()
	s := &g.opts.Settings
	started := time.Now()
	g.log.Info("planned_stop", "balancer_lag_ms", s.BalancerLagMs, "drain_timeout_ms", s.DrainTimeoutMs)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.DrainTimeoutMs)*time.Millisecond)
	defer cancel()
	g.awaitBalancer(ctx, time.Duration(s.BalancerLagMs)*time.Millisecond)
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

func (g *Gate) awaitBalancer(ctx context.Context, lag time.Duration) {
	t := time.NewTimer(lag)
	defer t.Stop()
	select {
	case <-t.C:
	case <-g.stop.hurry:
		g.log.Info("planned_stop_hurried")
	case <-ctx.Done():
	}
}
