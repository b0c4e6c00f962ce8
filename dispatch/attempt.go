package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ibistrail/ibistrail/routing"
	"github.com/ibistrail/ibistrail/trial"
)

// Bounds of an attempt.
const (
	// firstTokenTimeout is the maximum time to the first event of a stream.
	firstTokenTimeout = 20 * time.Second
	// streamIdleTimeout is the maximum time between two events of a stream.
	streamIdleTimeout = 8 * time.Second
	// maxFruitlessResumes is the maximum number of resumes after a stream without a new token, per attempt.
	maxFruitlessResumes = 2
	// cancelTimeout bounds the request that cancels an abandoned run on an engine.
	cancelTimeout = 2 * time.Second
	// minTokensForRate is the minimum number of tokens for measuring the decode rate.
	minTokensForRate = 8
)

var errIdleTimeout = errors.New("no event within the time that a live engine takes")

// attempt runs the request on the engine of the placement until the end marker or a failure, and frees
// the placement.
func (r *completionRun) attempt(ctx context.Context, placed *placement) attemptEnd {
	if reason := r.pool.blockReason(placed.address); reason != "" {
		placed.release()
		return attemptEnd{kind: endDraining, err: errors.New(reason)}
	}
	if placed.query.Exclusive {
		if err := r.d.refreshBoot(ctx, placed.address); err != nil {
			placed.failed(func(now time.Time, t *routing.Table) { t.RecordUnreachable(now, placed.address) })
			return attemptEnd{kind: endNotSent, err: err}
		}
	}
	placed.boot = r.d.knownBoot(placed.address)
	s := &stream{run: r, placement: placed, id: r.attemptID(), startTokens: len(r.answer.tokens)}
	r.lastEngine = placed.address
	r.explain("attempt", "attempt=%d target=%s alone=%t from_token=%d", r.attempts, placed.address, placed.query.Exclusive, s.startTokens)
	end := s.read(ctx)
	r.finishPlacement(ctx, placed, s, end)
	return end
}

// finishPlacement frees the placement, records the result of the attempt in the routing table, and cancels the run
// if the engine may still be working on it.
func (r *completionRun) finishPlacement(ctx context.Context, placed *placement, s *stream, end attemptEnd) {
	switch end.kind {
	case endDone:
		placed.succeeded(s.secondsPerToken(r.d.opts.Now()))
		r.d.clearSuspicion(r.call.Fingerprint)
		if r.answer.endsUnversioned() {
			r.pool.updateTable(func(now time.Time, t *routing.Table) { t.RecordUnversioned(now, placed.address) })
		}
		return
	case endRefused:
		placed.failed(func(now time.Time, t *routing.Table) { t.RecordOverload(now, placed.address) })
	case endNotSent, endBroken:
		placed.failed(func(now time.Time, t *routing.Table) { t.RecordFailure(now, placed.address) })
	default:
		placed.release()
	}
	if s.maybeSent && end.kind != endDead && end.kind != endAborted {
		go r.d.cancelRun(context.WithoutCancel(ctx), placed.address, s.id)
	}
}

// stream is the event stream of one attempt, including its resumes.
type stream struct {
	run       *completionRun
	placement *placement
	id        string
	// startTokens is the number of tokens that the answer had when the attempt started.
	startTokens      int
	maybeSent        bool
	firstEventAt     time.Time
	fruitlessResumes int
}

func (s *stream) newTokens() int { return len(s.run.answer.tokens) - s.startTokens }

func (s *stream) secondsPerToken(now time.Time) float64 {
	if s.newTokens() < minTokensForRate || s.firstEventAt.IsZero() {
		return 0
	}
	return now.Sub(s.firstEventAt).Seconds() / float64(s.newTokens())
}

// read opens the stream and reads it to its end, with resumes after interruptions.
func (s *stream) read(ctx context.Context) attemptEnd {
	resp, end := s.open(ctx)
	for {
		if resp == nil {
			return end
		}
		before := len(s.run.answer.tokens)
		err := s.consume(ctx, resp)
		if err == nil {
			return attemptEnd{kind: endDone}
		}
		if ctx.Err() != nil {
			return attemptEnd{kind: endCallerGone, err: ctx.Err()}
		}
		if kind, fatal := nonResumableEnd(err); fatal {
			return attemptEnd{kind: kind, err: err}
		}
		if len(s.run.answer.tokens) == before {
			s.fruitlessResumes++
		}
		if s.fruitlessResumes > maxFruitlessResumes || errors.Is(err, errIdleTimeout) {
			return attemptEnd{kind: endBroken, err: err}
		}
		s.run.explain("resume", "target=%s from_token=%d after=%q", s.placement.address, len(s.run.answer.tokens), err)
		resp, end = s.resume(ctx, err)
	}
}

// nonResumableEnd reports whether err rules out a resume on the same engine, and how the attempt ends in that case.
func nonResumableEnd(err error) (endKind, bool) {
	switch {
	case errors.Is(err, errAborted):
		return endAborted, true
	case errors.Is(err, errEngineRestarted):
		return endDead, true
	case errors.Is(err, errEventTooLong):
		return endBroken, true
	}
	return "", false
}

// open sends the request. The response is nil if the attempt has ended.
func (s *stream) open(ctx context.Context) (*http.Response, attemptEnd) {
	c := &s.run.call
	body, err := json.Marshal(trial.CompletionRequest{
		Model: c.Model, Prompt: c.Prompt, MaxTokens: c.MaxTokens, Seed: c.Seed, Stream: true, RequestID: s.id,
		Priority: enginePriority(c), Adapter: c.Adapter, PrefixTokens: s.run.answer.tokens,
	})
	if err != nil {
		return nil, attemptEnd{kind: endNotSent, err: err}
	}
	resp, sent, err := s.run.d.send(ctx, http.MethodPost, s.placement.address, trial.PathCompletions, body, s.run.call.Deadline)
	s.run.maybeSent = s.run.maybeSent || sent
	s.maybeSent = sent
	if err != nil {
		return nil, s.openFailure(ctx, sent, err)
	}
	return s.checkResponse(ctx, resp)
}

// enginePriority returns the priority in the engine's queue, where lower is first: by class, and within a class
// interactive callers before rollouts.
func enginePriority(c *Call) int {
	if c.Rollout {
		return 2*c.Priority + 1
	}
	return 2 * c.Priority
}

// openFailure classifies an attempt that got no response.
func (s *stream) openFailure(ctx context.Context, sent bool, err error) attemptEnd {
	switch {
	case ctx.Err() != nil:
		return attemptEnd{kind: endCallerGone, err: ctx.Err()}
	case !sent && isConnRefused(err):
		s.placement.pool.updateTable(func(now time.Time, t *routing.Table) { t.RecordUnreachable(now, s.placement.address) })
		return attemptEnd{kind: endNotSent, err: err}
	case !sent:
		return attemptEnd{kind: endNotSent, err: err}
	case s.run.d.isDead(ctx, s.placement.address, s.placement.boot):
		return attemptEnd{kind: endDead, err: err}
	}
	return attemptEnd{kind: endBroken, err: err}
}

// checkResponse classifies a response by its status. It returns nil and the end of the attempt if the status is
// not 200.
func (s *stream) checkResponse(ctx context.Context, resp *http.Response) (*http.Response, attemptEnd) {
	draining := resp.Header.Get(trial.HeaderDraining) == "true"
	s.run.d.recordDrainSignal(s.placement.pool, s.placement.address, draining)
	if resp.StatusCode == http.StatusOK {
		return resp, attemptEnd{}
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes)) // a partial body is enough for the error message
	err := &statusError{status: resp.StatusCode, body: string(raw)}
	switch {
	case draining:
		return nil, attemptEnd{kind: endDraining, err: err}
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode == http.StatusServiceUnavailable:
		return nil, attemptEnd{kind: endRefused, err: err}
	case resp.StatusCode == http.StatusNotFound:
		return nil, attemptEnd{kind: endBroken, err: err}
	case resp.StatusCode < http.StatusInternalServerError:
		return nil, attemptEnd{kind: endRejected, err: err, rejection: errRejected(resp.StatusCode, err.body)}
	}
	return nil, attemptEnd{kind: endBroken, err: err}
}

// resume reopens the stream on the same engine at the next token.
func (s *stream) resume(ctx context.Context, cause error) (*http.Response, attemptEnd) {
	d := s.run.d
	resp, err := d.resumeStream(ctx, s.placement.address, s.id, len(s.run.answer.tokens))
	if err == nil && resp.StatusCode == http.StatusOK {
		return resp, attemptEnd{}
	}
	if resp != nil {
		resp.Body.Close()
	}
	if ctx.Err() != nil {
		return nil, attemptEnd{kind: endCallerGone, err: ctx.Err()}
	}
	if isConnRefused(err) || d.isDead(ctx, s.placement.address, s.placement.boot) {
		return nil, attemptEnd{kind: endDead, err: cause}
	}
	return nil, attemptEnd{kind: endBroken, err: cause}
}

// consume reads events until the end marker. An error means that the stream is incomplete.
func (s *stream) consume(ctx context.Context, resp *http.Response) error {
	defer resp.Body.Close()
	idleTimer := time.AfterFunc(firstTokenTimeout, func() { resp.Body.Close() })
	defer idleTimer.Stop()
	timedOut := false
	events := newEventReader(resp.Body)
	for {
		data, err := events.next()
		timedOut = !idleTimer.Reset(streamIdleTimeout)
		if err != nil {
			if timedOut && ctx.Err() == nil {
				return errIdleTimeout
			}
			return unexpectedEOF(err)
		}
		done, err := s.handleEvent(data)
		if done || err != nil {
			return err
		}
	}
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, as a complete stream ends with the end marker.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// handleEvent adds one event to the answer. done is true at the end marker of an answer with a finish reason.
func (s *stream) handleEvent(data []byte) (done bool, err error) {
	if string(data) == string(endMarker) {
		if s.run.answer.finishReason == "" {
			return false, errMissingTokens
		}
		return true, nil
	}
	var c trial.CompletionChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return false, err
	}
	if err := s.run.answer.add(s.id, s.placement.address, s.placement.boot, &c); err != nil {
		return false, err
	}
	if s.placement.boot == "" && c.Boot != "" {
		s.placement.boot = c.Boot
	}
	s.run.d.setBoot(s.placement.address, c.Boot)
	if s.firstEventAt.IsZero() {
		s.firstEventAt = s.run.d.opts.Now()
	}
	return false, nil
}
