package rollout

import (
	"slices"
	"time"
)

// stats describe the finished attempts of a step.
type stats struct {
	durations []time.Duration
	lengths   []int
	// perToken and firstToken are the times of one token and until the first one.
	perToken   []time.Duration
	firstToken []time.Duration
	next       int
	medians    *medians
}

// medians are kept until the next finished attempt.
type medians struct{ duration, perToken, firstToken time.Duration }

// add records an attempt that took d and made tokens.
func (st *stats) add(d time.Duration, a *attempt, tokens int, now time.Time) {
	st.medians = nil
	first, per := d, time.Duration(0)
	if !a.first.IsZero() {
		first = a.first.Sub(a.started)
	}
	if tokens > 0 {
		per = now.Sub(a.started.Add(first)) / time.Duration(tokens)
	}
	if per <= 0 {
		per = d / time.Duration(max(1, tokens))
	}
	if len(st.durations) < StatsSize {
		st.durations = append(st.durations, d)
		st.lengths = append(st.lengths, tokens)
		st.perToken = append(st.perToken, per)
		st.firstToken = append(st.firstToken, first)
		return
	}
	i := st.next % StatsSize
	st.next++
	st.durations[i], st.lengths[i], st.perToken[i], st.firstToken[i] = d, tokens, per, first
}

func median(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Clone(d)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

func (st *stats) usual() medians {
	if st.medians == nil {
		st.medians = &medians{median(st.durations), median(st.perToken), median(st.firstToken)}
	}
	return *st.medians
}

// remaining returns the expected number of tokens after the first n, of at most limit in all.
func (st *stats) remaining(n, limit int) int {
	sum, count := 0, 0
	for _, l := range st.lengths {
		if l > n {
			sum += l - n
			count++
		}
	}
	if count == 0 {
		return min(limit-n, max(1, n/2))
	}
	return min(limit-n, max(1, sum/count))
}

// hedge starts a second attempt, from the tokens so far, for each straggler whose step time is
// expected to gain more than the engine time that the second attempt costs.
func (s *Step) hedge(now time.Time) []Effect {
	if !s.opts.Hedging || len(s.stats.durations) < MinHedgeStats || now.Before(s.notBefore) || !now.Before(s.opts.Deadline) {
		return nil
	}
	usual := s.stats.usual()
	var effects []Effect
	for i := range s.slots {
		sl := &s.slots[i]
		if sl.state != slotRunning || len(sl.running) != 1 || !s.mayHedge() {
			continue
		}
		a := sl.running[0]
		left := s.stats.remaining(a.tokens, s.opts.Spec.MaxTokens)
		cost := usual.firstToken + time.Duration(left)*usual.perToken
		gain := s.timeLeft(now, a, left, usual.perToken) - cost
		if gain < MinHedgeGain || gain < cost {
			continue
		}
		s.hedges++
		s.Counts.Hedged++
		effects = append(effects, s.begin(now, i, a.id))
	}
	return effects
}

func (s *Step) mayHedge() bool {
	return s.hedges < max(MinHedges, len(s.slots)*HedgePercent/100) && len(s.attempts) < s.window.size()
}

// timeLeft estimates how long an attempt still takes for left tokens: as long again as it has been
// silent beyond the usual, and then at its own rate.
func (s *Step) timeLeft(now time.Time, a *attempt, left int, usual time.Duration) time.Duration {
	if a.tokens == 0 || a.first.IsZero() {
		return now.Sub(a.started) + time.Duration(left)*usual
	}
	own := a.last.Sub(a.started) / time.Duration(max(1, a.tokens))
	silent := now.Sub(a.last) - own
	return max(0, silent) + time.Duration(left)*max(own, usual/2)
}
