package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_800_000_000, 0)

// takeAll asks a bucket for permits each 10 ms and returns how many callers' and background requests got.
func takeAll(b *bucket, from time.Time, d time.Duration, callers, background bool) (forCallers, forBackground int) {
	for at := from; at.Before(from.Add(d)); at = at.Add(10 * time.Millisecond) {
		if callers {
			n, _ := b.take(at, false, 1)
			forCallers += n
		}
		if background {
			n, _ := b.take(at, true, 1)
			forBackground += n
		}
	}
	return forCallers, forBackground
}

func TestBucketGrantsTheLimit(t *testing.T) {
	for _, perSecond := range []float64{0, 0.5, 1, 7.4, 60} {
		is := is.New(t)
		b := newBucket(start, perSecond, start)
		n, _ := takeAll(b, start, 100*time.Second, true, false)
		want := 100 * max(minPerSecond, perSecond)
		is.True(float64(n) >= 0.95*want-1)
		is.True(float64(n) <= want+max(minBurst, burstTime.Seconds()*perSecond)+1)
	}
}

func TestBackgroundRequestsYieldToCallersButAreNotStarved(t *testing.T) {
	is := is.New(t)
	b := newBucket(start, 10, start)
	callers, background := takeAll(b, start, 20*time.Second, true, true)
	is.True(callers > background) // callers come first
	is.True(background >= 200/backgroundMinShare-10)
	b = newBucket(start, 10, start)
	_, alone := takeAll(b, start, 20*time.Second, false, true)
	is.True(alone >= 190) // nobody else wants the permits
}

func TestBucketTellsWhenToRetry(t *testing.T) {
	is := is.New(t)
	b := newBucket(start, 2, start)
	granted, retryAfter := b.take(start, false, 10)
	is.True(granted > 0 && granted < 10)
	n, _ := b.take(start.Add(retryAfter-time.Millisecond), false, 1)
	is.Equal(n, 0)
	n, _ = b.take(start.Add(retryAfter), false, 1)
	is.Equal(n, 1)
}

func TestNewestLimitPaces(t *testing.T) {
	is := is.New(t)
	b := newBucket(start, 0.2, start)
	b.take(start, false, 10)
	b.setLimit(start, 50, start.Add(-time.Second))
	is.Equal(b.perSecond, 0.2) // an older statement
	b.setLimit(start, 50, start.Add(time.Second))
	n, _ := takeAll(b, start.Add(time.Second), time.Second, true, false)
	is.True(n >= 45)
}
