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

// New returns the state of a pool without engines.
func New(o Options) *Planner { return &Planner{opts: o, engines: map[string]*engine{}} }

// SetPool sets the pool's row. leaving reports whether a target is about to leave; it then gets no orders.
func (c *Planner) SetPool(p config.Pool, leaving func(address string) bool) {
	c.pool = p
	listed := map[string]bool{}
	for _, t := range p.Targets {
		if t.AvailabilityZone != c.opts.AvailabilityZone {
			continue
		}
		listed[t.Address] = true
		e := c.engines[t.Address]
		if e == nil {
			e = &engine{}
			c.engines[t.Address] = e
		}
		e.target, e.leaving = t, t.Draining || leaving(t.Address)
	}
	for a := range c.engines {
		if !listed[a] {
			delete(c.engines, a)
		}
	}
}

// SetNewest sets the newest known version of the pool's model, unless it is older than the current one, and the number of
// this zone's engines that may load from the store at a time (share).
func (c *Planner) SetNewest(version int64, share int) {
	c.newest = max(c.newest, version)
	if share = max(share, 1); share != c.maxLoads {
		c.maxLoads, c.loadLimit = share, share
	}
}

// TargetVersion returns the weight version that the engines should run; 0 means any.
func (c *Planner) TargetVersion() int64 {
	w := c.pool.Weights
	switch {
	case w == nil:
		return 0
	case w.Follow:
		return c.newest
	default:
		return w.Version
	}
}

// RecordStatus records an engine's status; nil means that it did not respond.
func (c *Planner) RecordStatus(now time.Time, address string, s *trial.EngineStatus) {
	e := c.engines[address]
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
func (c *Planner) RecordResult(now time.Time, address string, r OrderResult) {
	e := c.engines[address]
	if e == nil {
		return
	}
	e.orderPending = false
	switch r {
	case ResultDone:
		e.failures = 0
		c.loadLimit = min(c.loadLimit+1, c.maxLoads)
	case ResultStoreBusy:
		c.loadLimit = max(c.loadLimit/2, 1)
		c.backOff(now, e)
	case ResultFailed:
		c.backOff(now, e)
	}
}

func (c *Planner) backOff(now time.Time, e *engine) {
	backoff := min(BackoffMin<<min(e.failures, 10), BackoffMax)
	e.failures++
	e.retryAt = now.Add(backoff)
}

// NextOrders returns the orders to send now. Each of them counts as in progress until its result is recorded.
func (c *Planner) NextOrders(now time.Time) []EngineOrder {
	capacity := c.loadCapacity(now)
	var out []EngineOrder
	for _, e := range c.readyEngines(now) {
		o, ok := c.nextOrder(e)
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
func (c *Planner) readyEngines(now time.Time) []*engine {
	var out []*engine
	for _, e := range c.engines {
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
func (c *Planner) nextOrder(e *engine) (trial.Order, bool) {
	s, p, target := &e.status, &c.pool, c.TargetVersion()
	switch {
	case p.Model != "" && s.Model != p.Model:
		version := cmp.Or(target, c.newest)
		return trial.Order{Kind: trial.OrderLoadModel, Model: p.Model, Version: version, Mode: c.swapMode()}, version > 0
	case target > 0 && s.Version != target && (s.Version < target || !p.Weights.Follow):
		return trial.Order{Kind: trial.OrderLoadVersion, Model: p.Model, Version: target, Mode: c.swapMode()}, true
	case !equalSets(s.Adapters, p.Adapters):
		return trial.Order{Kind: trial.OrderSetAdapters, Adapters: p.Adapters}, true
	case p.Role != "" && s.Role != p.Role:
		return trial.Order{Kind: trial.OrderSetRole, Role: p.Role}, true
	}
	return trial.Order{}, false
}

// swapMode returns the mode for the pool's objective: SwapNow for fresh samples, SwapDrain for no lost engine time.
func (c *Planner) swapMode() trial.SwapMode {
	w := c.pool.Weights
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

// loadCapacity returns the number of further engines that may load now within the store's rate and the serving floor. If
// the floor allows none, one engine at a time loads, since the weights must be updated.
func (c *Planner) loadCapacity(now time.Time) int {
	if c.opts.AllAtOnce {
		return len(c.engines)
	}
	total, serving, loading := 0, 0, 0
	for _, e := range c.engines {
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
	spare := serving - c.minServing(total)
	if spare <= 0 && loading == 0 && serving > 0 {
		spare = 1
	}
	return min(spare, c.loadLimit-loading)
}

// minServing returns the number of engines out of total that must not be loading (the serving floor).
func (c *Planner) minServing(total int) int {
	w := c.pool.Weights
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
func (c *Planner) Engines() []EngineState {
	out := make([]EngineState, 0, len(c.engines))
	for a, e := range c.engines {
		out = append(out, EngineState{
			Address: a, Status: e.status, SeenAt: e.statusAt, Reached: e.reachable, Ordered: e.orderPending, Leaving: e.leaving,
			Failures: e.failures,
		})
	}
	slices.SortFunc(out, func(a, b EngineState) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// OutdatedCount returns the number of engines that differ from the pool's row, without leaving ones.
func (c *Planner) OutdatedCount() int {
	n := 0
	for _, e := range c.engines {
		if _, outdated := c.nextOrder(e); outdated && !e.leaving {
			n++
		}
	}
	return n
}
