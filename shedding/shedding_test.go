package shedding

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func caller(id, organisation string, budgetMs int) Request {
	return Request{ID: id, Kind: "r", Organisation: organisation, Objective: 150 * time.Millisecond, Budget: time.Duration(budgetMs) * time.Millisecond, Work: 25 * time.Millisecond}
}

func scoring(id string) Request {
	return Request{ID: id, Kind: "s", Background: true, Objective: 400 * time.Millisecond, Budget: 3 * time.Second, Work: 100 * time.Millisecond}
}

// arrive observes a request and lets it wait.
func arrive(q *Queue, ms int, r Request) Decision {
	q.Observe(at(ms), &r)
	return q.Arrive(at(ms), r)
}

// placed returns the IDs of the requests that get n places.
func placed(q *Queue, ms, n int) string {
	ids := ""
	q.Dispatch(at(ms), func(w *Waiter) bool {
		if n == 0 {
			return false
		}
		n--
		q.Sent(w.Background)
		ids += w.ID + " "
		return true
	})
	return ids
}

// full returns a queue of a pool whose 16 slots are all in use, with a rate of 100 places a second.
func full() *Queue {
	q := New()
	q.SetSlots(16)
	for range 16 {
		q.Sent(false)
	}
	q.shortAt = at(-1)
	q.rate.begin(at(-1000))
	for ms := -1000; ms < 0; ms += 10 {
		q.rate.record(at(ms))
	}
	return q
}

// TestReturningRequestIsNotOvertaken guards against a refused caller that finds newer requests before it each time it comes back.
func TestReturningRequestIsNotOvertaken(t *testing.T) {
	is := is.New(t)
	q := full()
	arrive(q, 0, caller("a", "", 1000))
	arrive(q, 10, caller("b", "", 1000))
	arrive(q, 20, caller("returned", "", 600)) // 400 ms are spent
	arrive(q, 30, scoring("s1"))
	s2 := arrive(q, 31, scoring("s2"))
	q.inFlightBackground = 4 // at their share
	is.True(q.Leave(s2.Waiter))
	q.RefuseWaiter(at(40), s2.Waiter)
	arrive(q, 50, scoring("s3"))
	is.Equal(placed(q, 50, 3), "returned a b ")
	arrive(q, 60, scoring("s2"))
	is.Equal(placed(q, 60, 9), "s1 s2 s3 ")
}

// TestLateRequestsDoNotHoldUpOthers guards against requests that miss their objective because of others that have missed theirs.
func TestLateRequestsDoNotHoldUpOthers(t *testing.T) {
	is := is.New(t)
	q := full()
	arrive(q, 0, caller("late", "", 1000))
	arrive(q, 120, caller("new", "", 1000))
	is.Equal(placed(q, 130, 2), "new late ")
}

// TestRefusalsComeAtOnceWithTheTimeUntilRoom guards against a wait until the deadline where the rate tells that it is in vain, and against
// callers that are all told to come back at the same time.
func TestRefusalsComeAtOnceWithTheTimeUntilRoom(t *testing.T) {
	is := is.New(t)
	q := full()
	var waits int
	var after []time.Duration
	for i := range 200 {
		if d := arrive(q, 0, caller(fmt.Sprint(i), "", 800)); d.Action == Wait {
			waits++
			is.True(d.MaxWait <= 400*time.Millisecond) // leaves time for another attempt
		} else {
			after = append(after, d.RetryAfter)
		}
	}
	is.True(waits >= 30 && waits <= 60)                 // 100 places a second
	is.True(after[0] >= 300*time.Millisecond)           // as long as those that wait take
	is.True(after[50] >= after[0]+400*time.Millisecond) // and those that were refused before
	is.True(after[len(after)-1] <= maxRetryAfter)
	is.Equal(arrive(q, 0, caller("x", "", 20)).Action, Refuse) // the work alone takes longer
	slow := caller("y", "", 800)
	slow.Expected = time.Second
	is.Equal(New().Arrive(start, slow).Action, Refuse)
	for ms := 0; ms < 2000; ms += 10 { // nothing becomes free any more
		for _, w := range q.Expire(at(ms)) {
			is.True(q.RefuseWaiter(at(ms), w) >= MinRetryAfter)
		}
		if ms == 410 {
			is.Equal(q.Waiting(), 0)
		}
	}
}

// TestBackgroundHasItsShare guards against scoring calls that starve beside callers' requests, or that take their places.
func TestBackgroundHasItsShare(t *testing.T) {
	is := is.New(t)
	q := full()
	for i := range 10 {
		arrive(q, 0, scoring(fmt.Sprint("s", i)))
	}
	for i := range 10 {
		arrive(q, 0, caller(fmt.Sprint("c", i), "", 1000))
	}
	is.Equal(placed(q, 1, 6), "s0 s1 s2 s3 c0 c1 ") // 4 of 16 slots
	is.True(!q.MaySend(true))
	q.Ended(at(2), true)
	is.Equal(placed(q, 2, 2), "s4 c2 ")
	is.True(q.LeaveFree(true) && !q.LeaveFree(false))
	is.Equal(placed(q, 3, 7), "c3 c4 c5 c6 c7 c8 c9 ")
	is.Equal(placed(q, 4, 9), "s5 s6 s7 s8 s9 ") // nobody else waits
}

// TestManyOrganisationsHaveBoundedStateAndTheirShares guards against memory that grows with the organisations, and against a large
// organisation whose part of the places falls below a quarter of its part of the requests, however many others there are.
func TestManyOrganisationsHaveBoundedStateAndTheirShares(t *testing.T) {
	is := is.New(t)
	q := full()
	got := map[bool]int{}
	for i := range 20_000 { // half of the requests are of one organisation
		name := "large"
		if i%2 == 1 {
			name = fmt.Sprint("small-", i%500)
		}
		arrive(q, i/10, caller(fmt.Sprint(i), name, 1000))
		if i%5 == 0 { // a fifth is served
			q.Ended(at(i/10), false)
			q.Dispatch(at(i/10), func() func(w *Waiter) bool {
				left := 1
				return func(w *Waiter) bool {
					if left == 0 {
						return false
					}
					left--
					q.Sent(false)
					got[w.Organisation == "large"]++
					return true
				}
			}())
			q.Expire(at(i / 10))
		}
	}
	is.True(len(q.shares.organisations) <= maxOrganisations+1)
	is.True(got[true] >= (got[true]+got[false])/8)
	is.True(got[false] >= (got[true]+got[false])/2)
}
