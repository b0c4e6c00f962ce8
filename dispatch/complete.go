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

// completionRun is the state of one completion across its attempts.
type completionRun struct {
	d        *Dispatcher
	call     Call
	row      *config.Route
	pool     *pool
	answer   *answer
	prefixes []uint64
	attempts int
	// maybeSent is true once any byte of the request may have reached a target.
	maybeSent    bool
	lastEngine   string
	avoidTargets []string
	lastFailure  string
}

// Complete runs c on the engines of its pool, with retries, and returns the complete answer or an error.
func (d *Dispatcher) Complete(ctx context.Context, c Call) (*Result, *api.Error) {
	started := d.opts.Now()
	row, p, err := d.lookUpRoute(c.Route, c.Pool)
	if err != nil {
		d.metrics.recordRequest(c.Priority, started, d.opts.Now(), err)
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
	r := &completionRun{d: d, call: c, row: row, pool: p, answer: newAnswer(&c), prefixes: routing.Prefixes(c.Prompt), avoidTargets: slices.Clone(c.Avoid)}
	res, err := r.run(ctx)
	d.metrics.recordRequest(c.Priority, started, d.opts.Now(), err)
	return res, err
}

// run makes attempts until one of them completes the request or no further attempt is allowed.
func (r *completionRun) run(ctx context.Context) (*Result, *api.Error) {
	for {
		placed, err := r.acquirePlacement(ctx)
		if err != nil {
			return nil, r.finalError(ctx, err)
		}
		r.attempts++
		end := r.attempt(ctx, placed)
		r.explain("attempt_end", "attempt=%d target=%s end=%s tokens=%d detail=%q", r.attempts, placed.address, end.kind, len(r.answer.tokens), end.detail())
		deathErr := r.handleDeath(ctx, placed, end)
		r.d.endTrial(r.call.Fingerprint, placed)
		if deathErr != nil {
			return nil, r.finalError(ctx, deathErr)
		}
		if end.kind == endDone {
			r.d.metrics.tokens.Add("answered", int64(len(r.answer.tokens)))
			return r.answer.result(placed.address, r.attempts), nil
		}
		if err := r.prepareRetry(ctx, placed, end); err != nil {
			return nil, r.finalError(ctx, err)
		}
	}
}

// acquirePlacement acquires a placement on a target. A suspect must run alone, which the arbiter has to grant.
// The suspicion is checked again after the wait, since the request may have been cleared or quarantined meanwhile.
func (r *completionRun) acquirePlacement(ctx context.Context) (*placement, *api.Error) {
	for {
		alone, err := r.d.mustRunAlone(r.call.Fingerprint)
		if err != nil {
			return nil, err
		}
		q := routing.Query{Prefixes: r.prefixes, Avoid: r.avoidTargets, MinVersion: r.call.MinVersion, Versioned: r.call.Rollout, Exclusive: alone, Class: r.call.Priority}
		placed, err := r.pool.acquire(ctx, r.admissionRequest(), q)
		if err != nil {
			return nil, err
		}
		if alone && !r.d.beginTrial(ctx, r.call.Fingerprint, placed) {
			placed.release()
			if !sleepContext(ctx, trialRetryInterval) {
				return nil, errCallerGone()
			}
			continue
		}
		stillAlone, err := r.d.mustRunAlone(r.call.Fingerprint)
		if err == nil && stillAlone == alone {
			return placed, nil
		}
		r.d.endTrial(r.call.Fingerprint, placed)
		placed.release()
	}
}

func (r *completionRun) admissionRequest() admission.Request {
	return admission.Request{
		ID: r.call.RequestID, Priority: config.Priority(r.call.Priority), Share: r.call.Customer + "/" + r.call.Caller,
		Weight: callerWeight(r.row, r.call.Caller), Deadline: r.call.Deadline, Rollout: r.call.Rollout,
	}
}

func callerWeight(row *config.Route, caller string) int {
	for i := range row.Callers {
		if row.Callers[i].Name == caller {
			return max(1, row.Callers[i].Weight)
		}
	}
	return 1
}

// handleDeath records the death of the engine if the attempt ended with it. It returns an error if the request
// is quarantined as a result.
func (r *completionRun) handleDeath(ctx context.Context, placed *placement, end attemptEnd) *api.Error {
	if end.kind != endDead {
		return nil
	}
	r.d.metrics.deaths.Add(r.pool.name, 1)
	return r.d.recordDeath(ctx, r.call.Fingerprint, placed)
}

// prepareRetry decides whether to retry after a failed attempt and waits for the backoff. It returns the final
// error, or nil for another attempt.
func (r *completionRun) prepareRetry(ctx context.Context, placed *placement, end attemptEnd) *api.Error {
	r.lastFailure = end.detail()
	switch end.kind {
	case endCallerGone:
		r.d.metrics.tokens.Add("wasted", int64(len(r.answer.tokens)))
		return errCallerGone()
	case endRejected:
		return end.rejection
	}
	r.avoidTargets = append(r.avoidTargets, placed.address)
	wait, ok := r.d.spendRetry(r.row, r.call.Deadline, r.attempts, end.budgetExempt())
	if !ok {
		r.d.metrics.tokens.Add("wasted", int64(len(r.answer.tokens)))
		return errTargetFailed(r.lastFailure, retryAfterFailure)
	}
	r.d.metrics.retries.Add(string(end.kind), 1)
	if end.budgetExempt() {
		return nil
	}
	if !sleepContext(ctx, wait) {
		return errCallerGone()
	}
	return nil
}

// finalError returns the error for the caller: a deadline error if the deadline has passed, and outcome unknown
// instead of not run if a target may have received the request.
func (r *completionRun) finalError(ctx context.Context, err *api.Error) *api.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && err.Code == api.CodeDeadline {
		err = errDeadline()
	}
	if r.maybeSent && err.Outcome == api.OutcomeNotRun {
		e := *err
		e.Outcome = api.OutcomeUnknown
		err = &e
	}
	r.explain("error", "code=%s outcome=%s attempts=%d last=%q", err.Code, err.Outcome, r.attempts, r.lastFailure)
	return err
}

// attemptID returns an ID that is unique on the engines, even if the caller reuses a request ID.
func (r *completionRun) attemptID() string {
	return strings.Map(pathSafe, r.call.RequestID) + "-" + r.d.attemptIDNonce + strconv.FormatUint(r.d.attemptSeq.Add(1), 36)
}

func (r *completionRun) explain(name, format string, args ...any) {
	r.d.opts.Explain.Add(r.call.RequestID, name, format, args...)
}

// pathSafe replaces characters other than letters, digits, dot and underscore by a hyphen, for use in a URL path.
func pathSafe(c rune) rune {
	if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '_' {
		return c
	}
	return '-'
}
