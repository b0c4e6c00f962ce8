package rollout

import "time"

// paceWeight is the weight of the newest interval in the moving average, in percent.
const paceWeight = 30

// pace estimates the rate at which a trainer's version increases.
type pace struct {
	version   int64
	changedAt time.Time
	// period is the moving average of the time between versions; 0 means unknown.
	period time.Duration
}

func (p *pace) observe(now time.Time, version int64) {
	switch {
	case p.changedAt.IsZero() || version < p.version:
		p.version, p.changedAt = version, now
	case version > p.version:
		period := now.Sub(p.changedAt) / time.Duration(version-p.version)
		if p.period == 0 {
			p.period = period
		} else {
			p.period = (p.period*(100-paceWeight) + period*paceWeight) / 100
		}
		p.version, p.changedAt = version, now
	}
}

// expectedVersions estimates by how many versions the trainer advances within d.
func (p *pace) expectedVersions(d time.Duration) int64 {
	if p.period <= 0 {
		return 0
	}
	return int64(d / p.period)
}
