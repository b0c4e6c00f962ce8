package scaling

import (
	"math"
	"slices"
	"time"
)

// Estimate of the slots that the open work needs.
const (
	// timeStep is the resolution of the estimate, horizonSteps its length in steps.
	timeStep     = 100 * time.Millisecond
	horizonSteps = 300
	// dueMargin is kept between the expected end of an item and the time at which its result is due: the item has to be scored and its
	// result has to be written to the log.
	dueMargin = 1500 * time.Millisecond
	// runTimeFactor allows for estimates of callers that are too low.
	runTimeFactor = 1.2
	// overdueGrace is the time in which items are to end that are due already.
	overdueGrace = 3 * time.Second
)

// requiredSlots returns the smallest number of slots, up to limit, on which all open items end in time. Running items count like waiting
// ones: they occupy as many slots as there are, which says nothing about how many they need.
func requiredSlots(open []Work, limit int) int {
	type item struct{ latestStart, length int }
	items := make([]item, 0, len(open))
	for _, w := range open {
		run := time.Duration(runTimeFactor * float64(w.Remaining))
		due := w.Due - dueMargin
		if w.Due < 0 {
			due = overdueGrace
		}
		items = append(items, item{
			latestStart: min(max(0, int((due-run)/timeStep)), horizonSteps-1), length: max(1, int((run+timeStep-1)/timeStep)),
		})
	}
	slices.SortFunc(items, func(a, b item) int { return a.latestStart - b.latestStart })
	// fits reports whether each item starts in time if the most urgent one always gets the next free slot.
	fits := func(slots int) bool {
		var free [horizonSteps]int
		free[0] = slots
		now := 0
		for _, it := range items {
			for now < horizonSteps && free[now] == 0 {
				now++
			}
			if now > it.latestStart {
				return false
			}
			free[now]--
			if end := now + it.length; end < horizonSteps {
				free[end]++
			}
		}
		return true
	}
	low, high := 0, min(limit, len(items))
	for low < high {
		if mid := (low + high) / 2; fits(mid) {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return low
}

// needSlots returns the number of slots that the load needs, up to limit. busy is the mean number of slots that items occupied.
func needSlots(l *Load, busy float64, limit int) int {
	// The open items tell what has arrived already, the means what will arrive next.
	mean := int(math.Ceil(max(l.ArrivingSlots, busy)))
	return min(limit, max(requiredSlots(l.Open, limit), mean)+l.OtherSlots)
}

// movingMean is a mean that forgets old values.
type movingMean struct {
	at    time.Time
	value float64
}

// meanTime is the time constant of a movingMean: a trainer's steps come every few seconds.
const meanTime = 6 * time.Second

// add records a value that has lasted since the last one, and returns the mean.
func (m *movingMean) add(now time.Time, value float64) float64 {
	if !m.at.IsZero() {
		m.value += (1 - math.Exp(-now.Sub(m.at).Seconds()/meanTime.Seconds())) * (value - m.value)
	}
	m.at = now
	return m.value
}

// peaks keeps the maximum of each second of peakWindow.
type peaks struct {
	at    time.Time // of the first observation
	slots map[int64]int
}

// peakWindow is the time over which the largest need is remembered. Scaling down needs a history of that length.
const peakWindow = 2 * time.Minute

// add records a need and returns the maximum in the window.
func (p *peaks) add(now time.Time, need int) int {
	if p.slots == nil {
		p.slots, p.at = map[int64]int{}, now
	}
	s := now.Unix()
	p.slots[s] = max(p.slots[s], need)
	highest := 0
	for k, v := range p.slots {
		if s-k > int64(peakWindow/time.Second) {
			delete(p.slots, k)
			continue
		}
		highest = max(highest, v)
	}
	return highest
}

// complete reports whether the observations cover the window.
func (p *peaks) complete(now time.Time) bool { return p.slots != nil && now.Sub(p.at) >= peakWindow }
