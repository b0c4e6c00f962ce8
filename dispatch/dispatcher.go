package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/explain"
	"github.com/ibistrail/ibistrail/httpcheck"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/quarantine"
	"github.com/ibistrail/ibistrail/retry"
	"github.com/ibistrail/ibistrail/settings"
	"github.com/ibistrail/ibistrail/wire"
)

// policyOff is the value that switches a decision off in settings.Policy.
const policyOff = "off"

// Bounds of a dispatcher.
const (
	// tickInterval is the period at which queued requests are checked, in addition to events.
	tickInterval = 20 * time.Millisecond
	// drainSignalTTL is the time after which a target's report that it is draining expires unless renewed.
	drainSignalTTL        = 2 * time.Minute
	maxIdleConnsPerTarget = 64
	idleConnTimeout       = 60 * time.Second
)

// Completer runs completions; Dispatcher implements it.
type Completer interface {
	// Complete runs c and returns the complete answer, or an error whose Outcome reports whether c was run.
	Complete(ctx context.Context, c Call) (*Result, *api.Error)
}

// Options configure a Dispatcher.
type Options struct {
	GateID           string
	AvailabilityZone string
	Policy           settings.Policy
	// Dial opens connections to targets.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	Log  *slog.Logger
	// Metrics receives the counters of requests, refusals, retries, tokens and target deaths.
	Metrics *process.Metrics
	// Explain records the decisions on each request; nil disables recording.
	Explain *explain.Recorder
	// ReportToSteward sends observations of targets to the steward; it must not block.
	ReportToSteward func(wire.ReportParams)
	// NotifyPeers sends suspects and quarantines to the peer gates; nil sends nothing.
	NotifyPeers func(ctx context.Context, n wire.QuarantineNotice)
	// RequestTrial asks the pool's arbiter to begin or end a trial, which is a suspect's run alone on a target.
	// An error means that no arbiter answered. nil makes this gate the arbiter.
	RequestTrial func(ctx context.Context, p wire.TrialParams) (granted bool, err error)
	Now          func() time.Time
	// Seed seeds the random number generators.
	Seed uint64
}

// Dispatcher runs requests on the targets of pools.
type Dispatcher struct {
	opts    Options
	client  *http.Client
	metrics metrics
	// attemptIDNonce makes attempt IDs unique across dispatchers, attemptSeq within this one.
	attemptIDNonce string
	attemptSeq     atomic.Uint64

	mu            sync.Mutex
	rand          *rand.Rand
	tables        *config.Tables
	pools         map[string]*pool
	budgets       map[string]*retry.Budget
	bootByAddress map[string]string

	quarantineMu  sync.Mutex
	tracker       *quarantine.Tracker
	arbiter       *quarantine.Arbiter
	queuedNotices chan wire.QuarantineNotice
}

// New returns a dispatcher that refuses requests until SetState provides a configuration.
func New(opts Options) *Dispatcher {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	if opts.Metrics == nil {
		opts.Metrics = process.NewMetrics()
	}
	if opts.Dial == nil {
		opts.Dial = process.NewDialer(nil).Dial
	}
	if opts.ReportToSteward == nil {
		opts.ReportToSteward = func(wire.ReportParams) {}
	}
	d := &Dispatcher{
		opts: opts, attemptIDNonce: uuid.NewString()[:8], client: newHTTPClient(opts.Dial), metrics: newMetrics(opts.Metrics),
		rand: rand.New(rand.NewPCG(opts.Seed, 2)), pools: map[string]*pool{}, budgets: map[string]*retry.Budget{},
		bootByAddress: map[string]string{}, tracker: quarantine.NewTracker(), arbiter: quarantine.NewArbiter(), queuedNotices: make(chan wire.QuarantineNotice, maxQueuedNotices),
	}
	if d.opts.RequestTrial == nil {
		d.opts.RequestTrial = func(_ context.Context, p wire.TrialParams) (bool, error) { return d.Arbitrate(p), nil }
	}
	return d
}

// newHTTPClient returns the client for repeatable requests. It doesn't follow redirects.
func newHTTPClient(dial func(ctx context.Context, address string) (net.Conn, error)) *http.Client {
	return &http.Client{
		Transport: httpcheck.NewTransport(&http.Transport{
			DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
			MaxIdleConnsPerHost: maxIdleConnsPerTarget,
			IdleConnTimeout:     idleConnTimeout,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Run polls the load of engines, sends notices and expires queued requests until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer d.client.CloseIdleConnections()
	wg.Go(func() { d.pollLoads(ctx) })
	wg.Go(func() { d.sendNotices(ctx) })
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			for _, p := range d.allPools() {
				p.tick()
			}
		}
	}
}

// SetState applies the tables and the rest of the steward's state. Requests queued for a removed pool are refused.
func (d *Dispatcher) SetState(t *config.Tables, s *wire.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tables = t
	for i := range t.Pools {
		row := &t.Pools[i]
		p := d.pools[row.Name]
		if p == nil {
			p = newPool(row.Name, d.opts, d.rand.Uint64())
			d.pools[row.Name] = p
		}
		p.update(row, s)
	}
	for name, p := range d.pools {
		if t.Pool(name) == nil {
			p.close()
			delete(d.pools, name)
		}
	}
	for i := range t.Routes {
		d.budget(&t.Routes[i]).SetPercent(t.Routes[i].RetryBudgetPercent)
	}
	for name := range d.budgets {
		if t.Route(name) == nil {
			delete(d.budgets, name)
		}
	}
	d.applyQuarantines(s.Quarantined)
}

// budget returns the route's retry budget and creates it on first use. The caller holds the lock.
func (d *Dispatcher) budget(row *config.Route) *retry.Budget {
	b := d.budgets[row.Name]
	if b == nil {
		b = retry.NewBudget(row.RetryBudgetPercent)
		d.budgets[row.Name] = b
	}
	return b
}

// lookUpRoute returns the row of the route and the named pool, or the route's own pool if poolName is empty.
// It also counts a request towards the route's retry budget.
func (d *Dispatcher) lookUpRoute(route, poolName string) (*config.Route, *pool, *api.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.tables == nil {
		return nil, nil, errNotReady()
	}
	row := d.tables.Route(route)
	if row == nil {
		return nil, nil, errNoRoute(route)
	}
	if poolName == "" {
		poolName = row.Pool
	}
	p := d.pools[poolName]
	if p == nil {
		return nil, nil, errNoRoute(route)
	}
	d.budget(row).AddRequest(d.opts.Now())
	return row, p, nil
}

// spendRetry takes one retry from the route's budget, unless budgetExempt is true, and returns the delay before
// the retry. It returns false if no further attempt is allowed.
func (d *Dispatcher) spendRetry(row *config.Route, deadline time.Time, attempt int, budgetExempt bool) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	if attempt >= retry.MaxAttempts {
		return 0, false
	}
	if !budgetExempt && !d.budget(row).Spend(now) {
		d.metrics.retries.Add("budget_spent", 1)
		return 0, false
	}
	return retry.Backoff(now, deadline, attempt, d.rand.Float64())
}

func (d *Dispatcher) allPools() []*pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*pool, 0, len(d.pools))
	for _, p := range d.pools {
		out = append(out, p)
	}
	return out
}

// knownBoot returns the last known boot ID of the engine at address; empty while unknown.
func (d *Dispatcher) knownBoot(address string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bootByAddress[address]
}

func (d *Dispatcher) setBoot(address, boot string) {
	if boot == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bootByAddress[address] = boot
}

// recordDrainSignal records whether a target reports itself as draining, and reports a new drain to the steward.
func (d *Dispatcher) recordDrainSignal(p *pool, address string, draining bool) {
	if p.setDrainSignal(address, draining) {
		d.opts.Log.Info("target_draining", "pool", p.name, "target", address)
		d.opts.ReportToSteward(wire.ReportParams{Leaving: []string{address}})
	}
}

// State is the state of a Dispatcher as shown by /debug/state.
type State struct {
	Pools      map[string]PoolState `json:"pools"`
	Budgets    map[string]float64   `json:"retry_budgets"`
	Quarantine quarantine.State     `json:"quarantine"`
}

// State returns a snapshot for /debug/state.
func (d *Dispatcher) State() State {
	s := State{Pools: map[string]PoolState{}, Budgets: map[string]float64{}}
	for _, p := range d.allPools() {
		s.Pools[p.name] = p.state()
	}
	d.mu.Lock()
	for name, b := range d.budgets {
		s.Budgets[name] = b.Tokens()
	}
	d.mu.Unlock()
	d.quarantineMu.Lock()
	s.Quarantine = d.tracker.State()
	d.quarantineMu.Unlock()
	return s
}
