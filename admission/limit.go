package admission

import "time"

// Bounds of a Limit.
const (
	// initialLimit holds until the target's batch capacity is known.
	initialLimit = 16
	// minLimit keeps a target in use, so that its limit can grow again.
	minLimit = 1
	maxLimit = 1024
	// batchSlack is the share of the batch that may wait at the target, so that its batch stays full
	// while reports lag.
	batchSlack = 0.5
	// backoff shrinks a limit when the target refuses or slows down.
	backoff = 0.7
	// slowFactor is the growth of latency over its floor that counts as congestion.
	slowFactor = 4.0
	// backoffEvery bounds how often a limit shrinks.
	backoffEvery = 500 * time.Millisecond
	// floorDrift lets the latency floor rise again, per observation.
	floorDrift = 1.002
)

// Limit is the number of requests that this gate keeps in flight at one target. It follows the
// target's measured batch capacity less what others run there, or the latency where the target
// reports none, and shrinks when the target refuses.
type Limit struct {
	fixed  int
	batch  int
	others int
	// scale is the part of the capacity that latency and refusals leave.
	scale    float64
	adaptive float64
	floor    float64
	shrunk   time.Time
}

// NewLimit returns a limit; fixed above 0 is kept as it is.
func NewLimit(fixed int) *Limit {
	return &Limit{fixed: fixed, scale: 1, adaptive: initialLimit}
}

// SetFixed sets the limit of the pool's row; 0 means by measurement.
func (l *Limit) SetFixed(n int) { l.fixed = n }

// Value returns the limit.
func (l *Limit) Value() int {
	if l.fixed > 0 {
		return l.fixed
	}
	if l.batch > 0 {
		free := float64(l.batch)*(1+batchSlack) - float64(l.others)
		return max(minLimit, int(free*l.scale))
	}
	return max(minLimit, int(l.adaptive))
}

// Full returns the limit of a target that nobody else uses; 0 while unknown.
func (l *Limit) Full() int { return int(float64(l.batch) * (1 + batchSlack)) }

// Batch returns the target's reported batch capacity; 0 while unknown.
func (l *Limit) Batch() int { return l.batch }

// Report takes the target's batch capacity and the load that other gates put on it.
func (l *Limit) Report(batch, others int) {
	l.batch, l.others = batch, max(0, others)
}

// Observe takes the latency of a finished request, normalized by its work.
func (l *Limit) Observe(now time.Time, latency float64) {
	if latency <= 0 {
		return
	}
	if l.floor == 0 || latency < l.floor {
		l.floor = latency
	}
	l.floor *= floorDrift
	if l.batch == 0 && latency > slowFactor*l.floor {
		l.shrink(now)
		return
	}
	l.scale = min(1, l.scale+0.02)
	l.adaptive = min(maxLimit, l.adaptive+1/l.adaptive)
}

// Refused tells that the target refused for overload.
func (l *Limit) Refused(now time.Time) { l.shrink(now) }

func (l *Limit) shrink(now time.Time) {
	if now.Sub(l.shrunk) < backoffEvery {
		return
	}
	l.shrunk = now
	l.scale = max(0.1, l.scale*backoff)
	l.adaptive = max(minLimit, l.adaptive*backoff)
}
