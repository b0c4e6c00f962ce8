package admission

import "time"

// Bounds of a Limit.
const (
	// initialAdaptiveLimit holds until the target's batch capacity is known.
	initialAdaptiveLimit = 16
	// minLimit keeps a target in use, so that its limit can grow again.
	minLimit         = 1
	maxAdaptiveLimit = 1024
	// batchQueueFraction is the share of the batch that may wait at the target, so that its batch stays full
	// while reports lag.
	batchQueueFraction = 0.5
	// backoffFactor shrinks a limit when the target refuses or slows down.
	backoffFactor = 0.7
	// congestionLatencyRatio is the growth of latency over its floor that counts as congestion.
	congestionLatencyRatio = 4.0
	// minBackoffInterval bounds how often a limit shrinks.
	minBackoffInterval = 500 * time.Millisecond
	// latencyFloorDrift lets the latency floor rise again, per observation.
	latencyFloorDrift = 1.002
)

// Limit is the number of requests that this gate keeps in flight at one target. It follows the
// target's measured batch capacity less what others run there, or the latency where the target
// reports none, and shrinks when the target refuses.
type Limit struct {
	fixed          int
	batchCapacity  int
	otherGatesLoad int
	// capacityScale is the part of the capacity that latency and refusals leave.
	capacityScale float64
	adaptiveLimit float64
	latencyFloor  float64
	lastBackoff   time.Time
}

// NewLimit returns a limit; fixed above 0 is kept as it is.
func NewLimit(fixed int) *Limit {
	return &Limit{fixed: fixed, capacityScale: 1, adaptiveLimit: initialAdaptiveLimit}
}

// SetFixed sets the limit of the pool's row; 0 means by measurement.
func (l *Limit) SetFixed(n int) { l.fixed = n }

// Value returns the limit.
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

// Full returns the limit of a target that nobody else uses; 0 while unknown.
func (l *Limit) Full() int { return int(float64(l.batchCapacity) * (1 + batchQueueFraction)) }

// Batch returns the target's reported batch capacity; 0 while unknown.
func (l *Limit) Batch() int { return l.batchCapacity }

// Report takes the target's batch capacity and the load that other gates put on it.
func (l *Limit) Report(batch, others int) {
	l.batchCapacity, l.otherGatesLoad = batch, max(0, others)
}

// Observe takes the latency of a finished request, normalized by its work.
func (l *Limit) Observe(now time.Time, latency float64) {
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

// Refused tells that the target refused for overload.
func (l *Limit) Refused(now time.Time) { l.backOff(now) }

func (l *Limit) backOff(now time.Time) {
	if now.Sub(l.lastBackoff) < minBackoffInterval {
		return
	}
	l.lastBackoff = now
	l.capacityScale = max(0.1, l.capacityScale*backoffFactor)
	l.adaptiveLimit = max(minLimit, l.adaptiveLimit*backoffFactor)
}
