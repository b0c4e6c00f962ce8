package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/promptcache"
)

// Weights in the cost of an engine, as fractions of its slots: a full engine costs as much as a run that takes twice as long.
const (
	// groupBonus is subtracted for an engine that runs items of the group, if the parts of the prompt or the engine's memory are
	// unknown.
	groupBonus = 0.3
	// zoneCost is added for an engine in another availability zone, where traffic is charged by the byte.
	zoneCost = 0.1
	// sharedCost is added for an engine that all other models could use as well: half of its slots are
	// kept for them while other engines have free slots.
	sharedCost = 0.5
	// newerStepCost is added for an engine that newer steps of the same model could use, if the item's step accepts older
	// versions: after a burst of versions few engines can run the newest steps.
	newerStepCost = 1
	// rateLimitCost is added for an engine that has named a rate limit: others are used first while they have free slots.
	rateLimitCost = 0.5
)

// task is an item that waits for an engine.
type task struct {
	job   *job
	route *fleet.Route
	// deadline is the time at which the submission's results are due.
	deadline time.Time
	// estimate is the expected run time of the item, repeatTime that of generating its unfinished text again.
	estimate, repeatTime time.Duration
	// resubmittedGroup is set if an earlier submission had items of the group: the trainer waits for these in any case.
	resubmittedGroup bool
	// tokensPerEvent is that of the pool.
	tokensPerEvent int
	// suspect is set if an engine crashed while it ran the item. Suspects run apart from each other, so that the next crash
	// shows which of them is the cause.
	suspect bool
}

// latestStart returns the time by which the item must start to meet its deadline.
func (t *task) latestStart() time.Time { return t.deadline.Add(-t.estimate) }

// overdue reports whether the item's deadline has passed. An item that can no longer meet its deadline according
// to its estimate is not overdue yet: the callers' estimates are often far off, and the longest items decide when
// a step ends.
func (t *task) overdue(now time.Time) bool { return now.After(t.deadline) }

// sortTasks sorts by latest start, with items of resubmitted groups first and overdue items last. Submissions
// arrive as bursts in which a few long items decide when the step is complete.
func sortTasks(now time.Time, tasks []*task) {
	slices.SortStableFunc(tasks, func(a, b *task) int {
		aOverdue, bOverdue := a.overdue(now), b.overdue(now)
		if aOverdue != bOverdue {
			if bOverdue {
				return -1
			}
			return 1
		}
		if a.resubmittedGroup != b.resubmittedGroup {
			if a.resubmittedGroup {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.latestStart().UnixNano(), b.latestStart().UnixNano())
	})
}

// requirements are the conditions that an engine must meet to run an item, and preferences among such engines.
type requirements struct {
	pool, model string
	minVersion  int64
	az          string
	// groupEngines counts the running items of the same group, by instance name.
	groupEngines  map[string]int
	avoidInstance string
	// continuing is set if the item has a text, which only engines of the software version that began it can continue.
	continuing bool
	software   string
	// textVersion is the only weight version that may continue the item's text; 0 if any may that the submission accepts.
	textVersion int64
	// withoutRateLimit excludes engines that have named a rate limit.
	withoutRateLimit bool
	// prompt is the item's prompt; nil if its parts are unknown. Then the fields below are not used.
	prompt *promptcache.Prompt
	// outputTokens is the expected output, remainingEvents the expected number of events.
	outputTokens, remainingEvents int
	// timeLeft is the time until the item's deadline.
	timeLeft time.Duration
}

// anyVersion returns the requirements of the item without its text.
func (q requirements) anyVersion() requirements {
	q.continuing, q.textVersion = false, 0
	return q
}

// versionKey identifies a weight version that texts need to go on.
type versionKey struct {
	pool, model string
	version     int64
}

// candidates holds the engines of a pool that have free slots, for one pass over the waiting items.
type candidates struct {
	now              time.Time
	shortestInterval time.Duration // of all engines of the pool
	// tokensPerMs is the rate at which the engines read prompts.
	tokensPerMs float64
	free        []*engine
	// minVersions are the oldest versions that the newest open steps accept, by model.
	minVersions map[string]int64
	// rateLimited holds the free engines that have named a rate limit.
	rateLimited map[*engine]bool
	// atRateLimit counts the engines that were left out because they are at their rate limits.
	atRateLimit int
}

// candidates returns the engines of a pool to which a request may be sent now.
func (s *engines) candidates(now time.Time, pool string) *candidates {
	c := &candidates{now: now, shortestInterval: s.shortestInterval(pool), tokensPerMs: s.readingRate(pool).TokensPerMs()}
	for _, e := range s.byKey {
		if e.instance.Pool == pool && s.unavailable(now, e) == "" {
			c.free = append(c.free, e)
		}
	}
	slices.SortFunc(c.free, func(a, b *engine) int { return cmp.Compare(a.instance.Name, b.instance.Name) })
	return c
}

// unavailable returns why no request may be sent to an engine now; it is empty if one may.
func (s *engines) unavailable(now time.Time, e *engine) string {
	switch {
	case s.states.Draining(e.instance):
		return "it leaves"
	case e.isolated:
		return "it runs a suspect alone"
	case now.Before(e.cooldownUntil):
		return "it has failed and is given a pause"
	case e.freeSlots(now) <= 0:
		return "it has no free slot"
	}
	return ""
}

// choose returns the engine with the lowest cost that meets the requirements, or nil if there is none.
func (c *candidates) choose(req requirements) *engine {
	var best *engine
	var bestCost float64
	for _, e := range c.free {
		if c.excluded(e, req) != "" {
			continue
		}
		if cost := c.cost(e, req); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// excluded returns why a free engine does not run an item with these requirements; it is empty if it may.
func (c *candidates) excluded(e *engine, req requirements) string {
	switch {
	case e.instance.Name == req.avoidInstance:
		return "the item's last run there failed"
	case c.now.Before(e.blockedUntil[req.model]):
		return "it loads weights or has just refused a request"
	case !e.hasWeights(req):
		return "its weights are too old"
	case !e.runs(req):
		return "another software or weight version began the text"
	case req.withoutRateLimit && c.rateLimited[e]:
		return "it has named a rate limit"
	}
	return ""
}

// cost returns the cost of running an item on an engine, with regard to the other items that wait.
func (c *candidates) cost(e *engine, req requirements) float64 {
	cost := e.cost(c.now, req, c.shortestInterval, c.tokensPerMs) + sharedCost*c.shareOfOtherModels(e, req.model)
	if c.rateLimited[e] {
		cost += rateLimitCost
	}
	if newest := c.minVersions[req.model]; req.minVersion < newest && e.versions[req.model] >= newest {
		cost += newerStepCost
	}
	return cost
}

// shareOfOtherModels returns the fraction of the other models whose newest steps the engine could run. If only few
// engines run the versions that those steps accept, an item should use an engine that the others can't use.
func (c *candidates) shareOfOtherModels(e *engine, model string) float64 {
	others, usable := 0, 0
	for m, minVersion := range c.minVersions {
		if m == model {
			continue
		}
		others++
		if e.versions[m] >= minVersion {
			usable++
		}
	}
	if others == 0 {
		return 0
	}
	return float64(usable) / float64(others)
}

// remove removes an engine that takes no more requests in this pass.
func (c *candidates) remove(e *engine) {
	c.free = slices.DeleteFunc(c.free, func(x *engine) bool { return x == e })
}

// removeIfUnavailable removes an engine that takes no more requests after one was sent to it.
func (c *candidates) removeIfUnavailable(e *engine) {
	if e.isolated || e.freeSlots(c.now) <= 0 {
		c.remove(e)
	}
}

// cost returns the cost of running an item on the engine; choose takes the lowest.
func (e *engine) cost(now time.Time, req requirements, shortestInterval time.Duration, tokensPerMs float64) float64 {
	load, speed := 1-float64(e.freeSlots(now))/float64(max(1, e.instance.Slots)), 0.0
	if shortestInterval > 0 {
		speed = float64(e.expectedInterval(now, shortestInterval))/float64(shortestInterval) - 1
	}
	cost := load + speed
	if req.prompt != nil && e.memoryTokens > 0 {
		in := e.promptInputs(now, req, shortestInterval, tokensPerMs)
		in.LoadCost, in.SpeedCost = load, speed
		cost = in.Cost()
	} else if req.groupEngines[e.instance.Name] > 0 {
		cost -= groupBonus
	}
	if e.instance.AvailabilityZone != req.az {
		cost += zoneCost
	}
	return cost
}

// hasWeights reports whether the engine's weights are new enough.
func (e *engine) hasWeights(req requirements) bool {
	return req.model == "" || e.versions[req.model] >= req.minVersion
}

// runs reports whether the engine runs the weights, and where the item continues a text, the software that it requires.
func (e *engine) runs(req requirements) bool {
	if !e.hasWeights(req) {
		return false
	}
	return !req.continuing || e.instance.SoftwareVersion == req.software && (req.textVersion == 0 || e.versions[req.model] == req.textVersion)
}

// canContinue reports whether an engine is expected to take an item that continues its text within the given time: one of the same software
// version that is not draining, has not failed too recently and runs the weights. After a reset of this VM's connections, all engines
// have just failed, and a short wait costs less than to generate the texts again. An engine that loads weights for longer than that won't
// run a text's only version any more.
func (s *engines) canContinue(now time.Time, req requirements, within time.Duration) bool {
	for _, e := range s.byKey {
		loading := req.textVersion != 0 && e.blockedUntil[req.model].Sub(now) > within
		if e.instance.Pool == req.pool && !s.states.Draining(e.instance) && e.cooldownUntil.Sub(now) <= within && !loading && e.runs(req) {
			return true
		}
	}
	return false
}

// Thresholds for moving a running item to a faster engine.
const (
	// minMoveRatio is the minimum ratio of the event intervals of the current and the new engine.
	minMoveRatio = 1.5
	// minMoveGain is the minimum time that a move must save. A move costs time, because the new engine has to process
	// the text generated so far.
	minMoveGain = 300 * time.Millisecond
)

// shouldMove reports whether an item with the given number of remaining events should move to a faster engine
// that has free slots. It ignores the decay of idle engines' intervals, so that items don't move back and forth
// between slow engines.
func (c *candidates) shouldMove(e *engine, remaining int, req requirements) bool {
	if c.shortestInterval <= 0 || float64(e.eventInterval) < minMoveRatio*float64(c.shortestInterval) ||
		time.Duration(remaining)*(e.eventInterval-c.shortestInterval) < minMoveGain {
		return false
	}
	faster := c.choose(req)
	return faster != nil && float64(e.eventInterval) > minMoveRatio*float64(faster.eventInterval)
}

// shortageCounts counts a pool's engines by the reason why they can't take a request.
type shortageCounts struct{ engines, coolingDown, blocked, oldVersion, full int }

// countShortage counts the engines that are not draining by the first reason that applies.
func (s *engines) countShortage(now time.Time, req requirements) shortageCounts {
	var counts shortageCounts
	for _, e := range s.byKey {
		if e.instance.Pool != req.pool || s.states.Draining(e.instance) {
			continue
		}
		counts.engines++
		switch {
		case now.Before(e.cooldownUntil):
			counts.coolingDown++
		case now.Before(e.blockedUntil[req.model]):
			counts.blocked++
		case !e.hasWeights(req):
			counts.oldVersion++
		case e.freeSlots(now) <= 0:
			counts.full++
		}
	}
	return counts
}
