package admission

import "time"

// Bounds of a Limit.
const (
	// initialAdaptiveLimit is the limit at the start, until the target reports its batch capacity.
	initialAdaptiveLimit = 16
	// minLimit keeps one request in flight, because a limit grows only when requests finish.
	minLimit         = 1
	maxAdaptiveLimit = 1024
	// batchQueueFraction is the number of requests that may queue at the target, as a fraction of its
	// batch capacity. They keep the batch full while load reports lag.
	batchQueueFraction = 0.5
	// backoffFactor is the multiplicative decrease of the limit on overload or congestion.
	backoffFactor = 0.7
	// congestionLatencyRatio is the ratio of latency to its floor above which the target counts as congested.
	congestionLatencyRatio = 4.0
	// minBackoffInterval is the minimum time between two decreases of a limit.
	minBackoffInterval = 500 * time.Millisecond
	// latencyFloorDrift raises the latency floor with each observation, so that it follows a target that got slower.
	latencyFloorDrift = 1.002
)

// Limit is the maximum number of requests that this gate keeps in flight at one target. It follows
// the target's reported batch capacity less the load of other gates; for a target that reports no
// capacity it adapts to latency. It decreases when the target refuses requests.
type Limit struct {
	fixed          int
	batchCapacity  int
	otherGatesLoad int
	// capacityScale is the fraction of the capacity, from 0.1 to 1, that is used after refusals and congestion.
	capacityScale float64
	adaptiveLimit float64
	latencyFloor  float64
	lastBackoff   time.Time
}

// NewLimit returns a limit. If fixed is above 0, the limit is constant.
func NewLimit(fixed int) *Limit {
	return &Limit{fixed: fixed, capacityScale: 1, adaptiveLimit: initialAdaptiveLimit}
}

// SetFixed sets a constant limit; 0 selects the adaptive limit.
func (l *Limit) SetFixed(n int) { l.fixed = n }

// Value returns the current limit, at least 1.
func (l *Limit) Value() int {
	if l.fixed > 0 {
		return l.fixed
	}
	if l.batchCapacity > 0 {
		available := float64(l.batchCapacity)*(1+batchQueueFraction) - float64(l.otherGatesLoad)
		return max(minLimit, int(available*l.capacityScale))
	}
	return max(minLimit, int(l.adaptiveLimit))
}

// UnsharedValue returns the limit for a target that no other gate uses; 0 if the target has reported no batch capacity.
func (l *Limit) UnsharedValue() int { return int(float64(l.batchCapacity) * (1 + batchQueueFraction)) }

// BatchCapacity returns the target's reported batch capacity; 0 if it has reported none.
func (l *Limit) BatchCapacity() int { return l.batchCapacity }

// SetLoad sets the target's batch capacity and the number of requests that other gates have in flight there.
func (l *Limit) SetLoad(batch, others int) {
	l.batchCapacity, l.otherGatesLoad = batch, max(0, others)
}

// RecordLatency records the latency of a finished request, in seconds per unit of work. Values of 0 and below are ignored.
func (l *Limit) RecordLatency(now time.Time, latency float64) {
	if latency <= 0 {
		return
	}
	if l.latencyFloor == 0 || latency < l.latencyFloor {
		l.latencyFloor = latency
	}
	l.latencyFloor *= latencyFloorDrift
	if l.batchCapacity == 0 && latency > congestionLatencyRatio*l.latencyFloor {
		l.backOff(now)
		return
	}
	l.capacityScale = min(1, l.capacityScale+0.02)
	l.adaptiveLimit = min(maxAdaptiveLimit, l.adaptiveLimit+1/l.adaptiveLimit)
}

// RecordOverload records that the target refused a request because of overload.
func (l *Limit) RecordOverload(now time.Time) { l.backOff(now) }

func (l *Limit) backOff(now time.Time) {
	if now.Sub(l.lastBackoff) < minBackoffInterval {
		return
	}
	l.lastBackoff = now
	l.capacityScale = max(0.1, l.capacityScale*backoffFactor)
	l.adaptiveLimit = max(minLimit, l.adaptiveLimit*backoffFactor)
}
