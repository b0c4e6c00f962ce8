package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ibistrail/ibistrail/admission"
	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/routing"
	"github.com/ibistrail/ibistrail/trial"
)

// maxServiceAnswerBytes bounds the answer of a plain service.
const maxServiceAnswerBytes = 16 << 20

// ServiceCall is one HTTP call to a pool of plain services.
type ServiceCall struct {
	RequestID string
	// Route names the row of the routes table.
	Route    string
	Customer string
	Caller   string
	// Path is the path and query that the target gets.
	Path   string
	Method string
	Header http.Header
	Body   []byte
	// Deadline bounds the call; zero means the route's timeout.
	Deadline time.Time
	// Idempotent calls may be repeated.
	Idempotent bool
	// IdempotencyKey is passed on to the target as a header; empty sends none.
	IdempotencyKey string
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Outcome api.Outcome
	// Target is the address of the target that answered.
	Target string
}

// serviceRun is one service call on its way over attempts.
type serviceRun struct {
	d        *Dispatcher
	call     ServiceCall
	row      *config.Route
	pool     *pool
	attempts int
	sent     bool
	avoid    []string
}

// CallService runs c on the targets of its route's pool. A call that is not idempotent is sent at
// most once: another target is tried only while no byte can have reached one.
func (d *Dispatcher) CallService(ctx context.Context, c ServiceCall) (*ServiceAnswer, *api.Error) {
	started := d.opts.Now()
	row, p, err := d.lookup(c.Route, "")
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
	d.meters.finished(int(row.Priority), started, d.opts.Now(), err)
	return a, err
}

func (r *serviceRun) run(ctx context.Context) (*ServiceAnswer, *api.Error) {
	for {
		l, err := r.pool.acquire(ctx, r.admission(), routing.Query{Avoid: r.avoid, Class: int(r.row.Priority)})
		if err != nil {
			return nil, r.final(ctx, err)
		}
		r.attempts++
		a, end := r.attempt(ctx, l)
		r.explain("attempt_end", "attempt=%d target=%s end=%s detail=%q", r.attempts, l.address, end.kind, end.detail())
		if end.kind == endDone {
			a.Target = l.address
			return a, nil
		}
		if end.kind == endGone {
			return nil, r.final(ctx, errCallerGone())
		}
		if err := r.next(ctx, l, end); err != nil {
			return nil, r.final(ctx, err)
		}
	}
}

func (r *serviceRun) admission() admission.Request {
	return admission.Request{
		ID: r.call.RequestID, Priority: r.row.Priority, Share: r.call.Customer + "/" + r.call.Caller,
		Weight: weight(r.row, r.call.Caller), Deadline: r.call.Deadline,
	}
}

// next decides whether another attempt may follow.
func (r *serviceRun) next(ctx context.Context, l *placement, end ended) *api.Error {
	r.avoid = append(r.avoid, l.address)
	if r.sent && !r.call.Idempotent {
		return errTargetFailed(end.detail()+"; the call may not be repeated, find out whether it took effect", 0)
	}
	wait, ok := r.d.mayRetry(r.row, r.call.Deadline, r.attempts, end.free())
	if !ok {
		e := errTargetFailed(end.detail(), retryAfterFailure)
		if !r.sent {
			e.Status, e.Outcome, e.Code = http.StatusServiceUnavailable, api.OutcomeNotRun, api.CodeNoTarget
		}
		return e
	}
	r.d.meters.retries.Add(string(end.kind), 1)
	if !waitFor(ctx, wait) {
		return errCallerGone()
	}
	return nil
}

// attempt sends the call to the target of l and gives the place back.
func (r *serviceRun) attempt(ctx context.Context, l *placement) (*ServiceAnswer, ended) {
	if reason := r.pool.blockedNow(l.address); reason != "" {
		l.release()
		return nil, ended{kind: endDraining, err: errors.New(reason)}
	}
	r.explain("attempt", "attempt=%d target=%s idempotent=%t", r.attempts, l.address, r.call.Idempotent)
	req, err := r.request(ctx, l.address)
	if err != nil {
		l.release()
		return nil, ended{kind: endUnsent, err: err}
	}
	var a *ServiceAnswer
	var sent bool
	if r.call.Idempotent {
		a, sent, err = r.d.roundTrip(req)
	} else {
		a, sent, err = (&single{dial: dialWithin(r.d.opts.Dial)}).do(ctx, l.address, req, maxServiceAnswerBytes)
	}
	r.sent = r.sent || sent
	if err != nil {
		return nil, r.broken(ctx, l, sent, err)
	}
	return r.answered(l, a)
}

// broken tells how an attempt without a whole answer ended.
func (r *serviceRun) broken(ctx context.Context, l *placement, sent bool, err error) ended {
	if ctx.Err() != nil {
		l.release()
		return ended{kind: endGone, err: err}
	}
	l.failed(func(now time.Time, t *routing.Table) {
		if refusedConn(err) {
			t.Dead(now, l.address)
			return
		}
		t.Failed(now, l.address)
	})
	if !sent {
		return ended{kind: endUnsent, err: err}
	}
	return ended{kind: endBroken, err: err}
}

// answered judges a whole answer.
func (r *serviceRun) answered(l *placement, a *ServiceAnswer) (*ServiceAnswer, ended) {
	draining := a.Header.Get(trial.HeaderDraining) == "true"
	r.d.leaving(l.pool, l.address, draining)
	a.Outcome = api.OutcomeDone
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadGateway, http.StatusGatewayTimeout:
		l.failed(func(now time.Time, t *routing.Table) { t.Overloaded(now, l.address) })
		if r.call.Idempotent {
			kind := endRefused
			if draining {
				kind = endDraining
			}
			return nil, ended{kind: kind, err: &statusError{status: a.Status, body: string(a.Body[:min(len(a.Body), maxErrorBytes)])}}
		}
		a.Outcome = api.OutcomeUnknown
		return a, ended{kind: endDone}
	}
	l.finished(r.d.opts.Now().Sub(l.started).Seconds())
	return a, ended{kind: endDone}
}

// hopHeaders concern one connection, or the gate itself, and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Authorization", "Content-Length", "Host", api.HeaderTicket, api.HeaderIdempotencyKey, api.HeaderDeadline, "Expect", "Accept-Encoding",
}

// PassedHeaders returns the headers that go on to the other side.
func PassedHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		if !slices.Contains(hopHeaders, k) && !slices.Contains(named(h), strings.ToLower(k)) {
			out[k] = slices.Clone(v)
		}
	}
	return out
}

// named returns the headers that Connection names as belonging to one connection.
func named(h http.Header) []string {
	var out []string
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out = append(out, strings.ToLower(strings.TrimSpace(name)))
		}
	}
	return out
}

func (r *serviceRun) request(ctx context.Context, address string) (*http.Request, error) {
	var body io.Reader
	if len(r.call.Body) > 0 {
		body = io.MultiReader(bytes.NewReader(r.call.Body))
	}
	req, err := http.NewRequestWithContext(ctx, r.call.Method, "http://"+address+r.call.Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.call.Body))
	req.Header = PassedHeaders(r.call.Header)
	if r.call.IdempotencyKey != "" {
		req.Header.Set(api.HeaderIdempotencyKey, r.call.IdempotencyKey)
	}
	if r.call.RequestID != "" {
		req.Header.Set(api.HeaderRequestID, r.call.RequestID)
	}
	setDeadline(req.Header, r.d.opts.Now(), r.call.Deadline)
	return req, nil
}

// roundTrip sends a request that may be repeated.
func (d *Dispatcher) roundTrip(req *http.Request) (a *ServiceAnswer, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := d.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, connected.Load(), err
	}
	a, err = wholeAnswer(resp, maxServiceAnswerBytes)
	return a, true, err
}

func (r *serviceRun) final(ctx context.Context, err *api.Error) *api.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && err.Code == api.CodeDeadline {
		err = errDeadline()
	}
	if r.sent && err.Outcome == api.OutcomeNotRun {
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
