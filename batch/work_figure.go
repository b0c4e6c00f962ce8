package batch

import "time"

// Limits of load figures.
const (
	// workFigureTTL is the time in which the effect of a load figure falls to nothing: it changes many times a second.
	workFigureTTL = time.Second
	// minWorkPercent and maxWorkPercent are the limits of plausible figures; others are ignored.
	minWorkPercent, maxWorkPercent = 20, 2000
	// maxWorkScale and its inverse bound the effect of a figure on the expected event interval.
	maxWorkScale = 4.0
	// maxSlowdown bounds the factor on the time that an engine with a high figure gets for an event.
	maxSlowdown = 3.0
)

// workFigure is the load figure that an engine reports: how long work takes on its machine now.
type workFigure struct {
	// percent was reported at reportedAt; 0 if there was none.
	percent    float64
	reportedAt time.Time
	// reference is the average of the figures at the times of the measured event intervals.
	reference float64
}

// report records a figure, in percent of the usual time; 0 if the engine tells none. measured is set if event intervals were measured
// before.
func (w *workFigure) report(now time.Time, percent int, measured bool) {
	if percent < minWorkPercent || percent > maxWorkPercent {
		return
	}
	if w.reference == 0 {
		w.reference = 100
		if measured {
			w.reference = float64(percent)
		}
	}
	w.percent, w.reportedAt = float64(percent), now
}

// observed records that an event interval was measured, which then shows the effect of the latest figure.
func (w *workFigure) observed() {
	if w.percent > 0 {
		w.reference += intervalGain * (w.percent - w.reference)
	}
}

// scale returns the interval that is expected now if the measured one is d. The effect of a figure decays with its age, and with
// measurements that show it.
func (w *workFigure) scale(now time.Time, d time.Duration) time.Duration {
	weight := w.weight(now)
	if weight == 0 {
		return d
	}
	ratio := min(maxWorkScale, max(1/maxWorkScale, w.percent/w.reference))
	return time.Duration(float64(d) * (1 + weight*(ratio-1)))
}

// weight returns the weight of the figure by its age, from 1 (new) to 0.
func (w *workFigure) weight(now time.Time) float64 {
	if w.percent == 0 {
		return 0
	}
	return min(1, max(0, 1-float64(now.Sub(w.reportedAt))/float64(workFigureTTL)))
}

// slowdown returns the factor on the time that the engine gets for an event, at least 1, so that a slow machine does not count as failed.
func (w *workFigure) slowdown(now time.Time) float64 {
	if w.weight(now) == 0 {
		return 1
	}
	return min(maxSlowdown, max(1, w.percent/100))
}
