package rollout

import (
	"time"

	"github.com/ibistrail/ibistrail/api"
)

// answered takes the answer of an attempt. Only an attempt that the step still knows can fill a slot.
func (s *Step) answered(now time.Time, m Answered) []Effect {
	a := s.attempts[m.ID]
	if a == nil {
		if m.Err == nil {
			s.Counts.Late++
		}
		return nil
	}
	s.forget(a)
	sl := &s.slots[a.slot]
	if m.Err != nil {
		s.attemptFailed(now, a, sl, m)
		return nil
	}
	if !m.First.IsZero() {
		a.first = m.First
	}
	s.window.observe(a.waited(), s.stats.usual().duration)
	oldest, ok := oldestVersion(m.Tokens, m.Spans)
	if !ok || oldest < s.need(s.version) {
		s.unusable(now, sl, m, ok)
		return nil
	}
	s.stats.add(now, a, len(m.Tokens), a.continued)
	var effects []Effect
	for _, other := range append([]*attempt(nil), sl.running...) {
		effects = append(effects, s.cancel(other))
	}
	s.fill(a, sl, m, oldest)
	return effects
}

// fill gives a slot its sample, which is scored next if the step names a scorer.
func (s *Step) fill(a *attempt, sl *slot, m Answered, oldest int64) {
	sl.sample = &api.Sample{
		Slot: a.slot, Group: s.groups[sl.group].id, Text: m.Text, Tokens: m.Tokens, Spans: m.Spans,
		Attempt: string(m.ID), Engine: m.Engine,
	}
	sl.attempt, sl.oldest, sl.resume, sl.failures = m.ID, oldest, nil, 0
	sl.state, sl.scoreAt, sl.scoreTries = slotReady, time.Time{}, 0
	if s.opts.Spec.Scorer != "" {
		sl.state = slotScoring
	}
}

// unusable returns a slot whose sample is too old, or has tokens without a version, to pending.
func (s *Step) unusable(now time.Time, sl *slot, m Answered, reported bool) {
	if reported {
		s.Counts.Stale++
	} else {
		s.Counts.Unreported++
		sl.failures++
		sl.notBefore = now.Add(backoff(sl.failures, sl.started))
	}
	s.Counts.WastedTokens += int64(len(m.Tokens))
	sl.resume = nil
	s.settle(sl)
}

// attemptFailed decides whether and when a slot runs again.
func (s *Step) attemptFailed(now time.Time, a *attempt, sl *slot, m Answered) {
	switch m.Err.Code {
	case api.CodeOverloaded, api.CodeNoTarget, api.CodeNotReady, api.CodeDraining:
		s.Counts.Refused++
		s.window.refused(now)
		s.notBefore = later(s.notBefore, now.Add(max(m.Err.RetryAfter, MinBackoff)))
	case api.CodeBadRequest, api.CodeTooLarge, api.CodeForbidden, api.CodeUnauthorized, api.CodeNoRoute:
		s.giveUp(a.slot, sl, m.Err)
		return
	case api.CodeQuarantined:
		if m.Err.RetryAfter <= 0 {
			s.giveUp(a.slot, sl, m.Err)
			return
		}
		sl.notBefore = now.Add(m.Err.RetryAfter)
	default:
		s.Counts.Failed++
		sl.failures++
		sl.notBefore = now.Add(max(m.Err.RetryAfter, backoff(sl.failures, sl.started)))
	}
	s.keepPartial(sl, m)
	s.settle(sl)
}

// giveUp marks a slot that no attempt can fill, unless another attempt still runs.
func (s *Step) giveUp(i int, sl *slot, err *api.Error) {
	s.Counts.Failed++
	if len(sl.running) > 0 {
		return
	}
	sl.state = slotFailed
	sl.failed = &api.FailedSlot{Slot: i, Group: s.groups[sl.group].id, Code: err.Code, Message: err.Message}
}

// keepPartial keeps the tokens of a failed attempt for the next one, if they are usable.
func (s *Step) keepPartial(sl *slot, m Answered) {
	oldest, ok := oldestVersion(m.Tokens, m.Spans)
	if !ok || oldest < s.need(s.version) || (sl.resume != nil && len(sl.resume.Tokens) >= len(m.Tokens)) {
		return
	}
	kept := m
	sl.resume = &kept
}

// scored takes the end of a score call; a second answer for an attempt is dropped.
func (s *Step) scored(now time.Time, m Scored) []Effect {
	i, ok := s.scoring[m.ID]
	if !ok {
		return nil
	}
	delete(s.scoring, m.ID)
	sl := &s.slots[i]
	if m.Err != nil {
		sl.scoreTries++
		sl.scoreAt = now.Add(max(m.Err.RetryAfter, backoff(sl.scoreTries, i)))
		return nil
	}
	sl.sample.Score = m.Score
	sl.state = slotReady
	return nil
}

// imported takes samples that a peer made; they are scored already.
func (s *Step) imported(m Imported) []Effect {
	var effects []Effect
	for i := range m.Samples {
		in := m.Samples[i]
		if in.Slot < 0 || in.Slot >= len(s.slots) {
			continue
		}
		sl := &s.slots[in.Slot]
		oldest, ok := oldestVersion(in.Tokens, in.Spans)
		if !ok || oldest < s.need(s.version) || sl.sample != nil || sl.state == slotHeld {
			continue
		}
		effects = append(effects, s.vacate(sl)...)
		in.Group = s.groups[sl.group].id
		sl.sample, sl.oldest, sl.attempt, sl.state = &in, oldest, AttemptID(in.Attempt), slotReady
		s.Counts.Imported++
	}
	for _, in := range m.Partials {
		if in.Slot < 0 || in.Slot >= len(s.slots) || s.slots[in.Slot].state != slotPending {
			continue
		}
		s.keepPartial(&s.slots[in.Slot], Answered{Text: in.Text, Tokens: in.Tokens, Spans: in.Spans})
	}
	return effects
}

// oldestVersion returns the oldest version of the spans, and false if the spans do not tell the
// version of each token.
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

// backoff returns the wait after the given number of failures; salt spreads the slots.
func backoff(failures, salt int) time.Duration {
	d := MinBackoff << min(failures, 10)
	d = min(d, MaxBackoff)
	return d/2 + d/2*time.Duration((salt*7919)%97)/97
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
