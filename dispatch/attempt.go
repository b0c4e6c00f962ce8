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
	// maxResumes bounds the resumes of one attempt that bring no new token.
	maxResumes = 2
	// cancelTimeout bounds the cancel of a run whose answer nobody waits for.
	cancelTimeout = 2 * time.Second
	// rateMinTokens is the number of tokens from which a decode rate is measured.
	rateMinTokens = 8
)

var errSilent = errors.New("no event within the time that a live engine takes")

// attempt runs the request on the engine of l until its end marker or a failure, and gives the
// place back.
func (r *run) attempt(ctx context.Context, l *placement) ended {
	if reason := r.pool.blockedNow(l.address); reason != "" {
		l.release()
		return ended{kind: endDraining, err: errors.New(reason)}
	}
	if l.query.Alone {
		if err := r.d.refreshBoot(ctx, l.address); err != nil {
			l.failed(func(now time.Time, t *routing.Table) { t.Dead(now, l.address) })
			return ended{kind: endUnsent, err: err}
		}
	}
	l.boot = r.d.boot(l.address)
	s := &stream{run: r, placement: l, id: r.attemptID(), had: len(r.answer.tokens)}
	r.engine = l.address
	r.explain("attempt", "attempt=%d target=%s alone=%t from_token=%d", r.attempts, l.address, l.query.Alone, s.had)
	end := s.read(ctx)
	r.giveBack(ctx, l, s, end)
	return end
}

// giveBack tells routing how the attempt went.
func (r *run) giveBack(ctx context.Context, l *placement, s *stream, end ended) {
	switch end.kind {
	case endDone:
		l.finished(s.secondsPerToken(r.d.opts.Now()))
		r.d.cleared(r.call.Fingerprint)
		if r.answer.endsUnversioned() {
			r.pool.with(func(now time.Time, t *routing.Table) { t.Unversioned(now, l.address) })
		}
		return
	case endRefused:
		l.failed(func(now time.Time, t *routing.Table) { t.Overloaded(now, l.address) })
	case endUnsent, endBroken:
		l.failed(func(now time.Time, t *routing.Table) { t.Failed(now, l.address) })
	default:
		l.release()
	}
	if s.opened && end.kind != endDead && end.kind != endAborted {
		go r.d.cancelRun(context.WithoutCancel(ctx), l.address, s.id)
	}
}

// stream is one attempt's stream from an engine, over its resumes.
type stream struct {
	run       *run
	placement *placement
	id        string
	// had is the number of tokens that the answer had when the attempt started.
	had     int
	opened  bool
	first   time.Time
	resumes int
}

func (s *stream) tokens() int { return len(s.run.answer.tokens) - s.had }

func (s *stream) secondsPerToken(now time.Time) float64 {
	if s.tokens() < rateMinTokens || s.first.IsZero() {
		return 0
	}
	return now.Sub(s.first).Seconds() / float64(s.tokens())
}

// read opens the stream and reads it to its end, resuming it where it breaks off.
func (s *stream) read(ctx context.Context) ended {
	resp, end := s.open(ctx)
	for {
		if resp == nil {
			return end
		}
		before := len(s.run.answer.tokens)
		err := s.consume(ctx, resp)
		if err == nil {
			return ended{kind: endDone}
		}
		if ctx.Err() != nil {
			return ended{kind: endGone, err: ctx.Err()}
		}
		if kind, fatal := fatalEnd(err); fatal {
			return ended{kind: kind, err: err}
		}
		if len(s.run.answer.tokens) == before {
			s.resumes++
		}
		if s.resumes > maxResumes || errors.Is(err, errSilent) {
			return ended{kind: endBroken, err: err}
		}
		s.run.explain("resume", "target=%s from_token=%d after=%q", s.placement.address, len(s.run.answer.tokens), err)
		resp, end = s.resume(ctx, err)
	}
}

// fatalEnd tells whether a failure rules out a resume on the same engine.
func fatalEnd(err error) (endKind, bool) {
	switch {
	case errors.Is(err, errAborted):
		return endAborted, true
	case errors.Is(err, errBoot):
		return endDead, true
	case errors.Is(err, errEventTooLong):
		return endBroken, true
	}
	return "", false
}

// open sends the request.
func (s *stream) open(ctx context.Context) (*http.Response, ended) {
	c := &s.run.call
	body, err := json.Marshal(trial.CompletionRequest{
		Model: c.Model, Prompt: c.Prompt, MaxTokens: c.MaxTokens, Seed: c.Seed, Stream: true, RequestID: s.id,
		Priority: enginePriority(c), Adapter: c.Adapter, PrefixTokens: s.run.answer.tokens,
	})
	if err != nil {
		return nil, ended{kind: endUnsent, err: err}
	}
	resp, sent, err := s.run.d.send(ctx, http.MethodPost, s.placement.address, trial.PathCompletions, body, s.run.call.Deadline)
	s.run.sent = s.run.sent || sent
	s.opened = sent
	if err != nil {
		return nil, s.unopened(ctx, sent, err)
	}
	return s.check(ctx, resp)
}

// enginePriority orders an engine's queue: by class, and within a class callers, who wait, before rollouts.
func enginePriority(c *Call) int {
	if c.Trainer {
		return 2*c.Priority + 1
	}
	return 2 * c.Priority
}

// unopened tells how an attempt ended that got no answer.
func (s *stream) unopened(ctx context.Context, sent bool, err error) ended {
	switch {
	case ctx.Err() != nil:
		return ended{kind: endGone, err: ctx.Err()}
	case !sent && refusedConn(err):
		s.placement.pool.with(func(now time.Time, t *routing.Table) { t.Dead(now, s.placement.address) })
		return ended{kind: endUnsent, err: err}
	case !sent:
		return ended{kind: endUnsent, err: err}
	case s.run.d.isDead(ctx, s.placement.address, s.placement.boot):
		return ended{kind: endDead, err: err}
	}
	return ended{kind: endBroken, err: err}
}

// check reads the status of an answer; the response is nil unless a stream follows.
func (s *stream) check(ctx context.Context, resp *http.Response) (*http.Response, ended) {
	draining := resp.Header.Get(trial.HeaderDraining) == "true"
	s.run.d.leaving(s.placement.pool, s.placement.address, draining)
	if resp.StatusCode == http.StatusOK {
		return resp, ended{}
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes)) // what was read explains enough
	err := &statusError{status: resp.StatusCode, body: string(text)}
	switch {
	case draining:
		return nil, ended{kind: endDraining, err: err}
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode == http.StatusServiceUnavailable:
		return nil, ended{kind: endRefused, err: err}
	case resp.StatusCode == http.StatusNotFound:
		return nil, ended{kind: endBroken, err: err}
	case resp.StatusCode < http.StatusInternalServerError:
		return nil, ended{kind: endRejected, err: err, rejection: errRejected(resp.StatusCode, err.body)}
	}
	return nil, ended{kind: endBroken, err: err}
}

// resume continues the stream on the same engine from the next token.
func (s *stream) resume(ctx context.Context, cause error) (*http.Response, ended) {
	d := s.run.d
	resp, err := d.resume(ctx, s.placement.address, s.id, len(s.run.answer.tokens))
	if err == nil && resp.StatusCode == http.StatusOK {
		return resp, ended{}
	}
	if resp != nil {
		resp.Body.Close()
	}
	if ctx.Err() != nil {
		return nil, ended{kind: endGone, err: ctx.Err()}
	}
	if refusedConn(err) || d.isDead(ctx, s.placement.address, s.placement.boot) {
		return nil, ended{kind: endDead, err: cause}
	}
	return nil, ended{kind: endBroken, err: cause}
}

// consume reads events until the end marker. An error means that the stream is not whole.
func (s *stream) consume(ctx context.Context, resp *http.Response) error {
	defer resp.Body.Close()
	silence := time.AfterFunc(firstTokenTimeout, func() { resp.Body.Close() })
	defer silence.Stop()
	fired := false
	events := newEventReader(resp.Body)
	for {
		data, err := events.next()
		fired = !silence.Reset(streamIdleTimeout)
		if err != nil {
			if fired && ctx.Err() == nil {
				return errSilent
			}
			return unexpected(err)
		}
		done, err := s.event(data)
		if done || err != nil {
			return err
		}
	}
}

// unexpected names the end of a stream without its end marker.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// event takes one event; done is true at the end marker of an answer with a finish reason.
func (s *stream) event(data []byte) (done bool, err error) {
	if string(data) == string(endMarker) {
		if s.run.answer.finish == "" {
			return false, errGap
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
	if s.first.IsZero() {
		s.first = s.run.d.opts.Now()
	}
	return false, nil
}
