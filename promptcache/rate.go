package promptcache

import (
	"math"
	"time"
)

// Parameters of the reading rate, in tokens a millisecond.
const (
	// InitialRate is assumed before the rate is known; engines read 410 to 514 tokens a millisecond.
	InitialRate = 450.0
	// minRate and maxRate bound the learned rate, as the time to the first event depends on much else.
	minRate, maxRate = 225.0, 900.0
	// rateDecay is the factor on the weight of earlier measurements at each new one.
	rateDecay = 1 - 1.0/4000
	// minRateSamples is the weight of the measurements from which the rate is learned.
	minRateSamples = 200.0
	// maxRateError is the largest relative standard error of the time per token.
	maxRateError = 0.25
	// maxFirstEvent is the longest delay that is taken for a measurement.
	maxFirstEvent = 500 * time.Millisecond
)

// Rate learns the reading rate of a pool's engines from the time to the first event: a regression on the tokens to be read. The zero
// value knows nothing.
type Rate struct{ n, x, y, xx, xy, yy float64 }

// Observe records the time to the first event of a request whose engine had to read the given number of tokens.
func (r *Rate) Observe(tokens int, d time.Duration) {
	if d <= 0 || d > maxFirstEvent {
		return
	}
	x, y := float64(tokens), float64(d)/float64(time.Millisecond)
	for _, sum := range []struct {
		to *float64
		v  float64
	}{{&r.n, 1}, {&r.x, x}, {&r.y, y}, {&r.xx, x * x}, {&r.xy, x * y}, {&r.yy, y * y}} {
		*sum.to = *sum.to*rateDecay + sum.v
	}
}

// TokensPerMs returns the reading rate, InitialRate while the measurements don't tell it.
func (r *Rate) TokensPerMs() float64 {
	if r.n < minRateSamples {
		return InitialRate
	}
	sxx, sxy, syy := r.xx-r.x*r.x/r.n, r.xy-r.x*r.y/r.n, r.yy-r.y*r.y/r.n
	if sxx < 1 || sxy <= 0 {
		return InitialRate
	}
	slope := sxy / sxx
	if err := math.Sqrt(max(0, syy-slope*sxy) / (r.n - 2) / sxx); err > maxRateError*slope {
		return InitialRate
	}
	return min(maxRate, max(minRate, 1/slope))
}
