package rollout

import "time"

// Bounds of a window's control.
const (
	// refusalInterval is the time in which further refusals tell nothing new.
	refusalInterval = 200 * time.Millisecond
	// refusalFactor is what remains of a window after a refusal.
	refusalFactor = 0.7
	// minEpoch is the least time over which first tokens are judged together.
	minEpoch = 100 * time.Millisecond
	// minObserved is the number of first tokens below which nothing is concluded.
	minObserved = 6
	// minQueueing is the wait in the pool's queue that is always allowed.
	minQueueing = 30 * time.Millisecond
	// queueingShare is the part of an attempt's time that it may wait in the pool's queue: enough to
	// keep batches full, while most of the waiting is done here, where order can still change.
	queueingShare = 5
	// shrinkFactor and growFactor change a window after an epoch.
	shrinkFactor = 0.85
	growFactor   = 1.08
)

// window bounds a step's attempts in flight. It starts at the step's share of the pool, shrinks
// when the pool refuses or first tokens come late, and grows back while they come soon.
type window struct {
	now     float64
	max     float64
	started bool
	shrunk  time.Time
	// shortest is the shortest wait for a first token.
	shortest time.Duration
	// epoch is the start of the current epoch; late and observed count its first tokens.
	epoch    time.Time
	late     int
	observed int
}

func newWindow() window { return window{now: MinWindow, max: MinWindow} }

// limit sets the step's share of the pool.
func (w *window) limit(capacity int) {
	w.max = float64(min(max(capacity, MinWindow), MaxWindow))
	if !w.started {
		w.now, w.started = w.max, true
	}
	w.now = min(w.now, w.max)
}

func (w *window) size() int { return int(w.now) }

// observe takes the wait for the first token of an attempt; usual is an attempt's usual time.
func (w *window) observe(wait, usual time.Duration) {
	if wait <= 0 {
		return
	}
	if w.shortest == 0 || wait < w.shortest {
		w.shortest = wait
	}
	w.observed++
	if wait-w.shortest > max(minQueueing, usual/queueingShare) {
		w.late++
	}
}

// settle ends an epoch that has seen enough: if most first tokens were late the window shrinks, if
// few were it grows.
func (w *window) settle(now time.Time, usual time.Duration) {
	if w.observed < minObserved || now.Sub(w.epoch) < max(minEpoch, usual/2) {
		return
	}
	switch {
	case 2*w.late > w.observed:
		w.now = max(MinWindow, w.now*shrinkFactor)
	case 4*w.late < w.observed:
		w.now = min(w.max, w.now*growFactor+1)
	}
	w.epoch, w.late, w.observed = now, 0, 0
}

func (w *window) refused(now time.Time) {
	if now.Sub(w.shrunk) < refusalInterval {
		return
	}
	w.shrunk = now
	w.now = max(1, w.now*refusalFactor)
}
