package load

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/config"
)

// Sizes of the demo.
const (
	demoCallRate      = 6 // requests per second on each route, for each caller
	demoDeadlineMs    = 15_000
	demoMaxTokens     = 48
	demoPromptBytes   = 240
	demoSharedBytes   = 120
	demoSharedPrompts = 4
	demoStreamPercent = 50
	demoChatPercent   = 25
	// demoFinish is how long a step that has begun may take after the callers have stopped.
	demoFinish = 30 * time.Second
	// demoPublishEvery is the least time between two weight versions.
	demoPublishEvery = 1200 * time.Millisecond
)

var demoShape = StepShape{
	Groups: 8, Samples: 6, MaxTokens: 96, PromptBytes: demoPromptBytes, SharedBytes: demoSharedBytes, StalenessBound: 2, ComputeMs: 4,
}

// DemoOptions configure a Demo.
type DemoOptions struct {
	Site   *Site
	Length time.Duration
	Seed   int64
	Log    *slog.Logger
	// Version is the weight version that the engines start with.
	Version int64
}

// Demo runs each trainer and caller of a site for a time, while others change and kill what they
// like, and returns what the checker has counted.
func Demo(ctx context.Context, o DemoOptions) (*Tally, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Length+demoFinish)
	defer cancel()
	l := newLedger()
	trainers, err := demoTrainers(o, l)
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	time.AfterFunc(o.Length, func() { close(stop) })
	calls := demoCalls(o)
	results := make([][]callResult, len(calls))
	errs := make([]error, len(trainers))
	var wg sync.WaitGroup
	for i, t := range trainers {
		wg.Go(func() { errs[i] = t.run(ctx, stop, l.started) })
	}
	for i, c := range calls {
		wg.Go(func() { results[i] = o.Site.play(ctx, c, l.started) })
	}
	wg.Wait()
	journals, err := o.Site.journals(ctx)
	if err != nil {
		return nil, err
	}
	for _, r := range results {
		l.checkCalls(r, journals)
	}
	for _, err := range errs {
		if err != nil {
			l.problem(&l.tally.Wrong, "%v", err)
		}
	}
	return l.close(), nil
}

func demoTrainers(o DemoOptions, l *ledger) ([]*trainer, error) {
	s := o.Site
	steps := s.routeOf(config.RouteSteps, func(*config.Route) bool { return true })
	if steps == nil {
		return nil, errors.New("load: the tables have no route of kind steps; add one")
	}
	scoring := s.routeOf(config.RouteHTTP, func(r *config.Route) bool { return r.Name == "scoring" })
	if scoring == nil {
		return nil, errors.New("load: the tables have no route named scoring; add one of kind http")
	}
	p := newPublisher(s, s.model(steps), o.Version)
	var trainers []*trainer
	for i, c := range steps.Callers {
		t := &trainer{
			name: c.Name, site: s, route: steps, scorer: scoring.Name, shape: demoShape, seed: o.Seed*100 + int64(i),
			version: p.version.Load, trained: func(context.Context) error { return nil }, ledger: l, log: o.Log,
		}
		if i == 0 {
			t.trained = p.every(demoPublishEvery)
		}
		trainers = append(trainers, t)
	}
	return trainers, nil
}

// demoCalls plans the callers of each route but those for trainers.
func demoCalls(o DemoOptions) [][]*call {
	var calls [][]*call
	for i := range o.Site.Tables.Routes {
		r := &o.Site.Tables.Routes[i]
		if r.Kind == config.RouteSteps || r.Name == "scoring" {
			continue
		}
		for _, c := range r.Callers {
			m := CallerMix{
				Route: r.Name, Caller: c.Name, Rate: demoCallRate, DeadlineMs: demoDeadlineMs, MaxTokens: demoMaxTokens,
				PromptBytes: demoPromptBytes, SharedBytes: demoSharedBytes, SharedPrompts: demoSharedPrompts,
				StreamPercent: demoStreamPercent, ChatPercent: demoChatPercent,
			}
			calls = append(calls, m.arrivals(o.Site, r, uint64(o.Seed), o.Length))
		}
	}
	return calls
}

// every returns a function that publishes, at most once in d. While the store is out the trainer
// goes on with its version and publishes after a later step.
func (p *publisher) every(d time.Duration) func(context.Context) error {
	var last time.Time
	return func(ctx context.Context) error {
		if time.Since(last) < d {
			return nil
		}
		if err := p.publish(ctx); err == nil {
			last = time.Now()
		}
		return nil
	}
}
