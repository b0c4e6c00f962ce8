package rollout

import (
	"slices"
	"time"
)

// finishedAttempt holds the timings of a finished attempt.
type finishedAttempt struct {
	duration time.Duration
	// firstTokenWait is the time until the first token, timePerToken the mean time of each further one.
	firstTokenWait time.Duration
	timePerToken   time.Duration
	tokens         int
}

// stats holds the last MaxRecentAttempts finished attempts in a ring buffer.
type stats struct {
	recent []finishedAttempt
	next   int
	// cached holds the medians until the next attempt is added.
	cached *medians
}

// medians holds the median timings of the recent attempts, which describe a typical attempt.
type medians struct{ duration, firstTokenWait, timePerToken time.Duration }

func (st *stats) clone() stats {
	return stats{recent: slices.Clone(st.recent), next: st.next}
}

// add records an attempt that ended at now; continued of its tokens came from an earlier attempt.
func (st *stats) add(now time.Time, a *attempt, tokens, continued int) {
	generated := max(1, tokens-continued)
	f := finishedAttempt{duration: now.Sub(a.startedAt), firstTokenWait: a.firstTokenWait(), tokens: tokens}
	if f.firstTokenWait == 0 || f.firstTokenWait > f.duration {
		f.firstTokenWait = f.duration / time.Duration(generated+1)
	}
	f.timePerToken = (f.duration - f.firstTokenWait) / time.Duration(max(1, generated-1))
	st.cached = nil
	if len(st.recent) < MaxRecentAttempts {
		st.recent = append(st.recent, f)
		return
	}
	st.recent[st.next%MaxRecentAttempts] = f
	st.next++
}

// firstTokenWait returns the time until the first token, or 0 if there is none yet.
func (a *attempt) firstTokenWait() time.Duration {
	if a.firstTokenAt.IsZero() {
		return 0
	}
	return a.firstTokenAt.Sub(a.startedAt)
}

func (st *stats) typical() medians {
	if st.cached == nil {
		st.cached = &medians{
			duration:       st.median(func(f finishedAttempt) time.Duration { return f.duration }),
			firstTokenWait: st.median(func(f finishedAttempt) time.Duration { return f.firstTokenWait }),
			timePerToken:   st.median(func(f finishedAttempt) time.Duration { return f.timePerToken }),
		}
	}
	return *st.cached
}

func (st *stats) median(value func(finishedAttempt) time.Duration) time.Duration {
	if len(st.recent) == 0 {
		return 0
	}
	d := make([]time.Duration, len(st.recent))
	for i, f := range st.recent {
		d[i] = value(f)
	}
	slices.Sort(d)
	return d[len(d)/2]
}

// remainingTokens estimates how many tokens follow after the first n, for an answer of at most limit tokens.
func (st *stats) remainingTokens(n, limit int) int {
	sum, count := 0, 0
	for _, f := range st.recent {
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
