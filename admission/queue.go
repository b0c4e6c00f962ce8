// Package admission decides which request runs next. It holds a bounded queue ordered by priority
// class and fair share, with deadlines, and a concurrency limit for each target. It does no I/O,
// and callers pass in the time.
package admission

import (
	"time"

	"github.com/ibistrail/ibistrail/config"
)

// Bounds of a Queue.
const (
	// MaxWaiting is the maximum number of queued requests.
	MaxWaiting = 4096
	// MaxCallerWait is the maximum time in the queue for a caller's request.
	MaxCallerWait = 5 * time.Second
	// MaxRolloutWait is the maximum time in the queue for a rollout request.
	MaxRolloutWait = 30 * time.Second
	// LowerClassInterval is the number of grants of which one goes to the lower class that has waited longest,
	// so that lower classes are not starved.
	LowerClassInterval = 16
	// MinRetryAfter and MaxRetryAfter bound the retry delay of a Refusal.
	MinRetryAfter = 50 * time.Millisecond
	MaxRetryAfter = 30 * time.Second
	// drainRateWindow is the sliding window over which the drain rate is measured.
	drainRateWindow = 2 * time.Second
	// serviceTimeGain is the weight of a new sample in the moving average of service times.
	serviceTimeGain = 0.1
)

// Reason is the reason for a refusal.
type Reason string

// Reasons for a refusal, as in the error message to the caller.
const (
	ReasonQueueFull          Reason = "queue_full"
	ReasonCannotMeetDeadline Reason = "cannot_make_deadline"
	ReasonWaitedTooLong      Reason = "waited_too_long"
	ReasonDisplaced          Reason = "displaced_by_higher_class"
)

// Refusal is the reason why a request was refused, and the time after which to retry.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Request is a request for a slot on a target.
type Request struct {
	ID       string
	Priority config.Priority
	// Share identifies the caller whose fair share the request counts against.
	Share string
	// Weight is the caller's weight in fair queueing within its class; values below 1 count as 1.
	Weight   int
	Deadline time.Time
	// Rollout selects MaxRolloutWait instead of MaxCallerWait.
	Rollout bool
}

// State is the state of a Waiter. It changes once, from Waiting to one of the others.
type State int

// States of a Waiter.
const (
	Waiting State = iota
	Granted
	Refused
	Canceled
)

// Waiter is a queued request.
type Waiter struct {
	Request
	// Refusal is set when State is Refused.
	Refusal   Refusal
	state     State
	queuedAt  time.Time
	expiresAt time.Time
	startTag  float64
}

// State returns the waiter's state.
func (w *Waiter) State() State { return w.state }

// QueuedAt returns the time at which the waiter was queued.
func (w *Waiter) QueuedAt() time.Time { return w.queuedAt }

// flow is the first-in, first-out queue of one caller in one class.
type flow struct {
	share     string
	finishTag float64
	waiters   []*Waiter
}

// class is the queue of one priority, served by start-time fair queueing.
type class struct {
	flows       map[string]*flow
	virtualTime float64
	waiting     int
}

// Queue holds the waiting requests of one pool. It is not safe for concurrent use.
type Queue struct {
	classes   [config.PriorityLowest + 1]class
	waiting   int
	grants    int
	drainRate slidingRate
	// serviceTime is the moving average of the service time by class; 0 while unknown.
	serviceTime [config.PriorityLowest + 1]time.Duration
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	q := &Queue{}
	for i := range q.classes {
		q.classes[i].flows = map[string]*flow{}
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting }

// ServiceTime returns the moving average of the service time of class p; 0 while unknown.
func (q *Queue) ServiceTime(p config.Priority) time.Duration { return q.serviceTime[clampPriority(p)] }

// DrainRate returns the measured number of grants per second; 0 while unknown.
func (q *Queue) DrainRate(now time.Time) float64 { return q.drainRate.perSecond(now) }

// Offer queues r, or refuses it if it cannot be granted in time or the queue is full. jitter in [0,1)
// spreads the retry delays. If r takes the slot of a waiter of a lower class in a full queue, that
// waiter is refused and returned as displaced.
func (q *Queue) Offer(now time.Time, r Request, jitter float64) (w *Waiter, displaced *Waiter, refusal *Refusal) {
	r.Priority = clampPriority(r.Priority)
	wait := q.expectedWait(now, r)
	if !r.Deadline.IsZero() && now.Add(wait+q.serviceTime[r.Priority]).After(r.Deadline) {
		return nil, nil, &Refusal{Reason: ReasonCannotMeetDeadline, RetryAfter: q.retryAfter(now, r, jitter)}
	}
	if wait > maxWait(r) {
		return nil, nil, &Refusal{Reason: ReasonQueueFull, RetryAfter: q.retryAfter(now, r, jitter)}
	}
	if q.waiting >= MaxWaiting {
		displaced = q.displace(r.Priority)
		if displaced == nil {
			return nil, nil, &Refusal{Reason: ReasonQueueFull, RetryAfter: q.retryAfter(now, r, jitter)}
		}
		displaced.Refusal = Refusal{Reason: ReasonDisplaced, RetryAfter: q.retryAfter(now, displaced.Request, jitter)}
	}
	return q.enqueue(now, r), displaced, nil
}

// NewRefusal returns a refusal of r for the given reason, with the current estimate of the retry delay.
func (q *Queue) NewRefusal(now time.Time, r Request, reason Reason, jitter float64) Refusal {
	return Refusal{Reason: reason, RetryAfter: q.retryAfter(now, r, jitter)}
}

func (q *Queue) enqueue(now time.Time, r Request) *Waiter {
	c := &q.classes[r.Priority]
	f := c.flows[r.Share]
	if f == nil {
		f = &flow{share: r.Share}
		c.flows[r.Share] = f
	}
	w := &Waiter{Request: r, queuedAt: now, expiresAt: waitDeadline(now, r, q.serviceTime[r.Priority])}
	w.startTag = max(c.virtualTime, f.finishTag)
	f.finishTag = w.startTag + 1/float64(max(1, r.Weight))
	f.waiters = append(f.waiters, w)
	c.waiting++
	q.waiting++
	return w
}

// waitDeadline returns the time at which a waiter expires: after the maximum wait, or earlier if the request
// has a deadline. At least the service time and half of the time to the deadline are left, so that the caller
// can retry elsewhere.
func waitDeadline(now time.Time, r Request, service time.Duration) time.Time {
	latest := now.Add(maxWait(r))
	if r.Deadline.IsZero() {
		return latest
	}
	spare := r.Deadline.Sub(now) - service
	if half := r.Deadline.Sub(now) / 2; half < spare {
		spare = half
	}
	if t := now.Add(spare); t.Before(latest) {
		return t
	}
	return latest
}

func maxWait(r Request) time.Duration {
	if r.Rollout {
		return MaxRolloutWait
	}
	return MaxCallerWait
}

// Next grants the next waiter for which fits returns true, or returns nil. Classes are served in order
// of priority, except that one in LowerClassInterval grants goes to the lower class that has waited longest.
func (q *Queue) Next(now time.Time, fits func(*Waiter) bool) *Waiter {
	if q.waiting == 0 {
		return nil
	}
	if (q.grants+1)%LowerClassInterval == 0 {
		if c := q.longestWaitingLowerClass(); c >= 0 {
			if w := q.nextInClass(c, fits); w != nil {
				return q.grant(now, w)
			}
		}
	}
	for i := range q.classes {
		if q.classes[i].waiting == 0 {
			continue
		}
		if w := q.nextInClass(i, fits); w != nil {
			return q.grant(now, w)
		}
	}
	return nil
}

func (q *Queue) grant(now time.Time, w *Waiter) *Waiter {
	w.state = Granted
	q.classes[w.Priority].virtualTime = max(q.classes[w.Priority].virtualTime, w.startTag)
	q.remove(w)
	q.grants++
	q.drainRate.add(now)
	return w
}

// RecordBypass counts a request that was admitted without being queued towards the drain rate.
func (q *Queue) RecordBypass(now time.Time) { q.drainRate.add(now) }

// RecordServiceTime adds the service time of a finished request to the moving average of class p.
func (q *Queue) RecordServiceTime(p config.Priority, service time.Duration) {
	s := &q.serviceTime[clampPriority(p)]
	if *s == 0 {
		*s = service
		return
	}
	*s += time.Duration(serviceTimeGain * float64(service-*s))
}

// Remove cancels a waiter whose caller has disconnected. It returns false if the waiter was granted or refused before.
func (q *Queue) Remove(w *Waiter) bool {
	if w.state != Waiting {
		return false
	}
	w.state = Canceled
	q.remove(w)
	return true
}

// Expire refuses and returns the waiters that have exceeded their maximum wait.
func (q *Queue) Expire(now time.Time, jitter float64) []*Waiter {
	var out []*Waiter
	for i := range q.classes {
		for _, f := range q.classes[i].flows {
			for _, w := range f.waiters {
				if now.After(w.expiresAt) {
					out = append(out, w)
				}
			}
		}
	}
	for _, w := range out {
		w.state = Refused
		q.remove(w)
		w.Refusal = Refusal{Reason: ReasonWaitedTooLong, RetryAfter: q.retryAfter(now, w.Request, jitter)}
	}
	return out
}

// RefuseAll refuses and returns all waiters, for example when their pool was removed.
func (q *Queue) RefuseAll(r Refusal) []*Waiter {
	var out []*Waiter
	for i := range q.classes {
		for _, f := range q.classes[i].flows {
			out = append(out, f.waiters...)
		}
	}
	for _, w := range out {
		w.state = Refused
		w.Refusal = r
		q.remove(w)
	}
	return out
}

// remove deletes w from its flow, and the flow itself once its fair-queueing state is no longer needed.
func (q *Queue) remove(w *Waiter) {
	c := &q.classes[w.Priority]
	f := c.flows[w.Share]
	for i, other := range f.waiters {
		if other == w {
			f.waiters = append(f.waiters[:i], f.waiters[i+1:]...)
			break
		}
	}
	c.waiting--
	q.waiting--
	if len(f.waiters) == 0 && f.finishTag <= c.virtualTime || c.waiting == 0 {
		delete(c.flows, w.Share)
	}
}

// nextInClass returns the waiter with the smallest start tag among the flow heads of class i for which fits
// returns true, or nil.
func (q *Queue) nextInClass(i int, fits func(*Waiter) bool) *Waiter {
	var tried map[*Waiter]bool
	for {
		w := q.classes[i].head(tried)
		if w == nil || fits(w) {
			return w
		}
		if tried == nil {
			tried = map[*Waiter]bool{}
		}
		tried[w] = true
	}
}

func (c *class) head(tried map[*Waiter]bool) *Waiter {
	var best *Waiter
	for _, f := range c.flows {
		if len(f.waiters) == 0 || tried[f.waiters[0]] {
			continue
		}
		h := f.waiters[0]
		if best == nil || h.startTag < best.startTag || h.startTag == best.startTag && h.Share < best.Share {
			best = h
		}
	}
	return best
}

// longestWaitingLowerClass returns the class whose head was queued first, among the classes below the highest
// non-empty one, or -1.
func (q *Queue) longestWaitingLowerClass() int {
	found, first := -1, true
	var oldest time.Time
	for i := range q.classes {
		if q.classes[i].waiting == 0 {
			continue
		}
		if first {
			first = false
			continue
		}
		if w := q.classes[i].head(nil); w != nil && (found < 0 || w.queuedAt.Before(oldest)) {
			found, oldest = i, w.queuedAt
		}
	}
	return found
}

// displace refuses and returns the most recently queued waiter of the lowest non-empty class below p, or nil.
func (q *Queue) displace(p config.Priority) *Waiter {
	for i := len(q.classes) - 1; i > int(p); i-- {
		var youngest *Waiter
		for _, f := range q.classes[i].flows {
			if n := len(f.waiters); n > 0 && (youngest == nil || f.waiters[n-1].queuedAt.After(youngest.queuedAt)) {
				youngest = f.waiters[n-1]
			}
		}
		if youngest != nil {
			youngest.state = Refused
			q.remove(youngest)
			return youngest
		}
	}
	return nil
}

func clampPriority(p config.Priority) config.Priority {
	return min(max(p, config.PriorityHighest), config.PriorityLowest)
}
