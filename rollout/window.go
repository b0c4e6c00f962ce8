package rollout

import "time"

// Parameters of the window's control.
const (
	// refusalInterval is the time after a refusal in which further ones are ignored, as they have the same cause.
	refusalInterval = 200 * time.Millisecond
	// refusalShrinkFactor multiplies the window after a refusal.
	refusalShrinkFactor = 0.7
	// minEpochDuration is the minimum length of an epoch.
	minEpochDuration = 100 * time.Millisecond
	// minEpochFirstTokens is the number of first tokens that an epoch needs for a decision.
	minEpochFirstTokens = 6
	// minQueueWait is the wait in the pool's queue that never counts as late.
	minQueueWait = 30 * time.Millisecond
	// queueWaitDivisor gives the wait in the pool's queue that does not count as late, as a fraction
	// (1/queueWaitDivisor) of a typical attempt's duration. It is long enough to keep batches full, but
	// leaves most of the queueing to the step, which can still reorder its slots.
	queueWaitDivisor = 5
	// shrinkFactor and growFactor multiply the window after an epoch.
	shrinkFactor = 0.85
	growFactor   = 1.08
)

// window limits a step's attempts in flight. It starts at the step's share of the pool, shrinks when the pool
// refuses attempts or first tokens are late, and grows back while they are on time.
type window struct {
	current     float64
	maxSize     float64
	initialized bool
	refusedAt   time.Time
	// shortestWait is the shortest wait for a first token so far, taken as the wait without queueing.
	shortestWait time.Duration
	// epochStart is the start of the current epoch; lateCount and observedCount count its first tokens.
	epochStart    time.Time
	lateCount     int
	observedCount int
}

func newWindow() window { return window{current: MinWindow, maxSize: MinWindow} }

// setMax sets the upper limit of the window, the step's share of the pool. The first call also sets the size.
func (w *window) setMax(capacity int) {
	w.maxSize = float64(min(max(capacity, MinWindow), MaxWindow))
	if !w.initialized {
		w.current, w.initialized = w.maxSize, true
	}
	w.current = min(w.current, w.maxSize)
}

func (w *window) size() int { return int(w.current) }

// observe records an attempt's wait for its first token; typicalDuration is the duration of a typical attempt.
func (w *window) observe(wait, typicalDuration time.Duration) {
	if wait <= 0 {
		return
	}
	if w.shortestWait == 0 || wait < w.shortestWait {
		w.shortestWait = wait
	}
	w.observedCount++
	if wait-w.shortestWait > max(minQueueWait, typicalDuration/queueWaitDivisor) {
		w.lateCount++
	}
}

// adjust ends the epoch if it is long enough and has enough first tokens. The window shrinks if more than half of
// them were late and grows if less than a quarter were.
func (w *window) adjust(now time.Time, typicalDuration time.Duration) {
	if w.observedCount < minEpochFirstTokens || now.Sub(w.epochStart) < max(minEpochDuration, typicalDuration/2) {
		return
	}
	switch {
	case 2*w.lateCount > w.observedCount:
		w.current = max(MinWindow, w.current*shrinkFactor)
	case 4*w.lateCount < w.observedCount:
		w.current = min(w.maxSize, w.current*growFactor+1)
	}
	w.epochStart, w.lateCount, w.observedCount = now, 0, 0
}

func (w *window) refused(now time.Time) {
	if now.Sub(w.refusedAt) < refusalInterval {
		return
	}
	w.refusedAt = now
	w.current = max(1, w.current*refusalShrinkFactor)
}
