package shedding

import "time"

// Observation of the rate at which places become free.
const (
	rateBuckets = 20
	bucketTime  = 50 * time.Millisecond
	// minRateTime and minDepartures are the least time and number of places from which a rate is taken. Scoring calls take up to 200 ms: over
	// 100 ms the rate of a burst of them was seen too low, and calls were refused that had time enough.
	minRateTime   = 250 * time.Millisecond
	minDepartures = 3
)

// departures counts the places that became free in the last second. It counts from the time at which requests began to wait: before that,
// the number follows from the requests that arrived, and not from what the targets can do.
type departures struct {
	since   time.Time
	buckets [rateBuckets]int
	// newest is the start of the newest bucket, at index head.
	newest time.Time
	head   int
}

// begin starts the observation.
func (d *departures) begin(now time.Time) {
	*d = departures{since: now, newest: now}
}

func (d *departures) advance(now time.Time) {
	if now.Sub(d.newest) >= 2*rateBuckets*bucketTime { // all buckets are out of date
		d.buckets = [rateBuckets]int{}
		d.newest = now
		return
	}
	for now.Sub(d.newest) >= bucketTime {
		d.head = (d.head + 1) % rateBuckets
		d.buckets[d.head] = 0
		d.newest = d.newest.Add(bucketTime)
	}
}

func (d *departures) record(now time.Time) {
	d.advance(now)
	d.buckets[d.head]++
}

// rate returns the places that became free in a second and the time over which it was observed, which is 0 if that is not enough. While
// nothing becomes free for the whole time, the rate is that of a single place.
func (d *departures) rate(now time.Time) (perSecond float64, over time.Duration) {
	if d.since.IsZero() {
		return 0, 0
	}
	d.advance(now)
	n := 0
	for _, k := range d.buckets {
		n += k
	}
	over = min(now.Sub(d.since), (rateBuckets-1)*bucketTime+now.Sub(d.newest))
	whole := over >= (rateBuckets-1)*bucketTime
	if over < minRateTime || n < minDepartures && !whole {
		return 0, 0
	}
	return float64(max(1, n)) / over.Seconds(), over
}
