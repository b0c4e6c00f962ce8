package rollout

import (
	"cmp"
	"slices"
	"time"
)

// markInterval is the minimum time between two progress marks, from which an attempt's token rate is computed.
const markInterval = 100 * time.Millisecond

// straggler is a running slot with estimates of its remaining time.
type straggler struct {
	slot    int
	attempt *attempt
	// remaining is the estimated time until attempt ends; hedgeTime is the estimated duration of a new attempt
	// that continues from its tokens.
	remaining, hedgeTime time.Duration
}

// hedge starts a second attempt on a straggler, continuing from its tokens, if the step is expected to end
// earlier by at least MinHedgeGain and by no less than the engine time that the new attempt costs.
//
// The gain is the time that the straggler takes beyond both the new attempt and the rest of the step:
// if other slots take as long anyway, a hedge gains nothing.
func (s *Step) hedge(now time.Time) []Effect {
	if !s.opts.Hedging || len(s.stats.recent) < max(MinHedgeFinished, len(s.slots)*MinHedgeFinishedPercent/100) || now.Before(s.notBefore) || !now.Before(s.opts.Deadline) {
		return nil
	}
	running, pending := s.stragglers(now)
	var effects []Effect
	for i, st := range running {
		if !s.mayHedge() {
			break
		}
		others := s.timeOfOthers(running[i+1:], pending)
		gain := st.remaining - max(st.hedgeTime, others)
		if gain < MinHedgeGain || gain < st.hedgeTime {
			continue
		}
		effects = append(effects, s.hedgeSlot(now, st)...)
	}
	return effects
}

// stragglers returns the running slots, longest remaining time first, and the number of slots that still have to
// start. While the pool is queueing, slots without a token count as not started.
func (s *Step) stragglers(now time.Time) (running []straggler, pending int) {
	typical := s.stats.typical()
	queueing := s.poolQueueing()
	for i := range s.slots {
		sl := &s.slots[i]
		switch sl.state {
		case slotPending:
			pending++
		case slotRunning:
			st := straggler{slot: i}
			if queueing && sl.awaitsFirstToken() {
				pending++
				continue
			}
			for _, a := range sl.running {
				tokens := s.stats.remainingTokens(a.tokens, s.opts.Spec.MaxTokens)
				if remaining := s.estimateRemaining(now, a, tokens, typical); st.attempt == nil || remaining < st.remaining {
					st.attempt, st.remaining = a, remaining
					st.hedgeTime = typical.firstTokenWait + time.Duration(tokens)*typical.timePerToken
				}
			}
			running = append(running, st)
		}
	}
	slices.SortFunc(running, func(a, b straggler) int { return cmp.Compare(b.remaining, a.remaining) })
	return running, pending
}

// awaitsFirstToken reports whether no attempt on the slot has produced a token yet.
func (sl *slot) awaitsFirstToken() bool {
	for _, a := range sl.running {
		if !a.firstTokenAt.IsZero() {
			return false
		}
	}
	return true
}

// poolQueueing reports whether so many attempts wait for their first token that the cause is queueing in the
// pool rather than a stuck target.
func (s *Step) poolQueueing() bool {
	waiting := 0
	for _, a := range s.attempts {
		if a.firstTokenAt.IsZero() {
			waiting++
		}
	}
	return waiting > max(MaxStuckAttempts, len(s.attempts)*MaxStuckPercent/100)
}

// timeOfOthers estimates how long the rest of the step takes: the pending slots, and the longest of the
// running slots that would not end much earlier with a new attempt.
func (s *Step) timeOfOthers(others []straggler, pending int) time.Duration {
	typical := s.stats.typical()
	longest := time.Duration(0)
	for _, o := range others {
		if o.remaining <= 2*o.hedgeTime {
			longest = o.remaining
			break
		}
	}
	waves := time.Duration((pending + s.window.size() - 1) / max(1, s.window.size()))
	return max(longest, waves*typical.duration)
}

// hedgeSlot starts a further attempt on a slot. If the slot already has MaxAttemptsPerSlot attempts, the one with
// the fewest tokens is cancelled first.
func (s *Step) hedgeSlot(now time.Time, st straggler) []Effect {
	var effects []Effect
	sl := &s.slots[st.slot]
	if len(sl.running) >= MaxAttemptsPerSlot {
		slowest := slices.MinFunc(sl.running, func(a, b *attempt) int { return cmp.Compare(a.tokens, b.tokens) })
		if slowest == st.attempt || now.Sub(st.attempt.startedAt) < 2*st.hedgeTime {
			return nil
		}
		effects = append(effects, s.cancel(slowest))
	}
	s.hedges++
	s.Counts.Hedged++
	return append(effects, s.startAttempt(now, st.slot, st.attempt.id))
}

func (s *Step) mayHedge() bool {
	return s.hedges < max(MinHedges, len(s.slots)*HedgePercent/100) && len(s.attempts) < s.window.size()
}

// estimateRemaining estimates how long an attempt takes for the given number of further tokens: a stall is
// expected to last as long again as it has lasted so far, and the tokens then arrive at the attempt's recent
// rate, or at the typical rate if it has no token yet.
func (s *Step) estimateRemaining(now time.Time, a *attempt, tokens int, typical medians) time.Duration {
	generated := a.tokens - a.continued
	if generated <= 0 || a.firstTokenAt.IsZero() {
		return max(0, now.Sub(a.startedAt)-typical.firstTokenWait) + typical.firstTokenWait + time.Duration(tokens)*typical.timePerToken
	}
	perToken := a.recentPerToken(now, typical.timePerToken)
	stalled := max(0, now.Sub(a.lastTokenAt)-2*perToken-TickInterval)
	return stalled + time.Duration(tokens)*max(perToken, typical.timePerToken/2)
}

// recordMark updates the two progress marks from which recentPerToken computes the recent token rate.
func (a *attempt) recordMark() {
	if a.lastMark.at.IsZero() {
		a.prevMark, a.lastMark = progressMark{a.firstTokenAt, a.continued + 1}, progressMark{a.lastTokenAt, a.tokens}
		return
	}
	if a.lastTokenAt.Sub(a.lastMark.at) >= markInterval {
		a.prevMark, a.lastMark = a.lastMark, progressMark{a.lastTokenAt, a.tokens}
	}
}

// recentPerToken returns the mean time per token since the earlier mark.
func (a *attempt) recentPerToken(now time.Time, typical time.Duration) time.Duration {
	generated := a.tokens - a.prevMark.tokens
	if generated <= 0 {
		return max(typical, now.Sub(a.prevMark.at))
	}
	return a.lastTokenAt.Sub(a.prevMark.at) / time.Duration(generated)
}
