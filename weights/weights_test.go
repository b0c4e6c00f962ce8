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
	planner *Planner
	pool    config.Pool
	engines map[string]*trial.EngineStatus
	leaving map[string]bool
}

func newHarness(n int, w config.Weights) *harness {
	h := &harness{now: time.Unix(1000, 0), planner: New(Options{AvailabilityZone: "a"}), engines: map[string]*trial.EngineStatus{}, leaving: map[string]bool{}}
	h.pool = config.Pool{Name: "p", Kind: config.PoolEngines, Model: "m", Weights: &w}
	for i := range n {
		a := fmt.Sprintf("e%d", i)
		h.pool.Targets = append(h.pool.Targets, config.Target{Name: a, Address: a, AvailabilityZone: "a"})
		h.engines[a] = &trial.EngineStatus{Boot: "1", Model: "m", Version: 1}
	}
	h.planner.SetPool(h.pool, func(a string) bool { return h.leaving[a] })
	h.observe()
	return h
}

func (h *harness) observe() {
	for a, s := range h.engines {
		h.planner.RecordStatus(h.now, a, s)
	}
}

// complete executes an order and records its result.
func (h *harness) complete(o EngineOrder) {
	s := h.engines[o.Address]
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
	h.planner.RecordStatus(h.now, o.Address, s)
	h.planner.RecordResult(h.now, o.Address, ResultDone)
}

func TestNextOrdersKeepServingFloorAndLoadLimit(t *testing.T) {
	is := is.New(t)
	h := newHarness(8, config.Weights{Follow: true, ServingFloorPercent: 50})
	h.planner.SetNewest(2, 3)
	first := h.planner.NextOrders(h.now)
	is.Equal(len(first), 3) // the limit of loads from the store
	is.Equal(len(h.planner.NextOrders(h.now)), 0)
	h.planner.SetNewest(2, 8)
	second := h.planner.NextOrders(h.now)
	is.Equal(len(second), 1) // the floor of 4
	for _, o := range append(first, second...) {
		h.complete(o)
	}
	is.Equal(len(h.planner.NextOrders(h.now)), 4)
}

func TestFullServingFloorLoadsOneEngineAtATime(t *testing.T) {
	is := is.New(t)
	h := newHarness(2, config.Weights{Follow: true, ServingFloorPercent: 100})
	h.planner.SetNewest(2, 8)
	o := h.planner.NextOrders(h.now)
	is.Equal(len(o), 1)
	is.Equal(len(h.planner.NextOrders(h.now)), 0)
	h.complete(o[0])
	is.Equal(len(h.planner.NextOrders(h.now)), 1)
}

func TestOnlyTheNewestVersionIsOrdered(t *testing.T) {
	is := is.New(t)
	h := newHarness(2, config.Weights{Follow: true})
	h.planner.SetNewest(2, 1)
	o := h.planner.NextOrders(h.now)
	is.Equal(o[0].Order.Version, int64(2))
	h.planner.SetNewest(4, 1)
	h.planner.SetNewest(3, 1) // out of order
	h.complete(o[0])
	o = h.planner.NextOrders(h.now)
	is.Equal(o[0].Order.Version, int64(4))
	is.Equal(o[0].Address, "e1") // the one with the oldest weights
}

func TestOnlyAPinnedVersionMayBeLower(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, config.Weights{Follow: true})
	h.engines["e0"].Version = 5
	h.observe()
	h.planner.SetNewest(3, 1)
	is.Equal(len(h.planner.NextOrders(h.now)), 0)
	h.pool.Weights = &config.Weights{Version: 2}
	h.planner.SetPool(h.pool, func(string) bool { return false })
	is.Equal(h.planner.NextOrders(h.now)[0].Order.Version, int64(2))
}

func TestFailedSwapIsRepairedAfterAPause(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, config.Weights{Follow: true})
	h.planner.SetNewest(2, 1)
	o := h.planner.NextOrders(h.now)
	h.planner.RecordResult(h.now, o[0].Address, ResultFailed)
	is.Equal(len(h.planner.NextOrders(h.now)), 0)
	h.now = h.now.Add(BackoffMin)
	h.observe()
	is.Equal(len(h.planner.NextOrders(h.now)), 1)
}

func TestSwapAppliedDespiteFailedResultIsNotRepeated(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, config.Weights{Follow: true})
	h.planner.SetNewest(2, 1)
	o := h.planner.NextOrders(h.now)
	h.engines["e0"].Version = 2
	h.observe()
	h.planner.RecordResult(h.now, o[0].Address, ResultFailed)
	h.now = h.now.Add(BackoffMax)
	h.observe()
	is.Equal(len(h.planner.NextOrders(h.now)), 0)
}

func TestRestartedEngineWithOldWeightsIsOrderedImmediately(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, config.Weights{Follow: true})
	h.planner.SetNewest(2, 1)
	h.complete(h.planner.NextOrders(h.now)[0])
	h.planner.RecordStatus(h.now, "e0", nil)
	h.engines["e0"] = &trial.EngineStatus{Boot: "2", Model: "m", Version: 1}
	h.observe()
	is.Equal(len(h.planner.NextOrders(h.now)), 1)
}

func TestNoOrderWithoutAFreshStatusOrToLeavingEngines(t *testing.T) {
	is := is.New(t)
	h := newHarness(3, config.Weights{Follow: true})
	h.planner.SetNewest(2, 3)
	h.leaving["e0"] = true
	h.engines["e1"].Draining = true
	h.planner.SetPool(h.pool, func(a string) bool { return h.leaving[a] })
	h.observe()
	h.planner.RecordStatus(h.now, "e2", nil)
	is.Equal(len(h.planner.NextOrders(h.now)), 0)
	h.now = h.now.Add(StatusFresh + time.Second)
	is.Equal(len(h.planner.NextOrders(h.now)), 0)
}

func TestPoolRowChangesModelAdaptersAndRole(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, config.Weights{Follow: true})
	h.pool.Model, h.pool.Adapters, h.pool.Role = "n", []string{"x"}, "draft"
	h.planner.SetPool(h.pool, func(string) bool { return false })
	is.Equal(len(h.planner.NextOrders(h.now)), 0) // no version of the new model is known
	h.planner.SetNewest(7, 1)
	var kinds []trial.OrderKind
	for range 4 {
		for _, o := range h.planner.NextOrders(h.now) {
			kinds = append(kinds, o.Order.Kind)
			h.complete(o)
		}
	}
	is.Equal(kinds, []trial.OrderKind{trial.OrderLoadModel, trial.OrderSetAdapters, trial.OrderSetRole})
	is.Equal(*h.engines["e0"], trial.EngineStatus{Boot: "1", Model: "n", Version: 7, Adapters: []string{"x"}, Role: "draft"})
}

func TestStoreBusyHalvesTheLoadLimit(t *testing.T) {
	is := is.New(t)
	h := newHarness(8, config.Weights{Follow: true})
	h.planner.SetNewest(2, 8)
	for _, o := range h.planner.NextOrders(h.now) {
		h.planner.RecordResult(h.now, o.Address, ResultStoreBusy)
	}
	h.now = h.now.Add(BackoffMin)
	h.observe()
	is.Equal(len(h.planner.NextOrders(h.now)), 1)
}

func TestStalenessWeightSelectsSwapMode(t *testing.T) {
	is := is.New(t)
	for weight, mode := range map[float64]trial.SwapMode{0: trial.SwapDrain, 0.2: trial.SwapDrain, 0.8: trial.SwapNow, 1: trial.SwapNow} {
		h := newHarness(1, config.Weights{Follow: true, StalenessWeight: weight})
		h.planner.SetNewest(2, 1)
		is.Equal(h.planner.NextOrders(h.now)[0].Order.Mode, mode)
	}
}

func TestAllAtOnceOrdersAllEngines(t *testing.T) {
	is := is.New(t)
	h := newHarness(8, config.Weights{Follow: true, ServingFloorPercent: 90})
	h.planner.opts.AllAtOnce = true
	h.planner.SetNewest(2, 1)
	is.Equal(len(h.planner.NextOrders(h.now)), 8)
}

// TestWavesConverge checks that the serving floor and the limit of loads from the store hold whichever orders fail, and
// that all engines end with the newest version.
func TestWavesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "engines")
		floor := rapid.IntRange(0, 100).Draw(t, "floor")
		maxLoads := rapid.IntRange(1, 5).Draw(t, "rate")
		h := newHarness(n, config.Weights{Follow: true, ServingFloorPercent: floor})
		pending := map[string]EngineOrder{}
		newest := int64(1)
		round := func(fail bool) {
			h.now = h.now.Add(500 * time.Millisecond)
			h.observe()
			for _, o := range h.planner.NextOrders(h.now) {
				pending[o.Address] = o
			}
			spare := n - h.planner.minServing(n)
			if len(pending) > max(1, min(spare, maxLoads)) {
				t.Fatalf("%d of %d engines load at a time, serving floor %d%%, limit of loads from the store %d", len(pending), n, floor, maxLoads)
			}
			for a, o := range pending {
				switch {
				case !fail || rapid.Bool().Draw(t, "ends"):
					h.complete(o)
					delete(pending, a)
				case rapid.Bool().Draw(t, "fails"):
					h.planner.RecordResult(h.now, a, ResultFailed)
					delete(pending, a)
				}
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "turns") {
			if rapid.IntRange(0, 3).Draw(t, "publish") == 0 {
				newest++
			}
			h.planner.SetNewest(newest, maxLoads)
			round(true)
		}
		for range 200 {
			round(false)
		}
		for a, s := range h.engines {
			if s.Version != newest {
				t.Fatalf("engine %s ended with version %d, want %d", a, s.Version, newest)
			}
		}
	})
}
