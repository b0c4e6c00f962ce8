package trial

import (
	"fmt"
	"time"
)

// ErrRateLimited means that a service refused a request because its rate limit is exceeded (status 429); the
// request had no effect.
type ErrRateLimited struct {
	Service    string
	RetryAfter time.Duration
}

func (e *ErrRateLimited) Error() string {
	return fmt.Sprintf("%s: rate exceeded; try again in %s", e.Service, e.RetryAfter)
}

// ErrUnavailable means that a service sent no usable response; the request may have taken effect.
type ErrUnavailable struct {
	Service string
	// Status is the HTTP status, or 0 if no response was received.
	Status int
	Err    error
}

func (e *ErrUnavailable) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: no answer: %v; check the service and the network, then try again", e.Service, e.Err)
	}
	return fmt.Sprintf("%s: status %d; check the service, then try again", e.Service, e.Status)
}

// Unwrap returns the cause.
func (e *ErrUnavailable) Unwrap() error { return e.Err }

// ErrRefused means that a service refused a request as invalid (status 400 to 499, except 429); the request had
// no effect.
type ErrRefused struct {
	Service string
	Status  int
	Message string
}

func (e *ErrRefused) Error() string {
	return fmt.Sprintf("%s: refused with status %d: %s; correct the request", e.Service, e.Status, e.Message)
}

// ErrFenced means that an engine refused an order because it has seen a newer fencing token.
type ErrFenced struct {
	Address string
	// Seen is the newest fencing token that the engine has seen, or 0 if it did not report it.
	Seen int64
}

func (e *ErrFenced) Error() string {
	return fmt.Sprintf("engine %s: fencing token is older than %d; the lease has a new holder, stop giving orders", e.Address, e.Seen)
}
