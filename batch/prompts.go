package batch

import (
	"expvar"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/promptcache"
	"github.com/ibistrail/ibistrail/targets"
)

// promptRun is the run of an item in the estimate of its engine's memory.
type promptRun struct {
	cache *promptcache.Cache
	run   *promptcache.Run
	// held is the number of tokens of the prompt that the engine was expected to hold when the item was sent.
	held int
	// tokensPerEvent is that of the pool.
	tokensPerEvent int
}

// promptMetrics are the metrics about prompts whose parts are known.
type promptMetrics struct {
	// tokens counts the prompt tokens sent, and those of them that the engine was expected to hold.
	tokens *expvar.Map
	// heldFirstEvent and readFirstEvent measure the time from the start of a run to its first event, for prompts whose shared parts
	// the engine was expected to hold and for others.
	heldFirstEvent, readFirstEvent *process.Latency
}

func newPromptMetrics(m *process.Metrics) promptMetrics {
	return promptMetrics{m.SubMap("prompt_tokens"), m.Latency("item_first_event_held_seconds"), m.Latency("item_first_event_read_seconds")}
}

// setMemory sets the memory sizes of the engines from the pools table.
func (s *engines) setMemory(tables *fleet.Tables) {
	byPool := map[string]int{}
	for i := range tables.Pools {
		if p := &tables.Pools[i]; p.Engine != nil {
			byPool[p.Name] = max(0, p.Engine.MemoryTokens)
		}
	}
	s.partsPerEngine = promptcache.PartsPerCache(len(s.byKey))
	for _, e := range s.byKey {
		e.memoryTokens = byPool[e.instance.Pool]
		if e.memoryTokens == 0 {
			e.prompts = nil
		} else if e.prompts != nil {
			e.prompts.Resize(e.memoryTokens, s.partsPerEngine)
		}
	}
}

// readingRate returns the reading rate of a pool's engines.
func (s *engines) readingRate(pool string) *promptcache.Rate {
	r := s.readingRates[pool]
	if r == nil {
		r = &promptcache.Rate{}
		s.readingRates[pool] = r
	}
	return r
}

// forgetPrompts forgets the prompts of a model that an engine holds, as it loads new weights.
func (s *engines) forgetPrompts(in *fleet.Instance, model string) {
	if e := s.get(in); e != nil && e.prompts != nil {
		e.prompts.Forget(model)
	}
}

// setPromptVersion forgets the prompts of a model if the engine runs another version than before.
func (e *engine) setPromptVersion(model string, version int64) {
	if e.prompts != nil {
		e.prompts.SetVersion(model, version)
	}
}

// heldTokens returns the number of tokens of a prompt that the engine is expected to hold.
func (e *engine) heldTokens(now time.Time, p *promptcache.Prompt) int {
	if e.prompts == nil {
		return 0
	}
	return e.prompts.Held(now, p)
}

// storedPrompts returns the number of tokens that the engine is expected to hold.
func (e *engine) storedPrompts() int {
	if e.prompts == nil {
		return 0
	}
	return e.prompts.Stored()
}

// promptInputs returns the inputs of the weighing of the engine for an item with a prompt, without the costs of load and speed.
func (e *engine) promptInputs(now time.Time, req requirements, shortest time.Duration, tokensPerMs float64) promptcache.Inputs {
	if shortest <= 0 {
		shortest = initialInterval
	}
	in := promptcache.Inputs{
		Held: e.heldTokens(now, req.prompt), Shared: req.prompt.SharedTokens(), Prompt: req.prompt.Tokens(), Output: req.outputTokens,
		Free: e.memoryTokens, Capacity: e.memoryTokens, Running: e.inflight,
		RunTime: time.Duration(req.remainingEvents) * shortest, RunTimeHere: time.Duration(req.remainingEvents) * e.expectedInterval(now, shortest),
		TimeLeft: req.timeLeft, TokensPerMs: tokensPerMs,
	}
	if e.prompts != nil {
		in.Free, in.InUse = e.prompts.Free(), e.prompts.InUse()
	}
	return in
}

// noDeadline is the time left of items of a route without a deadline.
const noDeadline = time.Hour

// setPrompt completes the requirements of an item whose prompt's parts are known. Suspects don't follow their prompts, since a crash would
// end the runs of their group.
func (r *runner) setPrompt(req *requirements, now time.Time, t *task) {
	if r.ignorePrompts || t.suspect || t.job.prompt == nil {
		return
	}
	req.prompt, req.timeLeft = t.job.prompt, t.timeLeft(now)
	req.remainingEvents, req.outputTokens = t.job.remainingEvents(t.tokensPerEvent), t.job.outputTokens(t.tokensPerEvent)
}

// timeLeft returns the time until the item's deadline.
func (t *task) timeLeft(now time.Time) time.Duration {
	if t.route.RunDeadline <= 0 {
		return noDeadline
	}
	return t.deadline.Sub(now)
}

// Limits of the items that another one lets go first.
const (
	// overtakeWindow is the largest difference between the latest starts of an item and one that goes before it. The long items of a
	// step decide when it ends; estimates are whole events of some 40 ms, and rarely as exact.
	overtakeWindow = 100 * time.Millisecond
	// maxOvertakeScan is the number of items among which one is looked for.
	maxOvertakeScan = 128
)

// bringFollower moves an item to the front of the sorted tasks whose prompt is held by the engine that the first one would get, if the
// first one's is not and it has time to spare. While all slots are occupied, each slot that becomes free goes to the next item whatever
// its engine holds; so the order decides what is read again.
func (r *runner) bringFollower(now time.Time, c *candidates, tasks []*task) {
	first := tasks[0]
	if r.ignorePrompts || len(tasks) == 1 || len(c.free) == 0 || c.free[0].memoryTokens == 0 || !first.mayFollow(now) {
		return
	}
	e := c.choose(r.requirements(now, first, nil))
	if e == nil || e.prompts == nil || e.holds(now, first.job.prompt) {
		return
	}
	for i, t := range tasks[1:min(len(tasks), maxOvertakeScan)] {
		if t.latestStart().Sub(first.latestStart()) > overtakeWindow {
			return
		}
		if t.route.Pool == first.route.Pool && t.resubmittedGroup == first.resubmittedGroup && t.mayFollow(now) && e.holds(now, t.job.prompt) &&
			c.excluded(e, r.requirements(now, t, nil)) == "" {
			copy(tasks[1:i+2], tasks[:i+1])
			tasks[0] = t
			return
		}
	}
}

// mayFollow reports whether the item has a prompt with shared parts, time to spare and no text to continue.
func (t *task) mayFollow(now time.Time) bool {
	return t.job.prompt != nil && t.job.prompt.SharedTokens() > 0 && !t.suspect && len(t.job.events) == 0 && promptcache.Patience(t.estimate, t.timeLeft(now)) == 1
}

// holds reports whether the engine is expected to hold all shared parts of a prompt.
func (e *engine) holds(now time.Time, p *promptcache.Prompt) bool {
	return e.heldTokens(now, p) >= p.SharedTokens()
}

// outputTokens returns the expected output of the item.
func (j *job) outputTokens(tokensPerEvent int) int {
	return (j.remainingEvents(tokensPerEvent) + len(j.events)) * max(1, tokensPerEvent)
}

// startPrompt records that the item's prompt is sent to an engine.
func (r *runner) startPrompt(j *job, e *engine, now time.Time, tokensPerEvent int) {
	if j.prompt == nil || e.memoryTokens == 0 {
		return
	}
	if e.prompts == nil {
		e.prompts = promptcache.New(e.memoryTokens, r.engines.partsPerEngine)
		e.prompts.SetVersion(j.head.Model, e.versions[j.head.Model])
	}
	held := e.prompts.Held(now, j.prompt)
	r.promptMetrics.tokens.Add("sent", int64(j.prompt.Tokens()))
	r.promptMetrics.tokens.Add("held", int64(held))
	j.promptRun = &promptRun{cache: e.prompts, run: e.prompts.Start(now, j.prompt, j.outputTokens(tokensPerEvent)), held: held, tokensPerEvent: tokensPerEvent}
}

// endPrompt records the end of the current run and returns the number of tokens of the prompt that its engine was expected to hold.
func (r *runner) endPrompt(now time.Time, j *job) int {
	p := j.promptRun
	if p == nil {
		return 0
	}
	j.promptRun = nil
	p.cache.End(now, p.run, !j.firstEventAt.IsZero(), len(j.events)*max(1, p.tokensPerEvent))
	return p.held
}

// observeFirstEvent measures the time to the first event of a run. Runs that continue a text are left out, since their engines read the
// text as well.
func (r *runner) observeFirstEvent(j *job, call *targets.Call) {
	p := j.promptRun
	if p == nil || call.ResumeAfter > 0 {
		return
	}
	metric := r.promptMetrics.readFirstEvent
	if shared := j.prompt.SharedTokens(); shared > 0 && p.held >= shared {
		metric = r.promptMetrics.heldFirstEvent
	}
	metric.Observe(j.firstEventDelay())
	if j.via == "" {
		r.engines.readingRate(call.Instance.Pool).Observe(j.prompt.Tokens()-p.held, j.firstEventDelay())
	}
}

// slowdown returns the factor on the time that an engine gets for an event.
func (r *runner) slowdown(in *fleet.Instance) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.engines.get(in); e != nil {
		return e.workFigure.slowdown(time.Now())
	}
	return 1
}
