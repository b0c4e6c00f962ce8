package load

import (
	"expvar"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fake/engine"
)

// binLength is the resolution of a run's time line.
const binLength = 250 * time.Millisecond

// Bounds of what counts as normal after a fault.
const (
	normalShare = 0.95 // of all calls on time, in each bin
	normalBins  = 3    // in a row
)

// Bin is a part of a run's time line, by the intended start of calls.
type Bin struct {
	Seconds float64 `json:"seconds"`
	Calls   int     `json:"calls"`
	OnTime  int     `json:"on_time"`
	Refused int     `json:"refused"`
	// First and FirstOnTime count calls of the first class.
	First       int `json:"first"`
	FirstOnTime int `json:"first_on_time"`
	// Samples were delivered in steps that ended in the bin.
	Samples int `json:"samples"`
}

// metrics sums a run up. Names end in their unit.
func (s *session) metrics() map[string]float64 {
	m := map[string]float64{}
	s.stepMetrics(m)
	s.callMetrics(m)
	s.engineMetrics(m)
	s.gateMetrics(m)
	s.weightMetrics(m)
	if end, ok := s.lastFaultEnd(); ok {
		m["recovery_s"] = s.recovery(end)
	}
	return m
}

func (s *session) stepMetrics(m map[string]float64) {
	var steps, whole, samples int
	var idle, seconds, staleness, longest float64
	for _, t := range s.trainers {
		for _, r := range t.steps {
			steps++
			samples += r.Samples
			idle += r.Idle
			staleness += r.Staleness
			if r.Whole {
				whole++
				seconds += r.Seconds
				longest = max(longest, r.Seconds)
			}
		}
	}
	if steps == 0 {
		return
	}
	m["steps"] = float64(whole)
	m["samples_per_s"] = float64(samples) / s.x.length().Seconds()
	m["idle_share"] = idle / (s.x.length().Seconds() * float64(len(s.trainers)))
	if samples > 0 {
		m["idle_ms_per_sample"] = 1000 * idle / float64(samples)
		m["staleness_versions"] = staleness / float64(samples)
	}
	if whole > 0 {
		m["step_s"] = seconds / float64(whole)
		m["step_max_s"] = longest
	}
}

// classStats are the calls of one priority.
type classStats struct {
	calls, onTime, refused, late, failed int
	latencies                            []time.Duration
}

func (s *session) callMetrics(m map[string]float64) {
	classes := map[config.Priority]*classStats{}
	for i := range s.results {
		r := &s.results[i]
		c := classes[r.call.route.Priority]
		if c == nil {
			c = &classStats{}
			classes[r.call.route.Priority] = c
		}
		c.add(r)
	}
	for p, c := range classes {
		name := fmt.Sprintf("class%d_", p)
		n := float64(c.calls)
		m[name+"on_time_share"] = float64(c.onTime) / n
		m[name+"refused_share"] = float64(c.refused) / n
		m[name+"late_share"] = float64(c.late) / n
		m[name+"failed_share"] = float64(c.failed) / n
		m[name+"answers_per_s"] = float64(c.onTime) / s.x.length().Seconds()
		m[name+"p50_ms"] = quantile(c.latencies, 0.50)
		m[name+"p99_ms"] = quantile(c.latencies, 0.99)
	}
}

func (c *classStats) add(r *callResult) {
	c.calls++
	switch r.ending {
	case endAnswered:
		c.onTime++
		c.latencies = append(c.latencies, r.latency)
	case endRefused:
		c.refused++
	case endLate:
		c.late++
	default:
		c.failed++
	}
}

// quantile returns a quantile in milliseconds.
func quantile(d []time.Duration, q float64) float64 {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return float64(d[min(len(d)-1, int(q*float64(len(d))))]) / float64(time.Millisecond)
}

func (s *session) engineMetrics(m map[string]float64) {
	after := s.w.totals()
	useful := 0
	for i := range s.results {
		if s.results[i].ending == endAnswered {
			useful += s.results[i].tokens
		}
	}
	for _, t := range s.trainers {
		for _, r := range t.steps {
			useful += r.Tokens
		}
	}
	lost := 0
	for _, e := range s.w.engines.Engines {
		lost += e.Journal().Crashes
	}
	decoded := float64(after.DecodeTokens - s.before.DecodeTokens)
	m["engines_lost"] = float64(lost)
	m["prefill_tokens"] = float64(after.PrefillTokens - s.before.PrefillTokens)
	m["decode_tokens"] = decoded
	m["goodput_tokens_per_s"] = float64(useful) / s.x.length().Seconds()
	if c := s.capacity(); c > 0 {
		m["goodput_of_capacity"] = m["goodput_tokens_per_s"] / c
	}
	if decoded > 0 {
		m["wasted_token_share"] = max(0, 1-float64(useful)/decoded)
	}
	if useful > 0 {
		m["prefill_per_token"] = m["prefill_tokens"] / float64(useful)
	}
}

// weightMetrics tells how long after its publication an engine runs a version or a newer one.
func (s *session) weightMetrics(m map[string]float64) {
	var lags []time.Duration
	for _, p := range s.models {
		for _, e := range s.w.engines.Engines {
			if e.Status().Model == p.model {
				lags = append(lags, versionLags(p.published, e.Journal().Versions)...)
			}
		}
	}
	if len(lags) > 0 {
		m["weights_lag_p50_ms"] = quantile(lags, 0.50)
		m["weights_lag_p99_ms"] = quantile(lags, 0.99)
	}
}

func versionLags(published map[int64]time.Time, ran []engine.VersionEntry) []time.Duration {
	var lags []time.Duration
	for v, at := range published {
		for _, r := range ran {
			if r.Version >= v && r.Time.After(at) {
				lags = append(lags, r.Time.Sub(at))
				break
			}
		}
	}
	return lags
}

// gateMetrics adds up the counters of the gates' rollouts.
func (s *session) gateMetrics(m map[string]float64) {
	for _, v := range s.w.vms {
		v.metrics.Do(func(kv expvar.KeyValue) {
			if n, ok := kv.Value.(*expvar.Int); ok && strings.HasPrefix(kv.Key, "rollout_") {
				m[kv.Key] += float64(n.Value())
			}
		})
	}
}

// capacity returns the decode rate of all engines with full batches, in tokens per second.
func (s *session) capacity() float64 {
	sum := 0.0
	for _, e := range s.w.Plan.Engines.Engines {
		r := e.Options.Rates
		if r.BatchLimit == 0 || r.DecodeTokensPerSecond == 0 {
			return 0
		}
		n := float64(r.BatchLimit)
		sum += n * r.DecodeTokensPerSecond / (1 + r.BatchSlowdown*(n-1))
	}
	return sum
}

// lastFaultEnd returns the end of the last fault or overload that ends within the run.
func (s *session) lastFaultEnd() (time.Duration, bool) {
	var last int64
	for _, f := range s.x.Faults {
		if f.ForMs > 0 {
			last = max(last, f.AtMs+f.ForMs)
		} else {
			last = max(last, f.AtMs)
		}
	}
	for _, c := range s.x.Callers {
		last = max(last, c.ToMs)
	}
	end := time.Duration(last) * time.Millisecond
	return end, last > 0 && end < s.x.length()
}

// recovery returns how long after end the calls of all classes are on time again, in seconds; the
// rest of the run if they never are.
func (s *session) recovery(end time.Duration) float64 {
	bins := s.bins()
	row := 0
	for i, b := range bins {
		at := time.Duration(i) * binLength
		if at < end {
			continue
		}
		if float64(b.OnTime) >= normalShare*float64(b.Calls) {
			row++
		} else {
			row = 0
		}
		if row == normalBins {
			return max(0, (at - (normalBins-1)*binLength - end).Seconds())
		}
	}
	return (s.x.length() - end).Seconds()
}

// bins returns the run's time line.
func (s *session) bins() []Bin {
	bins := make([]Bin, int(s.x.length()/binLength)+1)
	for i := range bins {
		bins[i].Seconds = (time.Duration(i) * binLength).Seconds()
	}
	first := s.firstClass()
	for i := range s.results {
		r := &s.results[i]
		b := &bins[min(len(bins)-1, int(r.call.at/binLength))]
		b.Calls++
		onTime := r.ending == endAnswered
		if onTime {
			b.OnTime++
		}
		if r.ending == endRefused {
			b.Refused++
		}
		if r.call.route.Priority == first {
			b.First++
			if onTime {
				b.FirstOnTime++
			}
		}
	}
	for _, t := range s.trainers {
		for _, r := range t.steps {
			at := time.Duration((r.Start + r.Seconds) * float64(time.Second))
			bins[min(len(bins)-1, int(at/binLength))].Samples += r.Samples
		}
	}
	return bins
}

func (s *session) firstClass() config.Priority {
	first := config.PriorityLowest
	for _, c := range s.calls {
		first = min(first, c.route.Priority)
	}
	return first
}
