package versions

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fleet"
)

var start = time.Unix(1_800_000_000, 0)

func pool(models ...string) *fleet.Pool {
	return &fleet.Pool{Pool: config.Pool{Name: "p"}, Engine: &fleet.Engine{Slots: 8, Models: models}}
}

func instances(n int, versions map[string]int64) []*fleet.Instance {
	out := make([]*fleet.Instance, 0, n)
	for i := range n {
		out = append(out, &fleet.Instance{Target: config.Target{Name: fmt.Sprintf("e%02d", i)}, Pool: "p", Slots: 8, Versions: versions})
	}
	return out
}

// lagDemand is the demand of models with equal work whose steps accept a lag of n versions.
type lagDemand int64

func (n lagDemand) AllowedLag(string) int64    { return int64(n) }
func (n lagDemand) RecentWork(string) float64  { return 1 }
func (n lagDemand) HasQueuedItems(string) bool { return false }
func (n lagDemand) NewestStep(string) int64    { return 0 }
func (n lagDemand) FreeSlots(fleet.Key) int    { return 1 }

// applyAll reports the intents' loads as completed.
func applyAll(p *Planner, now time.Time, intents []Intent) {
	for _, i := range intents {
		p.RecordReport(now, i.Instance.Key(), Report{Versions: map[string]int64{i.Model: i.Version}})
	}
}

// runWaves plans and completes loads until none is due. It returns the numbers of loads and of waves.
func runWaves(p *Planner, now time.Time, named map[string]int64, allowedLag int64) (loads, waves int) {
	for range 100 {
		intents := p.Plan(now, named, lagDemand(allowedLag))
		if len(intents) == 0 {
			return loads, waves
		}
		loads += len(intents)
		waves++
		applyAll(p, now, intents)
	}
	return loads, waves
}

func TestZeroLagLoadsAllEnginesInWaves(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	p.Update(pool("m"), instances(9, map[string]int64{"m": 1}))
	named := map[string]int64{"m": 2}
	first := p.Plan(start, named, lagDemand(0))
	is.Equal(len(first), 2)                              // a fifth of the pool, rounded up
	is.Equal(len(p.Plan(start, named, lagDemand(0))), 0) // none until a load completes
	applyAll(p, start, first)
	loads, _ := runWaves(p, start, named, 0)
	is.Equal(loads, 7)
}

func TestLagOfOneHalvesTheLoads(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	p.Update(pool("m"), instances(8, map[string]int64{"m": 1}))
	total, at := 0, start
	for v := int64(2); v <= 9; v++ {
		loads, _ := runWaves(p, at, map[string]int64{"m": v}, 1)
		total += loads
		at = at.Add(time.Minute) // all loads fit between two versions
		for _, e := range p.engines {
			is.True(v-e.versions["m"] <= 1) // each engine can serve the newest steps
		}
	}
	is.Equal(total, 8*4) // half as many as if each engine loaded each version
}

func TestModelsShareAWaveWithOneLoadPerEngine(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	p.Update(pool("a", "b"), instances(10, map[string]int64{"a": 1, "b": 1}))
	p.namingRates = map[string]*namingRate{"a": {3, start, time.Minute}, "b": {3, start, time.Minute}}
	named := map[string]int64{"a": 3, "b": 3}
	intents := p.Plan(start, named, lagDemand(1))
	is.Equal(len(intents), 2)
	is.True(intents[0].Instance != intents[1].Instance) // an engine loads one version at a time
	applyAll(p, start, intents)
	loads, _ := runWaves(p, start, named, 1)
	is.Equal(loads+len(intents), 20) // all engines are two behind in both models
}

func TestPlanSkipsDrainingAndRecentlyFailedEngines(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	in := instances(3, map[string]int64{"m": 1})
	in[0].Draining = true
	p.Update(pool("m"), in)
	named := map[string]int64{"m": 2}
	first := p.Plan(start, named, lagDemand(0))
	is.Equal(len(first), 1)
	is.Equal(first[0].Instance.Name, "e01")
	p.RecordFailure(start, first[0].Instance.Key())
	next := p.Plan(start, named, lagDemand(0))
	is.Equal(next[0].Instance.Name, "e02") // another engine during the retry delay of the first
	p.RecordFailure(start, next[0].Instance.Key())
	is.Equal(len(p.Plan(start, named, lagDemand(0))), 0)
	is.Equal(len(p.Plan(start.Add(retryDelay), named, lagDemand(0))), 1) // the retry delay has passed
}

func TestOrderIsRepeatedAfterLoadTimeout(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	p.Update(pool("m"), instances(1, map[string]int64{"m": 1}))
	named := map[string]int64{"m": 2}
	is.Equal(len(p.Plan(start, named, lagDemand(0))), 1)
	is.Equal(len(p.Plan(start.Add(loadTimeout-1), named, lagDemand(0))), 0)
	is.Equal(len(p.Plan(start.Add(loadTimeout), named, lagDemand(0))), 1)
}

func TestRestartedEngineIsOrderedAgain(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	in := instances(1, map[string]int64{"m": 1})
	p.Update(pool("m"), in)
	applyAll(p, start, p.Plan(start, map[string]int64{"m": 2}, lagDemand(0)))
	restarted := *in[0]
	restarted.StartedMs = 77
	p.Update(pool("m"), []*fleet.Instance{&restarted})
	is.Equal(len(p.Plan(start, map[string]int64{"m": 2}, lagDemand(0))), 1)
}

// unevenWork is a demand for the model "much" with nine times the work of other models.
type unevenWork struct{ lagDemand }

func (unevenWork) RecentWork(model string) float64 {
	if model == "much" {
		return 9
	}
	return 1
}

// TestScarceLoadsAreSharedByWork names versions faster than all engines can load them.
func TestScarceLoadsAreSharedByWork(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	p.Update(pool("much", "little"), instances(20, map[string]int64{"much": 1, "little": 1}))
	at := start
	served := map[string]int{}
	for v := int64(2); v <= 20; v++ {
		named := map[string]int64{"much": v, "little": v}
		for range 2 { // two waves of 4 fit before the next version
			applyAll(p, at.Add(time.Second), p.Plan(at, named, unevenWork{1}))
			at = at.Add(time.Second)
		}
		for _, e := range p.engines {
			for m := range named {
				if v > 10 && v-e.versions[m] <= 1 {
					served[m]++
				}
			}
		}
	}
	is.True(served["much"] > 3*served["little"])
	is.True(served["little"] > 0)
}

// queuedModel is a demand with queued items of one model.
type queuedModel struct {
	lagDemand
	model string
}

func (w queuedModel) HasQueuedItems(model string) bool { return model == w.model }

func TestModelWithQueuedItemsLoadsFirst(t *testing.T) {
	is := is.New(t)
	for _, m := range []string{"a", "b"} {
		p := NewPlanner()
		p.Update(pool("a", "b"), instances(10, map[string]int64{"a": 1, "b": 1}))
		for _, i := range p.Plan(start, map[string]int64{"a": 3, "b": 3}, queuedModel{1, m}) {
			is.Equal(i.Model, m)
		}
	}
}

// backlogDemand is the demand of models with equal work whose steps accept the newest version only.
type backlogDemand struct {
	lagDemand
	// queued is set if items of all models wait, noneIdle if no engine has free slots.
	queued, noneIdle bool
}

func (d backlogDemand) HasQueuedItems(string) bool { return d.queued }

func (d backlogDemand) FreeSlots(fleet.Key) int {
	if d.noneIdle {
		return 0
	}
	return 1
}

// TestQueuedItemsLoadIdleEnginesBeyondTheShare replays a day of the large deployment: after an outage two models name two
// versions each within half a second, so that the naming intervals suggest small shares. Hundreds of items waited while 28
// of 40 engines idled with versions that no open step accepts.
func TestQueuedItemsLoadIdleEnginesBeyondTheShare(t *testing.T) {
	for _, tc := range []struct {
		name   string
		demand backlogDemand
		want   int // loads in five waves of eight
	}{
		{"items wait", backlogDemand{queued: true}, 40},
		{"no items wait", backlogDemand{}, 32},
		{"items wait, no engine is idle", backlogDemand{queued: true, noneIdle: true}, 32},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := NewPlanner()
			p.Update(pool("a", "b"), instances(40, map[string]int64{"a": 1, "b": 1}))
			burst := 2950 * time.Millisecond
			p.namingRates = map[string]*namingRate{"a": {3, start, burst}, "b": {3, start, burst}}
			p.loadTime = 1100 * time.Millisecond
			loads, now := 0, start
			for range 5 {
				intents := p.Plan(now, map[string]int64{"a": 3, "b": 3}, tc.demand)
				loads += len(intents)
				now = now.Add(p.loadTime)
				applyAll(p, now, intents)
			}
			is.New(t).Equal(loads, tc.want)
		})
	}
}

// TestLoadsWithinTheShareGoFirst covers two models with queued items: a load beyond the share of one must not delay the
// loads within the share of the other.
func TestLoadsWithinTheShareGoFirst(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	p.Update(pool("a", "b"), instances(10, map[string]int64{"a": 1, "b": 1}))
	second := time.Second
	p.namingRates = map[string]*namingRate{"a": {3, start, second}, "b": {3, start, second}}
	for n := range 6 {
		p.engines[instances(10, nil)[n].Key()].versions["a"] = 3
	}
	intents := p.Plan(start, map[string]int64{"a": 3, "b": 3}, backlogDemand{lagDemand: 1, queued: true})
	is.Equal(len(intents), 2)
	for _, i := range intents {
		is.Equal(i.Model, "b")
	}
}

// TestShareGrowsWhileTheNextVersionIsOverdue covers a pool whose loads were measured too long to load all engines between
// two versions: if the next version does not come, the others are loaded in the time that is left.
func TestShareGrowsWhileTheNextVersionIsOverdue(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	p.Update(pool("m"), instances(5, map[string]int64{"m": 1}))
	p.loadTime = 950 * time.Millisecond
	now := start
	for range 10 {
		intents := p.Plan(now, map[string]int64{"m": 2}, lagDemand(0))
		now = now.Add(p.loadTime)
		applyAll(p, now, intents)
	}
	for _, e := range p.engines {
		is.Equal(e.versions["m"], int64(2))
	}
}

// trainersApart is a demand with queued items of all models whose trainers have come to different steps.
type trainersApart struct {
	backlogDemand
	steps map[string]int64
}

func (d trainersApart) NewestStep(model string) int64 { return d.steps[model] }

// TestModelOfTrainerFurthestBehindLoadsFirst replays the return of the store on the large deployment: two models need new
// versions on all engines. Each wave goes to one of them, the first to that of the trainer furthest behind.
func TestModelOfTrainerFurthestBehindLoadsFirst(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	p.Update(pool("a", "b"), instances(20, map[string]int64{"a": 3, "b": 3}))
	p.namingRates = map[string]*namingRate{"a": {5, start, 4 * time.Second}, "b": {5, start, 4 * time.Second}}
	named := map[string]int64{"a": 5, "b": 5}
	d := trainersApart{backlogDemand{lagDemand: 1, queued: true}, map[string]int64{"a": 6, "b": 5}}
	for _, model := range []string{"b", "a", "b", "a"} {
		intents := p.Plan(start, named, d)
		is.Equal(len(intents), 4)
		for _, i := range intents {
			is.Equal(i.Model, model)
		}
		applyAll(p, start.Add(time.Second), intents)
	}
}
