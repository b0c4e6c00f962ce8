package rollout

import (
	"slices"
	"time"
)

// finished is what is kept of a finished attempt.
type finished struct {
	duration time.Duration
	// wait is the time until the first token, perToken the time of each further one.
	wait     time.Duration
	perToken time.Duration
	tokens   int
}

// stats describe the last finished attempts, in a ring.
type stats struct {
	last []finished
	next int
	// kept are the medians until the next finished attempt.
	kept *medians
}

// medians describe the usual attempt.
type medians struct{ duration, wait, perToken time.Duration }

func (st *stats) clone() stats {
	return stats{last: slices.Clone(st.last), next: st.next}
}

// add records an attempt that ended at now with tokens, of which continued came from another one.
func (st *stats) add(now time.Time, a *attempt, tokens, continued int) {
	made := max(1, tokens-continued)
	f := finished{duration: now.Sub(a.started), wait: a.waited(), tokens: tokens}
	if f.wait == 0 || f.wait > f.duration {
		f.wait = f.duration / time.Duration(made+1)
	}
	f.perToken = (f.duration - f.wait) / time.Duration(max(1, made-1))
	st.kept = nil
	if len(st.last) < StatsSize {
		st.last = append(st.last, f)
		return
	}
	st.last[st.next%StatsSize] = f
	st.next++
}

// waited returns the time until the first token; 0 while there is none.
func (a *attempt) waited() time.Duration {
	if a.first.IsZero() {
		return 0
	}
	return a.first.Sub(a.started)
}

func (st *stats) usual() medians {
	if st.kept == nil {
		st.kept = &medians{
			duration: st.median(func(f finished) time.Duration { return f.duration }),
			wait:     st.median(func(f finished) time.Duration { return f.wait }),
			perToken: st.median(func(f finished) time.Duration { return f.perToken }),
		}
	}
	return *st.kept
}

func (st *stats) median(of func(finished) time.Duration) time.Duration {
	if len(st.last) == 0 {
		return 0
	}
	d := make([]time.Duration, len(st.last))
	for i, f := range st.last {
		d[i] = of(f)
	}
	slices.Sort(d)
	return d[len(d)/2]
}

// remaining returns the expected number of tokens after the first n, of at most limit in all.
func (st *stats) remaining(n, limit int) int {
	sum, count := 0, 0
	for _, f := range st.last {
		if f.tokens > n {
			sum += f.tokens - n
			count++
		}
	}
	if count == 0 {
		return max(1, min(limit-n, max(1, n/2)))
	}
	return max(1, min(limit-n, sum/count))
}
