package detour

import (
	"maps"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
)

// Limits of the checks of the direct paths.
const (
	// silenceLimit is how long direct calls may be open without a sign of any target until the paths are checked.
	silenceLimit = 250 * time.Millisecond
	// otherProbes is the number of targets that a check probes after the one in doubt. If none of them is reached, no target is taken to be.
	otherProbes = 2
	// confirmProbes is the number of other targets that are tried until one is reached, to tell the end of a target from a cut of this VM.
	// In a burst of crashes several of them have ended too; with two probes, deaths beside two others were not counted.
	confirmProbes = 6
	// checkPause is the time between two checks, and between two probes for a lost path that may be back.
	checkPause = 400 * time.Millisecond
)

// paths decides which targets this VM reaches directly. It does no I/O and is not safe for concurrent use.
type paths struct {
	// stranded is set while this VM reaches no target, since strandedAt.
	stranded   bool
	strandedAt time.Time
	// lost holds the targets that this VM does not reach although it reaches others, and since when.
	lost map[fleet.Key]time.Time
	// answeredAt is the time of the newest sign of any target on a direct path.
	answeredAt time.Time
	// check is the check in progress; nil if there is none.
	check *check
	// checkedAt is the start of the last check.
	checkedAt time.Time
	// rotation is the index of the next target to probe.
	rotation int
}

// check is a check whether targets are reached directly.
type check struct {
	startedAt time.Time
	// suspect is the target whose path is in doubt; others are probed only if it is not reached.
	suspect     *fleet.Instance
	askedOthers bool
	pending     int
}

func newPaths() *paths { return &paths{lost: map[fleet.Key]time.Time{}} }

// direct reports whether calls to a target go directly.
func (p *paths) direct(target fleet.Key) bool {
	_, lost := p.lost[target]
	return !p.stranded && !lost
}

// impaired reports whether a path is lost, so that targets must be probed.
func (p *paths) impaired() bool { return p.stranded || len(p.lost) > 0 }

// observe records a sign of a target on a direct path, such as an event of a stream that began earlier.
func (p *paths) observe(now time.Time) {
	if now.After(p.answeredAt) {
		p.answeredAt = now
	}
}

// answered records that a target answered a direct call or a probe. A call that was sent before the path was lost
// shows only that an old connection lives on.
func (p *paths) answered(sentAt, now time.Time, target fleet.Key) {
	p.observe(now)
	if since, ok := p.lost[target]; ok && sentAt.After(since) {
		delete(p.lost, target)
	}
	if p.stranded && sentAt.After(p.strandedAt) {
		p.stranded = false
	}
}

// lose records that this VM does not reach a target that another VM reaches.
func (p *paths) lose(now time.Time, target fleet.Key) {
	if _, ok := p.lost[target]; !ok && !p.stranded {
		p.lost[target] = now
	}
}

// startCheck begins a check because of a doubt about the path to suspect, whose connection attempt has just failed if missed is set. It returns
// the targets to probe, or nil if a check is not due or another target has given a sign lately.
func (p *paths) startCheck(now time.Time, suspect *fleet.Instance, missed bool, all []*fleet.Instance) []*fleet.Instance {
	if p.stranded || p.check != nil || now.Sub(p.checkedAt) < checkPause || now.Sub(p.answeredAt) < silenceLimit {
		return nil
	}
	p.checkedAt, p.check = now, &check{startedAt: now, suspect: suspect, pending: 1}
	if missed {
		return p.checked(now, suspect.Key(), false, all)
	}
	return []*fleet.Instance{suspect}
}

// others returns up to most targets to probe after one was not reached, in other availability zones if there are some: a zone is often cut off as a
// whole.
func (p *paths) others(suspect *fleet.Instance, all []*fleet.Instance, most int) []*fleet.Instance {
	var probes []*fleet.Instance
	for _, otherZone := range []bool{true, false} {
		for i := 0; i < len(all) && len(probes) < most; i++ {
			p.rotation++
			in := all[p.rotation%len(all)]
			if in.Key() != suspect.Key() && (in.AvailabilityZone != suspect.AvailabilityZone) == otherZone && !contains(probes, in.Key()) {
				probes = append(probes, in)
			}
		}
	}
	return probes
}

func contains(instances []*fleet.Instance, target fleet.Key) bool {
	return slices.ContainsFunc(instances, func(in *fleet.Instance) bool { return in.Key() == target })
}

// checked records the outcome of one probe of the check in progress, and returns the targets to probe next. If the suspect and others are not reached
// and no target has given a sign since the check began, this VM is stranded.
func (p *paths) checked(now time.Time, target fleet.Key, reached bool, all []*fleet.Instance) []*fleet.Instance {
	c := p.check
	if reached {
		p.answered(c.startedAt, now, target)
	}
	if c.pending--; c.pending > 0 {
		return nil
	}
	silent := !p.answeredAt.After(c.startedAt)
	if silent && !c.askedOthers {
		c.askedOthers = true
		if probes := p.others(c.suspect, all, otherProbes); len(probes) > 0 {
			c.pending = len(probes)
			return probes
		}
	}
	p.check = nil
	if silent {
		p.stranded, p.strandedAt = true, now
		clear(p.lost)
	}
	return nil
}

// nextProbe returns the target to probe for a lost path that may be back; nil if no path is lost.
func (p *paths) nextProbe(all []*fleet.Instance) *fleet.Instance {
	p.prune(all)
	for range all {
		p.rotation++
		in := all[p.rotation%len(all)]
		if _, lost := p.lost[in.Key()]; lost || p.stranded {
			return in
		}
	}
	return nil
}

// prune forgets targets that are not registered any more.
func (p *paths) prune(all []*fleet.Instance) {
	maps.DeleteFunc(p.lost, func(target fleet.Key, _ time.Time) bool { return !contains(all, target) })
	if len(all) == 0 {
		p.stranded = false
	}
}
