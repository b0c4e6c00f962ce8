package trial

import (
	"fmt"
	"time"
)

// ErrRateLimited means that a service refused a request because its rate is exceeded; nothing was done.
type ErrRateLimited struct {
	Service    string
	RetryAfter time.Duration
}

// Error names the service and when to come back.
func (e *ErrRateLimited) Error() string {
	return fmt.Sprintf("%s: rate exceeded; try again in %s", e.Service, e.RetryAfter)
}

// ErrUnavailable means that a service gave no usable answer; a request that changes something may have
// taken effect.
type ErrUnavailable struct {
	Service string
	// Status is the HTTP status, or 0 when no answer came.
	Status int
	Err    error
}

// Error names the service and the cause.
func (e *ErrUnavailable) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: no answer: %v; check the service and the network, then try again", e.Service, e.Err)
	}
	return fmt.Sprintf("%s: status %d; check the service, then try again", e.Service, e.Status)
}

// Unwrap returns the cause.
func (e *ErrUnavailable) Unwrap() error { return e.Err }

// ErrRefused means that a service refused a request as wrong; nothing was done.
type ErrRefused struct {
	Service string
	Status  int
	Message string
}

// Error names the service and its message.
func (e *ErrRefused) Error() string {
	return fmt.Sprintf("%s: refused with status %d: %s; correct the request", e.Service, e.Status, e.Message)
}

// ErrFenced means that an engine refused an order because it has seen a newer fencing token.
type ErrFenced struct {
	Address string
	// Seen is the engine's fencing token.
	Seen int64
}

// Error names the engine and the remedy.
func (e *ErrFenced) Error() string {
	return fmt.Sprintf("engine %s: fencing token is older than %d; the lease has a new holder, stop giving orders", e.Address, e.Seen)
}
