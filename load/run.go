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

// settleTime is how long a world runs before the load, so that load reports have arrived.
const settleTime = 300 * time.Millisecond

// Run is one variant under one seed.
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

// RunExperiment makes all runs of an experiment: the variants one after the other under each seed,
// so that what else the machine does falls on all of them alike.
func RunExperiment(ctx context.Context, x *Experiment, log *slog.Logger) (*Result, error) {
	res := &Result{Experiment: x}
	for _, seed := range x.Seeds {
		for _, v := range x.Variants {
			one := runWorld
			if x.Kind == kindGateCost {
				one = runGateCost
			}
			r, err := one(ctx, x, v, seed, log)
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

// session is one run of a world under load.
type session struct {
	x        *Experiment
	w        *World
	seed     int64
	ledger   *ledger
	trainers []*trainer
	calls    []*call
	results  []callResult
	models   map[string]*publisher
	began    time.Time
	before   engine.Totals
}

func runWorld(ctx context.Context, x *Experiment, v Variant, seed int64, log *slog.Logger) (*Run, error) {
	w, err := StartWorld(ctx, x.options(v), log)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	pause(ctx, settleTime)
	s := &session{x: x, w: w, seed: seed, ledger: newLedger(), models: map[string]*publisher{}}
	if err := s.plan(log); err != nil {
		return nil, err
	}
	s.before = w.totals()
	if err := s.load(ctx); err != nil {
		return nil, err
	}
	if err := s.check(ctx); err != nil {
		return nil, err
	}
	r := &Run{Variant: v.Name, Seed: seed, Metrics: s.metrics(), Tally: s.ledger.close(), Bins: s.bins()}
	for _, t := range s.trainers {
		r.Steps = append(r.Steps, t.steps...)
	}
	return r, nil
}

// plan fixes arrivals and trainers from the seed.
func (s *session) plan(log *slog.Logger) error {
	site := s.w.Site
	for i, m := range s.x.Callers {
		route := site.Tables.Route(m.Route)
		if route == nil {
			return fmt.Errorf("load: route %q is not in the tables of preset %s", m.Route, s.x.Preset)
		}
		s.calls = append(s.calls, m.arrivals(site, route, uint64(s.seed)*100+uint64(i), s.x.length())...)
	}
	slices.SortStableFunc(s.calls, func(a, b *call) int { return cmp.Compare(a.at, b.at) })
	for i, m := range s.x.Trainers {
		route := site.Tables.Route(m.Route)
		if route == nil {
			return fmt.Errorf("load: route %q is not in the tables of preset %s", m.Route, s.x.Preset)
		}
		p := s.publisher(site.model(route))
		t := &trainer{
			name: m.Caller, site: site, route: route, scorer: m.Scorer, shape: m.StepShape, seed: s.seed*100 + int64(i),
			version: p.version.Load, trained: func(context.Context) error { return nil }, ledger: s.ledger, log: log,
		}
		if m.Publishes {
			t.trained = p.publish
		}
		s.trainers = append(s.trainers, t)
	}
	return nil
}

func (s *session) publisher(model string) *publisher {
	if s.models[model] == nil {
		s.models[model] = newPublisher(s.w.Site, model, 1)
	}
	return s.models[model]
}

// load runs callers, trainers, weights and faults for the length of the experiment. A step that is
// not whole at its end is left out.
func (s *session) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.x.length())
	defer cancel()
	s.began = time.Now()
	var wg sync.WaitGroup
	var faultErr error
	wg.Go(func() { faultErr = s.w.breakThings(ctx, s.x.Faults, s.began) })
	for _, m := range s.x.Weights {
		wg.Go(func() { s.publisher(m.Model).follow(ctx, time.Duration(m.EveryMs)*time.Millisecond) })
	}
	for _, t := range s.trainers {
		wg.Go(func() { _ = t.run(ctx, nil, s.began) }) // ends with ctx in the middle of a step
	}
	s.play(ctx)
	wg.Wait()
	return faultErr
}

// play makes the calls; those that are open at the end may use their deadline.
func (s *session) play(ctx context.Context) {
	s.results = s.w.Site.play(context.WithoutCancel(ctx), s.calls, s.began)
	<-ctx.Done()
}

// check counts broken promises among the callers' answers. In an experiment late and refused calls
// are what is measured, so that only answers are judged.
func (s *session) check(ctx context.Context) error {
	journals, err := s.w.Site.journals(ctx)
	if err != nil {
		journals = nil // a service that is down at the end keeps its journal
	}
	answered := make([]callResult, 0, len(s.results))
	for _, r := range s.results {
		if r.ending == endAnswered || r.ending == endCut {
			answered = append(answered, r)
		}
	}
	s.ledger.checkCalls(answered, journals)
	return nil
}

// follow publishes a version each period until ctx ends.
func (p *publisher) follow(ctx context.Context, period time.Duration) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			_ = p.publish(ctx) // a store that is out gets the next one
		case <-ctx.Done():
			return
		}
	}
}

// totals adds up what the engines have computed.
func (w *World) totals() engine.Totals {
	var sum engine.Totals
	for _, e := range w.engines.Engines {
		t := e.Journal().Totals
		sum.PrefillTokens += t.PrefillTokens
		sum.CachedTokens += t.CachedTokens
		sum.DecodeTokens += t.DecodeTokens
		sum.AbortedTokens += t.AbortedTokens
	}
	return sum
}
