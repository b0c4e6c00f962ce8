package dispatch

import (
	"time"

	"github.com/ibistrail/ibistrail/api"
)

// retryAfterFailure is the retry delay sent to a caller after all attempts failed.
const retryAfterFailure = time.Second

// endKind classifies how an attempt ended.
type endKind string

// Kinds of attempt ends.
const (
	endDone       endKind = "done"
	endRefused    endKind = "refused"  // the target is overloaded
	endDraining   endKind = "draining" // the target accepts no new work
	endNotSent    endKind = "unsent"   // no byte of the request was sent
	endBroken     endKind = "broken"   // the answer is incomplete or invalid, or the target returned an error
	endAborted    endKind = "aborted"  // the target aborted the run, for example for a weight swap
	endDead       endKind = "dead"     // the target's process ended or restarted
	endRejected   endKind = "rejected" // the target rejected the request as invalid
	endCallerGone endKind = "gone"     // the caller has disconnected, or the deadline has passed
)

// attemptEnd is the result of an attempt. rejection is set for endRejected only.
type attemptEnd struct {
	kind      endKind
	err       error
	rejection *api.Error
}

// budgetExempt reports whether a retry after this end is not charged to the retry budget: the work moves
// off a target that is draining, swapping weights or dead. Overload doesn't cause these ends, so such retries
// can't build up into a retry storm.
func (e attemptEnd) budgetExempt() bool {
	return e.kind == endDraining || e.kind == endAborted || e.kind == endDead
}

func (e attemptEnd) detail() string {
	if e.err != nil {
		return e.err.Error()
	}
	return string(e.kind)
}
