package batch

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/crashes"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/promptcache"
	"github.com/ibistrail/ibistrail/targets"
)

// promptBench places items with prompts on engines of 6 slots, as the runner does, without a network.
type promptBench struct {
	*runner
	instances []*fleet.Instance
	now       time.Time
	sent      map[string]int // items by engine
	jobs      []*job
	items     int
	suspect   bool // of the items placed next
}

func newPromptBench(engines, memoryTokens int) *promptBench {
	b := &promptBench{runner: newRunner(Options{AvailabilityZone: "a", View: fleet.NewView(), Log: slog.New(slog.DiscardHandler), Metrics: process.NewMetrics()}), now: testStart, sent: map[string]int{}}
	b.engines, b.instances = newTestEngines(engines, 6, 3)
	b.setMemory(memoryTokens)
	return b
}

func (b *promptBench) setMemory(tokens int) {
	b.engines.setMemory(&fleet.Tables{Pools: []fleet.Pool{{Pool: config.Pool{Name: "p"}, Engine: &fleet.Engine{MemoryTokens: tokens}}}})
}

// place sends an item of a group with a shared part of 600 tokens, 25 events of an expected output of 250 tokens, and the given time
// left. It returns the engine.
func (b *promptBench) place(group string, left time.Duration) *engine {
	return b.placeTask(b.task(group, left, time.Second))
}

func (b *promptBench) task(group string, left, estimate time.Duration) *task {
	b.items++
	j := &job{
		head: &Head{ID: "b", Model: "m", MinVersion: 3}, item: &Item{ID: fmt.Sprint(b.items), Group: group, ExpectedTokens: 250}, state: jobRunning,
		prompt: promptcache.NewPrompt("m", []promptcache.Part{{ID: group, Tokens: 600}, {ID: fmt.Sprint("own", b.items), Tokens: 200}}),
	}
	route := &fleet.Route{Route: config.Route{Pool: "p"}, RunDeadline: time.Minute}
	return &task{job: j, route: route, deadline: b.now.Add(left), estimate: estimate, tokensPerEvent: 10, suspect: b.suspect}
}

// placeTask sends an item to the engine of the choice, or returns nil if there is none.
func (b *promptBench) placeTask(t *task) *engine {
	j := t.job
	groupEngines := map[string]map[string]int{}
	for _, other := range b.jobs {
		if other.instance != nil {
			countGroupEngine(groupEngines, other)
		}
	}
	e := b.engines.candidates(b.now, "p").choose(b.requirements(b.now, t, groupEngines[groupKey(j)]))
	if e == nil {
		return nil
	}
	b.startPrompt(j, e, b.now, t.tokensPerEvent)
	b.engines.requestStarted(e.instance)
	j.instance = e.instance
	b.jobs = append(b.jobs, j)
	b.sent[e.instance.Name]++
	return e
}

// complete ends all runs, each with 25 events.
func (b *promptBench) complete() {
	for _, j := range b.jobs {
		j.firstEventAt, j.events = b.now, make([]string, 25)
		b.endPrompt(b.now, j)
		b.engines.requestEnded(j.instance)
	}
	b.jobs, b.sent = nil, map[string]int{}
}

func (b *promptBench) held() int64 { return promptTokens(b.runner, "held") }

func promptTokens(r *runner, name string) int64 {
	n, ok := r.promptMetrics.tokens.Get(name).(interface{ Value() int64 })
	if !ok {
		return 0
	}
	return n.Value()
}

const muchTime = 30 * time.Second

// TestGroupFollowsItsFirstItemWhileItsEngineHasRoom covers what a day showed: 62 % of the prompt tokens read were shared parts that
// engines read again, since a group of 12 was spread over 6 engines.
func TestGroupFollowsItsFirstItemWhileItsEngineHasRoom(t *testing.T) {
	is := is.New(t)
	b := newPromptBench(6, 20_000)
	for range 12 {
		b.place("a", muchTime)
	}
	is.Equal(len(b.sent), 2) // 12 items need two engines of 6 slots
	is.Equal(b.held(), int64(10*600))
	for range 24 { // the slots of the others serve the next group; no item waits for an engine that holds its prompt
		is.True(b.place("z", muchTime) != nil)
	}
	is.Equal(len(b.sent), 6)
	is.True(b.place("a", muchTime) == nil)
}

// TestHotPromptAmongColdOnesKeepsItsEngine covers one prompt that returns between many that don't.
func TestHotPromptAmongColdOnesKeepsItsEngine(t *testing.T) {
	is := is.New(t)
	b := newPromptBench(4, 12_000)
	home := b.place("hot", muchTime)
	for round := range 20 {
		b.complete()
		b.now = b.now.Add(time.Second)
		for i := range 8 {
			b.place(fmt.Sprintf("cold%d.%d", round, i), muchTime)
		}
		is.Equal(b.place("hot", muchTime), home)
		is.True(home.prompts.Stored() <= 12_000)
	}
}

// TestFullEngineIsNoHome covers an engine without free memory or slots.
func TestFullEngineIsNoHome(t *testing.T) {
	is := is.New(t)
	b := newPromptBench(2, 2_600) // room for the prompts and outputs of 4 items of a group
	for range 4 {
		is.Equal(b.place("a", muchTime).instance.Name, "e0")
	}
	is.Equal(b.place("a", muchTime).instance.Name, "e1")
	for range 7 {
		is.True(b.place("a", muchTime) != nil) // memory that is short refuses nothing
	}
}

// TestRestartedOrReloadedEngineHoldsNothing covers the ends of an estimate.
func TestRestartedOrReloadedEngineHoldsNothing(t *testing.T) {
	prompt := promptcache.NewPrompt("m", []promptcache.Part{{ID: "a", Tokens: 600}, {ID: "x", Tokens: 1}})
	for name, end := range map[string]func(b *promptBench, in *fleet.Instance){
		"restart": func(b *promptBench, in *fleet.Instance) {
			restarted := *in
			restarted.StartedMs = 9
			b.engines.update([]*fleet.Instance{&restarted})
			b.setMemory(20_000)
		},
		"load of the same version": func(b *promptBench, in *fleet.Instance) { b.engines.forgetPrompts(in, "m") },
		"answer with another version": func(b *promptBench, in *fleet.Instance) {
			b.engines.observeVersion(in, "m", 2)
		},
		"registration with another version": func(b *promptBench, in *fleet.Instance) {
			loaded := *in
			loaded.Versions = map[string]int64{"m": 4}
			b.engines.update([]*fleet.Instance{&loaded})
		},
		"memory unknown": func(b *promptBench, _ *fleet.Instance) { b.setMemory(0) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newPromptBench(1, 20_000)
			b.place("a", muchTime)
			is.Equal(b.engines.get(b.instances[0]).heldTokens(b.now, prompt), 600)
			end(b, b.instances[0])
			for range 2 {
				for _, e := range b.engines.byKey {
					is.Equal(e.heldTokens(b.now, prompt), 0)
				}
				b.complete() // a run that began before does not bring the prompt back
			}
		})
	}
}

// TestSlowEngineWithThePromptLosesToAFastOne covers a saving of a millisecond against a run that takes twice as long.
func TestSlowEngineWithThePromptLosesToAFastOne(t *testing.T) {
	is := is.New(t)
	b := newPromptBench(2, 20_000)
	home := b.place("a", muchTime)
	for range 40 {
		b.engines.observeInterval(b.now, b.instances[0], 80*time.Millisecond)
		b.engines.observeInterval(b.now, b.instances[1], 40*time.Millisecond)
	}
	is.True(b.place("a", muchTime) != home)
	is.True(b.engines.candidates(b.now, "p").free[0] == home) // it stays in use
}

// TestGroupNearItsDeadlineIsSpread guards against items that follow a prompt to a crowded engine while their step is late.
func TestGroupNearItsDeadlineIsSpread(t *testing.T) {
	is := is.New(t)
	b := newPromptBench(8, 20_000)
	for range 16 {
		b.place("a", 1100*time.Millisecond) // a run takes 1 s
	}
	is.Equal(len(b.sent), 8)
	for _, n := range b.sent {
		is.Equal(n, 2)
	}
}

// TestFreedSlotGoesToAnItemWhosePromptTheEngineHolds covers a deployment whose slots are all occupied: the order of the waiting items
// decides what is read again. It guards against an item that is overtaken although its time is short or its run is long.
func TestFreedSlotGoesToAnItemWhosePromptTheEngineHolds(t *testing.T) {
	is := is.New(t)
	first := func(change func(b *promptBench, tasks []*task)) *task {
		b := newPromptBench(1, 20_000)
		b.place("a", muchTime)
		tasks := []*task{b.task("b", muchTime, time.Second), b.task("c", muchTime, time.Second), b.task("a", muchTime, time.Second), b.task("a", muchTime, time.Second)}
		change(b, tasks)
		order := append([]*task(nil), tasks...)
		b.bringFollower(b.now, b.engines.candidates(b.now, "p"), tasks)
		if tasks[0] == order[0] {
			is.Equal(tasks, order)
			return nil
		}
		is.Equal(tasks[1:], append(order[:2:2], order[3])) // the others keep their order
		return tasks[0]
	}
	is.Equal(first(func(*promptBench, []*task) {}).job.item.Group, "a")
	for _, change := range []func(b *promptBench, tasks []*task){
		func(b *promptBench, _ []*task) { b.ignorePrompts = true },
		func(b *promptBench, _ []*task) { b.setMemory(0) },
		func(b *promptBench, tasks []*task) {
			for _, t := range tasks {
				t.deadline = b.now.Add(1500 * time.Millisecond)
			}
		},
		func(_ *promptBench, tasks []*task) {
			tasks[2].job.avoidInstance, tasks[3].job.avoidInstance = "e0", "e0"
		},
		func(_ *promptBench, tasks []*task) { tasks[0].estimate += 2 * overtakeWindow },
		func(_ *promptBench, tasks []*task) { tasks[0].resubmittedGroup = true },
		func(_ *promptBench, tasks []*task) { tasks[2].suspect, tasks[3].suspect = true, true },
		func(b *promptBench, _ []*task) { b.engines.resetVersion(b.instances[0], "m", 2) },
	} {
		is.Equal(first(change), nil)
	}
}

// TestSuspectDoesNotFollowItsPrompt guards against an item that crashes an engine full of its group.
func TestSuspectDoesNotFollowItsPrompt(t *testing.T) {
	is := is.New(t)
	b := newPromptBench(2, 20_000)
	for range 3 {
		b.place("a", muchTime)
	}
	b.suspect = true
	is.Equal(b.place("a", muchTime).instance.Name, "e1")
}

// TestWithoutPromptDataTheChoiceIsAsBefore compares with the constant bonus for a group's engines.
func TestWithoutPromptDataTheChoiceIsAsBefore(t *testing.T) {
	is := is.New(t)
	place := func(change func(b *promptBench)) map[string]int {
		b := newPromptBench(6, 20_000)
		change(b)
		for range 12 {
			b.place("a", muchTime)
		}
		return b.sent
	}
	before := map[string]int{"e0": 2, "e1": 2, "e2": 2, "e3": 2, "e4": 2, "e5": 2}
	is.Equal(place(func(b *promptBench) { b.setMemory(0) }), before)
	var ignoring *promptBench
	is.Equal(place(func(b *promptBench) { b.ignorePrompts, ignoring = true, b }), before)
	is.Equal(ignoring.held(), int64(6*600)) // the estimate is kept for the comparison
	is.Equal(promptTokens(ignoring.runner, "sent"), int64(12*800))
}

// promptClient refuses the first calls and answers the others with one event.
type promptClient struct {
	targets.Client
	refusals, events int
}

func (c *promptClient) Do(context.Context, *targets.Call) (*targets.Response, error) {
	c.refusals--
	return &targets.Response{Status: 200, NotExecuted: c.refusals >= 0, Body: io.NopCloser(strings.NewReader("")), Version: 3, Load: &targets.Load{Running: 1, Slots: 6, WorkPercent: 150}}, nil
}

func (c *promptClient) Events(io.Reader) targets.EventReader { c.events = 0; return c }

func (c *promptClient) Next() (targets.Event, error) {
	if c.events++; c.events > 1 {
		return targets.Event{}, io.EOF
	}
	return targets.Event{ID: 1, Data: "text"}, nil
}

// TestFirstEventsAreMeasuredByWhatTheEngineHeld covers the path of a run from its send to the metrics.
func TestFirstEventsAreMeasuredByWhatTheEngineHeld(t *testing.T) {
	is := is.New(t)
	b := newPromptBench(1, 20_000)
	b.client = &promptClient{refusals: 1}
	b.crashes = crashes.New(crashes.Options{Log: b.log, Metrics: process.NewMetrics()})
	b.appendResult = func(*partition, string, resultMeta, string) {}
	b.now = time.Now()
	for run := range 4 {
		e := b.place("a", muchTime)
		j := b.jobs[len(b.jobs)-1]
		j.startedAt = time.Now()
		b.attempt(t.Context(), t.Context(), func() {}, j, &targets.Call{Instance: e.instance})
		is.Equal(e.heldTokens(b.now, j.prompt) > 0, run > 0) // a refused run read nothing
		b.engines.block(e.instance, "m", time.Time{})
	}
	is.Equal(b.promptMetrics.readFirstEvent.Quantiles().Count, int64(1))
	is.Equal(b.promptMetrics.heldFirstEvent.Quantiles().Count, int64(2))
	is.Equal(b.engines.get(b.instances[0]).prompts.InUse(), 0)
	is.Equal(b.slowdown(b.instances[0]), 1.5)
}

// TestLoadFigureDecaysToTheMeasuredInterval covers an engine whose machine becomes slow and tells so.
func TestLoadFigureDecaysToTheMeasuredInterval(t *testing.T) {
	is := is.New(t)
	s, in := newTestEngines(2, 6, 3)
	e, interval := s.get(in[0]), 40*time.Millisecond
	for range 40 {
		s.observeInterval(testStart, in[0], interval)
	}
	for _, absurd := range []int{0, -5, 1, 1 << 40} { // these never make an engine preferred
		s.observeLoad(testStart, in[0], &targets.Load{WorkPercent: absurd})
		is.Equal(e.expectedInterval(testStart, interval), e.eventInterval)
	}
	s.observeLoad(testStart, in[0], &targets.Load{WorkPercent: 100})
	s.observeLoad(testStart, in[0], &targets.Load{WorkPercent: 200})
	is.Equal(e.expectedInterval(testStart, interval), 2*e.eventInterval)
	is.Equal(s.candidates(testStart, "p").choose(requirements{pool: "p", model: "m"}).instance.Name, "e1")
	is.Equal(len(s.candidates(testStart, "p").free), 2) // a slow engine stays in use
	is.Equal(e.workFigure.slowdown(testStart), 2.0)
	is.Equal(e.expectedInterval(testStart.Add(workFigureTTL), interval), e.observedInterval(testStart.Add(workFigureTTL), interval))
	for range 40 {
		s.observeInterval(testStart, in[0], 2*interval)
	}
	got := e.expectedInterval(testStart, interval)
	is.True(got > 78*time.Millisecond && got < 82*time.Millisecond) // the figure isn't counted twice
}
