package weights

import (
	"fmt"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// harness executes a pool's orders on simulated engines.
type harness struct {
	now     time.Time
	core    *Planner
	pool    config.Pool
	engines map[string]*trial.EngineStatus
	leaving map[string]bool
}

func newHarness(n int, w config.Weights) *harness {
	b := &harness{now: time.Unix(1000, 0), core: New(Options{AvailabilityZone: "a"}), engines: map[string]*trial.EngineStatus{}, leaving: map[string]bool{}}
	b.pool = config.Pool{Name: "p", Kind: config.PoolEngines, Model: "m", Weights: &w}
	for i := range n {
		a := fmt.Sprintf("e%d", i)
		b.pool.Targets = append(b.pool.Targets, config.Target{Name: a, Address: a, AvailabilityZone: "a"})
		b.engines[a] = &trial.EngineStatus{Boot: "1", Model: "m", Version: 1}
	}
	b.core.SetPool(b.pool, func(a string) bool { return b.leaving[a] })
	b.observe()
	return b
}

func (b *harness) observe() {
	for a, s := range b.engines {
		b.core.RecordStatus(b.now, a, s)
	}
}

// complete executes an order and records its result.
func (b *harness) complete(o EngineOrder) {
	s := b.engines[o.Address]
	switch o.Order.Kind {
	case trial.OrderLoadVersion:
		s.Version = o.Order.Version
	case trial.OrderLoadModel:
		s.Model, s.Version = o.Order.Model, o.Order.Version
	case trial.OrderSetAdapters:
		s.Adapters = o.Order.Adapters
	case trial.OrderSetRole:
		s.Role = o.Order.Role
	}
	b.core.RecordStatus(b.now, o.Address, s)
	b.core.RecordResult(b.now, o.Address, ResultDone)
}

func TestStepKeepsServingFloorAndStoreRate(t *testing.T) {
	is := is.New(t)
	b := newHarness(8, config.Weights{Follow: true, ServingFloorPercent: 50})
	b.core.SetNewest(2, 3)
	first := b.core.NextOrders(b.now)
	is.Equal(len(first), 3) // the store's rate
	is.Equal(len(b.core.NextOrders(b.now)), 0)
	b.core.SetNewest(2, 8)
	second := b.core.NextOrders(b.now)
	is.Equal(len(second), 1) // the floor of 4
	for _, o := range append(first, second...) {
		b.complete(o)
	}
	is.Equal(len(b.core.NextOrders(b.now)), 4)
}

func TestFullServingFloorLoadsOneEngineAtATime(t *testing.T) {
	is := is.New(t)
	b := newHarness(2, config.Weights{Follow: true, ServingFloorPercent: 100})
	b.core.SetNewest(2, 8)
	o := b.core.NextOrders(b.now)
	is.Equal(len(o), 1)
	is.Equal(len(b.core.NextOrders(b.now)), 0)
	b.complete(o[0])
	is.Equal(len(b.core.NextOrders(b.now)), 1)
}

func TestOnlyTheNewestVersionIsOrdered(t *testing.T) {
	is := is.New(t)
	b := newHarness(2, config.Weights{Follow: true})
	b.core.SetNewest(2, 1)
	o := b.core.NextOrders(b.now)
	is.Equal(o[0].Order.Version, int64(2))
	b.core.SetNewest(4, 1)
	b.core.SetNewest(3, 1) // out of order
	b.complete(o[0])
	o = b.core.NextOrders(b.now)
	is.Equal(o[0].Order.Version, int64(4))
	is.Equal(o[0].Address, "e1") // the one with the oldest weights
}

func TestOnlyAPinnedVersionMayBeLower(t *testing.T) {
	is := is.New(t)
	b := newHarness(1, config.Weights{Follow: true})
	b.engines["e0"].Version = 5
	b.observe()
	b.core.SetNewest(3, 1)
	is.Equal(len(b.core.NextOrders(b.now)), 0)
	b.pool.Weights = &config.Weights{Version: 2}
	b.core.SetPool(b.pool, func(string) bool { return false })
	is.Equal(b.core.NextOrders(b.now)[0].Order.Version, int64(2))
}

func TestFailedSwapIsRepairedAfterAPause(t *testing.T) {
	is := is.New(t)
	b := newHarness(1, config.Weights{Follow: true})
	b.core.SetNewest(2, 1)
	o := b.core.NextOrders(b.now)
	b.core.RecordResult(b.now, o[0].Address, ResultFailed)
	is.Equal(len(b.core.NextOrders(b.now)), 0)
	b.now = b.now.Add(BackoffMin)
	b.observe()
	is.Equal(len(b.core.NextOrders(b.now)), 1)
}

func TestSwapThatTookEffectWithoutAnAnswerIsNotRepeated(t *testing.T) {
	is := is.New(t)
	b := newHarness(1, config.Weights{Follow: true})
	b.core.SetNewest(2, 1)
	o := b.core.NextOrders(b.now)
	b.engines["e0"].Version = 2
	b.observe()
	b.core.RecordResult(b.now, o[0].Address, ResultFailed)
	b.now = b.now.Add(BackoffMax)
	b.observe()
	is.Equal(len(b.core.NextOrders(b.now)), 0)
}

func TestEngineBackWithOldWeightsIsOrderedAtOnce(t *testing.T) {
	is := is.New(t)
	b := newHarness(1, config.Weights{Follow: true})
	b.core.SetNewest(2, 1)
	b.complete(b.core.NextOrders(b.now)[0])
	b.core.RecordStatus(b.now, "e0", nil)
	b.engines["e0"] = &trial.EngineStatus{Boot: "2", Model: "m", Version: 1}
	b.observe()
	is.Equal(len(b.core.NextOrders(b.now)), 1)
}

func TestNoOrderWithoutAFreshStatusOrToLeavingEngines(t *testing.T) {
	is := is.New(t)
	b := newHarness(3, config.Weights{Follow: true})
	b.core.SetNewest(2, 3)
	b.leaving["e0"] = true
	b.engines["e1"].Draining = true
	b.core.SetPool(b.pool, func(a string) bool { return b.leaving[a] })
	b.observe()
	b.core.RecordStatus(b.now, "e2", nil)
	is.Equal(len(b.core.NextOrders(b.now)), 0)
	b.now = b.now.Add(StatusFresh + time.Second)
	is.Equal(len(b.core.NextOrders(b.now)), 0)
}

func TestPoolRowChangesModelAdaptersAndRole(t *testing.T) {
	is := is.New(t)
	b := newHarness(1, config.Weights{Follow: true})
	b.pool.Model, b.pool.Adapters, b.pool.Role = "n", []string{"x"}, "draft"
	b.core.SetPool(b.pool, func(string) bool { return false })
	is.Equal(len(b.core.NextOrders(b.now)), 0) // no version of the new model is known
	b.core.SetNewest(7, 1)
	var kinds []trial.OrderKind
	for range 4 {
		for _, o := range b.core.NextOrders(b.now) {
			kinds = append(kinds, o.Order.Kind)
			b.complete(o)
		}
	}
	is.Equal(kinds, []trial.OrderKind{trial.OrderLoadModel, trial.OrderSetAdapters, trial.OrderSetRole})
	is.Equal(*b.engines["e0"], trial.EngineStatus{Boot: "1", Model: "n", Version: 7, Adapters: []string{"x"}, Role: "draft"})
}

func TestStoreBusyHalvesTheLoadLimit(t *testing.T) {
	is := is.New(t)
	b := newHarness(8, config.Weights{Follow: true})
	b.core.SetNewest(2, 8)
	for _, o := range b.core.NextOrders(b.now) {
		b.core.RecordResult(b.now, o.Address, ResultStoreBusy)
	}
	b.now = b.now.Add(BackoffMin)
	b.observe()
	is.Equal(len(b.core.NextOrders(b.now)), 1)
}

func TestStalenessWeightSelectsSwapMode(t *testing.T) {
	is := is.New(t)
	for weight, mode := range map[float64]trial.SwapMode{0: trial.SwapDrain, 0.2: trial.SwapDrain, 0.8: trial.SwapNow, 1: trial.SwapNow} {
		b := newHarness(1, config.Weights{Follow: true, StalenessWeight: weight})
		b.core.SetNewest(2, 1)
		is.Equal(b.core.NextOrders(b.now)[0].Order.Mode, mode)
	}
}

func TestAllAtOnceOrdersAllEngines(t *testing.T) {
	is := is.New(t)
	b := newHarness(8, config.Weights{Follow: true, ServingFloorPercent: 90})
	b.core.opts.AllAtOnce = true
	b.core.SetNewest(2, 1)
	is.Equal(len(b.core.NextOrders(b.now)), 8)
}

// TestWavesConverge checks that for any failures of engines the floor and the rate hold and all engines end with the
// newest version.
func TestWavesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "engines")
		floor := rapid.IntRange(0, 100).Draw(t, "floor")
		rate := rapid.IntRange(1, 5).Draw(t, "rate")
		b := newHarness(n, config.Weights{Follow: true, ServingFloorPercent: floor})
		pending := map[string]EngineOrder{}
		newest := int64(1)
		round := func(fail bool) {
			b.now = b.now.Add(500 * time.Millisecond)
			b.observe()
			for _, o := range b.core.NextOrders(b.now) {
				pending[o.Address] = o
			}
			room := n - b.core.minServing(n)
			if len(pending) > max(1, min(room, rate)) {
				t.Fatalf("%d of %d engines load at a time, serving floor %d%%, store rate %d", len(pending), n, floor, rate)
			}
			for a, o := range pending {
				switch {
				case !fail || rapid.Bool().Draw(t, "ends"):
					b.complete(o)
					delete(pending, a)
				case rapid.Bool().Draw(t, "fails"):
					b.core.RecordResult(b.now, a, ResultFailed)
					delete(pending, a)
				}
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "turns") {
			if rapid.IntRange(0, 3).Draw(t, "publish") == 0 {
				newest++
			}
			b.core.SetNewest(newest, rate)
			round(true)
		}
		for range 200 {
			round(false)
		}
		for a, s := range b.engines {
			if s.Version != newest {
				t.Fatalf("engine %s ended with version %d, want %d", a, s.Version, newest)
			}
		}
	})
}
