package forward

import "time"

// presumeRunAfter is the time after which a request that was sent and has no answer is counted as one that a target runs. Refusals come
// sooner, and long answers must be counted in the second in which they began.
const presumeRunAfter = 400 * time.Millisecond

// UsageCounter counts the requests of organisations that targets begin to run.
type UsageCounter interface {
	// Began counts a request that a target began to run, or may have, at a time.
	Began(organisation string, at time.Time)
	// Retract takes a count back: the request that was taken to run at the time has not run.
	Retract(organisation string, at time.Time)
}

// usageEntry is the count of one request.
type usageEntry struct {
	counter      UsageCounter // nil if the request is not counted
	organisation string
	counted      bool
	at           time.Time
	// confirmed is set if a send has ended that the target may have run.
	confirmed bool
}

// enabled reports whether the request is to be counted.
func (u *usageEntry) enabled() bool { return u.counter != nil && u.organisation != "" }

// began counts the request once, with the time of the first send that a target may have run.
func (u *usageEntry) began(a *attempt) {
	if !u.enabled() || u.counted {
		return
	}
	u.counted, u.at = true, a.sentAt()
	u.counter.Began(u.organisation, u.at)
}

// confirm counts the request for good, as a send has ended that the target may have run.
func (u *usageEntry) confirm(a *attempt) {
	u.began(a)
	u.confirmed = true
}

// presume counts the request if it was sent to a target that has not answered. It reports whether it was.
func (u *usageEntry) presume(pending map[*attempt]bool) bool {
	var first *attempt
	for a := range pending {
		if a.connected() && (first == nil || a.sentAt().Before(first.sentAt())) {
			first = a
		}
	}
	if first != nil {
		u.began(first)
	}
	return first != nil
}

// retract takes the count back, unless a send is known that the target may have run.
func (u *usageEntry) retract() {
	if u.counted && !u.confirmed {
		u.counted = false
		u.counter.Retract(u.organisation, u.at)
	}
}

// connected reports whether the attempt had a connection to a target, or to the VM that passes it on.
func (a *attempt) connected() bool { return a.connection.Load() != connectionNone }

// sentAt returns when the attempt had a connection to the target, or began if it is not known.
func (a *attempt) sentAt() time.Time {
	if ns := a.connectedNs.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return a.startedAt
}
