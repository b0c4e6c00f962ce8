// Package admission decides which request may run next: a bounded queue by priority class,
// deadline and fair share, and a concurrency limit for each target. It does no I/O; the time is
// an argument.
package admission

import (
	"time"

	"github.com/ibistrail/ibistrail/config"
)

// Bounds of a Queue.
const (
	// MaxWaiting bounds the requests that wait.
	MaxWaiting = 4096
	// MaxCallerWait bounds the time that a caller's request waits.
	MaxCallerWait = 5 * time.Second
	// MaxRolloutWait bounds the time that a trainer's request waits.
	MaxRolloutWait = 30 * time.Second
	// LowerClassInterval is the number of grants of which one goes to the lower class that waits longest.
	LowerClassInterval = 16
	// MinRetryAfter and MaxRetryAfter bound the time after which a refused caller may come back.
	MinRetryAfter = 50 * time.Millisecond
	MaxRetryAfter = 30 * time.Second
	// drainRateWindow is the time over which the drain rate is measured.
	drainRateWindow = 2 * time.Second
	// serviceTimeGain is the weight of a new service time in the moving average.
	serviceTimeGain = 0.1
)

// Reason tells why a request is refused.
type Reason string

// The reasons.
const (
	ReasonQueueFull          Reason = "queue_full"
	ReasonCannotMeetDeadline Reason = "cannot_make_deadline"
	ReasonWaitedTooLong      Reason = "waited_too_long"
	ReasonDisplaced          Reason = "displaced_by_higher_class"
)

// Refusal tells why a request was refused and when to come back.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Request asks for a place.
type Request struct {
	ID       string
	Priority config.Priority
	// Share names the caller whose fair share the request counts against.
	Share string
	// Weight is the caller's share among the callers of one class; below 1 counts as 1.
	Weight   int
	Deadline time.Time
	// Rollout is true for rollouts.
	Rollout bool
}

// State is what became of a Waiter; it moves once, from Waiting.
type State int

// The states.
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

// State returns what became of the waiter.
func (w *Waiter) State() State { return w.state }

// QueuedAt returns when the waiter was queued.
func (w *Waiter) QueuedAt() time.Time { return w.queuedAt }

// flow is the queue of one caller in one class.
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

// Queue holds the waiting requests of one pool.
type Queue struct {
	classes   [config.PriorityLowest + 1]class
	waiting   int
	grants    int
	drainRate slidingRate
	// serviceTime is the average service time of each class.
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

// ServiceTime returns the average service time of a class; 0 while unknown.
func (q *Queue) ServiceTime(p config.Priority) time.Duration { return q.serviceTime[clampPriority(p)] }

// DrainRate returns the measured grants a second; 0 while unknown.
func (q *Queue) DrainRate(now time.Time) float64 { return q.drainRate.perSecond(now) }

// Offer queues r, or refuses it. jitter in [0,1) spreads the times to come back. A waiter of a
// lower class that had to make room is returned as displaced.
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
	return q.push(now, r), displaced, nil
}

// NewRefusal returns the refusal of a request that cannot be served at all now.
func (q *Queue) NewRefusal(now time.Time, r Request, reason Reason, jitter float64) Refusal {
	return Refusal{Reason: reason, RetryAfter: q.retryAfter(now, r, jitter)}
}

func (q *Queue) push(now time.Time, r Request) *Waiter {
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

// waitDeadline is when a waiter is given up: early enough that its caller can go elsewhere.
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

// Next grants the next waiter that fits, or returns nil. Classes are served in order, except that
// one grant of LowerClassEvery goes to the lower class that waits longest.
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

// RecordBypass counts a request that was admitted without waiting.
func (q *Queue) RecordBypass(now time.Time) { q.drainRate.add(now) }

// RecordServiceTime records the service time of a request of class p that ran.
func (q *Queue) RecordServiceTime(p config.Priority, service time.Duration) {
	s := &q.serviceTime[clampPriority(p)]
	if *s == 0 {
		*s = service
		return
	}
	*s += time.Duration(serviceTimeGain * float64(service-*s))
}

// Remove takes out a waiter whose caller has gone. It returns false if the waiter was decided before.
func (q *Queue) Remove(w *Waiter) bool {
	if w.state != Waiting {
		return false
	}
	w.state = Canceled
	q.remove(w)
	return true
}

// Expire refuses the waiters that waited too long.
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

// RefuseAll refuses all waiters, as when their pool is gone.
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

// remove removes a decided waiter from its flow.
func (q *Queue) remove(w *Waiter) {
	c := &q.classes[w.Priority]
	f := c.flows[w.Share]
	for i, x := range f.waiters {
		if x == w {
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

// nextInClass returns the fitting waiter with the smallest start tag among the heads of class i.
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

// longestWaitingLowerClass returns the class below the highest waiting one whose head waits longest, or -1.
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

// displace refuses the youngest waiter of the lowest class below p, or returns nil.
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
