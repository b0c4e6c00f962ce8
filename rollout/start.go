package rollout

import (
	"fmt"
	"time"
)

// start starts attempts and score calls within the limits; past the deadline it cancels them instead.
func (s *Step) start(now time.Time) []Effect {
	if !now.Before(s.opts.Deadline) {
		return s.cancelAll()
	}
	effects := s.startScores(now)
	if now.Before(s.notBefore) {
		return effects
	}
	return append(effects, s.startPending(now)...)
}

// startPending starts pending slots in group order, so that groups complete one after another and their prompts
// stay in the engines' prefix caches.
func (s *Step) startPending(now time.Time) []Effect {
	var effects []Effect
	for s.firstNotHeld < len(s.slots) && s.slots[s.firstNotHeld].state == slotHeld {
		s.firstNotHeld++
	}
	for i := s.firstNotHeld; i < len(s.slots); i++ {
		sl := &s.slots[i]
		if sl.state != slotPending || now.Before(sl.notBefore) {
			continue
		}
		if len(s.attempts) >= s.window.size() {
			break
		}
		effects = append(effects, s.startAttempt(now, i, ""))
	}
	return effects
}

// startAttempt starts an attempt on slot i. It continues the running attempt continueFrom if that is set, or else the
// output kept from a failed attempt.
func (s *Step) startAttempt(now time.Time, i int, continueFrom AttemptID) StartAttempt {
	sl := &s.slots[i]
	g := s.groups[sl.group]
	a := &attempt{
		id:   AttemptID(fmt.Sprintf("%s-%d-%d", s.opts.Prefix, i, sl.attemptsStarted)),
		slot: i, startedAt: now,
	}
	if source := s.attempts[continueFrom]; source != nil {
		a.tokens, a.continued, a.oldestVersion = source.tokens, source.tokens, source.oldestVersion
	}
	sl.attemptsStarted++
	sl.state = slotRunning
	sl.running = append(sl.running, a)
	s.attempts[a.id] = a
	s.Counts.Started++
	e := StartAttempt{
		ID: a.id, Slot: i, Group: g.id, Prompt: g.prompt, Seed: s.opts.Spec.SlotSeed(i),
		MinVersion: s.minStartVersion(), ContinueFrom: continueFrom,
	}
	if partial := sl.partial; partial != nil && continueFrom == "" {
		if oldest, ok := oldestVersion(partial.Tokens, partial.Spans); ok && oldest >= e.MinVersion {
			e.Tokens, e.Text, e.Spans = partial.Tokens, partial.Text, partial.Spans
			a.tokens, a.continued, a.oldestVersion = len(partial.Tokens), len(partial.Tokens), oldest
		}
		sl.partial = nil
	}
	return e
}

// minStartVersion returns the oldest weight version that an attempt should start with: one that is expected to be
// still fresh when the attempt ends, at the pace of the trainer's versions. It does not exceed the newest known version.
func (s *Step) minStartVersion() int64 {
	minVersion := s.minFreshVersion(s.trainerVersion)
	expected := minVersion + s.pace.expectedVersions(s.stats.typical().duration)
	if s.newestVersion > 0 {
		expected = min(expected, s.newestVersion)
	}
	return max(minVersion, expected, 0)
}

// startScores starts score calls for unscored samples, at most MaxScoreCalls at a time.
func (s *Step) startScores(now time.Time) []Effect {
	var effects []Effect
	if s.opts.Spec.Scorer == "" {
		return nil
	}
	for i := range s.slots {
		if len(s.scoring) >= MaxScoreCalls {
			break
		}
		sl := &s.slots[i]
		if sl.state != slotScoring || now.Before(sl.scoreNotBefore) {
			continue
		}
		if _, running := s.scoring[sl.sampleAttempt]; running {
			continue
		}
		s.scoring[sl.sampleAttempt] = i
		effects = append(effects, StartScore{ID: sl.sampleAttempt, Prompt: s.groups[sl.group].prompt, Sample: *sl.sample})
	}
	return effects
}

// cancelAll cancels all attempts and score calls; ready samples stay.
func (s *Step) cancelAll() []Effect {
	var effects []Effect
	for _, a := range s.attempts {
		effects = append(effects, s.cancel(a))
		s.requeueIfIdle(&s.slots[a.slot])
	}
	for id := range s.scoring {
		delete(s.scoring, id)
		effects = append(effects, CancelAttempt{ID: id})
	}
	return effects
}
