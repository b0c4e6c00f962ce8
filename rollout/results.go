package rollout

import (
	"time"

	"github.com/ibistrail/ibistrail/api"
)

// handleAttemptEnded handles the result of an attempt. It drops the result of an attempt that was cancelled or has
// already ended.
func (s *Step) handleAttemptEnded(now time.Time, m AttemptEnded) []Effect {
	a := s.attempts[m.ID]
	if a == nil {
		if m.Err == nil {
			s.Counts.Late++
		}
		return nil
	}
	s.removeAttempt(a)
	sl := &s.slots[a.slot]
	if m.Err != nil {
		s.attemptFailed(now, a, sl, m)
		return nil
	}
	if !m.FirstTokenAt.IsZero() {
		a.firstTokenAt = m.FirstTokenAt
	}
	s.window.observe(a.firstTokenWait(), s.stats.typical().duration)
	oldest, ok := oldestVersion(m.Tokens, m.Spans)
	if !ok || oldest < s.minFreshVersion(s.trainerVersion) {
		s.rejectSample(now, sl, m, ok)
		return nil
	}
	s.stats.add(now, a, len(m.Tokens), a.continued)
	var effects []Effect
	for _, other := range append([]*attempt(nil), sl.running...) {
		effects = append(effects, s.cancel(other))
	}
	s.fillSlot(a, sl, m, oldest)
	return effects
}

// fillSlot stores the sample of a slot; it is scored next if the step has a scorer.
func (s *Step) fillSlot(a *attempt, sl *slot, m AttemptEnded, oldest int64) {
	sl.sample = &api.Sample{
		Slot: a.slot, Group: s.groups[sl.group].id, Text: m.Text, Tokens: m.Tokens, Spans: m.Spans,
		Attempt: string(m.ID), Engine: m.Engine,
	}
	sl.sampleAttempt, sl.oldestVersion, sl.partial, sl.failures = m.ID, oldest, nil, 0
	sl.state, sl.scoreNotBefore, sl.scoreFailures = slotReady, time.Time{}, 0
	if s.opts.Spec.Scorer != "" {
		sl.state = slotScoring
	}
}

// rejectSample drops a sample that is stale or has tokens without a version, so that the slot runs again.
func (s *Step) rejectSample(now time.Time, sl *slot, m AttemptEnded, reported bool) {
	if reported {
		s.Counts.Stale++
	} else {
		s.Counts.Unreported++
		sl.failures++
		sl.notBefore = now.Add(backoff(sl.failures, sl.attemptsStarted))
	}
	s.Counts.WastedTokens += int64(len(m.Tokens))
	sl.partial = nil
	s.requeueIfIdle(sl)
}

// attemptFailed decides from the error code whether and when a slot is retried.
func (s *Step) attemptFailed(now time.Time, a *attempt, sl *slot, m AttemptEnded) {
	switch m.Err.Code {
	case api.CodeOverloaded, api.CodeNoTarget, api.CodeNotReady, api.CodeDraining:
		s.Counts.Refused++
		s.window.refused(now)
		s.notBefore = laterOf(s.notBefore, now.Add(max(m.Err.RetryAfter, MinBackoff)))
	case api.CodeBadRequest, api.CodeTooLarge, api.CodeForbidden, api.CodeUnauthorized, api.CodeNoRoute:
		s.failSlot(a.slot, sl, m.Err)
		return
	case api.CodeQuarantined:
		if m.Err.RetryAfter <= 0 {
			s.failSlot(a.slot, sl, m.Err)
			return
		}
		sl.notBefore = now.Add(m.Err.RetryAfter)
	default:
		s.Counts.Failed++
		sl.failures++
		sl.notBefore = now.Add(max(m.Err.RetryAfter, backoff(sl.failures, sl.attemptsStarted)))
	}
	s.keepPartial(sl, m)
	s.requeueIfIdle(sl)
}

// failSlot marks a slot as permanently failed, unless another attempt is still running on it.
func (s *Step) failSlot(i int, sl *slot, err *api.Error) {
	s.Counts.Failed++
	if len(sl.running) > 0 {
		return
	}
	sl.state = slotFailed
	sl.failed = &api.FailedSlot{Slot: i, Group: s.groups[sl.group].id, Code: err.Code, Message: err.Message}
}

// keepPartial keeps the output of a failed attempt for the next one to continue, if it is fresh and longer than
// the output kept before.
func (s *Step) keepPartial(sl *slot, m AttemptEnded) {
	oldest, ok := oldestVersion(m.Tokens, m.Spans)
	if !ok || oldest < s.minFreshVersion(s.trainerVersion) || (sl.partial != nil && len(sl.partial.Tokens) >= len(m.Tokens)) {
		return
	}
	kept := m
	sl.partial = &kept
}

// handleScoreEnded handles the result of a score call; a repeated or cancelled one is dropped.
func (s *Step) handleScoreEnded(now time.Time, m ScoreEnded) []Effect {
	i, ok := s.scoring[m.ID]
	if !ok {
		return nil
	}
	delete(s.scoring, m.ID)
	sl := &s.slots[i]
	if m.Err != nil {
		sl.scoreFailures++
		sl.scoreNotBefore = now.Add(max(m.Err.RetryAfter, backoff(sl.scoreFailures, i)))
		return nil
	}
	sl.sample.Score = m.Score
	sl.state = slotReady
	return nil
}

// handleSamplesImported stores samples that a peer handed over. They are already scored if the step has a scorer.
func (s *Step) handleSamplesImported(m SamplesImported) []Effect {
	var effects []Effect
	for i := range m.Samples {
		in := m.Samples[i]
		if in.Slot < 0 || in.Slot >= len(s.slots) {
			continue
		}
		sl := &s.slots[in.Slot]
		oldest, ok := oldestVersion(in.Tokens, in.Spans)
		if !ok || oldest < s.minFreshVersion(s.trainerVersion) || sl.sample != nil || sl.state == slotHeld {
			continue
		}
		effects = append(effects, s.clearSlot(sl)...)
		in.Group = s.groups[sl.group].id
		sl.sample, sl.oldestVersion, sl.sampleAttempt, sl.state = &in, oldest, AttemptID(in.Attempt), slotReady
		s.Counts.Imported++
	}
	for _, in := range m.Partials {
		if in.Slot < 0 || in.Slot >= len(s.slots) || s.slots[in.Slot].state != slotPending {
			continue
		}
		s.keepPartial(&s.slots[in.Slot], AttemptEnded{Text: in.Text, Tokens: in.Tokens, Spans: in.Spans})
	}
	return effects
}

// oldestVersion returns the oldest weight version of the spans, and false if the spans do not give a version for
// every token or if there are no tokens.
func oldestVersion(tokens []int, spans []api.Span) (int64, bool) {
	n, oldest := 0, int64(0)
	for _, sp := range spans {
		if sp.Version <= 0 || sp.Tokens <= 0 {
			return 0, false
		}
		if oldest == 0 || sp.Version < oldest {
			oldest = sp.Version
		}
		n += sp.Tokens
	}
	return oldest, n == len(tokens) && n > 0
}

// backoff returns the retry delay after the given number of failures; salt adds deterministic jitter.
func backoff(failures, salt int) time.Duration {
	d := MinBackoff << min(failures, 10)
	d = min(d, MaxBackoff)
	return d/2 + d/2*time.Duration((salt*7919)%97)/97
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
