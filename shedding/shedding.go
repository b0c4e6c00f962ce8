// Package shedding decides, for the requests that one VM sends to a pool of targets, which of them wait when no target has room, which
// are refused, and which gets the next place. It does no I/O and reads no clock; the time is an argument.
//
// Callers' requests come before background ones, which have a guaranteed share of the pool's slots. Among callers' requests those that can
// still meet their objective come first, then organisations take turns by weighted start-time fair queueing, and within an organisation
// the older request goes first.
package shedding

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Limits and times of the decision.
const (
	// maxWaiting bounds the waiting requests. A VM has 144 MB, and a body may have some hundred kilobytes.
	maxWaiting = 512
	// MinRetryAfter and maxRetryAfter bound the Retry-After of a refusal; DefaultRetryAfter is used while the rate is not known. It is
	// about the time in which an overloaded target serves part of its queue.
	MinRetryAfter     = 50 * time.Millisecond
	DefaultRetryAfter = 200 * time.Millisecond
	maxRetryAfter     = 2 * time.Second
	// waitShare is the share of a request's time for which it may wait at most, if that is longer than its objective. The rest is for
	// another attempt at another VM.
	waitShare = 0.5
	// certainty is how much longer than the time left the estimated wait must be for a refusal: the rate varies.
	certainty = 1.25
	// sweepTime is the time in which all requests that wait are estimated again.
	sweepTime = 200 * time.Millisecond
	// backgroundShare is the share of the pool's slots that background requests get in any case and that limits them while callers'
	// requests wait.
	backgroundShare = 0.25
	// leadMargin is the margin on the time from a place to the answer, with which requests still meet their objective; leadGain is the
	// weight of a new one in its average.
	leadMargin = 1.25
	leadGain   = 0.1
	// shortTime is how long after the last shortage the rate is observed on.
	shortTime = time.Second
	// returnGrace is how long after its Retry-After a refused request is expected back.
	returnGrace = 250 * time.Millisecond
	// returnRatio is the ratio of a request's time to the usual one of its kind below which it counts as a return after a refusal.
	returnRatio = 0.9
	// usualBudgetGain lowers the usual time of a kind with each shorter one seen.
	usualBudgetGain = 0.002
	// maxCredit bounds how much earlier than its arrival a return is ordered.
	maxCredit = 2 * time.Second
	// refusedTTL and maxRefused bound the IDs kept of refused background requests, which come back under the same ID.
	refusedTTL = 10 * time.Second
	maxRefused = 1024
	maxKinds   = 256
)

// Request is a request for a place at a target.
type Request struct {
	// ID is the same when a background request comes back, and another one for each attempt of a caller.
	ID string
	// Kind is the name of the route: requests of a kind have a usual budget.
	Kind         string
	Organisation string
	Background   bool
	// Objective is the time in which the request should be answered; 0 if there is none. Budget is the time in which it must be.
	Objective, Budget time.Duration
	// Work is the usual time at a target without a queue. Expected is the time at the target that was looked at last, 0 if none has a slot.
	Work, Expected time.Duration
	// Waited is the time since the request arrived at this VM, for one that a target has not run.
	Waited time.Duration
}

// Waiter is a request that waits.
type Waiter struct {
	Request
	// Value is the caller's own.
	Value any

	arrived time.Time
	// order is the time of arrival, less what a return has spent before.
	order time.Time
	// due is when the objective is over, zero without one; latest is the last time at which a place lets the request be served.
	due, latest time.Time
	// giveUp is the end of the wait.
	giveUp time.Time
	gone   bool
	// share is the state of the organisation; nil for background requests.
	share *share
}

// Arrived returns when the request began to wait.
func (w *Waiter) Arrived() time.Time { return w.arrived }

// Gone reports whether the request waits no more.
func (w *Waiter) Gone() bool { return w.gone }

// late reports whether the request will miss its objective if it gets a place now.
func (q *Queue) late(now time.Time, w *Waiter) bool {
	return !w.due.IsZero() && now.Add(max(w.Work, time.Duration(leadMargin*float64(q.lead)))).After(w.due)
}

// Action is what becomes of a request that finds no place.
type Action int

// Actions.
const (
	Wait Action = iota
	Refuse
)

// Decision is the decision on a request that found no place, with its inputs.
type Decision struct {
	Action Action
	// Waiter is set if the request waits, MaxWait is how long at most.
	Waiter  *Waiter
	MaxWait time.Duration
	// RetryAfter and Reason are set if the request is refused.
	RetryAfter time.Duration
	Reason     string
	// Ahead is the number of requests before this one, Rate the places that become free in a second (0 if unknown), RateAge the time over
	// which the rate was observed, and Estimate the time until a place is free (0 if unknown).
	Ahead    int
	Rate     float64
	RateAge  time.Duration
	Estimate time.Duration
}

// away is a refused request of an organisation that is expected back at a time.
type away struct {
	organisation string
	at           time.Time
}

// Queue holds the waiting requests of one pool. The zero value is not valid. It is not safe for concurrent use.
type Queue struct {
	slots              int
	callers            []*Waiter
	background         []*Waiter
	inFlight           int
	inFlightBackground int
	rate               departures
	shares             shares
	usualBudget        map[string]time.Duration
	// away holds the refused callers' requests that are expected back, the earliest first.
	away    []away
	refused map[string]time.Time
	sweptAt time.Time
	// sweepFrom moves the sample of the requests that are estimated.
	sweepFrom int
	// lead is a moving average of the expected times from a place to the answer.
	lead time.Duration
	// shortAt is when room was short last: a request waited or was refused.
	shortAt time.Time
}

// New returns a queue without requests.
func New() *Queue {
	return &Queue{usualBudget: map[string]time.Duration{}, refused: map[string]time.Time{}, shares: newShares()}
}

// SetSlots sets the number of slots of the pool's targets.
func (q *Queue) SetSlots(n int) { q.slots = n }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return len(q.callers) + len(q.background) }

// backgroundSlots returns the slots that background requests have in any case.
func (q *Queue) backgroundSlots() int { return max(1, int(backgroundShare*float64(q.slots))) }

// guaranteed reports whether another background request is within the share that background requests have in any case.
func (q *Queue) guaranteed() bool { return q.inFlightBackground < q.backgroundSlots() }

// LeaveFree reports whether a request must leave slots of its target free for others: background requests beyond their share must.
func (q *Queue) LeaveFree(background bool) bool { return background && !q.guaranteed() }

// Observe records that a request has arrived at this VM.
func (q *Queue) Observe(now time.Time, r *Request) {
	if !r.Background {
		q.shares.arrived(now, r.Organisation)
		q.learnBudget(r)
	}
}

// MaySend reports whether a request may go to a target without regard to those that wait.
func (q *Queue) MaySend(background bool) bool {
	if background {
		return len(q.background) == 0 && (len(q.callers) == 0 || q.guaranteed())
	}
	return len(q.callers) == 0
}

// Sent records that a request was sent to a target.
func (q *Queue) Sent(background bool) {
	q.inFlight++
	if background {
		q.inFlightBackground++
	}
}

// Ended records that a request at a target has ended, which makes a place free.
func (q *Queue) Ended(now time.Time, background bool) {
	q.inFlight = max(0, q.inFlight-1)
	if background {
		q.inFlightBackground = max(0, q.inFlightBackground-1)
	}
	q.rate.record(now)
}

// Unsent takes back a Sent: nothing reached the target, or it did not run the request.
func (q *Queue) Unsent(background bool) {
	q.inFlight = max(0, q.inFlight-1)
	if background {
		q.inFlightBackground = max(0, q.inFlightBackground-1)
	}
}

// Arrive decides on a request that found no place.
func (q *Queue) Arrive(now time.Time, r Request) Decision {
	w := &Waiter{Request: r, arrived: now, order: now.Add(-r.Waited - q.credit(now, &r)), latest: now.Add(r.Budget - r.Work)}
	if r.Objective > 0 {
		w.due = now.Add(r.Objective)
	}
	w.giveUp = w.latest
	if !r.Background { // which would come back to this VM anyway
		w.giveUp = now.Add(min(r.Budget-r.Work, max(r.Objective, time.Duration(waitShare*float64(r.Budget)))))
	}
	if now.Sub(q.shortAt) > shortTime {
		q.rate.begin(now)
	}
	q.shortAt = now
	d := Decision{Waiter: w, MaxWait: w.giveUp.Sub(now)}
	d.Ahead = q.ahead(now, w)
	d.Rate, d.RateAge = q.currentRate(now, r.Work)
	d.Estimate = estimate(d.Ahead+1, d.Rate)
	switch {
	case d.MaxWait <= 0:
		d.Reason = "no target would answer in the time that is left"
	case r.Expected > r.Budget:
		d.Reason = "the targets would take longer than the time that is left"
	case q.Waiting() >= maxWaiting:
		d.Reason = "too many requests wait for a target"
	case float64(d.Estimate) > certainty*float64(d.MaxWait):
		d.Reason = "no target will have room in the time that is left"
	default:
		if r.Background {
			q.background = append(q.background, w)
		} else {
			w.share = q.shares.get(now, r.Organisation)
			q.callers = append(q.callers, w)
		}
		return d
	}
	d.Action, d.Waiter = Refuse, nil
	d.RetryAfter = max(q.refuse(now, w, d.Rate), min(maxRetryAfter, r.Expected-r.Budget))
	return d
}

// Expire removes the requests that need not wait any longer: their wait is over, or there will be no place for them in time. As an estimate
// costs a pass over all that wait, each call estimates only some, so that all are estimated about each sweepTime.
func (q *Queue) Expire(now time.Time) []*Waiter {
	if q.Waiting() == 0 {
		return nil
	}
	elapsed := min(sweepTime, now.Sub(q.sweptAt))
	q.sweptAt = now
	share := float64(elapsed) / float64(sweepTime)
	var out []*Waiter
	for _, list := range [][]*Waiter{q.callers, q.background} {
		estimates := int(math.Ceil(share * float64(len(list))))
		q.sweepFrom++
		for i, w := range list {
			// The sampled ones differ from call to call, also while the list does not change.
			sampled := estimates > 0 && (i+q.sweepFrom)%max(1, len(list)/estimates) == 0
			if !now.Before(w.giveUp) || sampled && q.inVain(now, w) {
				out = append(out, w)
			}
		}
	}
	q.shortAt = now
	for _, w := range out {
		q.remove(w)
	}
	return out
}

// inVain reports whether a request that waits will get no place in its time.
func (q *Queue) inVain(now time.Time, w *Waiter) bool {
	rate, _ := q.currentRate(now, w.Work)
	return float64(estimate(q.ahead(now, w)+1, rate)) > certainty*float64(w.latest.Sub(now))
}

// RefuseWaiter returns the Retry-After for a request that Expire or Leave has removed.
func (q *Queue) RefuseWaiter(now time.Time, w *Waiter) time.Duration {
	rate, _ := q.currentRate(now, w.Work)
	return q.refuse(now, w, rate)
}

// Clear removes all waiting requests, as the pool has no target left.
func (q *Queue) Clear() []*Waiter {
	out := slices.Concat(q.callers, q.background)
	for _, w := range out {
		q.remove(w)
	}
	return out
}

// RefuseUnsent returns the Retry-After for a request that targets did not run although they seemed to have room.
func (q *Queue) RefuseUnsent(now time.Time, r Request) time.Duration {
	rate, _ := q.currentRate(now, r.Work)
	return q.refuse(now, &Waiter{Request: r, order: now.Add(-r.Waited)}, rate)
}

// Leave removes a request that does not wait any longer. It reports whether it still waited.
func (q *Queue) Leave(w *Waiter) bool {
	if w.gone {
		return false
	}
	q.remove(w)
	return true
}

// Dispatch gives places to waiting requests in their order, for as long as place finds targets. It returns the requests placed, for each
// of which place has called Sent.
func (q *Queue) Dispatch(now time.Time, place func(w *Waiter) bool) []*Waiter {
	var placed, failed []*Waiter
	// One request may have no target although others have, for example because of its time. Few are tried, as each costs a choice.
	const maxFailed = 3
	for len(failed) < maxFailed {
		w := q.next(now, failed)
		if w == nil {
			break
		}
		if !place(w) {
			failed = append(failed, w)
			continue
		}
		if !w.Background {
			q.lead += time.Duration(leadGain * float64(w.Expected-q.lead))
			q.shares.served(now, w.share, q.waitingShares())
		}
		q.remove(w)
		placed = append(placed, w)
	}
	return placed
}

// next returns the request that gets the next place, without those in except.
func (q *Queue) next(now time.Time, except []*Waiter) *Waiter {
	if q.guaranteed() {
		if w := q.first(now, q.background, except); w != nil {
			return w
		}
	}
	if w := q.first(now, q.callers, except); w != nil || len(q.callers) > 0 {
		return w
	}
	return q.first(now, q.background, except)
}

func (q *Queue) first(now time.Time, waiters, except []*Waiter) *Waiter {
	var best *Waiter
	for _, w := range waiters {
		if !slices.Contains(except, w) && (best == nil || q.before(now, w, best)) {
			best = w
		}
	}
	return best
}

// before reports whether a gets a place before b.
func (q *Queue) before(now time.Time, a, b *Waiter) bool {
	if a.Background {
		return a.order.Before(b.order) // all items of a step matter alike
	}
	if la, lb := q.late(now, a), q.late(now, b); la != lb {
		return lb
	}
	if c := cmp.Compare(q.shares.startTag(a.share), q.shares.startTag(b.share)); c != 0 {
		return c < 0
	}
	return a.order.Before(b.order)
}

// ahead estimates the number of places that go to others before w gets one: within its organisation the older requests, and of each other
// organisation as many.
func (q *Queue) ahead(now time.Time, w *Waiter) int {
	if w.Background {
		older := 0
		for _, x := range q.background {
			if x != w && !w.order.Before(x.order) {
				older++
			}
		}
		return older + len(q.callers)
	}
	late := q.late(now, w)
	onTime, older := 0, 0
	others := map[string]int{}
	for _, x := range q.callers {
		switch xLate := q.late(now, x); {
		case x == w:
		case xLate != late:
			if late {
				onTime++
			}
		case x.Organisation != w.Organisation:
			others[x.Organisation]++
		case !w.order.Before(x.order):
			older++
		}
	}
	n := onTime + older
	for _, k := range others {
		n += min(k, older+1)
	}
	if len(q.background) > 0 {
		n = int(math.Ceil(float64(n) / (1 - backgroundShare)))
	}
	return n
}

// waitingShares returns the states of the organisations of which requests wait.
func (q *Queue) waitingShares() map[*share]bool {
	out := map[*share]bool{}
	for _, w := range q.callers {
		out[w.share] = true
	}
	return out
}

func (q *Queue) remove(w *Waiter) {
	w.gone = true
	is := func(x *Waiter) bool { return x == w }
	if w.Background {
		q.background = slices.DeleteFunc(q.background, is)
	} else {
		q.callers = slices.DeleteFunc(q.callers, is)
	}
}

// refuse records a refusal and returns its Retry-After: the time in which places become free for all that wait, for those that were
// refused and are expected back before, and for this request.
func (q *Queue) refuse(now time.Time, w *Waiter, rate float64) time.Duration {
	q.dropAway(now)
	n := 1 + q.ahead(now, w)
	if w.Background {
		if len(q.refused) >= maxRefused {
			for id, at := range q.refused {
				if now.Sub(at) > refusedTTL {
					delete(q.refused, id)
				}
			}
		}
		if len(q.refused) < maxRefused {
			q.refused[w.ID] = w.order
		}
	} else {
		n += q.awayBefore(w.Organisation)
	}
	d := DefaultRetryAfter
	if rate > 0 {
		d = min(maxRetryAfter, max(MinRetryAfter, estimate(n, rate)))
	}
	if !w.Background && len(q.away) < maxWaiting {
		q.away = append(q.away, away{w.Organisation, now.Add(d)})
		slices.SortFunc(q.away, func(a, b away) int { return a.at.Compare(b.at) })
	}
	return d
}

// awayBefore returns how many requests that were refused get a place before another one of an organisation: all of its own, and as many of
// each other one.
func (q *Queue) awayBefore(organisation string) int {
	own, others := 0, map[string]int{}
	for _, a := range q.away {
		if a.organisation == organisation {
			own++
		} else {
			others[a.organisation]++
		}
	}
	n := own
	for _, k := range others {
		n += min(k, own+1)
	}
	return n
}

func (q *Queue) dropAway(now time.Time) {
	for len(q.away) > 0 && now.Sub(q.away[0].at) > returnGrace {
		q.away = q.away[1:]
	}
}

func (q *Queue) learnBudget(r *Request) {
	usual, ok := q.usualBudget[r.Kind]
	switch {
	case r.Budget >= usual && (ok || len(q.usualBudget) < maxKinds):
		q.usualBudget[r.Kind] = r.Budget
	case ok:
		q.usualBudget[r.Kind] = usual - time.Duration(usualBudgetGain*float64(usual-r.Budget))
	}
}

// credit returns how long before its arrival a request is to be ordered: for a return, the time since its first attempt.
func (q *Queue) credit(now time.Time, r *Request) time.Duration {
	if r.Background {
		first, ok := q.refused[r.ID]
		delete(q.refused, r.ID)
		if !ok {
			return 0
		}
		return max(0, now.Sub(first))
	}
	usual := q.usualBudget[r.Kind]
	if float64(r.Budget) >= returnRatio*float64(usual) {
		return 0
	}
	if i := slices.IndexFunc(q.away, func(a away) bool { return a.organisation == r.Organisation }); i >= 0 {
		q.away = slices.Delete(q.away, i, i+1)
	}
	return min(maxCredit, usual-r.Budget)
}

// currentRate returns the places that become free in a second, and the time over which that was observed. Before enough places became
// free it follows from the requests at the targets and their usual time.
func (q *Queue) currentRate(now time.Time, work time.Duration) (float64, time.Duration) {
	if rate, over := q.rate.rate(now); over > 0 {
		return rate, over
	}
	if q.inFlight == 0 || work <= 0 {
		return 0, 0
	}
	return float64(q.inFlight) / work.Seconds(), 0
}

// estimate returns the time until n places have become free; 0 if the rate is not known.
func estimate(n int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(float64(time.Hour), float64(n)/rate*float64(time.Second)))
}

// State is the state of a queue in the state dump.
type State struct {
	Callers            int `json:"callers"`
	Background         int `json:"background"`
	InFlight           int `json:"in_flight"`
	InFlightBackground int `json:"in_flight_background"`
	Slots              int `json:"slots"`
	// Away is the number of refused callers that are expected back.
	Away int `json:"away"`
	// RatePerSecond is the places that become free, observed over RateMs; 0 if unknown.
	RatePerSecond float64 `json:"rate_per_s"`
	RateMs        int64   `json:"rate_ms"`
	// Organisations holds the waiting requests by organisation.
	Organisations map[string]int `json:"organisations,omitempty"`
}

// State returns the state of the queue.
func (q *Queue) State(now time.Time) State {
	s := q.Counts(now)
	for _, w := range q.callers {
		if s.Organisations == nil {
			s.Organisations = map[string]int{}
		}
		s.Organisations[w.Organisation]++
	}
	return s
}

// Counts returns the state of the queue without the organisations.
func (q *Queue) Counts(now time.Time) State {
	q.dropAway(now)
	rate, over := q.currentRate(now, 0)
	return State{
		Callers: len(q.callers), Background: len(q.background), InFlight: q.inFlight, InFlightBackground: q.inFlightBackground, Slots: q.slots,
		Away: len(q.away), RatePerSecond: rate, RateMs: over.Milliseconds(),
	}
}
