package routing

import (
	"math"
	"time"
)

// Parameters of the expected time at a target, for tables with ByTime.
const (
	// figureHalfLife is the age at which a reported load or work figure counts half. It is about ten times the work of a plain request:
	// the figure changes many times a second, and the queue that it describes has been served by then.
	figureHalfLife = 250 * time.Millisecond
	// observedHalfLife is the age at which the speed observed in answer times counts half, so that a target that was slow is tried again.
	observedHalfLife = time.Second
	// paceGain is the weight of a new answer in a target's pace, paceClamp bounds its ratio to the usual time. At 0.2 a target that is six
	// times slower counted as usual again 1 s after its first slow answer.
	paceGain  = 0.5
	paceClamp = 20.0
	// usualGain is the weight of a new answer in the usual time of a kind of request, after the first usualSamples.
	usualGain    = 0.03
	usualSamples = 20
	// paceTolerance is the ratio to the usual time within which an observed target counts as usual: the times of a kind vary as much.
	paceTolerance = 1.5
	// equalPace is the difference to the usual time up to which a target's figure counts as usual.
	equalPace = 0.05
	// maxKinds bounds the kinds of requests whose usual time is kept.
	maxKinds = 256
	// unknownWork is the time of a request of a kind that was not answered yet.
	unknownWork = 25 * time.Millisecond
	// freshReport is the age up to which a report is compared as it is; about twice the work of a plain request.
	freshReport = 50 * time.Millisecond
	// crossZoneTime is what a request to another zone takes longer, there and back: zones are 0.5 to 1.4 ms apart.
	crossZoneTime = 2 * time.Millisecond
	// spreadWeight is the weight of the utilization among targets at which the expected times are the same.
	spreadWeight = 0.25
	// reservedSlots is the divisor of a target's slots that requests with LeaveFree leave free.
	reservedSlots = 6
	// probeInterval is the time between two requests that a VM sends to a target beyond its limit, which is what the other VMs leave. Without
	// them a VM whose requests fill the target keeps all its places.
	probeInterval = 100 * time.Millisecond
	// minFullPause and maxFullPause bound the time for which a target that refused a request as full gets no other.
	minFullPause = 4 * time.Millisecond
	maxFullPause = 100 * time.Millisecond
	// unreachablePause is the time for which a target that refused a connection gets no request.
	unreachablePause = 100 * time.Millisecond
	// maxFullDoublings bounds how often that time is doubled while the target refuses each request.
	maxFullDoublings = 2
)

// pace is how long work takes at a target, as a multiple of the usual time.
type pace struct {
	told       float64 // as the target reported; 0 if it never did
	toldAt     time.Time
	observed   float64 // moving average of the answer times
	observedAt time.Time
	// reported is the other VMs' load as of the last report, external a moving average of it.
	reported, external float64
	// fullUntil is the time until which a target that refused a request as full gets no other.
	fullUntil time.Time
	// refusals counts the requests refused as full since the last one that was run.
	refusals int
	// unreachableUntil is the time until which a target that refused a connection gets no request, also if it cannot be ejected because
	// too many others are.
	unreachableUntil time.Time
	// fullAt is the load at which the target last refused a request as full, at fullSeen; 0 if unknown.
	fullAt   int
	fullSeen time.Time
	// probedAt is when a request was last sent beyond the limit.
	probedAt time.Time
}

// usual is the moving average of the answer times of one kind of request.
type usual struct {
	seconds float64
	samples int
}

// decay returns the weight of a value of some age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, float64(age)) / float64(halfLife))
}

// SetByTime selects whether targets are chosen by the expected time of a request there. Such a table ejects no target for being slow.
func (t *Table) SetByTime(on bool) { t.byTime = on }

// SetSlots sets the number of requests that a target runs at a time, as registered. Unlike RecordLoad it tells nothing about its load.
func (t *Table) SetSlots(now time.Time, address string, slots int) {
	if x := t.byAddr[address]; x != nil {
		x.limit.SetLoad(slots, x.externalLoad(now))
	}
}

// RecordWork records how long work takes at a target now, in percent of the usual time. Values of 0 and below are ignored.
func (t *Table) RecordWork(now time.Time, address string, percent int) {
	if x := t.byAddr[address]; x != nil && percent > 0 {
		x.pace.told, x.pace.toldAt = float64(percent)/100, now
		x.now = momentary{}
	}
}

// RecordAnswer records a completed request of a kind, which was sent when the target's QueueFactor was queue.
func (t *Table) RecordAnswer(now time.Time, address, kind string, latency time.Duration, queue float64) {
	x := t.byAddr[address]
	if x == nil || latency <= 0 {
		return
	}
	x.health.failures, x.pace.refusals = 0, 0
	if x.health.samples == 0 {
		x.health.latency = latency.Seconds()
	}
	x.health.samples++
	x.health.latency += latencyGain * (latency.Seconds() - x.health.latency)
	x.limit.RecordLatency(now, latency.Seconds())
	u := t.usual[kind]
	if u == nil {
		if len(t.usual) >= maxKinds {
			return
		}
		u = &usual{}
		t.usual[kind] = u
	}
	work := latency.Seconds() / max(1, queue)
	ratio := 1.0
	if u.samples > 0 {
		ratio = min(paceClamp, max(1/paceClamp, work/u.seconds))
	}
	x.observe(now, ratio)
	if x.pace.told > 0 { // the usual time is that at 100 percent
		ratio /= x.paceAt(now)
	}
	u.samples++
	if u.samples == 1 {
		u.seconds = work / x.paceAt(now)
		return
	}
	u.seconds *= 1 + max(usualGain, 1/float64(min(u.samples, usualSamples)))*(min(ratio, paceClamp)-1)
}

// RecordUnfinished records that a request of a kind has no answer yet after a time, for a copy was sent or it was cancelled. It matters if it
// has taken longer than the target seemed to take.
func (t *Table) RecordUnfinished(now time.Time, address, kind string, elapsed time.Duration, queue float64) {
	x, u := t.byAddr[address], t.usual[kind]
	if x == nil || u == nil || u.samples < usualSamples {
		return
	}
	if ratio := min(paceClamp, elapsed.Seconds()/max(1, queue)/u.seconds); ratio > max(paceTolerance, 1+x.observedExcess(now)) {
		x.observe(now, ratio)
	}
}

// observe adds the ratio of an answer's time to the usual one to the observed pace.
func (x *target) observe(now time.Time, ratio float64) {
	x.pace.observed = 1 + x.observedExcess(now)*(1-paceGain) + paceGain*(ratio-1)
	x.pace.observedAt = now
	x.now = momentary{}
}

// observedExcess returns by how much the observed pace exceeds 1, decayed to now.
func (x *target) observedExcess(now time.Time) float64 {
	if x.pace.observedAt.IsZero() || x.pace.observed == 1 {
		return 0
	}
	return (x.pace.observed - 1) * decay(now.Sub(x.pace.observedAt), observedHalfLife)
}

// paceAt returns the expected pace of a target: what it reported, decaying with its age to what was observed.
func (x *target) paceAt(now time.Time) float64 { return x.at(now).pace }

func (x *target) computePace(now time.Time) float64 {
	observed := x.pace.observed
	if observed >= paceTolerance || observed > 0 && observed <= 1/paceTolerance {
		observed = 1 + x.observedExcess(now)
	}
	if observed < paceTolerance && observed > 1/paceTolerance || observed == 0 {
		observed = 1
	}
	if x.pace.told == 0 {
		return observed
	}
	w := decay(now.Sub(x.pace.toldAt), figureHalfLife)
	p := x.pace.told*w + observed*(1-w)
	if math.Abs(p-1) < equalPace {
		return 1 // the utilization decides
	}
	return p
}

// recordExternal adds a load report to the average that it decays to.
func (x *target) recordExternal(now time.Time) {
	x.pace.reported = float64(x.externalLoad(now))
	x.pace.external += latencyGain * (x.pace.reported - x.pace.external)
	x.now = momentary{}
}

// decayedExternal returns the expected number of other VMs' requests at the target.
func (x *target) decayedExternal(now time.Time) float64 { return x.at(now).external }

// momentary holds what one choice of a target needs several times, as of a time.
type momentary struct {
	at             time.Time
	external, pace float64
}

func (x *target) at(now time.Time) *momentary {
	if x.now.at != now {
		x.now = momentary{now, x.computeExternal(now), x.computePace(now)}
	}
	return &x.now
}

func (x *target) computeExternal(now time.Time) float64 {
	age := now.Sub(x.reportedAt)
	if x.reportedAt.IsZero() || age > reportTTL {
		return 0
	}
	if x.pace.reported == x.pace.external {
		return x.pace.reported
	}
	w := decay(age, figureHalfLife)
	return x.pace.reported*w + x.pace.external*(1-w)
}

// queueFactor returns the utilization with one more request, at least 1: the time there as a multiple of that without a queue.
func (x *target) queueFactor(now time.Time) float64 { return max(1, x.utilization(now)) }

// QueueFactor returns the expected time of the last request sent to a target, as a multiple of that without a queue.
func (t *Table) QueueFactor(now time.Time, address string) float64 {
	x := t.byAddr[address]
	if x == nil {
		return 1
	}
	slots := float64(max(1, x.limit.BatchCapacity()))
	return max(1, (x.loadAt(now, true))/slots)
}

// usualWork returns the usual time of a kind of request, or unknownWork.
func (t *Table) usualWork(kind string) time.Duration {
	if u := t.usual[kind]; u != nil && u.samples > 0 {
		return time.Duration(u.seconds * float64(time.Second))
	}
	return unknownWork
}

// Work returns the usual time of a kind of request without a queue, and whether enough answers were seen to rely on it.
func (t *Table) Work(kind string) (time.Duration, bool) {
	u := t.usual[kind]
	return t.usualWork(kind), u != nil && u.samples >= usualSamples
}

// Expected returns the expected time of one more request of a kind at a target: the way, the queue there and the work.
func (t *Table) Expected(now time.Time, address, kind string) time.Duration {
	x := t.byAddr[address]
	if x == nil {
		return 0
	}
	return t.expected(now, x, kind)
}

func (t *Table) expected(now time.Time, x *target, kind string) time.Duration {
	d := time.Duration(float64(t.usualWork(kind)) * x.paceAt(now) * x.queueFactor(now))
	if x.AvailabilityZone != t.opts.AvailabilityZone {
		d += crossZoneTime
	}
	return d
}

// cost orders targets of one zone: by the expected time, and by utilization where that is the same.
func (x *target) cost(now time.Time) float64 {
	u := x.utilization(now)
	return x.paceAt(now) * (max(1, u) + spreadWeight*u)
}

// pickByTime picks the less costly of two random targets in the own zone, or one of another zone if the request takes less time there with
// the way. Targets that cannot serve the request within its objective, or else its time, are left out while others can.
func (t *Table) pickByTime(now time.Time, usable []*target, q Query) *target {
	t.ready = t.ready[:0]
	for _, x := range usable {
		if x.AvailabilityZone == t.opts.AvailabilityZone && x.ready(now) {
			t.ready = append(t.ready, x)
		}
	}
	var best *target
	if len(t.ready) > 0 {
		best = t.lessCostly(now, t.ready)
		if best.paceAt(now) <= 1 {
			return best
		}
	}
	for _, limit := range []time.Duration{q.Objective, q.Budget} {
		if in := t.within(now, usable, q.Kind, limit); len(in) > 0 {
			usable = in
			break
		}
	}
	if near := inZone(usable, t.opts.AvailabilityZone); best == nil && len(near) > 0 {
		best = t.lessCostly(now, near)
	}
	var far []*target
	for _, x := range usable {
		if x.AvailabilityZone != t.opts.AvailabilityZone {
			far = append(far, x)
		}
	}
	if len(far) == 0 {
		return best
	}
	if x := t.lessCostly(now, readyOrAll(now, far)); best == nil || t.expected(now, x, q.Kind) < t.expected(now, best, q.Kind) {
		best = x
	}
	return best
}

// ready reports whether the target can start a request at once at the usual pace.
func (x *target) ready(now time.Time) bool {
	return x.utilization(now) <= 1 && x.paceAt(now) <= paceTolerance
}

// readyOrAll returns the targets that can start a request at once at the usual pace, or all if none can: among the others, a short queue at
// a fast target may be better than a slow target without one.
func readyOrAll(now time.Time, targets []*target) []*target {
	var out []*target
	for _, x := range targets {
		if x.ready(now) {
			out = append(out, x)
		}
	}
	if len(out) == 0 {
		return targets
	}
	return out
}

// within returns the targets at which the expected time is within limit; 0 means no limit.
func (t *Table) within(now time.Time, targets []*target, kind string, limit time.Duration) []*target {
	if limit <= 0 {
		return targets
	}
	var out []*target
	for _, x := range targets {
		if t.expected(now, x, kind) <= limit {
			out = append(out, x)
		}
	}
	return out
}

// lessCostly returns the less costly of two random targets. It does not take the best of all, as all VMs that saw the same reports would. Of
// two targets in all it takes the other one in proportion, if the reports are old: the pair is the same at each VM then.
func (t *Table) lessCostly(now time.Time, targets []*target) *target {
	a, b := t.twoRandom(targets)
	costA, costB := a.cost(now), b.cost(now)
	if costB < costA {
		a, b, costA, costB = b, a, costB, costA
	}
	if len(targets) == 2 && costA < costB && a.reportIsOld(now) && b.reportIsOld(now) && t.opts.Rand.Float64() < costA/(costA+costB) {
		return b
	}
	return a
}

// reportIsOld reports whether what is known of other VMs' requests at the target may have changed by the requests that they sent since.
func (x *target) reportIsOld(now time.Time) bool {
	return !x.reportedAt.IsZero() && now.Sub(x.reportedAt) > freshReport
}

// NoneReachable reports whether all targets that might get requests have lately refused connections.
func (t *Table) NoneReachable(now time.Time) bool {
	for _, x := range t.targets {
		if x.blocked == "" && !now.Before(x.pace.unreachableUntil) {
			return false
		}
	}
	return true
}

// withinFull reports whether one more request leaves the target below the load at which it refused one lately.
func (x *target) withinFull(now time.Time) bool {
	return x.pace.fullAt == 0 || now.Sub(x.pace.fullSeen) > reportTTL || x.loadAt(now, true)+1 <= float64(x.pace.fullAt)
}

// recordFull records that the target refused a request as full, with the load that it reported if it did so with the refusal.
func (t *Table) recordFull(now time.Time, x *target) {
	x.pace.fullUntil = now.Add(t.fullPause(now, x))
	x.pace.refusals++
	if x.reportedAt.Equal(now) {
		x.pace.fullAt, x.pace.fullSeen = max(x.reportedLoad, x.limit.BatchCapacity()), now
	}
}

// mayProbe reports whether a request may be sent beyond the limit, for a fair part of the places that other VMs use.
func (x *target) mayProbe(now time.Time) bool {
	return now.Sub(x.pace.probedAt) >= probeInterval && x.loadAt(now, true)+1 <= float64(overcommitFactor*x.limit.BatchCapacity())
}

// leavesFree reports whether the target keeps slots free with one more request.
func (x *target) leavesFree(now time.Time) bool {
	slots := max(1, x.limit.BatchCapacity())
	return x.loadAt(now, true)+1 <= float64(slots-slots/reservedSlots)
}

// fullPause returns for how long a target that refused a request as full gets no other: about the time in which one of its slots frees.
func (t *Table) fullPause(now time.Time, x *target) time.Duration {
	shortest := unknownWork
	for kind := range t.usual {
		shortest = min(shortest, t.usualWork(kind))
	}
	pause := time.Duration(float64(shortest) * x.paceAt(now) / float64(max(1, x.limit.BatchCapacity())))
	return min(maxFullPause, max(minFullPause, pause)<<min(x.pace.refusals, maxFullDoublings))
}

// WorkFigure returns how long work takes at a target in percent of the usual time, as used for choices, and the age of the target's own
// figure in it; the age is 0 if the target never told.
func (t *Table) WorkFigure(now time.Time, address string) (percent int, age time.Duration) {
	x := t.byAddr[address]
	if x == nil {
		return 0, 0
	}
	if x.pace.told > 0 {
		age = now.Sub(x.pace.toldAt)
	}
	return int(math.Round(100 * x.paceAt(now))), age
}
