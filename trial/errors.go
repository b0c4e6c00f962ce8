package trial

import (
	"fmt"
	"time"
)

// RateLimitedError means that a service refused a request because its rate limit is exceeded (status 429); the
// request had no effect.
type RateLimitedError struct {
	Service    string
	RetryAfter time.Duration
}

func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("%s: rate exceeded; try again in %s", e.Service, e.RetryAfter)
}

// UnavailableError means that a service sent no usable response; the request may have taken effect.
type UnavailableError struct {
	Service string
	// Status is the HTTP status, or 0 if no response was received.
	Status int
	Err    error
}

func (e *UnavailableError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: no answer: %v; check the service and the network, then try again", e.Service, e.Err)
	}
	return fmt.Sprintf("%s: status %d; check the service, then try again", e.Service, e.Status)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// RefusedError means that a service refused a request as invalid (status 400 to 499, except 429); the request had
// no effect.
type RefusedError struct {
	Service string
	Status  int
	Message string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s: refused with status %d: %s; correct the request", e.Service, e.Status, e.Message)
}

// FencedError means that an engine refused an order because it has seen a newer fencing token.
type FencedError struct {
	Address string
	// FencingToken is the newest fencing token that the engine has seen, or 0 if it did not report it.
	FencingToken int64
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("engine %s: fencing token is older than %d; the lease has a new holder, stop giving orders", e.Address, e.FencingToken)
}
