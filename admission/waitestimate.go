package admission

import "time"

// slidingRateBuckets is the number of buckets in the window of a slidingRate.
const slidingRateBuckets = 8

// slidingRate measures the rate of events over a sliding window of drainRateWindow.
type slidingRate struct {
	counts [slidingRateBuckets]int
	// bucket is the number of the newest bucket since the Unix epoch.
	bucket     int64
	firstEvent time.Time
}

const bucketWidth = drainRateWindow / slidingRateBuckets

func (r *slidingRate) add(now time.Time) {
	if r.firstEvent.IsZero() {
		r.firstEvent = now
		r.bucket = now.UnixNano() / int64(bucketWidth)
	}
	r.advance(now)
	r.counts[r.bucket%slidingRateBuckets]++
}

func (r *slidingRate) advance(now time.Time) {
	bucket := now.UnixNano() / int64(bucketWidth)
	for n := 0; r.bucket < bucket && n < slidingRateBuckets; n++ {
		r.bucket++
		r.counts[r.bucket%slidingRateBuckets] = 0
	}
	r.bucket = max(r.bucket, bucket)
}

// perSecond returns the events per second; 0 before the first event.
func (r *slidingRate) perSecond(now time.Time) float64 {
	if r.firstEvent.IsZero() {
		return 0
	}
	r.advance(now)
	n := 0
	for _, c := range r.counts {
		n += c
	}
	span := min(max(now.Sub(r.firstEvent), bucketWidth), drainRateWindow)
	return float64(n) / span.Seconds()
}

// expectedWait estimates the time that r would spend in the queue; 0 while the drain rate is unknown.
func (q *Queue) expectedWait(now time.Time, r Request) time.Duration {
	ahead := q.waitersAhead(r)
	if ahead == 0 {
		return 0
	}
	rate := q.drainRate.perSecond(now)
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// waitersAhead returns the number of waiters that would be served before r: all in higher classes, and those in
// its own class with a start tag no greater than that of r.
func (q *Queue) waitersAhead(r Request) int {
	n := 0
	for i := 0; i < int(r.Priority); i++ {
		n += q.classes[i].waiting
	}
	c := &q.classes[r.Priority]
	start := c.virtualTime
	if f := c.flows[r.Share]; f != nil {
		start = max(start, f.finishTag)
	}
	for _, f := range c.flows {
		for _, w := range f.waiters {
			if w.startTag <= start {
				n++
			}
		}
	}
	return n
}

// retryAfter estimates the time until the waiters ahead of r are served, multiplied by 0.5 + jitter and
// bounded by MinRetryAfter and MaxRetryAfter.
func (q *Queue) retryAfter(now time.Time, r Request, jitter float64) time.Duration {
	r.Priority = clampPriority(r.Priority)
	wait := q.expectedWait(now, r)
	if rate := q.drainRate.perSecond(now); rate > 0 {
		wait += time.Duration(float64(time.Second) / rate)
	} else {
		wait = max(wait, q.serviceTime[r.Priority])
	}
	wait = time.Duration(float64(wait) * (0.5 + jitter))
	return min(max(wait, MinRetryAfter), MaxRetryAfter)
}
