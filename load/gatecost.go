package load

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fake/deployment"
)

// kindGateCost compares calls straight to an engine with calls through a gate.
const kindGateCost = "gate-cost"

// variantDirect is the variant without a gate.
const variantDirect = "direct"

// runGateCost makes the calls of the first flow, one after another on a few connections, straight or through a gate.
func runGateCost(ctx context.Context, x *Experiment, v Variant, seed int64, log *slog.Logger) (*Run, error) {
	o := x.options(v)
	w, err := StartWorld(ctx, o, log)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	pause(ctx, settleTime)
	if len(x.Callers) == 0 {
		return nil, fmt.Errorf("load: a gate-cost experiment needs a flow of callers")
	}
	m := x.Callers[0]
	route := w.Site.Tables.Route(m.Route)
	if route == nil || route.Kind != config.RouteCompletions {
		return nil, fmt.Errorf("load: route %q of a gate-cost experiment must be of kind completions", m.Route)
	}
	calls := m.arrivals(w.Site, route, uint64(seed), x.length())
	if v.Name == variantDirect {
		w.Site.Endpoints.Gates = []deployment.Gate{{HTTP: "http://" + w.Plan.Endpoints.Engines[0].Address}}
	} else {
		w.Site.Endpoints.Gates = w.Site.Endpoints.Gates[:1]
	}
	cpu := cpuTime()
	latencies, err := w.Site.measure(ctx, calls, time.Now())
	if err != nil {
		return nil, err
	}
	used := cpuTime() - cpu
	return &Run{Variant: v.Name, Seed: seed, Tally: &Tally{}, Metrics: map[string]float64{
		"p50_ms": quantile(latencies, 0.50), "p99_ms": quantile(latencies, 0.99),
		"cpu_us_per_call": float64(used.Microseconds()) / float64(max(1, len(latencies))),
	}}, nil
}

// measure makes the calls at their times and returns their latencies; each must be answered.
func (s *Site) measure(ctx context.Context, calls []*call, began time.Time) ([]time.Duration, error) {
	latencies := make([]time.Duration, len(calls))
	errs := make([]error, len(calls))
	var wg sync.WaitGroup
	for i, c := range calls {
		pause(ctx, time.Until(began.Add(c.at)))
		wg.Go(func() {
			sent := time.Now()
			latencies[i], errs[i] = 0, s.plain(ctx, c)
			latencies[i] = time.Since(sent)
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return latencies, nil
}

// plain makes one completion call and reads its answer.
func (s *Site) plain(ctx context.Context, c *call) error {
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	req, err := s.request(ctx, c, s.Endpoints.Gates[0].HTTP)
	if err != nil {
		return err
	}
	resp, err := s.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("load: status %s", resp.Status)
	}
	_, whole, err := readText(resp, c.stream)
	if err == nil && !whole {
		err = fmt.Errorf("load: answer is not whole")
	}
	return err
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
