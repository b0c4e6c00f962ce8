package scaling

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
)

// plan changes the wanted counts of one decision.
type plan struct {
	c      *Controller
	now    time.Time
	limits *fleet.Scaling
	zones  []string
	// floor is the number of targets below which the pool is not reduced, whatever the load.
	floor int
	d     *Decision
}

// expected returns the number of targets that the subject will have once the wanted counts are met.
func (p *plan) expected(s Subject) int {
	return p.c.effective(p.now, p.limits, s) + p.d.Wanted[s] - p.c.subjects[s].confirmed
}

// expectedKind returns the number of targets of a kind in all zones.
func (p *plan) expectedKind(spot bool) int {
	n := 0
	for _, zone := range p.zones {
		n += p.expected(Subject{zone, spot})
	}
	return n
}

// ofZone returns the wanted number of targets of both kinds in a zone.
func (p *plan) ofZone(zone string) int {
	return p.d.Wanted[Subject{zone, false}] + p.d.Wanted[Subject{zone, true}]
}

func (p *plan) price(zone string) float64 {
	if price, ok := p.limits.ZonePrices[zone]; ok {
		return price
	}
	return 1
}

// raise orders what is missing: ordinary targets for the peak, and targets of either kind for the loss of a zone.
func (p *plan) raise() {
	reason := fmt.Sprintf("%d slots needed, %d at the peak", p.d.NeedSlots, p.d.PeakSlots)
	if !p.c.lostAt.IsZero() && p.now.Sub(p.c.lostAt) < lossDelay {
		reason = "targets were lost; " + reason
	}
	for _, zone := range p.zones {
		if missing := p.limits.MinTargets - p.ofZone(zone); missing > 0 && p.usable(Subject{zone, false}) {
			p.d.Wanted[Subject{zone, false}] += missing
			p.d.Reasons[Subject{zone, false}] = "the zone's minimum"
		}
	}
	part := func(factor float64, n int) int { return int(math.Ceil(factor * float64(n))) }
	if p.expectedKind(false) < part(scaleUpBelow, p.d.Ordinary) {
		for p.expectedKind(false) < part(scaleUpTo, p.d.Ordinary) && p.add(false, reason) {
		}
	}
	if p.total() < part(scaleUpBelow, max(p.floor, p.d.Total)) {
		for p.total() < max(p.floor, part(scaleUpTo, p.d.Total)) && (p.add(true, reason) || p.add(false, reason)) {
		}
	}
	if p.d.Reason == "steady" && len(p.d.Reasons) > 0 {
		p.d.Reason = reason
	}
}

func (p *plan) total() int { return p.expectedKind(false) + p.expectedKind(true) }

// usable reports whether more targets of the subject may be ordered.
func (p *plan) usable(s Subject) bool {
	st := p.c.subjects[s]
	switch {
	case s.Spot && p.limits.SpotPrice <= 0, p.now.Before(st.blockedUntil):
		return false
	case p.c.absent(s.Zone) && p.now.Sub(p.c.startAt) < absentGrace:
		return false
	case p.c.lost(p.now, p.limits, s):
		return st.observed*4 >= st.confirmed*3 && p.now.Sub(st.raisedAt) >= shortRetry
	case s.Spot && p.c.lost(p.now, p.limits, Subject{s.Zone, false}):
		return false
	}
	return true
}

// absent reports whether no target was ever seen or ordered in the zone.
func (c *Controller) absent(zone string) bool {
	return c.subjects[Subject{zone, false}].confirmed+c.subjects[Subject{zone, true}].confirmed == 0
}

// add wants one more target of a kind in the zone that has the fewest, the cheapest of several. It returns false if there is none.
func (p *plan) add(spot bool, reason string) bool {
	share := int(math.Ceil(maxShareFactor * float64(max(p.floor, p.d.Total)) / float64(len(p.zones))))
	for _, limit := range []int{min(share, p.limits.MaxTargets), p.limits.MaxTargets} { // a zone gets a larger share only if no other can take it
		var free []Subject
		for _, zone := range p.zones {
			s := Subject{zone, spot}
			if p.ofZone(zone) >= limit || !p.usable(s) {
				continue
			}
			// All spot targets of a zone may be lost at once; at most half of its targets are.
			if spot && p.d.Wanted[s] >= p.expected(Subject{zone, false}) {
				continue
			}
			free = append(free, s)
		}
		if len(free) == 0 {
			continue
		}
		best := slices.MinFunc(free, func(a, b Subject) int {
			return cmp.Or(cmp.Compare(p.ofZone(a.Zone), p.ofZone(b.Zone)), cmp.Compare(p.price(a.Zone), p.price(b.Zone)), compareSubjects(a, b))
		})
		p.d.Wanted[best]++
		p.d.Reasons[best] = reason
		return true
	}
	return false
}

// reduce removes a few targets after a sustained surplus.
func (p *plan) reduce() {
	c := p.c
	surplus := p.total() - max(p.floor, int(math.Ceil(surplusFactor*float64(p.d.Total))), p.limits.MinTargets*len(p.zones))
	if surplus <= 0 || len(p.d.Reasons) > 0 || p.unsettled() {
		c.surplusSince = time.Time{}
		return
	}
	if c.surplusSince.IsZero() {
		c.surplusSince = p.now
	}
	if !c.peaks.complete(p.now) || p.now.Sub(c.surplusSince) < surplusHold || p.now.Sub(c.changedAt) < stepPause {
		p.d.Reason = fmt.Sprintf("a surplus of %d targets", surplus)
		return
	}
	reason := fmt.Sprintf("a surplus of %d targets since %d s", surplus, int(p.now.Sub(c.surplusSince).Seconds()))
	for range min(surplus, max(1, int(stepShare*float64(p.total())))) {
		if !p.remove(reason) {
			break
		}
	}
	p.d.Reason = reason
}

// unsettled reports whether orders are under way, or targets were lost in the last minute.
func (p *plan) unsettled() bool {
	if !p.c.lostAt.IsZero() && p.now.Sub(p.c.lostAt) < surplusHold {
		return true
	}
	for _, st := range p.c.subjects {
		if st.unsure || st.observed < st.confirmed && p.now.Sub(st.raisedAt) < p.limits.BootTime+bootSlack {
			return true
		}
	}
	return false
}

// remove wants one target less in the zone that has most, the dearest of several: an ordinary one, which saves more, if the ordinary
// targets are more than the peak asks for, otherwise a spot target.
func (p *plan) remove(reason string) bool {
	spot := p.expectedKind(false) <= int(math.Ceil(surplusFactor*float64(p.d.Ordinary)))
	for _, kind := range []bool{spot, !spot} {
		if !kind && spot {
			return false // the ordinary ones are needed
		}
		var from []Subject
		for _, zone := range p.zones {
			s := Subject{zone, kind}
			if p.d.Wanted[s] == 0 || p.ofZone(zone) <= p.limits.MinTargets || p.c.lost(p.now, p.limits, s) {
				continue
			}
			if !kind && p.d.Wanted[Subject{zone, true}] >= p.d.Wanted[s] {
				continue // the zone would have more spot targets than ordinary ones
			}
			from = append(from, s)
		}
		if len(from) == 0 {
			continue
		}
		worst := slices.MaxFunc(from, func(a, b Subject) int {
			return cmp.Or(cmp.Compare(p.ofZone(a.Zone), p.ofZone(b.Zone)), cmp.Compare(p.price(a.Zone), p.price(b.Zone)), compareSubjects(a, b))
		})
		p.d.Wanted[worst]--
		p.d.Reasons[worst] = reason
		return true
	}
	return false
}

// clamp keeps each zone within its maximum, also if that was lowered.
func (p *plan) clamp() {
	for _, zone := range p.zones {
		for _, s := range []Subject{{zone, true}, {zone, false}} {
			if over := min(p.ofZone(zone)-p.limits.MaxTargets, p.d.Wanted[s]); over > 0 {
				p.d.Wanted[s] -= over
				p.d.Reasons[s] = "the zone's maximum"
				p.d.Reason = "the zone's maximum"
			}
		}
	}
}
