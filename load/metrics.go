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

// binWidth is the resolution of a run's time series.
const binWidth = 250 * time.Millisecond

// After a fault a run counts as recovered at the first of recoveredBins consecutive bins with at least
// recoveredOnTimeShare of all calls on time.
const (
	recoveredOnTimeShare = 0.95
	recoveredBins        = 3
)

// Bin holds the counts of one interval of a run's time series. Calls are assigned by their intended start.
type Bin struct {
	Seconds float64 `json:"seconds"`
	Calls   int     `json:"calls"`
	OnTime  int     `json:"on_time"`
	Refused int     `json:"refused"`
	// HighestPriorityCalls and HighestPriorityOnTime count the calls of the highest priority class that has calls.
	HighestPriorityCalls  int `json:"first"`
	HighestPriorityOnTime int `json:"first_on_time"`
	// Samples counts the samples of steps that ended in the bin.
	Samples int `json:"samples"`
}

// metrics returns the metrics of the run. Most names end with their unit.
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
	var steps, complete, samples int
	var idle, seconds, staleness, longest float64
	for _, t := range s.trainers {
		for _, r := range t.steps {
			steps++
			samples += r.Samples
			idle += r.Idle
			staleness += r.Staleness
			if r.Complete {
				complete++
				seconds += r.Seconds
				longest = max(longest, r.Seconds)
			}
		}
	}
	if steps == 0 {
		return
	}
	m["steps"] = float64(complete)
	m["samples_per_s"] = float64(samples) / s.experiment.duration().Seconds()
	m["idle_share"] = idle / (s.experiment.duration().Seconds() * float64(len(s.trainers)))
	if samples > 0 {
		m["idle_ms_per_sample"] = 1000 * idle / float64(samples)
		m["staleness_versions"] = staleness / float64(samples)
	}
	if complete > 0 {
		m["step_s"] = seconds / float64(complete)
		m["step_max_s"] = longest
	}
}

// classStats holds the call counts and latencies of one priority class.
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
		m[name+"answers_per_s"] = float64(c.onTime) / s.experiment.duration().Seconds()
		m[name+"p50_ms"] = quantile(c.latencies, 0.50)
		m[name+"p99_ms"] = quantile(c.latencies, 0.99)
	}
}

func (c *classStats) add(r *callResult) {
	c.calls++
	switch r.outcome {
	case outcomeAnswered:
		c.onTime++
		c.latencies = append(c.latencies, r.latency)
	case outcomeRefused:
		c.refused++
	case outcomeLate:
		c.late++
	default:
		c.failed++
	}
}

// quantile returns the q-quantile of d in milliseconds, 0 if d is empty. It sorts d in place.
func quantile(d []time.Duration, q float64) float64 {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return float64(d[min(len(d)-1, int(q*float64(len(d))))]) / float64(time.Millisecond)
}

func (s *session) engineMetrics(m map[string]float64) {
	after := s.deployment.engineTotals()
	usefulTokens := 0
	for i := range s.results {
		if s.results[i].outcome == outcomeAnswered {
			usefulTokens += s.results[i].tokens
		}
	}
	for _, t := range s.trainers {
		for _, r := range t.steps {
			usefulTokens += r.Tokens
		}
	}
	crashes := 0
	for _, e := range s.deployment.engines.Engines {
		crashes += e.Journal().Crashes
	}
	decodedTokens := float64(after.DecodeTokens - s.totalsBefore.DecodeTokens)
	m["engines_lost"] = float64(crashes)
	m["prefill_tokens"] = float64(after.PrefillTokens - s.totalsBefore.PrefillTokens)
	m["decode_tokens"] = decodedTokens
	m["goodput_tokens_per_s"] = float64(usefulTokens) / s.experiment.duration().Seconds()
	if c := s.capacity(); c > 0 {
		m["goodput_of_capacity"] = m["goodput_tokens_per_s"] / c
	}
	if decodedTokens > 0 {
		m["wasted_token_share"] = max(0, 1-float64(usefulTokens)/decodedTokens)
	}
	if usefulTokens > 0 {
		m["prefill_per_token"] = m["prefill_tokens"] / float64(usefulTokens)
	}
}

// weightMetrics adds the time from the publication of a version until each engine runs it or a newer one.
func (s *session) weightMetrics(m map[string]float64) {
	var lags []time.Duration
	for _, p := range s.publishers {
		for _, e := range s.deployment.engines.Engines {
			if e.Status().Model == p.model {
				lags = append(lags, versionLags(p.publishedAt, e.Journal().Versions)...)
			}
		}
	}
	if len(lags) > 0 {
		m["weights_lag_p50_ms"] = quantile(lags, 0.50)
		m["weights_lag_p99_ms"] = quantile(lags, 0.99)
	}
}

// versionLags returns, for each published version, the time until the engine first ran it or a newer one.
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

// gateMetrics sums the rollout_* counters of all gates.
func (s *session) gateMetrics(m map[string]float64) {
	for _, v := range s.deployment.vms {
		v.gateMetrics.Do(func(kv expvar.KeyValue) {
			if n, ok := kv.Value.(*expvar.Int); ok && strings.HasPrefix(kv.Key, "rollout_") {
				m[kv.Key] += float64(n.Value())
			}
		})
	}
}

// capacity returns the decode rate of all engines with full batches, in tokens per second, or 0 if an engine's rate
// is not limited.
func (s *session) capacity() float64 {
	sum := 0.0
	for _, e := range s.deployment.Plan.Engines.Engines {
		r := e.Options.Rates
		if r.BatchLimit == 0 || r.DecodeTokensPerSecond == 0 {
			return 0
		}
		n := float64(r.BatchLimit)
		sum += n * r.DecodeTokensPerSecond / (1 + r.BatchSlowdown*(n-1))
	}
	return sum
}

// lastFaultEnd returns the latest end of a fault or of a flow with an end time, and whether it lies within the run.
func (s *session) lastFaultEnd() (time.Duration, bool) {
	var last int64
	for _, f := range s.experiment.Faults {
		if f.ForMs > 0 {
			last = max(last, f.AtMs+f.ForMs)
		} else {
			last = max(last, f.AtMs)
		}
	}
	for _, c := range s.experiment.Callers {
		last = max(last, c.ToMs)
	}
	end := time.Duration(last) * time.Millisecond
	return end, last > 0 && end < s.experiment.duration()
}

// recovery returns the time from end until calls are on time again, in seconds. If that does not happen, it returns
// the time from end to the end of the run.
func (s *session) recovery(end time.Duration) float64 {
	bins := s.bins()
	consecutive := 0
	for i, b := range bins {
		binStart := time.Duration(i) * binWidth
		if binStart < end {
			continue
		}
		if float64(b.OnTime) >= recoveredOnTimeShare*float64(b.Calls) {
			consecutive++
		} else {
			consecutive = 0
		}
		if consecutive == recoveredBins {
			return max(0, (binStart - (recoveredBins-1)*binWidth - end).Seconds())
		}
	}
	return (s.experiment.duration() - end).Seconds()
}

// bins returns the run's time series.
func (s *session) bins() []Bin {
	bins := make([]Bin, int(s.experiment.duration()/binWidth)+1)
	for i := range bins {
		bins[i].Seconds = (time.Duration(i) * binWidth).Seconds()
	}
	highest := s.highestPriority()
	for i := range s.results {
		r := &s.results[i]
		b := &bins[min(len(bins)-1, int(r.call.start/binWidth))]
		b.Calls++
		onTime := r.outcome == outcomeAnswered
		if onTime {
			b.OnTime++
		}
		if r.outcome == outcomeRefused {
			b.Refused++
		}
		if r.call.route.Priority == highest {
			b.HighestPriorityCalls++
			if onTime {
				b.HighestPriorityOnTime++
			}
		}
	}
	for _, t := range s.trainers {
		for _, r := range t.steps {
			stepEnd := time.Duration((r.Start + r.Seconds) * float64(time.Second))
			bins[min(len(bins)-1, int(stepEnd/binWidth))].Samples += r.Samples
		}
	}
	return bins
}

// highestPriority returns the highest priority (the lowest value) among the calls of the run.
func (s *session) highestPriority() config.Priority {
	highest := config.PriorityLowest
	for _, c := range s.calls {
		highest = min(highest, c.route.Priority)
	}
	return highest
}
