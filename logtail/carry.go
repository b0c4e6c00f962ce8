package logtail

import (
	"math/rand/v2"
	"time"
)

// Shares of the retention after which a node carries a snapshot forward; the draw between them
// spreads the nodes, so that mostly one does it.
const (
	carryMin  = 0.25
	carrySpan = 0.2
	// carryRetry is the share of the retention after which an append that was not read back is
	// made again.
	carryRetry = 0.02
	// carryLastResort is the share of the retention after which a state that may lack a change of a
	// newer format is carried forward too, since no node of the newer release does it.
	carryLastResort = 0.7
)

// Carry tells when what must outlive the retention of the log has to be appended again. It reads
// no clock.
type Carry struct {
	rng  *rand.Rand
	at   time.Time
	seen time.Time
}

// NewCarry returns a schedule whose draws come from seed.
func NewCarry(seed uint64) *Carry { return &Carry{rng: rand.New(rand.NewPCG(seed, 1))} }

// Seen tells that a snapshot was read soon after it was appended.
func (c *Carry) Seen(now time.Time, retention time.Duration) {
	c.seen = now
	c.at = now.Add(share(retention, carryMin+carrySpan*c.rng.Float64()))
}

// Due tells whether to append one now; after that it is not due again for a while.
func (c *Carry) Due(now time.Time, retention time.Duration) bool {
	if retention <= 0 {
		return false
	}
	if c.at.IsZero() { // nothing is known of the age of what was read
		c.seen = now
		c.at = now.Add(share(retention, carrySpan*c.rng.Float64()))
	}
	if now.Before(c.at) {
		return false
	}
	c.at = now.Add(share(retention, carryRetry*(1+c.rng.Float64())))
	return true
}

// LastResort tells whether nobody has appended one for so long that it is soon lost.
func (c *Carry) LastResort(now time.Time, retention time.Duration) bool {
	return retention > 0 && !c.seen.IsZero() && now.Sub(c.seen) >= share(retention, carryLastResort)
}

func share(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }
