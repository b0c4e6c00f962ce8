package rollout

import "time"

// paceWeight is the weight of the newest interval, in percent.
const paceWeight = 30

// pace estimates how fast a trainer's version grows.
type pace struct {
	version int64
	at      time.Time
	// period is the mean time between versions; 0 means unknown.
	period time.Duration
}

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
