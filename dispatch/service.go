package dispatch

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/admission"
	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/routing"
	"github.com/ibistrail/ibistrail/trial"
)

// maxServiceAnswerBytes bounds the response body of a plain service.
const maxServiceAnswerBytes = 16 << 20

// ServiceCall is one HTTP call to a pool of plain services.
type ServiceCall struct {
	RequestID string
	// Route names the row of the routes table.
	Route    string
	Customer string
	Caller   string
	// Path is the path and query to send to the target.
	Path   string
	Method string
	Header http.Header
	Body   []byte
	// Deadline bounds the call; zero means the route's timeout.
	Deadline time.Time
	// Idempotent calls may be repeated.
	Idempotent bool
	// IdempotencyKey is sent to the target as a header, unless empty.
	IdempotencyKey string
}

// ServiceAnswer is the complete response of a plain service.
type ServiceAnswer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Outcome api.Outcome
	// Target is the address of the target that answered.
	Target string
}

// serviceRun is the state of one service call across its attempts.
type serviceRun struct {
	d            *Dispatcher
	call         ServiceCall
	row          *config.Route
	pool         *pool
	attempts     int
	maybeSent    bool
	avoidTargets []string
}

// CallService runs c on the targets of its route's pool. A call that is not idempotent is sent at
// most once: another target is tried only if no byte of it can have reached a target.
func (d *Dispatcher) CallService(ctx context.Context, c ServiceCall) (*ServiceAnswer, *api.Error) {
	started := d.opts.Now()
	row, p, err := d.lookUpRoute(c.Route, "")
	if err != nil {
		return nil, err
	}
	if c.Deadline.IsZero() {
		c.Deadline = started.Add(time.Duration(row.TimeoutMs) * time.Millisecond)
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	r := &serviceRun{d: d, call: c, row: row, pool: p}
	a, err := r.run(ctx)
	d.metrics.recordRequest(int(row.Priority), started, d.opts.Now(), err)
	return a, err
}

func (r *serviceRun) run(ctx context.Context) (*ServiceAnswer, *api.Error) {
	for {
		placed, err := r.pool.acquire(ctx, r.admissionRequest(), routing.Query{Avoid: r.avoidTargets, Class: int(r.row.Priority)})
		if err != nil {
			return nil, r.finalError(ctx, err)
		}
		r.attempts++
		a, end := r.attempt(ctx, placed)
		r.explain("attempt_end", "attempt=%d target=%s end=%s detail=%q", r.attempts, placed.address, end.kind, end.detail())
		if end.kind == endDone {
			a.Target = placed.address
			return a, nil
		}
		if end.kind == endCallerGone {
			return nil, r.finalError(ctx, errCallerGone())
		}
		if err := r.prepareRetry(ctx, placed, end); err != nil {
			return nil, r.finalError(ctx, err)
		}
	}
}

func (r *serviceRun) admissionRequest() admission.Request {
	return admission.Request{
		ID: r.call.RequestID, Priority: r.row.Priority, Share: r.call.Customer + "/" + r.call.Caller,
		Weight: callerWeight(r.row, r.call.Caller), Deadline: r.call.Deadline,
	}
}

// prepareRetry decides whether to retry after a failed attempt and waits for the backoff. It returns the final
// error, or nil for another attempt.
func (r *serviceRun) prepareRetry(ctx context.Context, placed *placement, end attemptEnd) *api.Error {
	r.avoidTargets = append(r.avoidTargets, placed.address)
	if r.maybeSent && !r.call.Idempotent {
		return errTargetFailed(end.detail()+"; the call may not be repeated, find out whether it took effect", 0)
	}
	wait, ok := r.d.spendRetry(r.row, r.call.Deadline, r.attempts, end.budgetExempt())
	if !ok {
		e := errTargetFailed(end.detail(), retryAfterFailure)
		if !r.maybeSent {
			e.Status, e.Outcome, e.Code = http.StatusServiceUnavailable, api.OutcomeNotRun, api.CodeNoTarget
		}
		return e
	}
	r.d.metrics.retries.Add(string(end.kind), 1)
	if !sleepContext(ctx, wait) {
		return errCallerGone()
	}
	return nil
}

// attempt sends the call to the target of the placement and frees the placement.
func (r *serviceRun) attempt(ctx context.Context, placed *placement) (*ServiceAnswer, attemptEnd) {
	if reason := r.pool.blockReason(placed.address); reason != "" {
		placed.release()
		return nil, attemptEnd{kind: endDraining, err: errors.New(reason)}
	}
	r.explain("attempt", "attempt=%d target=%s idempotent=%t", r.attempts, placed.address, r.call.Idempotent)
	req, err := r.newRequest(ctx, placed.address)
	if err != nil {
		placed.release()
		return nil, attemptEnd{kind: endNotSent, err: err}
	}
	// On a kept connection, a second answer to the call before could not be told from the answer to this one.
	a, sent, err := (&singleUseSender{dial: dialWithTimeout(r.d.opts.Dial)}).send(ctx, placed.address, req, maxServiceAnswerBytes)
	r.maybeSent = r.maybeSent || sent
	if err != nil {
		return nil, r.failedEnd(ctx, placed, sent, err)
	}
	return r.classifyAnswer(placed, a)
}

// failedEnd frees the placement after an attempt without a complete answer and classifies its end.
func (r *serviceRun) failedEnd(ctx context.Context, placed *placement, sent bool, err error) attemptEnd {
	if ctx.Err() != nil {
		placed.release()
		return attemptEnd{kind: endCallerGone, err: err}
	}
	placed.failed(func(now time.Time, t *routing.Table) {
		if isConnRefused(err) {
			t.RecordUnreachable(now, placed.address)
			return
		}
		t.RecordFailure(now, placed.address)
	})
	if !sent {
		return attemptEnd{kind: endNotSent, err: err}
	}
	return attemptEnd{kind: endBroken, err: err}
}

// classifyAnswer frees the placement after a complete answer. An answer that signals overload is returned with
// outcome unknown if the call is not idempotent, and otherwise dropped for a retry.
func (r *serviceRun) classifyAnswer(placed *placement, a *ServiceAnswer) (*ServiceAnswer, attemptEnd) {
	draining := a.Header.Get(trial.HeaderDraining) == "true"
	r.d.recordDrainSignal(placed.pool, placed.address, draining)
	a.Outcome = api.OutcomeDone
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadGateway, http.StatusGatewayTimeout:
		placed.failed(func(now time.Time, t *routing.Table) { t.RecordOverload(now, placed.address) })
		if r.call.Idempotent {
			kind := endRefused
			if draining {
				kind = endDraining
			}
			return nil, attemptEnd{kind: kind, err: &statusError{status: a.Status, body: string(a.Body[:min(len(a.Body), maxErrorBytes)])}}
		}
		a.Outcome = api.OutcomeUnknown
		return a, attemptEnd{kind: endDone}
	}
	placed.succeeded(r.d.opts.Now().Sub(placed.started).Seconds())
	return a, attemptEnd{kind: endDone}
}

// hopHeaders lists the headers that are not forwarded: hop-by-hop headers and those for the gate itself.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Authorization", "Content-Length", "Host", api.HeaderTicket, api.HeaderIdempotencyKey, api.HeaderDeadline, "Expect", "Accept-Encoding",
}

// ForwardableHeaders returns a copy of the headers that are forwarded, without hop-by-hop headers and those for the gate.
func ForwardableHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		if !slices.Contains(hopHeaders, k) && !slices.Contains(connectionHeaders(h), strings.ToLower(k)) {
			out[k] = slices.Clone(v)
		}
	}
	return out
}

// connectionHeaders returns the names listed in the Connection header, in lower case.
func connectionHeaders(h http.Header) []string {
	var out []string
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out = append(out, strings.ToLower(strings.TrimSpace(name)))
		}
	}
	return out
}

func (r *serviceRun) newRequest(ctx context.Context, address string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.call.Method, "http://"+address+r.call.Path, bytes.NewReader(r.call.Body))
	if err != nil {
		return nil, err
	}
	req.Header = ForwardableHeaders(r.call.Header)
	if r.call.IdempotencyKey != "" {
		req.Header.Set(api.HeaderIdempotencyKey, r.call.IdempotencyKey)
	}
	if r.call.RequestID != "" {
		req.Header.Set(api.HeaderRequestID, r.call.RequestID)
	}
	setDeadlineHeader(req.Header, r.d.opts.Now(), r.call.Deadline)
	return req, nil
}

func (r *serviceRun) finalError(ctx context.Context, err *api.Error) *api.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && err.Code == api.CodeDeadline {
		err = errDeadline()
	}
	if r.maybeSent && err.Outcome == api.OutcomeNotRun {
		e := *err
		e.Outcome = api.OutcomeUnknown
		err = &e
	}
	r.explain("error", "code=%s outcome=%s attempts=%d", err.Code, err.Outcome, r.attempts)
	return err
}

func (r *serviceRun) explain(name, format string, args ...any) {
	r.d.opts.Explain.Add(r.call.RequestID, name, format, args...)
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }
