package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/targets"
)

var start = time.Unix(1_800_000_000, 0)

// someEngines returns engines with versions and slots.
func someEngines(n, slots int, version int64) (*engines, []*fleet.Instance) {
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

func TestLongItemsStartFirstAndLateOnesLast(t *testing.T) {
	is := is.New(t)
	newTask := func(need, due time.Duration, carried bool) *task {
		return &task{need: need, due: start.Add(due), carried: carried}
	}
	short, long := newTask(time.Second, 7*time.Second, false), newTask(6*time.Second, 7*time.Second, false)
	overdue, carried := newTask(9*time.Second, -time.Millisecond, false), newTask(time.Second, 7*time.Second, true)
	tasks := []*task{overdue, short, long, carried}
	sortTasks(start, tasks)
	is.True(tasks[0] == carried && tasks[1] == long && tasks[2] == short && tasks[3] == overdue)
}

// TestOverestimatedItemsKeepTheirTurn replays a step that waited 3 s for engines: a long item whose
// estimate says that it cannot be in time any more still goes before the short ones, since its length
// decides when the step ends and its estimate may be wrong.
func TestOverestimatedItemsKeepTheirTurn(t *testing.T) {
	is := is.New(t)
	due := start.Add(7500 * time.Millisecond)
	short, long := &task{need: time.Second, due: due}, &task{need: 10 * time.Second, due: due}
	tasks := []*task{short, long}
	sortTasks(start.Add(3*time.Second), tasks)
	is.Equal(tasks[0], long)
}

func TestEnginesGetNoMoreThanTheyRun(t *testing.T) {
	is := is.New(t)
	s, in := someEngines(2, 4, 3)
	s.loaded(start, in[0], &targets.Load{Running: 3}) // by other VMs
	f := s.field(start, "p")
	sent := map[string]int{}
	for {
		e := f.choose(request{pool: "p", model: "m", least: 2})
		if e == nil {
			break
		}
		sent[e.instance.Name]++
		s.started(e.instance)
		f.taken(e)
	}
	is.Equal(sent, map[string]int{"e0": 1, "e1": 4})
	is.Equal(len(s.field(start.Add(loadTTL), "p").free), 1) // what others said is forgotten
}

func TestOldVersionsLoadsAndFailuresKeepItemsOff(t *testing.T) {
	is := is.New(t)
	s, in := someEngines(3, 4, 3)
	q := request{pool: "p", model: "m", least: 3}
	s.block(in[0], "m", start.Add(time.Second))
	s.failed(start, in[1])
	is.Equal(s.field(start, "p").choose(q).instance.Name, "e2")
	q.least = 4
	is.True(s.field(start, "p").choose(q) == nil)
	s.versioned(in[2], "m", 4)
	is.Equal(s.field(start, "p").choose(q).instance.Name, "e2")
	in[2].Draining = true
	is.True(s.field(start, "p").choose(q) == nil)
	q.least, q.model = 0, "other"
	is.Equal(s.field(start, "p").choose(q).instance.Name, "e0") // the load concerns one model
}

func TestItemsLeaveSlowEnginesOnce(t *testing.T) {
	is := is.New(t)
	s, in := someEngines(3, 4, 1)
	for range 40 {
		s.paced(start, in[0], 160*time.Millisecond)
		s.paced(start, in[1], 150*time.Millisecond)
		s.paced(start, in[2], 40*time.Millisecond)
	}
	q := request{pool: "p", model: "m", avoid: "e0"}
	is.True(s.field(start, "p").slower(s.get(in[0]), 20, q))
	is.True(!s.field(start, "p").slower(s.get(in[0]), 1, q)) // too little is left
	is.True(!s.field(start, "p").slower(s.get(in[2]), 20, request{pool: "p", model: "m", avoid: "e2"}))
	for range 4 {
		s.started(in[2]) // the fast one is full
	}
	is.True(!s.field(start, "p").slower(s.get(in[0]), 20, q)) // nothing is won at another slow one
}

func TestSlowEngineIsTriedAgain(t *testing.T) {
	is := is.New(t)
	s, in := someEngines(2, 4, 1)
	for range 40 {
		s.paced(start, in[0], 200*time.Millisecond)
		s.paced(start, in[1], 40*time.Millisecond)
	}
	e, best := s.get(in[0]), s.bestPace("p")
	is.True(e.currentPace(start, best) > 150*time.Millisecond)
	is.Equal(e.currentPace(start.Add(paceMemory), best), best)
}

func TestGroupStaysWhereItsPromptWasRead(t *testing.T) {
	is := is.New(t)
	s, in := someEngines(3, 8, 1)
	s.started(in[1])
	q := request{pool: "p", model: "m", hosts: map[string]int{"e1": 1}}
	is.Equal(s.field(start, "p").choose(q).instance.Name, "e1")
	q.hosts = nil
	is.True(s.field(start, "p").choose(q).instance.Name != "e1")
}

// TestBurstWithHalfOfTheEnginesGone replays a step of which half of the engines is lost: the long
// items that decide when the step is whole are placed before the short ones.
func TestBurstWithHalfOfTheEnginesGone(t *testing.T) {
	is := is.New(t)
	s, _ := someEngines(4, 8, 1)
	var tasks []*task
	for i := range 80 {
		events := 10
		if i%10 == 9 {
			events = 150
		}
		tasks = append(tasks, &task{need: time.Duration(events) * 40 * time.Millisecond, due: start.Add(7500 * time.Millisecond)})
	}
	sortTasks(start, tasks)
	f := s.field(start, "p")
	placedLong, placed := 0, 0
	for _, t := range tasks {
		e := f.choose(request{pool: "p", model: "m"})
		if e == nil {
			break
		}
		s.started(e.instance)
		f.taken(e)
		placed++
		if t.need > time.Second {
			placedLong++
		}
	}
	is.Equal(placed, 32)
	is.Equal(placedLong, 8)
}

// TestItemsLeaveEnginesToModelsThatHaveFew replays two models' steps after a change of versions: half of
// the engines run both models' versions, the others only the first one's.
func TestItemsLeaveEnginesToModelsThatHaveFew(t *testing.T) {
	is := is.New(t)
	s, in := someEngines(4, 4, 3)
	for _, i := range in[:2] {
		s.versioned(i, "other", 3)
	}
	f := s.field(start, "p")
	f.wanted = map[string]int64{"m": 3, "other": 3}
	sent := map[string]int{}
	for range 8 {
		e := f.choose(request{pool: "p", model: "m", least: 3})
		sent[e.instance.Name]++
		s.started(e.instance)
		f.taken(e)
	}
	is.True(sent["e2"]+sent["e3"] >= 6) // the engines that only they can use come first
	is.True(f.choose(request{pool: "p", model: "other", least: 3}) != nil)
}
