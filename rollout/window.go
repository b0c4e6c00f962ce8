package rollout

import "time"

// refusalInterval is the time in which further refusals tell nothing new.
const refusalInterval = 200 * time.Millisecond

// refusalFactor is what remains of a window after a refusal.
const refusalFactor = 0.7

// window bounds a step's attempts in flight. It starts at the step's share of the pool, shrinks
// when the pool refuses and grows with each answer, up to the share.
type window struct {
	now     float64
	max     float64
	started bool
	shrunk  time.Time
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

func (w *window) succeeded() { w.now = min(w.now+1/w.now, w.max) }

func (w *window) refused(now time.Time) {
	if now.Sub(w.shrunk) < refusalInterval {
		return
	}
	w.shrunk = now
	w.now = max(1, w.now*refusalFactor)
}

// pace estimates how fast a trainer's version grows.
type pace struct {
	version int64
	at      time.Time
	// period is the mean time between versions; 0 means unknown.
	period time.Duration
}

// paceWeight is the weight of the newest interval, in percent.
const paceWeight = 30

func (p *pace) observe(now time.Time, version int64) {
	switch {
	case p.at.IsZero() || version < p.version:
		p.version, p.at = version, now
	case version > p.version:
		per := now.Sub(p.at) / time.Duration(version-p.version)
		if p.period == 0 {
			p.period = per
		} else {
			p.period = (p.period*(100-paceWeight) + per*paceWeight) / 100
		}
		p.version, p.at = version, now
	}
}

// advance returns how many versions the trainer is expected to move on within d.
func (p *pace) advance(d time.Duration) int64 {
	if p.period <= 0 {
		return 0
	}
	return int64(d / p.period)
}
