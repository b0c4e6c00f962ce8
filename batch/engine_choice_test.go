package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/targets"
)

var testStart = time.Unix(1_800_000_000, 0)

// newTestEngines returns n engines of pool "p" that run a version of model "m".
func newTestEngines(n, slots int, version int64) (*engines, []*fleet.Instance) {
	s := newEngines()
	var in []*fleet.Instance
	for i := range n {
		in = append(in, &fleet.Instance{
			Target: config.Target{Name: fmt.Sprintf("e%d", i), AvailabilityZone: "a"}, Pool: "p", Slots: slots, Versions: map[string]int64{"m": version},
		})
	}
	s.update(in)
	return s, in
}

func TestSortTasksLongestFirstOverdueLast(t *testing.T) {
	is := is.New(t)
	newTask := func(estimate, deadline time.Duration, resubmittedGroup bool) *task {
		return &task{estimate: estimate, deadline: testStart.Add(deadline), resubmittedGroup: resubmittedGroup}
	}
	short, long := newTask(time.Second, 7*time.Second, false), newTask(6*time.Second, 7*time.Second, false)
	overdue, resubmitted := newTask(9*time.Second, -time.Millisecond, false), newTask(time.Second, 7*time.Second, true)
	tasks := []*task{overdue, short, long, resubmitted}
	sortTasks(testStart, tasks)
	is.True(tasks[0] == resubmitted && tasks[1] == long && tasks[2] == short && tasks[3] == overdue)
}

// TestSortTasksKeepsItemsWithLateEstimateFirst covers a step that waited 3 s for engines: a long item that can no longer
// meet its deadline according to its estimate still goes before the short ones. Its length decides when the step
// ends, and the estimate may be wrong.
func TestSortTasksKeepsItemsWithLateEstimateFirst(t *testing.T) {
	is := is.New(t)
	deadline := testStart.Add(7500 * time.Millisecond)
	short, long := &task{estimate: time.Second, deadline: deadline}, &task{estimate: 10 * time.Second, deadline: deadline}
	tasks := []*task{short, long}
	sortTasks(testStart.Add(3*time.Second), tasks)
	is.Equal(tasks[0], long)
}

// TestItemsStayOnEnginesOfEqualSpeed replays a burst: nine engines run a dozen items each, whose events arrive in bunches. A move has the item's
// prompt and text read again. An engine that slows down to a quarter must still be left within half a second.
func TestItemsStayOnEnginesOfEqualSpeed(t *testing.T) {
	const requests, remaining = 12, 100
	is := is.New(t)
	s, in := newTestEngines(9, 16, 1)
	rng := rand.New(rand.NewPCG(1, 2))
	interval := 38 * time.Millisecond
	now, moves := testStart, 0
	observe := func(i int, mean time.Duration) {
		for range requests {
			s.observeInterval(now, in[i], time.Duration(rng.Int64N(int64(2*mean))))
		}
	}
	shouldMove := func(i int) bool {
		req := requirements{pool: "p", model: "m", avoidInstance: in[i].Name}
		return s.candidates(now, "p").shouldMove(s.get(in[i]), remaining, req)
	}
	for range 200 {
		now = now.Add(interval)
		for i := range in {
			observe(i, interval)
			if shouldMove(i) {
				moves++
			}
		}
	}
	t.Logf("%d moves in %d checks", moves, 200*len(in))
	is.True(moves < 200*len(in)/100) // fewer than one in a hundred
	slow := 4 * interval
	for range 3 {
		now = now.Add(slow)
		observe(0, slow)
	}
	is.True(shouldMove(0))
}

func TestChooseRespectsSlotsAndOtherLoad(t *testing.T) {
	is := is.New(t)
	s, in := newTestEngines(2, 4, 3)
	s.observeLoad(testStart, in[0], &targets.Load{Running: 3}) // requests of other VMs
	c := s.candidates(testStart, "p")
	sent := map[string]int{}
	for {
		e := c.choose(requirements{pool: "p", model: "m", minVersion: 2})
		if e == nil {
			break
		}
		sent[e.instance.Name]++
		s.requestStarted(e.instance)
		c.removeIfUnavailable(e)
	}
	is.Equal(sent, map[string]int{"e0": 1, "e1": 4})
	is.Equal(len(s.candidates(testStart.Add(loadReportTTL), "p").free), 1) // the load report has expired
}

func TestEngineWithSuspectTakesNoOtherItems(t *testing.T) {
	is := is.New(t)
	s, in := newTestEngines(2, 4, 3)
	c := s.candidates(testStart, "p")
	req := requirements{pool: "p", model: "m"}
	s.setIsolated(in[0], true)
	c.removeIfUnavailable(s.get(in[0]))
	is.Equal(c.choose(req).instance.Name, "e1")
	is.Equal(len(s.candidates(testStart, "p").free), 1)
	s.setIsolated(in[0], false)
	is.Equal(len(s.candidates(testStart, "p").free), 2)
}

func TestChooseSkipsBlockedFailedOldAndDrainingEngines(t *testing.T) {
	is := is.New(t)
	s, in := newTestEngines(3, 4, 3)
	req := requirements{pool: "p", model: "m", minVersion: 3}
	s.block(in[0], "m", testStart.Add(time.Second))
	s.recordFailure(testStart, in[1])
	is.Equal(s.candidates(testStart, "p").choose(req).instance.Name, "e2")
	req.minVersion = 4
	is.True(s.candidates(testStart, "p").choose(req) == nil)
	s.observeVersion(in[2], "m", 4)
	is.Equal(s.candidates(testStart, "p").choose(req).instance.Name, "e2")
	in[2].Draining = true
	is.True(s.candidates(testStart, "p").choose(req) == nil)
	req.minVersion, req.model = 0, "other"
	is.Equal(s.candidates(testStart, "p").choose(req).instance.Name, "e0") // only model m is blocked
}

func TestShouldMoveOnlyToMuchFasterEngineWithFreeSlots(t *testing.T) {
	is := is.New(t)
	s, in := newTestEngines(3, 4, 1)
	for range 40 {
		s.observeInterval(testStart, in[0], 160*time.Millisecond)
		s.observeInterval(testStart, in[1], 150*time.Millisecond)
		s.observeInterval(testStart, in[2], 40*time.Millisecond)
	}
	req := requirements{pool: "p", model: "m", avoidInstance: "e0"}
	is.True(s.candidates(testStart, "p").shouldMove(s.get(in[0]), 20, req))
	is.True(!s.candidates(testStart, "p").shouldMove(s.get(in[0]), 1, req)) // too few events remain
	is.True(!s.candidates(testStart, "p").shouldMove(s.get(in[2]), 20, requirements{pool: "p", model: "m", avoidInstance: "e2"}))
	for range 4 {
		s.requestStarted(in[2]) // the fast engine becomes full
	}
	is.True(!s.candidates(testStart, "p").shouldMove(s.get(in[0]), 20, req)) // the other engine with free slots is slow as well
}

func TestExpectedIntervalOfIdleSlowEngineDecays(t *testing.T) {
	is := is.New(t)
	s, in := newTestEngines(2, 4, 1)
	for range 40 {
		s.observeInterval(testStart, in[0], 200*time.Millisecond)
		s.observeInterval(testStart, in[1], 40*time.Millisecond)
	}
	e, best := s.get(in[0]), s.shortestInterval("p")
	is.True(e.expectedInterval(testStart, best) > 150*time.Millisecond)
	is.Equal(e.expectedInterval(testStart.Add(slowIntervalDecay), best), best)
}

func TestChoosePrefersEngineOfSameGroup(t *testing.T) {
	is := is.New(t)
	s, in := newTestEngines(3, 8, 1)
	s.requestStarted(in[1])
	req := requirements{pool: "p", model: "m", groupEngines: map[string]int{"e1": 1}}
	is.Equal(s.candidates(testStart, "p").choose(req).instance.Name, "e1")
	req.groupEngines = nil
	is.True(s.candidates(testStart, "p").choose(req).instance.Name != "e1")
}

// TestBurstPlacesLongItemsFirst covers a step after the loss of half of the engines: the long items, which decide when
// the step is complete, are placed before the short ones.
func TestBurstPlacesLongItemsFirst(t *testing.T) {
	is := is.New(t)
	s, _ := newTestEngines(4, 8, 1)
	var tasks []*task
	for i := range 80 {
		events := 10
		if i%10 == 9 {
			events = 150
		}
		tasks = append(tasks, &task{estimate: time.Duration(events) * 40 * time.Millisecond, deadline: testStart.Add(7500 * time.Millisecond)})
	}
	sortTasks(testStart, tasks)
	c := s.candidates(testStart, "p")
	placedLong, placed := 0, 0
	for _, t := range tasks {
		e := c.choose(requirements{pool: "p", model: "m"})
		if e == nil {
			break
		}
		s.requestStarted(e.instance)
		c.removeIfUnavailable(e)
		placed++
		if t.estimate > time.Second {
			placedLong++
		}
	}
	is.Equal(placed, 32)
	is.Equal(placedLong, 8)
}

// TestChooseSparesEnginesUsableByOtherModels covers steps of two models after a change of versions: half of the engines
// run the versions of both models, the others only that of the first model.
func TestChooseSparesEnginesUsableByOtherModels(t *testing.T) {
	is := is.New(t)
	s, in := newTestEngines(4, 4, 3)
	for _, i := range in[:2] {
		s.observeVersion(i, "other", 3)
	}
	c := s.candidates(testStart, "p")
	c.minVersions = map[string]int64{"m": 3, "other": 3}
	sent := map[string]int{}
	for range 8 {
		e := c.choose(requirements{pool: "p", model: "m", minVersion: 3})
		sent[e.instance.Name]++
		s.requestStarted(e.instance)
		c.removeIfUnavailable(e)
	}
	is.True(sent["e2"]+sent["e3"] >= 6) // engines that the other model can't use are preferred
	is.True(c.choose(requirements{pool: "p", model: "other", minVersion: 3}) != nil)
}

// TestChooseSparesEnginesUsableByNewerSteps replays the return of the store on the large deployment: two steps of a model
// arrive within half a second, and only the engines that loaded since run the version that the second one needs.
func TestChooseSparesEnginesUsableByNewerSteps(t *testing.T) {
	is := is.New(t)
	s, in := newTestEngines(4, 4, 3)
	s.observeVersion(in[0], "m", 5)
	c := s.candidates(testStart, "p")
	c.minVersions = map[string]int64{"m": 4}
	for range 12 {
		e := c.choose(requirements{pool: "p", model: "m", minVersion: 3})
		is.True(e.instance.Name != "e0")
		s.requestStarted(e.instance)
		c.removeIfUnavailable(e)
	}
	is.Equal(c.choose(requirements{pool: "p", model: "m", minVersion: 4}).instance.Name, "e0")
	is.Equal(c.choose(requirements{pool: "p", model: "m", minVersion: 3}).instance.Name, "e0") // the others are full
}

// TestFailedEngineGetsOneRequestUntilItAnswers replays the loss of a zone with 7 of 37 engines: after each cooldown the
// holder sent six items to each of them, and all stalled.
func TestFailedEngineGetsOneRequestUntilItAnswers(t *testing.T) {
	is := is.New(t)
	s, in := newTestEngines(1, 6, 1)
	s.recordFailure(testStart, in[0])
	retry := testStart.Add(cooldownMin)
	is.Equal(s.get(in[0]).freeSlots(retry), 1)
	s.requestStarted(in[0])
	is.Equal(len(s.candidates(retry, "p").free), 0)
	s.observeInterval(retry, in[0], 40*time.Millisecond)
	is.Equal(s.get(in[0]).freeSlots(retry), 5)
}

// TestConcurrentFailuresCountOnce replays a reset of all connections: six runs on an engine break off at once, which says
// no more about the engine than one that breaks off.
func TestConcurrentFailuresCountOnce(t *testing.T) {
	is := is.New(t)
	s, in := newTestEngines(1, 6, 1)
	for range 6 {
		s.recordFailure(testStart, in[0])
	}
	is.Equal(s.get(in[0]).cooldownUntil, testStart.Add(cooldownMin))
	s.recordFailure(testStart.Add(cooldownMin), in[0])
	is.Equal(s.get(in[0]).cooldownUntil, testStart.Add(cooldownMin+2*cooldownMin))
}

// TestTextWaitsForItsSoftwareVersionIfThatTakesLessThanARepeat covers a VM whose connections were all reset: each engine has just failed.
func TestTextWaitsForItsSoftwareVersionIfThatTakesLessThanARepeat(t *testing.T) {
	is := is.New(t)
	s, in := newTestEngines(3, 4, 3)
	for i, x := range in {
		x.SoftwareVersion = []string{"v1", "v1", "v2"}[i]
		s.recordFailure(testStart, x)
	}
	req := requirements{pool: "p", model: "m", minVersion: 3, continuing: true, software: "v1"}
	is.True(s.canContinue(testStart, req, cooldownMin))
	is.True(!s.canContinue(testStart, req, cooldownMin-1))
	later := testStart.Add(cooldownMin)
	is.True(s.canContinue(later, req, 0))
	req.minVersion = 4
	is.True(!s.canContinue(later, req, time.Hour)) // the engines have older weights
	req.minVersion, req.software = 3, "v3"
	is.True(!s.canContinue(later, req, time.Hour)) // gone
	req.software = "v2"
	in[2].Draining = true
	is.True(!s.canContinue(later, req, time.Hour))
}

// TestSingleVersionTextContinuesUnderItsVersion guards against a text of two weight versions on a route that allows one: engines with a newer
// version have free slots when the one that ran the item crashes.
func TestSingleVersionTextContinuesUnderItsVersion(t *testing.T) {
	is := is.New(t)
	s, in := newTestEngines(3, 2, 1)
	s.observeVersion(in[1], "m", 2)
	req := requirements{pool: "p", model: "m", minVersion: 1, avoidInstance: in[0].Name, continuing: true}
	for range 2 {
		s.requestStarted(in[2])
	}
	is.Equal(s.candidates(testStart, "p").choose(req).instance, in[1]) // any version continues the text
	req.textVersion = 1
	is.True(s.candidates(testStart, "p").choose(req) == nil) // only a full engine has the text's version
	is.True(s.canContinue(testStart, req, time.Second))      // so the item waits
	is.True(!s.candidates(testStart, "p").shouldMove(s.get(in[0]), 100, req))
	s.requestEnded(in[2])
	is.Equal(s.candidates(testStart, "p").choose(req).instance, in[2])
	for _, i := range []*fleet.Instance{in[0], in[2]} {
		s.block(i, "m", testStart.Add(2*time.Second)) // they load the newer version
	}
	is.True(!s.canContinue(testStart, req, time.Second)) // to generate the text again takes less time
	req.textVersion = 0
	is.True(s.canContinue(testStart, req, time.Second))
}
