package ratelimit

import "time"

// Pacing of the requests to one target.
const (
	// minPerSecond is the rate at which a target that names a lower limit, such as 0, still gets requests. Its answers to
	// them show when the limit is lifted.
	minPerSecond = 0.2
	// burstTime and minBurst bound the requests that may be sent ahead of the pace, as the larger of a time and a number.
	burstTime = 500 * time.Millisecond
	minBurst  = 2
	// backgroundBurstDivisor is the divisor of the burst that is left to background requests, so that callers' requests find
	// permits while others wait.
	backgroundBurstDivisor = 2
	// backgroundMinShare is the part of the permits that is left to background requests while callers' requests could use up all:
	// one in so many.
	backgroundMinShare = 4
)

// bucket paces the requests to one target by the generic cell rate algorithm. The zero value is not valid.
type bucket struct {
	perSecond float64
	// statedAt is when the target named perSecond.
	statedAt time.Time
	// next is when the next request is due at the pace of the limit.
	next time.Time
	// lastBackground is when a background request got a permit, backgroundWaits whether one was denied a permit since.
	lastBackground  time.Time
	backgroundWaits bool
	usedAt          time.Time
}

// newBucket returns a bucket without a burst: another VM may have paced the target until now.
func newBucket(now time.Time, perSecond float64, statedAt time.Time) *bucket {
	b := &bucket{perSecond: max(minPerSecond, perSecond), statedAt: statedAt, lastBackground: now}
	b.next = now.Add(b.interval())
	return b
}

// setLimit applies a limit that the target named, unless a newer one is known.
func (b *bucket) setLimit(now time.Time, perSecond float64, statedAt time.Time) {
	if statedAt.Before(b.statedAt) {
		return
	}
	b.perSecond, b.statedAt = max(minPerSecond, perSecond), statedAt
	if latest := now.Add(b.burst() + b.interval()); b.next.After(latest) {
		b.next = latest // the limit was much lower before
	}
}

// interval returns the time between two requests.
func (b *bucket) interval() time.Duration { return time.Duration(float64(time.Second) / b.perSecond) }

// burst returns how far the requests may be ahead of their pace.
func (b *bucket) burst() time.Duration { return max(burstTime, minBurst*b.interval()) }

// take takes up to count permits and returns their number. If it is less than count, retryAfter is the time until the next one.
func (b *bucket) take(now time.Time, background bool, count int) (granted int, retryAfter time.Duration) {
	b.usedAt = now
	if b.next.Before(now) {
		b.next = now
	}
	for ; granted < count; granted++ {
		burst := b.burst()
		switch overdue := now.Sub(b.lastBackground) >= backgroundMinShare*b.interval(); {
		case background && !overdue:
			burst /= backgroundBurstDivisor
		case !background && overdue && b.backgroundWaits:
			burst -= b.interval() // one permit is kept for the background request
		}
		if ahead := b.next.Sub(now); ahead > burst {
			b.backgroundWaits = b.backgroundWaits || background
			return granted, ahead - burst
		}
		b.next = b.next.Add(b.interval())
		if background {
			b.lastBackground, b.backgroundWaits = now, false
		}
	}
	return granted, 0
}
