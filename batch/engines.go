package batch

import (
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/promptcache"
	"github.com/ibistrail/ibistrail/targets"
	"github.com/ibistrail/ibistrail/targetstate"
)

// Limits and smoothing factors of the engine estimates.
const (
	// loadReportTTL is how long a load that an engine reported is used.
	loadReportTTL = 1500 * time.Millisecond
	// intervalGain is the weight of a new measurement in the moving average of event intervals. Events arrive in bunches, so single
	// intervals say little; an engine that runs a dozen requests is measured hundreds of times a second.
	intervalGain = 0.05
	// initialInterval is the assumed event interval while no engine of the pool has a measured one.
	initialInterval = 40 * time.Millisecond
	// cooldownMin and cooldownMax bound the pause after a failure; it doubles with each consecutive failure.
	cooldownMin = 500 * time.Millisecond
	cooldownMax = 8 * time.Second
	// blockedPause is the pause after an engine rejected a request because it is full, is loading weights or
	// still runs an older version.
	blockedPause = 100 * time.Millisecond
	// slowIntervalDecay is the time in which the expected interval of an idle slow engine falls to the
	// shortest interval of the pool, so that the engine is tried again.
	slowIntervalDecay = 5 * time.Second
)

// engine holds what this VM knows about one engine.
type engine struct {
	instance *fleet.Instance
	versions map[string]int64
	inflight int
	// isolated is set while the engine runs a suspect that it has not sent an event of; it gets no other items.
	isolated bool
	// otherLoad is the number of other VMs' requests in the engine's last load report, received at otherLoadAt.
	otherLoad   int
	otherLoadAt time.Time
	// eventInterval is the moving average of the time between two events, last measured at intervalAt.
	eventInterval time.Duration
	intervalAt    time.Time
	// blockedUntil is the time before which no requests of a model are sent, by model.
	blockedUntil  map[string]time.Time
	failures      int
	cooldownUntil time.Time // no requests are sent before
	workFigure    workFigure
	// memoryTokens is the size of the engine's memory for prompts and outputs; 0 if unknown.
	memoryTokens int
	// prompts is the estimate of the prompts that the engine holds; nil until one with known parts was sent to it.
	prompts *promptcache.Cache
}

// freeSlots returns the number of requests that this VM may still send; negative if the engine is overloaded. An engine
// that failed gets one request until it has sent events again.
func (e *engine) freeSlots(now time.Time) int {
	slots := e.instance.Slots
	if e.failures > 0 {
		slots = 1
	}
	n := slots - e.inflight
	if now.Sub(e.otherLoadAt) < loadReportTTL {
		n -= e.otherLoad
	}
	return n
}

// engines holds what this VM knows about all registered engines. It does no I/O.
type engines struct {
	byKey map[fleet.Key]*engine
	// states is what the engines say about themselves; it may be nil.
	states *targetstate.Register
	// readingRates holds the rates at which the engines of a pool read prompts, by pool.
	readingRates map[string]*promptcache.Rate
	// partsPerEngine bounds the estimate of the prompts that an engine holds.
	partsPerEngine int
}

func newEngines() *engines {
	return &engines{byKey: map[fleet.Key]*engine{}, readingRates: map[string]*promptcache.Rate{}}
}

// update replaces the set of registered instances. State of instances that stay registered is kept.
func (s *engines) update(instances []*fleet.Instance) {
	seen := make(map[fleet.Key]bool, len(instances))
	for _, in := range instances {
		seen[in.Key()] = true
		e := s.byKey[in.Key()]
		if e == nil {
			e = &engine{versions: map[string]int64{}, blockedUntil: map[string]time.Time{}, eventInterval: s.meanInterval(in.Pool)}
			s.byKey[in.Key()] = e
		}
		e.instance = in
		for m, v := range in.Versions {
			if v > e.versions[m] {
				e.setPromptVersion(m, v)
			}
			e.versions[m] = max(e.versions[m], v)
		}
	}
	for k := range s.byKey {
		if !seen[k] {
			delete(s.byKey, k)
		}
	}
}

// meanInterval returns the mean event interval of a pool's engines, or initialInterval if there are none.
func (s *engines) meanInterval(pool string) time.Duration {
	sum, n := time.Duration(0), 0
	for _, e := range s.byKey {
		if e.instance.Pool == pool && e.eventInterval > 0 {
			sum += e.eventInterval
			n++
		}
	}
	if n == 0 {
		return initialInterval
	}
	return sum / time.Duration(n)
}

func (s *engines) get(in *fleet.Instance) *engine { return s.byKey[in.Key()] }

// requestStarted adds a request in flight.
func (s *engines) requestStarted(in *fleet.Instance) {
	if e := s.get(in); e != nil {
		e.inflight++
	}
}

// requestEnded removes a request in flight.
func (s *engines) requestEnded(in *fleet.Instance) {
	if e := s.get(in); e != nil {
		e.inflight = max(0, e.inflight-1)
	}
}

// setIsolated sets whether an engine runs a suspect.
func (s *engines) setIsolated(in *fleet.Instance, isolated bool) {
	if e := s.get(in); e != nil {
		e.isolated = isolated
	}
}

// observeLoad records the load that an engine reported; l may be nil.
func (s *engines) observeLoad(now time.Time, in *fleet.Instance, l *targets.Load) {
	if e := s.get(in); e != nil && l != nil {
		e.otherLoad, e.otherLoadAt = max(0, l.Running+l.Waiting-e.inflight), now
		e.workFigure.report(now, l.WorkPercent, !e.intervalAt.IsZero())
	}
}

// observeVersion records a version that an engine runs. An older version than the recorded one is ignored.
func (s *engines) observeVersion(in *fleet.Instance, model string, v int64) {
	if e := s.get(in); e != nil && v > 0 {
		e.versions[model] = max(e.versions[model], v)
		e.setPromptVersion(model, v)
	}
}

// observeInterval records the time between two events and resets the failure count.
func (s *engines) observeInterval(now time.Time, in *fleet.Instance, d time.Duration) {
	if e := s.get(in); e != nil {
		e.failures, e.intervalAt = 0, now
		e.eventInterval += time.Duration(intervalGain * float64(d-e.eventInterval))
		e.workFigure.observed()
	}
}

// expectedInterval returns the engine's event interval, scaled by its latest load figure. Without new measurements a slow engine's
// interval falls linearly to the shortest one within slowIntervalDecay.
func (e *engine) expectedInterval(now time.Time, shortest time.Duration) time.Duration {
	return e.workFigure.scale(now, e.observedInterval(now, shortest))
}

// observedInterval returns the event interval that was measured, with the decay of old measurements.
func (e *engine) observedInterval(now time.Time, shortest time.Duration) time.Duration {
	age := now.Sub(e.intervalAt)
	if e.intervalAt.IsZero() || e.eventInterval <= shortest || age <= 0 {
		return e.eventInterval
	}
	weight := max(0, 1-float64(age)/float64(slowIntervalDecay))
	return shortest + time.Duration(weight*float64(e.eventInterval-shortest))
}

// block stops new requests of a model to an engine until the given time.
func (s *engines) block(in *fleet.Instance, model string, until time.Time) {
	if e := s.get(in); e != nil {
		e.blockedUntil[model] = until
	}
}

// resetVersion sets an engine's version of a model, also to an older one than was recorded.
func (s *engines) resetVersion(in *fleet.Instance, model string, v int64) {
	if e := s.get(in); e != nil {
		e.versions[model] = v
		e.setPromptVersion(model, v)
	}
}

// recordFailure starts the cooldown of an engine that interrupted a request or stalled. Failures during a cooldown are of
// requests that were in flight at its start, so they have the same cause and do not extend it.
func (s *engines) recordFailure(now time.Time, in *fleet.Instance) {
	if e := s.get(in); e != nil && !now.Before(e.cooldownUntil) {
		e.cooldownUntil = now.Add(min(cooldownMax, cooldownMin<<min(e.failures, 8)))
		e.failures++
	}
}

// shortestInterval returns the shortest event interval of a pool's engines, or 0 if there are none.
func (s *engines) shortestInterval(pool string) time.Duration {
	shortest := time.Duration(0)
	for _, e := range s.byKey {
		if e.instance.Pool == pool && (shortest == 0 || e.eventInterval < shortest) {
			shortest = e.eventInterval
		}
	}
	return shortest
}
