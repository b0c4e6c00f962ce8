// Package weights plans the orders to the engines of one pool in one availability zone, so that they run the pool's model,
// weight version, adapters and role.
package weights

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/trial"
)

// Parameters of orders.
const (
	// StatusFresh is the maximum age of an engine's status on which an order may be based.
	StatusFresh = 10 * time.Second
	// BackoffMin and BackoffMax bound the pause after a failed order to an engine, which doubles with each failure.
	BackoffMin = 500 * time.Millisecond
	BackoffMax = 15 * time.Second
	// SwapNowAbove is the StalenessWeight from which on engines swap without draining running requests.
	SwapNowAbove = 0.5
)

// Options configure the planning of orders.
type Options struct {
	AvailabilityZone string
	// AllAtOnce orders all engines at the same time (a baseline for experiments).
	AllAtOnce bool
}

// engine is the state of one engine.
type engine struct {
	target       config.Target
	leaving      bool
	status       trial.EngineStatus
	statusAt     time.Time // when status was read; zero if never
	reachable    bool      // whether the last status request succeeded
	orderPending bool      // an order is in progress
	failures     int
	retryAt      time.Time
}

// EngineOrder is an order to one engine, without the fencing token, which the caller adds.
type EngineOrder struct {
	Address string
	Order   trial.Order
}

// Planner holds the state of a pool's engines in one zone and plans their orders. It has no clock, does no I/O, and is not
// safe for concurrent use.
type Planner struct {
	opts      Options
	pool      config.Pool
	engines   map[string]*engine
	newest    int64
	maxLoads  int // number of engines that may load from the store at a time
	loadLimit int // maxLoads, reduced while the store is busy
}

// New returns a planner without a pool and engines.
func New(o Options) *Planner { return &Planner{opts: o, engines: map[string]*engine{}} }

// SetPool sets the pool's row. leaving reports whether a target is about to leave; it then gets no orders.
func (p *Planner) SetPool(pool config.Pool, leaving func(address string) bool) {
	p.pool = pool
	listed := map[string]bool{}
	for _, t := range pool.Targets {
		if t.AvailabilityZone != p.opts.AvailabilityZone {
			continue
		}
		listed[t.Address] = true
		e := p.engines[t.Address]
		if e == nil {
			e = &engine{}
			p.engines[t.Address] = e
		}
		e.target, e.leaving = t, t.Draining || leaving(t.Address)
	}
	for a := range p.engines {
		if !listed[a] {
			delete(p.engines, a)
		}
	}
}

// SetNewest sets the newest known version of the pool's model, unless it is older than the current one, and the number of
// this zone's engines that may load from the store at a time (share).
func (p *Planner) SetNewest(version int64, share int) {
	p.newest = max(p.newest, version)
	if share = max(share, 1); share != p.maxLoads {
		p.maxLoads, p.loadLimit = share, share
	}
}

// TargetVersion returns the weight version that the engines should run; 0 means any.
func (p *Planner) TargetVersion() int64 {
	w := p.pool.Weights
	switch {
	case w == nil:
		return 0
	case w.Follow:
		return p.newest
	default:
		return w.Version
	}
}

// RecordStatus records an engine's status; nil means that it did not respond.
func (p *Planner) RecordStatus(now time.Time, address string, s *trial.EngineStatus) {
	e := p.engines[address]
	if e == nil {
		return
	}
	if e.reachable = s != nil; !e.reachable {
		return
	}
	if s.Boot != e.status.Boot {
		e.failures, e.retryAt = 0, time.Time{} // a restart ends the backoff
	}
	e.status, e.statusAt = *s, now
}

// OrderResult is the result of an order.
type OrderResult string

// Results of an order.
const (
	// ResultDone means that the engine confirmed that the order took effect.
	ResultDone OrderResult = "done"
	// ResultFailed means that the engine rejected the order or did not respond. Its status shows whether the order took
	// effect.
	ResultFailed OrderResult = "failed"
	// ResultStoreBusy means that the store's rate limit did not admit the engine's load.
	ResultStoreBusy OrderResult = "store-busy"
	// ResultNotSent means that the order was abandoned before it was sent.
	ResultNotSent OrderResult = "not-sent"
)

// RecordResult records the result of an order to an engine.
func (p *Planner) RecordResult(now time.Time, address string, r OrderResult) {
	e := p.engines[address]
	if e == nil {
		return
	}
	e.orderPending = false
	switch r {
	case ResultDone:
		e.failures = 0
		p.loadLimit = min(p.loadLimit+1, p.maxLoads)
	case ResultStoreBusy:
		p.loadLimit = max(p.loadLimit/2, 1)
		p.backOff(now, e)
	case ResultFailed:
		p.backOff(now, e)
	}
}

func (p *Planner) backOff(now time.Time, e *engine) {
	backoff := min(BackoffMin<<min(e.failures, 10), BackoffMax)
	e.failures++
	e.retryAt = now.Add(backoff)
}

// NextOrders returns the orders to send now. Each of them counts as in progress until its result is recorded.
func (p *Planner) NextOrders(now time.Time) []EngineOrder {
	capacity := p.loadCapacity(now)
	var out []EngineOrder
	for _, e := range p.readyEngines(now) {
		o, ok := p.nextOrder(e)
		if !ok {
			continue
		}
		if loadsWeights(o.Kind) {
			if capacity <= 0 {
				continue
			}
			capacity--
		}
		e.orderPending = true
		out = append(out, EngineOrder{Address: e.target.Address, Order: o})
	}
	return out
}

func loadsWeights(k trial.OrderKind) bool {
	return k == trial.OrderLoadVersion || k == trial.OrderLoadModel
}

// readyEngines returns the engines that can execute an order, those with the oldest weights first.
func (p *Planner) readyEngines(now time.Time) []*engine {
	var out []*engine
	for _, e := range p.engines {
		fresh := e.reachable && now.Sub(e.statusAt) <= StatusFresh
		if fresh && !e.leaving && !e.status.Draining && !e.status.Loading && !e.orderPending && !now.Before(e.retryAt) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.status.Version, b.status.Version), cmp.Compare(a.target.Address, b.target.Address))
	})
	return out
}

// nextOrder returns the order for the most important difference between the pool's row and the engine's status, or
// false if there is none. A pool that follows the newest version never orders a lower one than the engine runs.
func (p *Planner) nextOrder(e *engine) (trial.Order, bool) {
	s, pool, target := &e.status, &p.pool, p.TargetVersion()
	switch {
	case pool.Model != "" && s.Model != pool.Model:
		version := cmp.Or(target, p.newest)
		return trial.Order{Kind: trial.OrderLoadModel, Model: pool.Model, Version: version, Mode: p.swapMode()}, version > 0
	case target > 0 && s.Version != target && (s.Version < target || !pool.Weights.Follow):
		return trial.Order{Kind: trial.OrderLoadVersion, Model: pool.Model, Version: target, Mode: p.swapMode()}, true
	case !equalSets(s.Adapters, pool.Adapters):
		return trial.Order{Kind: trial.OrderSetAdapters, Adapters: pool.Adapters}, true
	case pool.Role != "" && s.Role != pool.Role:
		return trial.Order{Kind: trial.OrderSetRole, Role: pool.Role}, true
	}
	return trial.Order{}, false
}

// swapMode returns the mode for the pool's objective: SwapNow for fresh samples, SwapDrain for no lost engine time.
func (p *Planner) swapMode() trial.SwapMode {
	w := p.pool.Weights
	if w != nil && w.StalenessWeight >= SwapNowAbove {
		return trial.SwapNow
	}
	return trial.SwapDrain
}

func equalSets(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}

// loadCapacity returns the number of further engines that may load now within loadLimit and the serving floor. If
// the floor allows none, one engine at a time loads, since the weights must be updated.
func (p *Planner) loadCapacity(now time.Time) int {
	if p.opts.AllAtOnce {
		return len(p.engines)
	}
	total, serving, loading := 0, 0, 0
	for _, e := range p.engines {
		if e.leaving || e.status.Draining {
			continue
		}
		total++
		switch {
		case e.orderPending || e.status.Loading:
			loading++
		case e.reachable && now.Sub(e.statusAt) <= StatusFresh:
			serving++
		}
	}
	spare := serving - p.minServing(total)
	if spare <= 0 && loading == 0 && serving > 0 {
		spare = 1
	}
	return min(spare, p.loadLimit-loading)
}

// minServing returns the number of engines out of total that must not be loading (the serving floor).
func (p *Planner) minServing(total int) int {
	w := p.pool.Weights
	if w == nil {
		return 0
	}
	return int(math.Ceil(float64(total) * float64(w.ServingFloorPercent) / 100))
}

// EngineState is an engine's state, for the state dump and for gates.
type EngineState struct {
	Address  string             `json:"address"`
	Status   trial.EngineStatus `json:"status"`
	SeenAt   time.Time          `json:"seen_at"`
	Reached  bool               `json:"reached"`
	Ordered  bool               `json:"ordered"`
	Leaving  bool               `json:"leaving"`
	Failures int                `json:"failures"`
}

// Engines returns the engines sorted by address.
func (p *Planner) Engines() []EngineState {
	out := make([]EngineState, 0, len(p.engines))
	for a, e := range p.engines {
		out = append(out, EngineState{
			Address: a, Status: e.status, SeenAt: e.statusAt, Reached: e.reachable, Ordered: e.orderPending, Leaving: e.leaving,
			Failures: e.failures,
		})
	}
	slices.SortFunc(out, func(a, b EngineState) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// OutdatedCount returns the number of engines that differ from the pool's row, excluding leaving ones.
func (p *Planner) OutdatedCount() int {
	n := 0
	for _, e := range p.engines {
		if _, outdated := p.nextOrder(e); outdated && !e.leaving {
			n++
		}
	}
	return n
}
