// Package weights decides which orders the engines of one pool in one availability zone get, so
// that they run the pool's model, newest weight version, adapters and role.
package weights

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/trial"
)

// Bounds of orders.
const (
	// StatusFresh is how old an engine's status may be for an order to be based on it.
	StatusFresh = 10 * time.Second
	// BackoffMin and BackoffMax bound the pause after a failed order to an engine.
	BackoffMin = 500 * time.Millisecond
	BackoffMax = 15 * time.Second
	// SwapNowAbove is the StalenessWeight from which engines swap without finishing what runs.
	SwapNowAbove = 0.5
)

// Options configure a Core.
type Options struct {
	AvailabilityZone string
	// AllAtOnce orders all engines together, a baseline for experiments.
	AllAtOnce bool
}

// engine is what is known of one engine.
type engine struct {
	target       config.Target
	leaving      bool
	status       trial.EngineStatus
	statusAt     time.Time // of status; zero if never
	reachable    bool      // whether the newest question was answered
	orderPending bool      // an order is under way
	failures     int
	retryAt      time.Time
}

// OrderTo is an order to one engine; the shell fills in the fencing token.
type OrderTo struct {
	Address string
	Order   trial.Order
}

// Core is the state of the engines of a pool in one zone. It has no clock and does no I/O, and is
// not safe for concurrent use.
type Core struct {
	opts      Options
	pool      config.Pool
	engines   map[string]*engine
	newest    int64
	maxLoads  int // engines that the store may serve at a time for this core
	loadLimit int // what the store's refusals have left of it
}

// New returns a core without engines.
func New(o Options) *Core { return &Core{opts: o, engines: map[string]*engine{}} }

// SetPool takes the pool's row and the addresses of leaving targets, which get no orders.
func (c *Core) SetPool(p config.Pool, leaving func(address string) bool) {
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

// SetNewest takes the newest known version of the pool's model and how many engines the store may
// serve at a time for this zone; an older version than before is ignored.
func (c *Core) SetNewest(version int64, share int) {
	c.newest = max(c.newest, version)
	if share = max(share, 1); share != c.maxLoads {
		c.maxLoads, c.loadLimit = share, share
	}
}

// Target returns the version that the engines should run; 0 means any.
func (c *Core) Target() int64 {
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

// Observed takes an engine's status, or that it did not answer (nil).
func (c *Core) Observed(now time.Time, address string, s *trial.EngineStatus) {
	e := c.engines[address]
	if e == nil {
		return
	}
	if e.reachable = s != nil; !e.reachable {
		return
	}
	if s.Boot != e.status.Boot {
		e.failures, e.retryAt = 0, time.Time{} // a restarted engine is tried at once
	}
	e.status, e.statusAt = *s, now
}

// Result tells how an order ended.
type Result string

// The ends of orders.
const (
	// ResultDone means that the engine answered after the order took effect.
	ResultDone Result = "done"
	// ResultFailed means that it refused, or that its answer did not come: its status tells.
	ResultFailed Result = "failed"
	// ResultStoreBusy means that the store had no rate left for the engine.
	ResultStoreBusy Result = "store-busy"
	// ResultNotSent means that the order was given up before it was sent.
	ResultNotSent Result = "not-sent"
)

// Ordered takes the end of an order to an engine.
func (c *Core) Ordered(now time.Time, address string, r Result) {
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

func (c *Core) backOff(now time.Time, e *engine) {
	backoff := min(BackoffMin<<min(e.failures, 10), BackoffMax)
	e.failures++
	e.retryAt = now.Add(backoff)
}

// Step returns the orders to give now. Each returned order counts as under way until Ordered.
func (c *Core) Step(now time.Time) []OrderTo {
	capacity := c.loadCapacity(now)
	var out []OrderTo
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
		out = append(out, OrderTo{Address: e.target.Address, Order: o})
	}
	return out
}

func loadsWeights(k trial.OrderKind) bool {
	return k == trial.OrderLoadVersion || k == trial.OrderLoadModel
}

// readyEngines returns the engines that can take an order, the ones with the oldest weights first.
func (c *Core) readyEngines(now time.Time) []*engine {
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

// nextOrder returns the most important difference between the pool's row and what the engine runs. A
// pool that follows the store never orders a version below what the engine runs.
func (c *Core) nextOrder(e *engine) (trial.Order, bool) {
	s, p, target := &e.status, &c.pool, c.Target()
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

// swapMode follows the pool's objective: fresh samples soon, or no engine time lost.
func (c *Core) swapMode() trial.SwapMode {
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

// loadCapacity returns how many more engines may load: the store's rate and the serving floor both hold.
// Where the floor leaves no room at all, one engine at a time loads, since weights must go on.
func (c *Core) loadCapacity(now time.Time) int {
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

// minServing returns how many of total engines must not be loading.
func (c *Core) minServing(total int) int {
	w := c.pool.Weights
	if w == nil {
		return 0
	}
	return int(math.Ceil(float64(total) * float64(w.ServingFloorPercent) / 100))
}

// Engine is what is known of an engine, for the state dump and for gates.
type Engine struct {
	Address  string             `json:"address"`
	Status   trial.EngineStatus `json:"status"`
	SeenAt   time.Time          `json:"seen_at"`
	Reached  bool               `json:"reached"`
	Ordered  bool               `json:"ordered"`
	Leaving  bool               `json:"leaving"`
	Failures int                `json:"failures"`
}

// Engines returns the engines sorted by address.
func (c *Core) Engines() []Engine {
	out := make([]Engine, 0, len(c.engines))
	for a, e := range c.engines {
		out = append(out, Engine{Address: a, Status: e.status, SeenAt: e.statusAt, Reached: e.reachable, Ordered: e.orderPending, Leaving: e.leaving, Failures: e.failures})
	}
	slices.SortFunc(out, func(a, b Engine) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// Behind tells how many engines do not run what the pool's row asks for.
func (c *Core) Behind() int {
	n := 0
	for _, e := range c.engines {
		if _, outdated := c.nextOrder(e); outdated && !e.leaving {
			n++
		}
	}
	return n
}
