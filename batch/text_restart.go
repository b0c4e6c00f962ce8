package batch

import (
	"math"
	"slices"
	"time"
)

// restartsSooner reports whether an item that waits for an engine with the only version of its text would better start over: a slot there is expected
// later than the text could be generated again, or the item has waited for as long as that. Estimates of what runs there are often far off, and so it
// loses at most as much by waiting as a restart costs. ahead is the number of items that wait for the version before it.
func (r *runner) restartsSooner(now time.Time, t *task, req requirements, ahead int) bool {
	if t.job.versionWaitSince.IsZero() {
		t.job.versionWaitSince = now
	}
	return now.Sub(t.job.versionWaitSince) >= t.repeatTime || waitBehind(r.versionWaits(now, req, t.tokensPerEvent), ahead) > t.repeatTime
}

// versionWaits returns the times until slots of the engines that have a text's only weight version are expected to be free, ascending. It leaves
// out engines that have just failed. Its load is the crash of an engine while the others with its version are full and those with a
// newer one are not.
func (r *runner) versionWaits(now time.Time, req requirements, tokensPerEvent int) []time.Duration {
	interval := r.engines.meanInterval(req.pool)
	var waits []time.Duration
	has := map[string]time.Duration{} // by engine, the time until it takes requests
	for _, e := range r.engines.byKey {
		if e.instance.Pool != req.pool || r.engines.states.Draining(e.instance) || now.Before(e.cooldownUntil) || !e.runs(req) {
			continue
		}
		blocked := max(0, e.blockedUntil[req.model].Sub(now))
		has[e.instance.Name] = blocked
		for range max(0, e.freeSlots(now)) {
			waits = append(waits, blocked)
		}
	}
	for _, jobs := range r.jobs {
		for _, j := range jobs {
			if j.instance == nil {
				continue
			}
			if blocked, ok := has[j.instance.Name]; ok {
				waits = append(waits, max(blocked, time.Duration(j.remainingEvents(tokensPerEvent))*interval))
			}
		}
	}
	slices.Sort(waits)
	return waits
}

// waitBehind returns the wait of the item that is next in line after ahead others.
func waitBehind(waits []time.Duration, ahead int) time.Duration {
	if ahead >= len(waits) {
		return math.MaxInt64
	}
	return waits[ahead]
}
