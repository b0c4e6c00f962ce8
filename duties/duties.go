// Package duties defines the calls to the platform's API that only one VM makes at a time, as exchanged with the platform's adapter.
package duties

import (
	"context"
	"errors"
)

// Errors of calls to the API. Any other error means that the outcome is unknown: the call may have been accepted.
var (
	// ErrNoneAvailable is returned if the platform has no such targets now; order them in another availability zone, or later.
	ErrNoneAvailable = errors.New("no target is to be had there now; try another availability zone, or later")
	// ErrTooManyCalls is returned if the platform took no call because there were too many; repeat it later.
	ErrTooManyCalls = errors.New("too many calls to the platform's API; repeat the call later")
	// ErrNotAllowed is returned if the call did not leave because the guard of its context did not allow it any more.
	ErrNotAllowed = errors.New("the call was not sent, because the duty may have another holder by now")
)

type guardKey struct{}

// WithGuard returns the context of a call that is not sent if allowed returns false just before it would leave. A VM may be suspended
// between the decision to send a call and its bytes, and have lost the duty meanwhile.
func WithGuard(ctx context.Context, allowed func() bool) context.Context {
	return context.WithValue(ctx, guardKey{}, allowed)
}

// Allowed reports whether a call with this context may still be sent. Adapters ask it last.
func Allowed(ctx context.Context) bool {
	allowed, ok := ctx.Value(guardKey{}).(func() bool)
	return !ok || allowed()
}

// Holder identifies the VM that has a duty. Token is its fencing token, which rises when the holder changes.
type Holder struct {
	VM    string
	Token int64
}

// Usage is the number of requests that targets began in one window, by organisation.
type Usage struct {
	// Window is the number of the window: its start in Unix time, divided by the window's length.
	Window int64
	Counts map[string]int64
}

// TargetOrder orders a number of targets in place of the number before.
type TargetOrder struct {
	Pool, AvailabilityZone string
	Count                  int
	// Spot orders targets that cost less and may be taken away. They are counted apart from the others.
	Spot bool
}

// API is the platform's API for duties. Nothing can be read back from it, and it does not check fencing tokens.
type API interface {
	ReportUsage(ctx context.Context, h Holder, u Usage) error
	OrderTargets(ctx context.Context, h Holder, o TargetOrder) error
}
