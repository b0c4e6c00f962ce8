package routing

import (
	"math"
	"time"

	"github.com/ibistrail/ibistrail/admission"
	"github.com/ibistrail/ibistrail/config"
)

// Parameters of a target's state.
const (
	classCount = int(config.PriorityLowest) + 1
	// historySize is the maximum number of in-flight samples.
	historySize = 256
	// reportTTL is the age after which a load report is no longer used.
	reportTTL = 5 * time.Second
	// latencyGain is the weight of a new latency sample in the moving average.
	latencyGain = 0.2
)

// inflightSample is the number of this gate's in-flight requests from a point in time on.
type inflightSample struct {
	at time.Time
	n  int
}

// target is the state of one target of the pool.
type target struct {
	config.Target
	// blocked is the reason why the target gets no new requests; empty if it isn't blocked.
	blocked string
	// exclusive is set while a request runs alone on the target, reserved while the target drains for one.
	exclusive bool
	reserved  bool
	inflight  int
	byClass   [classCount]int
	history   []inflightSample
	limit     *admission.Limit
	// reportedLoad is the load in the last report, measured at reportedAt.
	reportedLoad int
	reportedAt   time.Time
	prefixes     prefixIndex
	health       health
	rampStart    time.Time
	ramping      bool
	byTime       bool // as in the table
	version      int64
	// unversionedUntil is the time until which requests that need a weight version avoid the target.
	unversionedUntil time.Time
	pace             pace
	now              momentary
}

// health is the state that decides on a target's ejection. The latency is a moving average in seconds.
type health struct {
	latency      float64
	samples      int
	failures     int
	ejectedUntil time.Time
	ejections    int
}

// setInflight sets the in-flight count and adds it to the history.
func (x *target) setInflight(now time.Time, n int) {
	x.inflight = n
	if len(x.history) >= historySize {
		x.history = append(x.history[:0], x.history[historySize/2:]...)
	}
	x.history = append(x.history, inflightSample{at: now, n: n})
}

// inflightAt returns the in-flight count at a past time.
func (x *target) inflightAt(at time.Time) int {
	for i := len(x.history) - 1; i >= 0; i-- {
		if !x.history[i].at.After(at) {
			return x.history[i].n
		}
	}
	return 0
}

// externalLoad returns the number of other gates' requests at the target as of its last report; 0 without a recent report.
func (x *target) externalLoad(now time.Time) int {
	if x.reportedAt.IsZero() || now.Sub(x.reportedAt) > reportTTL {
		return 0
	}
	return max(0, x.reportedLoad-x.inflightAt(x.reportedAt))
}

// load estimates the number of requests at the target: the last report, with this gate's share replaced by its current
// in-flight count.
func (x *target) load(now time.Time) int { return x.externalLoad(now) + x.inflight }

// loadAt is load, with the report decayed by its age if byTime is set.
func (x *target) loadAt(now time.Time, byTime bool) float64 {
	if byTime {
		return x.decayedExternal(now) + float64(x.inflight)
	}
	return float64(x.load(now))
}

// capacity returns this gate's limit of in-flight requests, reduced while the target ramps up.
func (x *target) capacity(now time.Time) int {
	n := x.limit.Value()
	if !x.ramping {
		return n
	}
	age := now.Sub(x.rampStart)
	if age >= RampUp {
		x.ramping = false
		return n
	}
	share := rampMinShare + (1-rampMinShare)*float64(age)/float64(RampUp)
	return max(1, int(float64(n)*share))
}

// utilization returns the load with one more request, relative to the batch size, so that targets of different sizes
// are comparable. It is raised while the target ramps up.
func (x *target) utilization(now time.Time) float64 {
	size := x.limit.BatchCapacity()
	if size == 0 {
		size = max(1, x.limit.Value())
	}
	u := (x.loadAt(now, x.byTime) + 1) / float64(size)
	if x.ramping {
		return u / max(rampMinShare, float64(x.capacity(now))/float64(max(1, x.limit.Value())))
	}
	return u
}

// hasSlot reports whether this gate may send the target a request of a class: its in-flight requests are below its limit,
// or those of this and higher priorities are below a quota that each gate has regardless of the others' load. The quota
// allows up to overcommitFactor times the limit or the batch, because the target's queue is ordered by priority: the
// request gets the next free slot there, before this gate could learn that a slot is free.
func (x *target) hasSlot(now time.Time, class, gates int) bool {
	if x.byTime {
		if now.Before(x.pace.fullUntil) || now.Before(x.pace.unreachableUntil) {
			return false
		}
		if x.inflight == 0 {
			return true
		}
		// The queues of plain services do not order requests by class, so there is no quota beyond the limit.
		x.limit.SetLoad(x.limit.BatchCapacity(), int(math.Round(x.decayedExternal(now))))
		return (x.inflight < x.capacity(now) || x.mayProbe(now)) && x.withinFull(now)
	}
	limit := x.capacity(now)
	if x.inflight < limit {
		return true
	}
	batch := x.limit.BatchCapacity()
	quota := max(limit, min(x.limit.UnsharedValue(), overcommitFactor*batch/max(1, gates)))
	n := 0
	for c := range class + 1 {
		n += x.byClass[c]
	}
	return n < quota && x.inflight < overcommitFactor*max(limit, batch)
}
