// Package retry decides whether and when a request is retried: within a budget that is a share of the traffic, with a
// fully jittered exponential backoff, and never past the deadline. It does no I/O.
package retry

import "time"

// Limits of retries.
const (
	// DefaultPercent is the number of retries per hundred requests of a route that sets none.
	DefaultPercent = 10
	// maxTokens is the number of retries that a full budget allows at once.
	maxTokens = 64
	// refillPerSecond is added to the budget in retries per second, so that routes with little traffic can retry too.
	refillPerSecond = 0.5
	// MaxAttempts is the maximum number of attempts of one request.
	MaxAttempts = 8
	// BaseBackoff is the maximum wait before the first retry; it doubles with each attempt up to MaxBackoff.
	BaseBackoff = 20 * time.Millisecond
	MaxBackoff  = 1 * time.Second
)

// Budget is the retry budget of one route, a token bucket with one token per retry. It is not safe for concurrent use.
type Budget struct {
	percent    int
	tokens     float64
	refilledAt time.Time
}

// NewBudget returns a full budget of percent retries per hundred requests; 0 means DefaultPercent.
func NewBudget(percent int) *Budget {
	b := &Budget{tokens: maxTokens}
	b.SetPercent(percent)
	return b
}

// SetPercent sets the number of retries per hundred requests; 0 means DefaultPercent.
func (b *Budget) SetPercent(percent int) {
	if percent <= 0 {
		percent = DefaultPercent
	}
	b.percent = percent
}

// AddRequest counts a request and adds percent/100 retries to the budget.
func (b *Budget) AddRequest(now time.Time) {
	b.refill(now)
	b.tokens = min(maxTokens, b.tokens+float64(b.percent)/100)
}

// Spend takes one retry from the budget. It returns false if the budget is exhausted.
func (b *Budget) Spend(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.tokens = min(maxTokens, b.tokens+refillPerSecond*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
}

// Tokens returns the number of retries left in the budget. It excludes the refill since the budget was last used.
func (b *Budget) Tokens() float64 { return b.tokens }

// Backoff returns the wait before the retry that follows the given attempt (counted from 1); jitter is a random number in
// [0,1). It returns false if the wait would reach the deadline; a zero deadline means none.
func Backoff(now, deadline time.Time, attempt int, jitter float64) (time.Duration, bool) {
	ceiling := MaxBackoff
	if attempt < 8 {
		ceiling = min(MaxBackoff, BaseBackoff<<max(0, attempt-1))
	}
	d := time.Duration(jitter * float64(ceiling))
	if !deadline.IsZero() && !now.Add(d).Before(deadline) {
		return 0, false
	}
	return d, true
}
