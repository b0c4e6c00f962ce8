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

// kindGateCost is the kind of experiments that compare direct calls to an engine with calls through a gate.
const kindGateCost = "gate-cost"

// variantDirect is the variant that calls the engine directly.
const variantDirect = "direct"

// runGateCost sends the calls of the first flow either directly to an engine or through one gate and measures their
// latency and the processor time of this process.
func runGateCost(ctx context.Context, x *Experiment, v Variant, seed int64, log *slog.Logger) (*Run, error) {
	o := x.options(v)
	d, err := StartLocalDeployment(ctx, o, log)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	sleep(ctx, settleTime)
	if len(x.Callers) == 0 {
		return nil, fmt.Errorf("load: a gate-cost experiment needs a flow of callers")
	}
	flow := x.Callers[0]
	route := d.Site.Tables.Route(flow.Route)
	if route == nil || route.Kind != config.RouteCompletions {
		return nil, fmt.Errorf("load: route %q of a gate-cost experiment must be of kind completions", flow.Route)
	}
	calls := flow.generateCalls(d.Site, route, uint64(seed), x.duration())
	if v.Name == variantDirect {
		d.Site.Endpoints.Gates = []deployment.Gate{{HTTP: "http://" + d.Plan.Endpoints.Engines[0].Address}}
	} else {
		d.Site.Endpoints.Gates = d.Site.Endpoints.Gates[:1]
	}
	cpuBefore := cpuTime()
	latencies, err := d.Site.measureLatencies(ctx, calls, time.Now())
	if err != nil {
		return nil, err
	}
	cpuUsed := cpuTime() - cpuBefore
	return &Run{Variant: v.Name, Seed: seed, Tally: &Tally{}, Metrics: map[string]float64{
		"p50_ms": quantile(latencies, 0.50), "p99_ms": quantile(latencies, 0.99),
		"cpu_us_per_call": float64(cpuUsed.Microseconds()) / float64(max(1, len(latencies))),
	}}, nil
}

// measureLatencies sends the calls at their start times and returns their latencies. It fails if any call fails.
func (s *Site) measureLatencies(ctx context.Context, calls []*call, start time.Time) ([]time.Duration, error) {
	latencies := make([]time.Duration, len(calls))
	errs := make([]error, len(calls))
	var wg sync.WaitGroup
	for i, c := range calls {
		sleep(ctx, time.Until(start.Add(c.start)))
		wg.Go(func() {
			sent := time.Now()
			latencies[i], errs[i] = 0, s.sendCompletion(ctx, c)
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

// sendCompletion sends one completion call, without retries, and reads the whole response.
func (s *Site) sendCompletion(ctx context.Context, c *call) error {
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
		return fmt.Errorf("load: completion call answered with status %s, want 200", resp.Status)
	}
	_, complete, err := readText(resp, c.stream)
	if err == nil && !complete {
		err = fmt.Errorf("load: completion ended before its end marker")
	}
	return err
}

// cpuTime returns the user and system processor time of this process, or 0 if it cannot be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
