package dispatch

import (
	"fmt"
	"net/http"
	"time"

	"github.com/ibistrail/ibistrail/admission"
	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/wire"
)

// Error types of the OpenAI API.
const (
	typeInvalid    = "invalid_request_error"
	typeServer     = "server_error"
	typeOverloaded = "overloaded_error"
)

// statusCallerGone is logged for a request whose caller has disconnected. No client receives it.
const statusCallerGone = 499

// NewError returns an API error. Its type follows from the status, and the retry delay is set as a duration and in
// milliseconds.
func NewError(status int, code api.Code, outcome api.Outcome, retryAfter time.Duration, format string, args ...any) *api.Error {
	kind := typeServer
	switch {
	case status == http.StatusTooManyRequests:
		kind = typeOverloaded
	case status < http.StatusInternalServerError:
		kind = typeInvalid
	}
	return &api.Error{
		Code: code, Type: kind, Message: fmt.Sprintf(format, args...), Outcome: outcome, Status: status,
		RetryAfter: retryAfter, RetryAfterMs: retryAfter.Milliseconds(),
	}
}

func errNotReady() *api.Error {
	return NewError(http.StatusServiceUnavailable, api.CodeNotReady, api.OutcomeNotRun, time.Second, "no configuration is known yet; send again in a second")
}

func errNoRoute(route string) *api.Error {
	return NewError(http.StatusNotFound, api.CodeNoRoute, api.OutcomeNotRun, 0, "route %q or its pool is not in the tables; see ibisctl get", route)
}

func errNoTarget(pool string, retryAfter time.Duration) *api.Error {
	return NewError(http.StatusServiceUnavailable, api.CodeNoTarget, api.OutcomeNotRun, retryAfter, "no target of pool %s may take the request: all are draining or behind; send again later", pool)
}

func errRefused(pool string, r admission.Refusal) *api.Error {
	if r.Reason == admission.ReasonCannotMeetDeadline {
		return NewError(http.StatusServiceUnavailable, api.CodeDeadline, api.OutcomeNotRun, r.RetryAfter, "pool %s cannot answer within the deadline; send again later or allow more time in %s", pool, api.HeaderDeadline)
	}
	return NewError(http.StatusTooManyRequests, api.CodeOverloaded, api.OutcomeNotRun, r.RetryAfter, "pool %s is full (%s); send again after the given time", pool, r.Reason)
}

func errDeadline() *api.Error {
	return NewError(http.StatusGatewayTimeout, api.CodeDeadline, api.OutcomeNotRun, 0, "the deadline has passed; allow more time in %s", api.HeaderDeadline)
}

func errCallerGone() *api.Error {
	return NewError(statusCallerGone, api.CodeDeadline, api.OutcomeNotRun, 0, "the caller has gone")
}

func errQuarantined(q wire.Quarantine) *api.Error {
	return NewError(http.StatusUnprocessableEntity, api.CodeQuarantined, api.OutcomeNotRun, 0, "%d targets died while running this request; it is not run until %s, change it or ask the operator", q.Deaths, q.Until.UTC().Format(time.RFC3339))
}

func errTargetFailed(detail string, retryAfter time.Duration) *api.Error {
	return NewError(http.StatusBadGateway, api.CodeTargetFailed, api.OutcomeUnknown, retryAfter, "the target failed: %s; a request that may be repeated can be sent again", detail)
}

func errRejected(status int, body string) *api.Error {
	return NewError(status, api.CodeBadRequest, api.OutcomeDone, 0, "the target rejected the request: %s", body)
}
