package load

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/fake/engine"
)

// settleTime is the time between the start of a deployment and the load, so that engines' load reports have arrived.
const settleTime = 300 * time.Millisecond

// Run is the result of one variant with one seed.
type Run struct {
	Variant string             `json:"variant"`
	Seed    int64              `json:"seed"`
	Metrics map[string]float64 `json:"metrics"`
	Tally   *Tally             `json:"tally"`
	Steps   []StepRecord       `json:"steps,omitempty"`
	Bins    []Bin              `json:"bins,omitempty"`
}

// Result is an experiment with its runs.
type Result struct {
	Experiment *Experiment `json:"experiment"`
	Runs       []Run       `json:"runs"`
}

// RunExperiment runs all variants for each seed. It goes through the variants of a seed before the next seed, so
// that other activity on the machine affects all variants alike. On an error it returns the runs made so far.
func RunExperiment(ctx context.Context, x *Experiment, log *slog.Logger) (*Result, error) {
	res := &Result{Experiment: x}
	for _, seed := range x.Seeds {
		for _, v := range x.Variants {
			runOnce := runOnDeployment
			if x.Kind == kindGateCost {
				runOnce = runGateCost
			}
			r, err := runOnce(ctx, x, v, seed, log)
			if err != nil {
				return res, fmt.Errorf("experiment %s, variant %s, seed %d: %w", x.Name, v.Name, seed, err)
			}
			res.Runs = append(res.Runs, *r)
			if ctx.Err() != nil {
				return res, ctx.Err()
			}
		}
	}
	return res, nil
}

// session is the state of one run of a deployment under load.
type session struct {
	experiment   *Experiment
	deployment   *LocalDeployment
	seed         int64
	checker      *checker
	trainers     []*trainer
	calls        []*call
	results      []callResult
	publishers   map[string]*publisher
	start        time.Time
	totalsBefore engine.Totals
}

func runOnDeployment(ctx context.Context, x *Experiment, v Variant, seed int64, log *slog.Logger) (*Run, error) {
	d, err := StartLocalDeployment(ctx, x.options(v), log)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	sleep(ctx, settleTime)
	s := &session{experiment: x, deployment: d, seed: seed, checker: newChecker(), publishers: map[string]*publisher{}}
	if err := s.generateLoad(log); err != nil {
		return nil, err
	}
	s.totalsBefore = d.engineTotals()
	if err := s.runLoad(ctx); err != nil {
		return nil, err
	}
	if err := s.checkAnswers(ctx); err != nil {
		return nil, err
	}
	r := &Run{Variant: v.Name, Seed: seed, Metrics: s.metrics(), Tally: s.checker.finish(), Bins: s.bins()}
	for _, t := range s.trainers {
		r.Steps = append(r.Steps, t.steps...)
	}
	return r, nil
}

// generateLoad generates the calls and trainers from the seed.
func (s *session) generateLoad(log *slog.Logger) error {
	site := s.deployment.Site
	for i, flow := range s.experiment.Callers {
		route := site.Tables.Route(flow.Route)
		if route == nil {
			return fmt.Errorf("load: route %q is not in the tables of preset %s", flow.Route, s.experiment.Preset)
		}
		s.calls = append(s.calls, flow.generateCalls(site, route, uint64(s.seed)*100+uint64(i), s.experiment.duration())...)
	}
	slices.SortStableFunc(s.calls, func(a, b *call) int { return cmp.Compare(a.start, b.start) })
	for i, cfg := range s.experiment.Trainers {
		route := site.Tables.Route(cfg.Route)
		if route == nil {
			return fmt.Errorf("load: route %q is not in the tables of preset %s", cfg.Route, s.experiment.Preset)
		}
		p := s.publisherOf(site.model(route))
		t := &trainer{
			name: cfg.Caller, site: site, route: route, scorer: cfg.Scorer, shape: cfg.StepShape, seed: s.seed*100 + int64(i),
			version: p.version.Load, afterStep: func(context.Context) error { return nil }, checker: s.checker, log: log,
		}
		if cfg.Publishes {
			t.afterStep = p.publish
		}
		s.trainers = append(s.trainers, t)
	}
	return nil
}

func (s *session) publisherOf(model string) *publisher {
	if s.publishers[model] == nil {
		s.publishers[model] = newPublisher(s.deployment.Site, model, 1)
	}
	return s.publishers[model]
}

// runLoad runs callers, trainers, weight publication and faults for the duration of the experiment. A step that is
// incomplete at the end does not count.
func (s *session) runLoad(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.experiment.duration())
	defer cancel()
	s.start = time.Now()
	var wg sync.WaitGroup
	var faultErr error
	wg.Go(func() { faultErr = s.deployment.injectFaults(ctx, s.experiment.Faults, s.start) })
	for _, schedule := range s.experiment.Weights {
		wg.Go(func() {
			s.publisherOf(schedule.Model).publishPeriodically(ctx, time.Duration(schedule.EveryMs)*time.Millisecond)
		})
	}
	for _, t := range s.trainers {
		wg.Go(func() { _ = t.run(ctx, nil, s.start) }) // ends with ctx in the middle of a step
	}
	s.sendCalls(ctx)
	wg.Wait()
	return faultErr
}

// sendCalls sends the calls. Calls in progress at the end of the experiment may use the rest of their deadline.
func (s *session) sendCalls(ctx context.Context) {
	s.results = s.deployment.Site.sendCalls(context.WithoutCancel(ctx), s.calls, s.start)
	<-ctx.Done()
}

// checkAnswers records violated guarantees among the callers' answers. Late and rejected calls are not violations
// in an experiment: they are what it measures.
func (s *session) checkAnswers(ctx context.Context) error {
	journals, err := s.deployment.Site.serviceJournals(ctx)
	if err != nil {
		journals = nil // a service that is down at the end of the run does not return its journal
	}
	answered := make([]callResult, 0, len(s.results))
	for _, r := range s.results {
		if r.outcome == outcomeAnswered || r.outcome == outcomeCut {
			answered = append(answered, r)
		}
	}
	s.checker.checkCalls(answered, journals)
	return nil
}

// publishPeriodically publishes one version per period until ctx ends.
func (p *publisher) publishPeriodically(ctx context.Context, period time.Duration) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			_ = p.publish(ctx) // if the store is unavailable, the next period tries again
		case <-ctx.Done():
			return
		}
	}
}

// engineTotals returns the sum of the engines' token counts.
func (d *LocalDeployment) engineTotals() engine.Totals {
	var sum engine.Totals
	for _, e := range d.engines.Engines {
		t := e.Journal().Totals
		sum.PrefillTokens += t.PrefillTokens
		sum.CachedTokens += t.CachedTokens
		sum.DecodeTokens += t.DecodeTokens
		sum.AbortedTokens += t.AbortedTokens
	}
	return sum
}
