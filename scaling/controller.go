package scaling

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
)

// Headroom, as factors on the slots that the work needs.
const (
	// burstHeadroom allows for bursts, for targets that load weights, and for targets that just crashed.
	burstHeadroom = 1.3
	// scaleUpBelow is the fraction of the wanted total below which targets are ordered, scaleUpTo the fraction up to which they are. A
	// target that restarts causes no order, and a load that grows causes few.
	scaleUpBelow, scaleUpTo = 0.92, 1.1
	// surplusFactor is the multiple of the wanted total above which there is a surplus. With 1.1 and a peakWindow of one minute, random
	// differences between peaks caused 12 removals in ten minutes of a load that changed each 20 s; now there are none.
	surplusFactor = 1.25
	// maxShareFactor bounds the share of a zone, as a multiple of an equal share.
	maxShareFactor = 1.25
)

// Times of the controller.
const (
	// maxViewAge is the largest age of a view that decisions are based on. A read of the store may wait 0.8 s, and 0.5 s pass between two.
	maxViewAge = 3 * time.Second
	// staleHold is how long nothing is changed after a stale view: registrations that lapsed in an outage come back within 2 s.
	staleHold = 3 * time.Second
	// bootSlack is added to the boot time until a new target is missed: its registration has to be read.
	bootSlack = 2 * time.Second
	// lossDelay is how long targets are missing from the registrations before they count as lost.
	lossDelay = 3 * time.Second
	// absentGrace is how long a zone that had no target when the tenure was taken is left alone: it may be cut off, and an absolute
	// count would remove the targets that it has.
	absentGrace = 30 * time.Second
	// shortRetry is the pause before a zone that delivers fewer targets than ordered is asked for more.
	shortRetry = 10 * time.Second
	// elsewherePause is the pause after the platform had no targets, before they are ordered in another zone or of the other kind.
	elsewherePause = time.Second
	// nonePauseMin and nonePauseMax bound the pause before a zone and kind is tried again that had no targets. It doubles each time.
	nonePauseMin, nonePauseMax = 10 * time.Second, time.Minute
	// callPauseMin and callPauseMax bound the pause after too many calls, or after a call without an answer. It doubles each time.
	callPauseMin, callPauseMax = time.Second, 16 * time.Second
	// surplusHold is how long a surplus must last before the first target is removed, stepPause the time between two steps.
	surplusHold = time.Minute
	stepPause   = 15 * time.Second
	// stepShare is the largest part of the targets that one step removes.
	stepShare = 0.05
)

// subjectState is what the controller knows about a subject.
type subjectState struct {
	observed int
	// confirmed is the newest count that the platform accepted. Before the first order it is the largest count that lasted.
	confirmed int
	// sent is set once an order was sent, at sentAt. unsure is set while it is not known whether the newest one was accepted.
	sent, unsure bool
	sentAt       time.Time
	// raisedAt is the time of the newest order of more targets.
	raisedAt time.Time
	// differsSince is the time since which the observed count differs from the confirmed one; zero if it does not.
	differsSince time.Time
	// repeats is the number of times that the order was repeated because the count still differed.
	repeats int
	// blockedUntil is the end of the pause after the platform had no targets, of which there were refusals in a row.
	blockedUntil time.Time
	refusals     int
	lastOutcome  Outcome
	reason       string
}

// Controller decides the numbers of targets of one pool during one tenure. It is not safe for concurrent use, does no I/O and has no
// clock.
type Controller struct {
	subjects map[Subject]*subjectState
	peaks    peaks
	busy     movingMean // of the items that run
	startAt  time.Time  // the first observation that was not stale
	// initialTotal is the number of targets when the tenure was taken.
	initialTotal int
	freshSince   time.Time // the view has not been stale since
	pausedUntil  time.Time
	failures     int // calls without an answer, or over the rate, in a row
	surplusSince time.Time
	changedAt    time.Time // when the wanted counts were last changed
	lostAt       time.Time // when targets were last found lost
	last         Decision
}

// NewController returns the controller of a VM that has just taken the tenure.
func NewController() *Controller { return &Controller{subjects: map[Subject]*subjectState{}} }

// settleTime is the time after taking the tenure in which nothing is changed: targets that the predecessor ordered become visible.
func settleTime(s *fleet.Scaling) time.Duration { return s.BootTime + bootSlack }

// Decide returns the wanted counts and the orders that are due.
func (c *Controller) Decide(o Observation, limits *fleet.Scaling) Decision {
	if o.ViewAge > maxViewAge {
		c.freshSince, c.surplusSince = time.Time{}, time.Time{}
		return c.hold("the view is stale")
	}
	if c.startAt.IsZero() {
		c.startAt = o.Now
	}
	if c.freshSince.IsZero() {
		c.freshSince = o.Now
	}
	c.observe(o, limits)
	zones := c.zones()
	if len(zones) == 0 {
		return c.hold("no availability zone is known")
	}
	d := Decision{Wanted: map[Subject]int{}, Reasons: map[Subject]string{}, Reason: "steady"}
	busy := c.busy.add(o.Now, float64(len(o.Load.Open)-o.Load.Waiting))
	d.NeedSlots = needSlots(&o.Load, busy, limits.MaxTargets*len(zones)*o.Slots)
	d.PeakSlots = c.peaks.add(o.Now, d.NeedSlots)
	d.Ordinary = targetsFor(float64(d.PeakSlots)*burstHeadroom, o.Slots)
	d.Total = targetsFor(float64(d.PeakSlots)*burstHeadroom*zoneHeadroom(len(zones)), o.Slots)
	d.Total = min(d.Total, limits.MaxTargets*len(zones))
	d.Ordinary = min(d.Ordinary, d.Total)
	for s, st := range c.subjects {
		d.Wanted[s] = st.confirmed
	}
	switch {
	case o.Now.Sub(c.startAt) < settleTime(limits):
		c.keep(&d, "the tenure was just taken")
		return d
	case c.freshSince.After(c.startAt) && o.Now.Sub(c.freshSince) < staleHold:
		c.keep(&d, "the view was stale")
		return d
	}
	p := &plan{c: c, now: o.Now, limits: limits, zones: zones, d: &d}
	if o.Partial {
		p.floor = c.initialTotal
	}
	p.raise()
	p.reduce()
	p.clamp()
	c.finish(o.Now, limits, &d)
	return d
}

// hold returns the previous decision without orders.
func (c *Controller) hold(reason string) Decision {
	d := c.last
	d.Wanted = maps.Clone(d.Wanted)
	c.keep(&d, reason)
	return d
}

func (c *Controller) keep(d *Decision, reason string) {
	d.Reason, d.Held, d.Orders, d.Reasons = reason, true, nil, nil
	c.last = *d
}

// targetsFor returns the number of targets that have the slots.
func targetsFor(slots float64, perTarget int) int { return int(math.Ceil(slots / float64(perTarget))) }

// zoneHeadroom returns the factor that leaves enough targets after the loss of one of the zones.
func zoneHeadroom(zones int) float64 {
	if zones < 2 {
		return 1
	}
	return float64(zones) / float64(zones-1)
}

// zones returns the known zones, sorted.
func (c *Controller) zones() []string {
	seen := map[string]bool{}
	for s := range c.subjects {
		seen[s.Zone] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

// observe updates the subjects with the observed counts.
func (c *Controller) observe(o Observation, limits *fleet.Scaling) {
	known := maps.Clone(o.Counts)
	if known == nil {
		known = map[Subject]int{}
	}
	for zone := range limits.ZonePrices {
		known[Subject{Zone: zone}] += 0
	}
	for s := range known {
		for _, spot := range []bool{false, true} {
			if s.Spot = spot; c.subjects[s] == nil {
				c.subjects[s] = &subjectState{}
			}
		}
	}
	settling := o.Now.Sub(c.startAt) < settleTime(limits)
	for s, st := range c.subjects {
		st.observed = o.Counts[s]
		// A target that restarts may be registered twice for a moment.
		if !st.sent && st.observed > st.confirmed && (settling || !st.differsSince.IsZero() && o.Now.Sub(st.differsSince) >= lossDelay) {
			st.confirmed = st.observed
		}
		switch {
		case st.observed == st.confirmed:
			st.differsSince, st.repeats = time.Time{}, 0
		case st.differsSince.IsZero():
			st.differsSince = o.Now
		}
		if c.lost(o.Now, limits, s) && st.observed*2 < st.confirmed {
			c.lostAt = o.Now
		}
	}
	if settling {
		c.initialTotal = 0
		for _, st := range c.subjects {
			c.initialTotal += st.confirmed
		}
	}
}

// lost reports whether targets of the subject have been missing for too long: those that ran are gone, or ordered ones did not come.
func (c *Controller) lost(now time.Time, limits *fleet.Scaling, s Subject) bool {
	st := c.subjects[s]
	if st.observed >= st.confirmed || st.differsSince.IsZero() || now.Sub(st.differsSince) < lossDelay {
		return false
	}
	return st.raisedAt.IsZero() || now.Sub(st.raisedAt) >= limits.BootTime+bootSlack
}

// effective returns the number of targets that the subject has, or is expected to have after the boot time.
func (c *Controller) effective(now time.Time, limits *fleet.Scaling, s Subject) int {
	st := c.subjects[s]
	if c.lost(now, limits, s) {
		return st.observed
	}
	return st.confirmed
}

// finish sets the orders that are due.
func (c *Controller) finish(now time.Time, limits *fleet.Scaling, d *Decision) {
	for _, s := range slices.SortedFunc(maps.Keys(c.subjects), compareSubjects) {
		st, count := c.subjects[s], d.Wanted[s]
		if r := d.Reasons[s]; r != "" {
			st.reason = r
		}
		if now.Before(st.blockedUntil) && count >= st.confirmed {
			continue
		}
		switch {
		case count != st.confirmed:
			d.Orders = append(d.Orders, Order{s, count, d.Reasons[s]})
		case st.unsure:
			d.Orders = append(d.Orders, Order{s, count, "the outcome of the order is not known"})
		case c.repeatDue(now, limits, st):
			d.Orders = append(d.Orders, Order{s, count, fmt.Sprintf("%d targets are registered", st.observed)})
		}
	}
	// More targets are more urgent than fewer.
	slices.SortStableFunc(d.Orders, func(a, b Order) int {
		return c.subjects[a.Subject].confirmed - a.Count - (c.subjects[b.Subject].confirmed - b.Count)
	})
	if now.Before(c.pausedUntil) && len(d.Orders) > 0 {
		d.Orders, d.Held, d.Reason = nil, true, "the platform's API is paused after an error"
	}
	c.last = *d
}

// repeatDue reports whether the observed count still differs from the ordered one after the boot time. The pause doubles with each repeat.
func (c *Controller) repeatDue(now time.Time, limits *fleet.Scaling, st *subjectState) bool {
	if st.differsSince.IsZero() {
		return false
	}
	pause := min((limits.BootTime+bootSlack)<<min(st.repeats, 4), time.Minute)
	return now.Sub(st.differsSince) >= pause && (!st.sent || now.Sub(st.sentAt) >= pause)
}

// Sent tells the controller how an order ended.
func (c *Controller) Sent(now time.Time, o Order, outcome Outcome) {
	st := c.subjects[o.Subject]
	if st == nil || outcome == Unsent {
		return
	}
	st.lastOutcome = outcome
	switch outcome {
	case Accepted:
		c.failures, st.refusals = 0, 0
		switch {
		case o.Count == st.confirmed && !st.unsure:
			st.repeats++
		case o.Count > st.confirmed:
			st.raisedAt = now
		}
		if o.Count != st.confirmed {
			c.changedAt = now
			st.differsSince, st.repeats = now, 0
		}
		st.confirmed, st.sent, st.unsure, st.sentAt = o.Count, true, false, now
	case NoneAvailable:
		c.failures, st.unsure, st.sentAt = 0, false, now
		st.blockedUntil = now.Add(min(nonePauseMin<<min(st.refusals, 4), nonePauseMax))
		st.refusals++
		c.pause(now, elsewherePause)
	case Unknown:
		st.unsure = true
		fallthrough
	case TooManyCalls:
		if !now.Before(c.pausedUntil) { // the first of a wave
			c.pause(now, min(callPauseMin<<min(c.failures, 4), callPauseMax))
			c.failures++
		}
	}
}

// pause stops all orders for a time.
func (c *Controller) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(c.pausedUntil) {
		c.pausedUntil = until
	}
}
