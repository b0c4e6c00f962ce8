package dispatch

import (
	"time"

	"github.com/ibistrail/ibistrail/api"
)

// retryAfterFailure is when a caller may come back after its targets failed.
const retryAfterFailure = time.Second

// endKind tells how an attempt ended.
type endKind string

// The kinds of ends of an attempt.
const (
	endDone       endKind = "done"
	endRefused    endKind = "refused"  // the target is full
	endDraining   endKind = "draining" // the target takes nothing new
	endNotSent    endKind = "unsent"   // no connection; no byte was sent
	endBroken     endKind = "broken"   // the answer broke off or cannot be trusted
	endAborted    endKind = "aborted"  // the target ended the run itself, as for a swap
	endDead       endKind = "dead"     // the target died
	endRejected   endKind = "rejected" // the target finds the request wrong
	endCallerGone endKind = "gone"     // the caller has gone, or the deadline has passed
)

// attemptEnd is how an attempt ended.
type attemptEnd struct {
	kind      endKind
	err       error
	rejection *api.Error
}

// budgetExempt ends cost nothing of the retry budget: the work moves away from a target that leaves,
// swaps or is dead, which no retry storm can cause.
func (e attemptEnd) budgetExempt() bool {
	return e.kind == endDraining || e.kind == endAborted || e.kind == endDead
}

func (e attemptEnd) detail() string {
	if e.err != nil {
		return e.err.Error()
	}
	return string(e.kind)
}
