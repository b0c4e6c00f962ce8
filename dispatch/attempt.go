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
	// firstTokenTimeout bounds the silence before the first event of a stream.
	firstTokenTimeout = 20 * time.Second
	// streamIdleTimeout bounds the silence between events.
	streamIdleTimeout = 8 * time.Second
	// maxFruitlessResumes bounds the resumes of one attempt that bring no new token.
	maxFruitlessResumes = 2
	// cancelTimeout bounds the cancel of a run whose answer nobody waits for.
	cancelTimeout = 2 * time.Second
	// minTokensForRate is the number of tokens from which a decode rate is measured.
	minTokensForRate = 8
)

var errIdleTimeout = errors.New("no event within the time that a live engine takes")

// attempt runs the request on the engine of l until its end marker or a failure, and gives the
// place back.
func (r *completionRun) attempt(ctx context.Context, placed *placement) attemptEnd {
	if reason := r.pool.blockReason(placed.address); reason != "" {
		placed.release()
		return attemptEnd{kind: endDraining, err: errors.New(reason)}
	}
	if placed.query.Alone {
		if err := r.d.refreshBoot(ctx, placed.address); err != nil {
			placed.failed(func(now time.Time, t *routing.Table) { t.Dead(now, placed.address) })
			return attemptEnd{kind: endNotSent, err: err}
		}
	}
	placed.boot = r.d.knownBoot(placed.address)
	s := &stream{run: r, placement: placed, id: r.attemptID(), startTokens: len(r.answer.tokens)}
	r.lastEngine = placed.address
	r.explain("attempt", "attempt=%d target=%s alone=%t from_token=%d", r.attempts, placed.address, placed.query.Alone, s.startTokens)
	end := s.read(ctx)
	r.settlePlacement(ctx, placed, s, end)
	return end
}

// settlePlacement tells routing how the attempt went.
func (r *completionRun) settlePlacement(ctx context.Context, placed *placement, s *stream, end attemptEnd) {
	switch end.kind {
	case endDone:
		placed.succeeded(s.secondsPerToken(r.d.opts.Now()))
		r.d.clearSuspicion(r.call.Fingerprint)
		if r.answer.endsUnversioned() {
			r.pool.updateTable(func(now time.Time, t *routing.Table) { t.Unversioned(now, placed.address) })
		}
		return
	case endRefused:
		placed.failed(func(now time.Time, t *routing.Table) { t.Overloaded(now, placed.address) })
	case endNotSent, endBroken:
		placed.failed(func(now time.Time, t *routing.Table) { t.Failed(now, placed.address) })
	default:
		placed.release()
	}
	if s.maybeSent && end.kind != endDead && end.kind != endAborted {
		go r.d.cancelRun(context.WithoutCancel(ctx), placed.address, s.id)
	}
}

// stream is one attempt's stream from an engine, over its resumes.
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

// read opens the stream and reads it to its end, resuming it where it breaks off.
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

// nonResumableEnd tells whether a failure rules out a resume on the same engine.
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

// open sends the request.
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

// enginePriority orders an engine's queue: by class, and within a class callers, who wait, before rollouts.
func enginePriority(c *Call) int {
	if c.Trainer {
		return 2*c.Priority + 1
	}
	return 2 * c.Priority
}

// openFailure tells how an attempt ended that got no answer.
func (s *stream) openFailure(ctx context.Context, sent bool, err error) attemptEnd {
	switch {
	case ctx.Err() != nil:
		return attemptEnd{kind: endCallerGone, err: ctx.Err()}
	case !sent && isConnRefused(err):
		s.placement.pool.updateTable(func(now time.Time, t *routing.Table) { t.Dead(now, s.placement.address) })
		return attemptEnd{kind: endNotSent, err: err}
	case !sent:
		return attemptEnd{kind: endNotSent, err: err}
	case s.run.d.isDead(ctx, s.placement.address, s.placement.boot):
		return attemptEnd{kind: endDead, err: err}
	}
	return attemptEnd{kind: endBroken, err: err}
}

// checkResponse reads the status of an answer; the response is nil unless a stream follows.
func (s *stream) checkResponse(ctx context.Context, resp *http.Response) (*http.Response, attemptEnd) {
	draining := resp.Header.Get(trial.HeaderDraining) == "true"
	s.run.d.recordDrainSignal(s.placement.pool, s.placement.address, draining)
	if resp.StatusCode == http.StatusOK {
		return resp, attemptEnd{}
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes)) // what was read explains enough
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

// resume continues the stream on the same engine from the next token.
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

// consume reads events until the end marker. An error means that the stream is not whole.
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

// unexpectedEOF names the end of a stream without its end marker.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// handleEvent takes one event; done is true at the end marker of an answer with a finish reason.
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
