package routing

import (
	"time"

	"github.com/ibistrail/ibistrail/admission"
	"github.com/ibistrail/ibistrail/config"
)

// Bounds of a target's history.
const (
	classes = int(config.PriorityLowest) + 1
	// historySize bounds the remembered changes of the own in-flight count.
	historySize = 256
	// reportTTL is the age after which a load report is no longer used.
	reportTTL = 5 * time.Second
	// latencyGain is the weight of a new latency in the moving average.
	latencyGain = 0.2
)

// inflightAt is the own in-flight count since a time.
type inflightAt struct {
	at time.Time
	n  int
}

// target is the state of one target of the pool.
type target struct {
	config.Target
	// blocked is the reason for which the target gets nothing new; empty if it does.
	blocked string
	// exclusive is true while a request runs alone here, reserved while the target empties for one.
	exclusive bool
	reserved  bool
	inflight  int
	byClass   [classes]int
	history   []inflightAt
	limit     *admission.Limit
	// reported is the last reported load, taken at reportedAt.
	reported   int
	reportedAt time.Time
	prefixes   prefixIndex
	health     health
	since      time.Time
	ramp       bool
	version    int64
	// unversionedUntil is when the target may be trusted again to report weight versions.
	unversionedUntil time.Time
}

// health is what ejection knows of a target.
type health struct {
	latency  float64
	samples  int
	failures int
	until    time.Time
	ejected  int
}

// setInflight changes the own count and remembers when.
func (t *target) setInflight(now time.Time, n int) {
	t.inflight = n
	if len(t.history) >= historySize {
		t.history = append(t.history[:0], t.history[historySize/2:]...)
	}
	t.history = append(t.history, inflightAt{at: now, n: n})
}

// ownAt returns the own in-flight count at a past time.
func (t *target) ownAt(at time.Time) int {
	for i := len(t.history) - 1; i >= 0; i-- {
		if !t.history[i].at.After(at) {
			return t.history[i].n
		}
	}
	return 0
}

// others is the load that other gates put on the target when it last reported.
func (t *target) others(now time.Time) int {
	if t.reportedAt.IsZero() || now.Sub(t.reportedAt) > reportTTL {
		return 0
	}
	return max(0, t.reported-t.ownAt(t.reportedAt))
}

// load estimates the requests at the target: the lagging report with the own part replaced by
// the own count now.
func (t *target) load(now time.Time) int { return t.others(now) + t.inflight }

// capacity is the own limit, reduced while the target is new.
func (t *target) capacity(now time.Time) int {
	n := t.limit.Value()
	if !t.ramp {
		return n
	}
	age := now.Sub(t.since)
	if age >= RampUp {
		t.ramp = false
		return n
	}
	share := rampFloor + (1-rampFloor)*float64(age)/float64(RampUp)
	return max(1, int(float64(n)*share))
}

// utilization is the load in relation to the batch capacity, so that targets of different sizes compare.
func (t *target) utilization(now time.Time) float64 {
	size := t.limit.Batch()
	if size == 0 {
		size = max(1, t.limit.Value())
	}
	u := float64(t.load(now)+1) / float64(size)
	if t.ramp {
		return u / max(rampFloor, float64(t.capacity(now))/float64(max(1, t.limit.Value())))
	}
	return u
}

// hasSlot tells whether there is room for a request of a class: within the own limit, or within the
// part of the target that is this gate's whatever others do. Lower classes do not count, up to a
// bound: targets honour priorities, so the request waits there for the next place only, which this
// gate may see free much later.
func (t *target) hasSlot(now time.Time, class, gates int) bool {
	limit := t.capacity(now)
	if t.inflight < limit {
		return true
	}
	batch := t.limit.Batch()
	own := max(limit, min(t.limit.Full(), overcommit*batch/max(1, gates)))
	n := 0
	for c := range class + 1 {
		n += t.byClass[c]
	}
	return n < own && t.inflight < overcommit*max(limit, batch)
}
