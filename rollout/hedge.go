package rollout

import (
	"cmp"
	"slices"
	"time"
)

// rateInterval is the least time over which an attempt's rate is told.
const rateInterval = 100 * time.Millisecond

// straggler is a running slot with its estimates.
type straggler struct {
	slot int
	a    *attempt
	// left is how long the slot takes as it runs now; again is how long a further attempt takes
	// that goes on from its tokens.
	left, again time.Duration
}

// hedge starts a further attempt, from the tokens so far, for each straggler whose step time is
// expected to gain more than the engine time that the attempt costs.
//
// The gain in step time is what the straggler takes beyond both the further attempt and the rest of
// the step: as long as others take as long anyway, there is nothing to gain.
func (s *Step) hedge(now time.Time) []Effect {
	if !s.opts.Hedging || len(s.stats.last) < max(MinHedgeStats, len(s.slots)*MinHedgeStatsPercent/100) || now.Before(s.notBefore) || !now.Before(s.opts.Deadline) {
		return nil
	}
	running, pending := s.stragglers(now)
	var effects []Effect
	for i, st := range running {
		if !s.mayHedge() {
			break
		}
		rest := s.restTime(running[i+1:], pending)
		gain := st.left - max(st.again, rest)
		if gain < MinHedgeGain || gain < st.again {
			continue
		}
		effects = append(effects, s.hedgeSlot(now, st)...)
	}
	return effects
}

// stragglers returns the running slots, the longest left first, and the number of slots to be started.
func (s *Step) stragglers(now time.Time) (running []straggler, pending int) {
	usual := s.stats.usual()
	queueing := s.queueing()
	for i := range s.slots {
		sl := &s.slots[i]
		switch sl.state {
		case slotPending:
			pending++
		case slotRunning:
			st := straggler{slot: i}
			if queueing && sl.silent() {
				pending++
				continue
			}
			for _, a := range sl.running {
				tokens := s.stats.remaining(a.tokens, s.opts.Spec.MaxTokens)
				if left := s.timeLeft(now, a, tokens, usual); st.a == nil || left < st.left {
					st.a, st.left = a, left
					st.again = usual.wait + time.Duration(tokens)*usual.perToken
				}
			}
			running = append(running, st)
		}
	}
	slices.SortFunc(running, func(a, b straggler) int { return cmp.Compare(b.left, a.left) })
	return running, pending
}

// silent tells whether no attempt on the slot has made a token yet.
func (sl *slot) silent() bool {
	for _, a := range sl.running {
		if !a.first.IsZero() {
			return false
		}
	}
	return true
}

// queueing tells whether so many attempts wait for their first token that they wait for a place,
// not for a target that is stuck.
func (s *Step) queueing() bool {
	silent := 0
	for _, a := range s.attempts {
		if a.first.IsZero() {
			silent++
		}
	}
	return silent > max(MaxStuck, len(s.attempts)*MaxStuckPercent/100)
}

// restTime estimates how long the step takes without its stragglers: the pending slots, and the
// slots that run as usual.
func (s *Step) restTime(others []straggler, pending int) time.Duration {
	usual := s.stats.usual()
	rest := time.Duration(0)
	for _, o := range others {
		if o.left <= 2*o.again {
			rest = o.left
			break
		}
	}
	waves := time.Duration((pending + s.window.size() - 1) / max(1, s.window.size()))
	return max(rest, waves*usual.duration)
}

// hedgeSlot starts a further attempt on a slot. Of three attempts the one that is behind is given up.
func (s *Step) hedgeSlot(now time.Time, st straggler) []Effect {
	var effects []Effect
	sl := &s.slots[st.slot]
	if len(sl.running) >= MaxAttemptsPerSlot {
		behind := slices.MinFunc(sl.running, func(a, b *attempt) int { return cmp.Compare(a.tokens, b.tokens) })
		if behind == st.a || now.Sub(st.a.started) < 2*st.again {
			return nil
		}
		effects = append(effects, s.cancel(behind))
	}
	s.hedges++
	s.Counts.Hedged++
	return append(effects, s.begin(now, st.slot, st.a.id))
}

func (s *Step) mayHedge() bool {
	return s.hedges < max(MinHedges, len(s.slots)*HedgePercent/100) && len(s.attempts) < s.window.size()
}

// timeLeft estimates how long an attempt still takes for tokens: as long again as it has been silent
// beyond the usual, and then at its own rate.
func (s *Step) timeLeft(now time.Time, a *attempt, tokens int, usual medians) time.Duration {
	made := a.tokens - a.continued
	if made <= 0 || a.first.IsZero() {
		return max(0, now.Sub(a.started)-usual.wait) + usual.wait + time.Duration(tokens)*usual.perToken
	}
	own := a.recentPerToken(now, usual.perToken)
	silent := max(0, now.Sub(a.last)-2*own-TickInterval)
	return silent + time.Duration(tokens)*max(own, usual.perToken/2)
}

// remember keeps marks of the attempt's progress, so that its rate can be told of late.
func (a *attempt) remember() {
	if a.mark.at.IsZero() {
		a.before, a.mark = progressMark{a.first, a.continued + 1}, progressMark{a.last, a.tokens}
		return
	}
	if a.last.Sub(a.mark.at) >= rateInterval {
		a.before, a.mark = a.mark, progressMark{a.last, a.tokens}
	}
}

// recentPerToken returns the time of a token since the earlier mark.
func (a *attempt) recentPerToken(now time.Time, usual time.Duration) time.Duration {
	made := a.tokens - a.before.tokens
	if made <= 0 {
		return max(usual, now.Sub(a.before.at))
	}
	return a.last.Sub(a.before.at) / time.Duration(made)
}
