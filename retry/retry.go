// Package retry decides whether and when a request is sent again: from a budget that is a share
// of the traffic, with full jitter, never past the deadline. It does no I/O.
package retry

import "time"

// Bounds of retries.
const (
	// DefaultPercent is the share of retries in the traffic of a route that sets none.
	DefaultPercent = 10
	// maxTokens is the number of retries that a quiet route may spend at once.
	maxTokens = 64
	// refillPerSecond lets a route with little traffic retry at all, in retries a second.
	refillPerSecond = 0.5
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts = 8
	// BaseBackoff and MaxBackoff bound the wait before a retry.
	BaseBackoff = 20 * time.Millisecond
	MaxBackoff  = 1 * time.Second
)

// Budget is the retry budget of one route.
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

// SetPercent changes the share.
func (b *Budget) SetPercent(percent int) {
	if percent <= 0 {
		percent = DefaultPercent
	}
	b.percent = percent
}

// Request earns the share of one request.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	b.tokens = min(maxTokens, b.tokens+float64(b.percent)/100)
}

// Spend takes one retry from the budget, or returns false.
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

// Tokens returns the retries that are left.
func (b *Budget) Tokens() float64 { return b.tokens }

// Backoff returns the wait before the retry after attempt (from 1), drawn by jitter in [0,1). It
// returns false if the wait would pass the deadline.
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
