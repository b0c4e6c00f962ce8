package dispatch

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/admission"
	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/routing"
)

// run is one completion on its way over attempts.
type run struct {
	d        *Dispatcher
	call     Call
	row      *config.Route
	pool     *pool
	answer   *answer
	prefixes []uint64
	attempts int
	// sent is true once a byte of the request can have reached a target.
	sent   bool
	engine string
	avoid  []string
	last   string
}

// Complete runs c on the engines of its pool.
func (d *Dispatcher) Complete(ctx context.Context, c Call) (*Result, *api.Error) {
	started := d.opts.Now()
	row, p, err := d.lookup(c.Route, c.Pool)
	if err != nil {
		d.meters.finished(c.Priority, started, d.opts.Now(), err)
		return nil, err
	}
	if c.Deadline.IsZero() {
		c.Deadline = started.Add(time.Duration(row.TimeoutMs) * time.Millisecond)
	}
	if c.Fingerprint == "" {
		c.Fingerprint = Fingerprint(c.Route, c.Prompt)
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	r := &run{d: d, call: c, row: row, pool: p, answer: newAnswer(&c), prefixes: routing.Prefixes(c.Prompt), avoid: slices.Clone(c.Avoid)}
	res, err := r.run(ctx)
	d.meters.finished(c.Priority, started, d.opts.Now(), err)
	return res, err
}

// run makes attempts until one ends the request.
func (r *run) run(ctx context.Context) (*Result, *api.Error) {
	for {
		l, err := r.place(ctx)
		if err != nil {
			return nil, r.final(ctx, err)
		}
		r.attempts++
		end := r.attempt(ctx, l)
		r.explain("attempt_end", "attempt=%d target=%s end=%s tokens=%d detail=%q", r.attempts, l.address, end.kind, len(r.answer.tokens), end.detail())
		dead := r.dead(ctx, l, end)
		r.d.endTrial(r.call.Fingerprint, l)
		if dead != nil {
			return nil, r.final(ctx, dead)
		}
		if end.kind == endDone {
			r.d.meters.tokens.Add("answered", int64(len(r.answer.tokens)))
			return r.answer.result(l.address, r.attempts), nil
		}
		if err := r.next(ctx, l, end); err != nil {
			return nil, r.final(ctx, err)
		}
	}
}

// place takes a place on a target. A suspect waits to run alone; when its turn comes it may have
// been cleared or quarantined.
func (r *run) place(ctx context.Context) (*placement, *api.Error) {
	for {
		alone, err := r.d.suspicion(r.call.Fingerprint)
		if err != nil {
			return nil, err
		}
		q := routing.Query{Prefixes: r.prefixes, Avoid: r.avoid, MinVersion: r.call.MinVersion, Versioned: r.call.Trainer, Alone: alone, Class: r.call.Priority}
		l, err := r.pool.acquire(ctx, r.admission(), q)
		if err != nil {
			return nil, err
		}
		if alone && !r.d.beginTrial(ctx, r.call.Fingerprint, l) {
			l.release()
			if !waitFor(ctx, trialRetry) {
				return nil, errCallerGone()
			}
			continue
		}
		still, err := r.d.suspicion(r.call.Fingerprint)
		if err == nil && still == alone {
			return l, nil
		}
		r.d.endTrial(r.call.Fingerprint, l)
		l.release()
	}
}

func (r *run) admission() admission.Request {
	return admission.Request{
		ID: r.call.RequestID, Priority: config.Priority(r.call.Priority), Share: r.call.Customer + "/" + r.call.Caller,
		Weight: weight(r.row, r.call.Caller), Deadline: r.call.Deadline, Trainer: r.call.Trainer,
	}
}

func weight(row *config.Route, caller string) int {
	for i := range row.Callers {
		if row.Callers[i].Name == caller {
			return max(1, row.Callers[i].Weight)
		}
	}
	return 1
}

// dead records the death of the engine of l, if the attempt ended so; an error is the final answer.
func (r *run) dead(ctx context.Context, l *placement, end ended) *api.Error {
	if end.kind != endDead {
		return nil
	}
	r.d.meters.deaths.Add(r.pool.name, 1)
	return r.d.died(ctx, r.call.Fingerprint, l)
}

// next decides what follows an attempt that did not end the request: nil means another attempt.
func (r *run) next(ctx context.Context, l *placement, end ended) *api.Error {
	r.last = end.detail()
	switch end.kind {
	case endGone:
		r.d.meters.tokens.Add("wasted", int64(len(r.answer.tokens)))
		return errCallerGone()
	case endRejected:
		return end.rejection
	}
	r.avoid = append(r.avoid, l.address)
	wait, ok := r.d.mayRetry(r.row, r.call.Deadline, r.attempts, end.free())
	if !ok {
		r.d.meters.tokens.Add("wasted", int64(len(r.answer.tokens)))
		return errTargetFailed(r.last, retryAfterFailure)
	}
	r.d.meters.retries.Add(string(end.kind), 1)
	if end.free() {
		return nil
	}
	if !waitFor(ctx, wait) {
		return errCallerGone()
	}
	return nil
}

// final gives an error the outcome that the attempts so far allow.
func (r *run) final(ctx context.Context, err *api.Error) *api.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && err.Code == api.CodeDeadline {
		err = errDeadline()
	}
	if r.sent && err.Outcome == api.OutcomeNotRun {
		e := *err
		e.Outcome = api.OutcomeUnknown
		err = &e
	}
	r.explain("error", "code=%s outcome=%s attempts=%d last=%q", err.Code, err.Outcome, r.attempts, r.last)
	return err
}

// attemptID is unique on the engines, also when a request ID comes again.
func (r *run) attemptID() string {
	return strings.Map(pathSafe, r.call.RequestID) + "-" + r.d.nonce + strconv.FormatUint(r.d.attempts.Add(1), 36)
}

func (r *run) explain(name, format string, args ...any) {
	r.d.opts.Explain.Add(r.call.RequestID, name, format, args...)
}

// pathSafe keeps what may stand in a path segment.
func pathSafe(c rune) rune {
	if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '_' {
		return c
	}
	return '-'
}
