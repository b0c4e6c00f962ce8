package admission

import (
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var startTime = time.Unix(1_800_000_000, 0)

func alwaysFits(*Waiter) bool { return true }

func offer(t *testing.T, q *Queue, now time.Time, r Request) *Waiter {
	t.Helper()
	w, _, refusal := q.Offer(now, r, 0.5)
	if refusal != nil {
		t.Fatalf("refused: %+v", refusal)
	}
	return w
}

func TestNextServesHigherClassesFirstWithoutStarvingLower(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	for range 40 {
		offer(t, q, startTime, Request{Priority: 2, Share: "trainer", Rollout: true})
		offer(t, q, startTime, Request{Priority: 0, Share: "editor"})
	}
	lower := 0
	for range 32 {
		if q.Next(startTime, alwaysFits).Priority == 2 {
			lower++
		}
	}
	is.Equal(lower, 32/LowerClassInterval)
}

func TestNextGrantsInProportionToWeights(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	for range 60 {
		offer(t, q, startTime, Request{Share: "greedy", Weight: 1})
	}
	for range 30 {
		offer(t, q, startTime, Request{Share: "heavy", Weight: 2})
	}
	got := map[string]int{}
	for range 30 {
		got[q.Next(startTime, alwaysFits).Share]++
	}
	is.Equal(got, map[string]int{"greedy": 10, "heavy": 20})
}

// drainAtRate queues and grants requests for 2 s, so that q measures a drain rate of perSecond.
func drainAtRate(t *testing.T, q *Queue, now time.Time, perSecond int) time.Time {
	for range perSecond * 2 {
		now = now.Add(time.Second / time.Duration(perSecond))
		offer(t, q, now, Request{Share: "x"})
		q.Next(now, alwaysFits)
	}
	return now
}

func TestOfferRefusesRequestThatCannotMeetDeadline(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	now := drainAtRate(t, q, startTime, 10)
	q.RecordServiceTime(0, 500*time.Millisecond)
	for range 20 {
		offer(t, q, now, Request{Share: "x", Deadline: now.Add(10 * time.Second)})
	}
	_, _, refusal := q.Offer(now, Request{Share: "x", Deadline: now.Add(2 * time.Second)}, 0.5)
	is.True(refusal != nil)
	is.Equal(refusal.Reason, ReasonCannotMeetDeadline)
	is.True(refusal.RetryAfter > time.Second && refusal.RetryAfter < 4*time.Second) // 20 waiting at 10 a second
	_, _, early := q.Offer(now, Request{Share: "x", Deadline: now.Add(2 * time.Second)}, 0)
	_, _, late := q.Offer(now, Request{Share: "x", Deadline: now.Add(2 * time.Second)}, 0.99)
	is.True(early.RetryAfter < late.RetryAfter) // spread by jitter
	urgent, _, refusal := q.Offer(now, Request{Share: "y", Priority: 0, Deadline: now.Add(2 * time.Second)}, 0.5)
	is.True(refusal == nil && urgent != nil) // caller y has its own fair share and does not queue behind the requests of caller x
}

func TestExpireRefusesWaitersPastMaximumWait(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	caller := offer(t, q, startTime, Request{Share: "a"})
	short := offer(t, q, startTime, Request{Share: "a", Deadline: startTime.Add(time.Second)})
	trainer := offer(t, q, startTime, Request{Share: "t", Rollout: true})
	is.Equal(len(q.Expire(startTime.Add(400*time.Millisecond), 0)), 0)
	q.Expire(startTime.Add(600*time.Millisecond), 0) // half of the time to the deadline remains for a retry elsewhere
	is.Equal(short.State(), Refused)
	q.Expire(startTime.Add(MaxCallerWait+time.Millisecond), 0)
	is.Equal(caller.State(), Refused)
	is.Equal(trainer.State(), Waiting)
	q.Expire(startTime.Add(MaxRolloutWait+time.Millisecond), 0)
	is.Equal(trainer.State(), Refused)
	is.Equal(q.Len(), 0)
}

func TestFullQueueDisplacesLowerClass(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	for range MaxWaiting {
		offer(t, q, startTime, Request{Priority: 5, Share: "t", Rollout: true})
	}
	_, _, refusal := q.Offer(startTime, Request{Priority: 5, Share: "t"}, 0.5)
	is.Equal(refusal.Reason, ReasonQueueFull)
	w, displaced, refusal := q.Offer(startTime, Request{Priority: 0, Share: "e"}, 0.5)
	is.True(refusal == nil)
	is.Equal(displaced.State(), Refused)
	is.Equal(displaced.Refusal.Reason, ReasonDisplaced)
	is.Equal(q.Next(startTime, alwaysFits), w)
}

// Each waiter leaves the state Waiting exactly once: a granted waiter is never refused or canceled, and vice versa.
func TestEachWaiterIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := NewQueue(), startTime
		var all []*Waiter
		seen := map[*Waiter]State{}
		decided := func(w *Waiter, s State) {
			if old, ok := seen[w]; ok {
				t.Fatalf("waiter decided twice: first state %v, then %v", old, s)
			}
			if w.State() != s {
				t.Fatalf("waiter in state %v, want %v", w.State(), s)
			}
			seen[w] = s
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				r := Request{Priority: config.Priority(rapid.IntRange(0, 3).Draw(t, "class")), Share: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "share")}
				if w, _, _ := q.Offer(now, r, 0.5); w != nil {
					all = append(all, w)
				}
			case 2:
				if w := q.Next(now, alwaysFits); w != nil {
					decided(w, Granted)
				}
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				for _, w := range q.Expire(now, 0.5) {
					decided(w, Refused)
				}
			case 4:
				if len(all) > 0 {
					w := rapid.SampledFrom(all).Draw(t, "gone")
					if q.Remove(w) {
						decided(w, Canceled)
					}
				}
			}
			if q.Len()+len(seen) != len(all) {
				t.Fatalf("%d waiting and %d decided, want %d in total", q.Len(), len(seen), len(all))
			}
		}
	})
}

func TestLimitFollowsBatchCapacityAndOtherGates(t *testing.T) {
	is := is.New(t)
	l := NewLimit(0)
	l.SetLoad(16, 0)
	is.Equal(l.Value(), 24) // 16 running and half a batch queued, so that the batch stays full while reports lag
	l.SetLoad(16, 10)
	is.Equal(l.Value(), 14)
	l.SetLoad(16, 40)
	is.Equal(l.Value(), 1)
	l.SetLoad(16, 0)
	l.RecordOverload(startTime)
	is.True(l.Value() < 24)
	is.Equal(NewLimit(5).Value(), 5)
	unknown := NewLimit(0)
	for range 50 {
		unknown.RecordLatency(startTime, 0.01)
	}
	grown := unknown.Value()
	is.True(grown > initialAdaptiveLimit)
	unknown.RecordLatency(startTime.Add(time.Minute), 1)
	is.True(unknown.Value() < grown)
}
