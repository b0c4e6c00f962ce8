package load

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/config"
)

// Load of the demo.
const (
	demoCallRate      = 6 // requests per second on each route, for each caller
	demoDeadlineMs    = 15_000
	demoMaxTokens     = 48
	demoPromptBytes   = 240
	demoSharedBytes   = 120
	demoSharedPrompts = 4
	demoStreamPercent = 50
	demoChatPercent   = 25
	// demoStepGrace is how long steps in progress may continue after the end of the load.
	demoStepGrace = 30 * time.Second
	// demoMinPublishInterval is the minimum time between two weight versions.
	demoMinPublishInterval = 1200 * time.Millisecond
)

var demoStepShape = StepShape{
	Groups: 8, Samples: 6, MaxTokens: 96, PromptBytes: demoPromptBytes, SharedBytes: demoSharedBytes, StalenessBound: 2, ComputeMs: 4,
}

// DemoOptions configure a Demo.
type DemoOptions struct {
	Site     *Site
	Duration time.Duration
	Seed     int64
	Log      *slog.Logger
	// InitialVersion is the weight version of the engines at the start.
	InitialVersion int64
}

// Demo runs each trainer and caller of a site for o.Duration and returns the checker's tally. Configuration changes and
// faults may be applied to the deployment at the same time.
func Demo(ctx context.Context, o DemoOptions) (*Tally, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Duration+demoStepGrace)
	defer cancel()
	chk := newChecker()
	trainers, err := demoTrainers(o, chk)
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	time.AfterFunc(o.Duration, func() { close(stop) })
	calls := demoCalls(o)
	results := make([][]callResult, len(calls))
	errs := make([]error, len(trainers))
	var wg sync.WaitGroup
	for i, t := range trainers {
		wg.Go(func() { errs[i] = t.run(ctx, stop, chk.started) })
	}
	for i, c := range calls {
		wg.Go(func() { results[i] = o.Site.sendCalls(ctx, c, chk.started) })
	}
	wg.Wait()
	journals, err := o.Site.serviceJournals(ctx)
	if err != nil {
		return nil, err
	}
	for _, r := range results {
		chk.checkCalls(r, journals)
	}
	for _, err := range errs {
		if err != nil {
			chk.recordViolation(&chk.tally.Wrong, "%v", err)
		}
	}
	return chk.finish(), nil
}

func demoTrainers(o DemoOptions, chk *checker) ([]*trainer, error) {
	s := o.Site
	steps := s.findRoute(config.RouteSteps, func(*config.Route) bool { return true })
	if steps == nil {
		return nil, errors.New("load: the tables have no route of kind steps; add one")
	}
	scoring := s.findRoute(config.RouteHTTP, func(r *config.Route) bool { return r.Name == "scoring" })
	if scoring == nil {
		return nil, errors.New("load: the tables have no route named scoring; add one of kind http")
	}
	p := newPublisher(s, s.model(steps), o.InitialVersion)
	var trainers []*trainer
	for i, c := range steps.Callers {
		t := &trainer{
			name: c.Name, site: s, route: steps, scorer: scoring.Name, shape: demoStepShape, seed: o.Seed*100 + int64(i),
			version: p.version.Load, afterStep: func(context.Context) error { return nil }, checker: chk, log: o.Log,
		}
		if i == 0 {
			t.afterStep = p.publishAtMostEvery(demoMinPublishInterval)
		}
		trainers = append(trainers, t)
	}
	return trainers, nil
}

// demoCalls generates the calls on all routes except those that trainers use, one list per route and caller.
func demoCalls(o DemoOptions) [][]*call {
	var calls [][]*call
	for i := range o.Site.Tables.Routes {
		r := &o.Site.Tables.Routes[i]
		if r.Kind == config.RouteSteps || r.Name == "scoring" {
			continue
		}
		for _, c := range r.Callers {
			flow := CallerFlow{
				Route: r.Name, Caller: c.Name, Rate: demoCallRate, DeadlineMs: demoDeadlineMs, MaxTokens: demoMaxTokens,
				PromptBytes: demoPromptBytes, SharedBytes: demoSharedBytes, SharedPrompts: demoSharedPrompts,
				StreamPercent: demoStreamPercent, ChatPercent: demoChatPercent,
			}
			calls = append(calls, flow.generateCalls(o.Site, r, uint64(o.Seed), o.Duration))
		}
	}
	return calls
}

// publishAtMostEvery returns a function that publishes the next version, at most once per interval. If the store is
// unavailable, the trainer continues with its version and the next call tries again.
func (p *publisher) publishAtMostEvery(interval time.Duration) func(context.Context) error {
	var last time.Time
	return func(ctx context.Context) error {
		if time.Since(last) < interval {
			return nil
		}
		if err := p.publish(ctx); err == nil {
			last = time.Now()
		}
		return nil
	}
}
