package rollout

import (
	"fmt"
	"time"
)

// start begins attempts and score calls as far as the bounds allow.
func (s *Step) start(now time.Time) []Effect {
	if !now.Before(s.opts.Deadline) {
		return s.expire()
	}
	effects := s.startScores(now)
	if now.Before(s.notBefore) {
		return effects
	}
	return append(effects, s.startPending(now)...)
}

// startPending starts slots in the order of their groups, so that groups become whole one after
// another and their prompts stay in the engines' caches.
func (s *Step) startPending(now time.Time) []Effect {
	var effects []Effect
	for s.open < len(s.slots) && s.slots[s.open].state == slotHeld {
		s.open++
	}
	for i := s.open; i < len(s.slots); i++ {
		sl := &s.slots[i]
		if sl.state != slotPending || now.Before(sl.notBefore) {
			continue
		}
		if len(s.attempts) >= s.window.size() {
			break
		}
		effects = append(effects, s.begin(now, i, ""))
	}
	return effects
}

// begin starts an attempt on slot i, which continues the running attempt from if that is set.
func (s *Step) begin(now time.Time, i int, from AttemptID) StartAttempt {
	sl := &s.slots[i]
	g := s.groups[sl.group]
	a := &attempt{
		id:   AttemptID(fmt.Sprintf("%s-%d-%d", s.opts.Prefix, i, sl.started)),
		slot: i, started: now,
	}
	if f := s.attempts[from]; f != nil {
		a.tokens, a.continued, a.oldest = f.tokens, f.tokens, f.oldest
	}
	sl.started++
	sl.state = slotRunning
	sl.running = append(sl.running, a)
	s.attempts[a.id] = a
	s.Counts.Started++
	e := StartAttempt{
		ID: a.id, Slot: i, Group: g.id, Prompt: g.prompt, Seed: s.opts.Spec.SlotSeed(i),
		MinVersion: s.minVersion(), From: from,
	}
	if r := sl.resume; r != nil && from == "" {
		if oldest, ok := oldestVersion(r.Tokens, r.Spans); ok && oldest >= e.MinVersion {
			e.Tokens, e.Text, e.Spans = r.Tokens, r.Text, r.Spans
			a.tokens, a.continued, a.oldest = len(r.Tokens), len(r.Tokens), oldest
		}
		sl.resume = nil
	}
	return e
}

// minVersion is the oldest version worth starting with: what will still be fresh when the trainer
// has moved on as far as it is expected to by the end of an attempt.
func (s *Step) minVersion() int64 {
	need := s.need(s.version)
	ahead := need + s.pace.advance(s.stats.usual().duration)
	if s.newest > 0 {
		ahead = min(ahead, s.newest)
	}
	return max(need, ahead, 0)
}

// startScores starts score calls for samples that wait for one.
func (s *Step) startScores(now time.Time) []Effect {
	var effects []Effect
	if s.opts.Spec.Scorer == "" {
		return nil
	}
	for i := range s.slots {
		if len(s.scoring) >= MaxScoring {
			break
		}
		sl := &s.slots[i]
		if sl.state != slotScoring || now.Before(sl.scoreAt) {
			continue
		}
		if _, running := s.scoring[sl.attempt]; running {
			continue
		}
		s.scoring[sl.attempt] = i
		effects = append(effects, StartScore{ID: sl.attempt, Prompt: s.groups[sl.group].prompt, Sample: *sl.sample})
	}
	return effects
}

// expire cancels everything that runs past the deadline; what is ready stays.
func (s *Step) expire() []Effect {
	var effects []Effect
	for _, a := range s.attempts {
		effects = append(effects, s.cancel(a))
		s.settle(&s.slots[a.slot])
	}
	for id := range s.scoring {
		delete(s.scoring, id)
		effects = append(effects, CancelAttempt{ID: id})
	}
	return effects
}
