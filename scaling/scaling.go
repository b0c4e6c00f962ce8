// Package scaling decides how many targets of a pool are ordered in each availability zone, and orders them while this VM holds the
// tenure of the pool. Controller is the pure decision: it is told what a VM observes and how orders ended, and returns the wanted counts
// with their reasons. Runner observes, and sends the orders.
//
// Work that ends late costs far more than idle targets. The controller therefore orders at once what the open work needs, with headroom
// for bursts and for the loss of an availability zone, and removes targets slowly and only after a sustained surplus.
package scaling

import (
	"cmp"
	"time"
)

// Subject is what one order is about: the targets of one kind in an availability zone.
type Subject struct {
	Zone string
	Spot bool
}

// compareSubjects orders subjects by zone, ordinary targets before spot targets.
func compareSubjects(a, b Subject) int {
	if c := cmp.Compare(a.Zone, b.Zone); c != 0 {
		return c
	}
	switch {
	case a.Spot == b.Spot:
		return 0
	case a.Spot:
		return 1
	}
	return -1
}

// kind returns the name of the kind of target for logs and metrics.
func (s Subject) kind() string {
	if s.Spot {
		return "spot"
	}
	return "ordinary"
}

// Work is the remaining work of one open item.
type Work struct {
	// Remaining is the expected time that the item still takes on one slot.
	Remaining time.Duration
	// Due is the time until its result is due; negative if that has passed.
	Due time.Duration
}

// Load is the work of a pool as known to the VM that runs it.
type Load struct {
	// Open is the remaining work of the items that wait for a target or run on one, of which Waiting wait.
	Open    []Work
	Waiting int
	// ArrivingSlots is the mean number of slots that the work of recent submissions occupies.
	ArrivingSlots float64
	// OtherSlots is the number of slots that requests of other VMs occupied, by the targets' recent reports.
	OtherSlots int
	// EventInterval is the mean time between two events of a target, from which the run times are derived.
	EventInterval time.Duration
	// Age is the time since all submissions were known.
	Age time.Duration
}

// soonest returns the time until the first result is due, or 0 if there is no open item.
func (l *Load) soonest() time.Duration {
	if len(l.Open) == 0 {
		return 0
	}
	due := l.Open[0].Due
	for _, w := range l.Open {
		due = min(due, w.Due)
	}
	return due
}

// Observation is what a VM knows about a pool at one time.
type Observation struct {
	Now time.Time
	// Counts are the registered targets that do not drain.
	Counts map[Subject]int
	// Slots is the number of slots of a target, at least 1.
	Slots int
	Load  Load
	// Partial is set if the pool also serves requests that are not part of Load. Then the number of targets is not reduced below that
	// at the time when the tenure was taken.
	Partial bool
	// ViewAge is the age of the tables, the registrations or the load, whichever is oldest.
	ViewAge time.Duration
}

// Order is a wanted count that has to be sent.
type Order struct {
	Subject
	Count  int
	Reason string
}

// Outcome is how an order ended.
type Outcome string

// Outcomes of orders.
const (
	// Accepted means that the platform took the order.
	Accepted Outcome = "accepted"
	// NoneAvailable means that the platform has no such targets now.
	NoneAvailable Outcome = "none_available"
	// TooManyCalls means that the platform took no call.
	TooManyCalls Outcome = "too_many_calls"
	// Unknown means that the order may have been accepted.
	Unknown Outcome = "unknown"
	// Unsent means that the order did not leave this VM.
	Unsent Outcome = "unsent"
)

// Decision is what the controller wants at one time.
type Decision struct {
	// Wanted are the wanted counts, Reasons why they differ from the counts before.
	Wanted  map[Subject]int
	Reasons map[Subject]string
	// Reason is the reason of the decision as a whole. Held is set if nothing may be changed for that reason.
	Reason string
	Held   bool
	// Orders are to be sent now.
	Orders []Order
	// NeedSlots is what the open work needs now, PeakSlots the largest need in peakWindow, both without headroom.
	NeedSlots, PeakSlots int
	// Ordinary and Total are the numbers of targets that PeakSlots asks for with headroom.
	Ordinary, Total int
}
