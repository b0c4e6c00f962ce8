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
	// tickInterval is how often waiting requests are looked at besides events.
	tickInterval = 20 * time.Millisecond
	// drainSignalTTL is how long a target's own word that it is draining holds without being renewed.
	drainSignalTTL = 2 * time.Minute
	// maxIdleConnsPerTarget bounds the idle connections to a target.
	maxIdleConnsPerTarget = 64
	idleConnTimeout       = 60 * time.Second
)

// Completer runs completions; Dispatcher implements it.
type Completer interface {
	// Complete runs c and returns its whole answer, or an error whose Outcome tells what became of it.
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
	// Metrics gets the counters of requests, refusals, retries and wasted tokens.
	Metrics *process.Metrics
	// Explain records the decisions on each request; nil records nothing.
	Explain *explain.Recorder
	// Report tells the steward what was seen of targets; it must not block.
	Report func(wire.ReportParams)
	// Notify tells peers of suspects and quarantines before a final answer; nil tells nobody.
	Notify func(ctx context.Context, n wire.QuarantineNotice)
	// Trial asks the pool's arbiter to begin or end a suspect's run alone; an error means that no
	// arbiter answered. nil means that this gate is the only one.
	Trial func(ctx context.Context, p wire.TrialParams) (granted bool, err error)
	Now   func() time.Time
	// Seed starts the random choices.
	Seed uint64
}

// Dispatcher runs requests on the targets of pools.
type Dispatcher struct {
	opts    Options
	client  *http.Client
	metrics metrics
	// attemptIDNonce and attempts make attempt IDs.
	attemptIDNonce string
	attemptSeq     atomic.Uint64

	mu            sync.Mutex
	rand          *rand.Rand
	tables        *config.Tables
	pools         map[string]*pool
	budgets       map[string]*retry.Budget
	bootByAddress map[string]string

	quarantineMu  sync.Mutex
	book          *quarantine.Book
	arbiter       *quarantine.Arbiter
	queuedNotices chan wire.QuarantineNotice
}

// New returns a dispatcher without a configuration.
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
	if opts.Report == nil {
		opts.Report = func(wire.ReportParams) {}
	}
	d := &Dispatcher{
		opts: opts, attemptIDNonce: uuid.NewString()[:8], client: newHTTPClient(opts.Dial), metrics: newMetrics(opts.Metrics),
		rand: rand.New(rand.NewPCG(opts.Seed, 2)), pools: map[string]*pool{}, budgets: map[string]*retry.Budget{},
		bootByAddress: map[string]string{}, book: quarantine.NewBook(), arbiter: quarantine.NewArbiter(), queuedNotices: make(chan wire.QuarantineNotice, maxQueuedNotices),
	}
	if d.opts.Trial == nil {
		d.opts.Trial = func(_ context.Context, p wire.TrialParams) (bool, error) { return d.Arbitrate(p), nil }
	}
	return d
}

// newHTTPClient returns the client for requests that may be repeated.
func newHTTPClient(dial func(ctx context.Context, address string) (net.Conn, error)) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
			MaxIdleConnsPerHost: maxIdleConnsPerTarget,
			IdleConnTimeout:     idleConnTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Run polls load and lets time pass for waiting requests until ctx ends.
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

// SetState puts the tables and the rest of the steward's state in force.
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

// budget returns the route's retry budget, made on first use. The caller holds the lock.
func (d *Dispatcher) budget(row *config.Route) *retry.Budget {
	b := d.budgets[row.Name]
	if b == nil {
		b = retry.NewBudget(row.RetryBudgetPercent)
		d.budgets[row.Name] = b
	}
	return b
}

// lookUpRoute returns a route's row and a pool.
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
	d.budget(row).Request(d.opts.Now())
	return row, p, nil
}

// spendRetry takes one retry from the route's budget and returns the wait before it.
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

// knownBoot returns the last known incarnation of the engine at address.
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

// recordDrainSignal records a target's own word on whether it is draining, in each pool that has it.
func (d *Dispatcher) recordDrainSignal(p *pool, address string, draining bool) {
	if p.setDrainSignal(address, draining) {
		d.opts.Log.Info("target_draining", "pool", p.name, "target", address)
		d.opts.Report(wire.ReportParams{Leaving: []string{address}})
	}
}

// State is what /debug/state shows of a Dispatcher.
type State struct {
	Pools      map[string]PoolState `json:"pools"`
	Budgets    map[string]float64   `json:"retry_budgets"`
	Quarantine quarantine.State     `json:"quarantine"`
}

// State returns what /debug/state shows of the dispatcher.
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
	s.Quarantine = d.book.State()
	d.quarantineMu.Unlock()
	return s
}
