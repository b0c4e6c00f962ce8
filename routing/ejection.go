package routing

import (
	"sort"
	"time"
)

// Ejection of failing and slow targets.
const (
	// ejectAfterFailures is the number of consecutive failures after which a target is ejected.
	ejectAfterFailures = 3
	// ejectLatencyFactor is the multiple of the pool's median latency above which a target is ejected.
	ejectLatencyFactor = 3.0
	// ejectMinLatencySamples is the number of latency samples required before a target is compared.
	ejectMinLatencySamples = 5
	// ejectBaseDuration is the length of a target's first ejection; each further one doubles it, up to ejectMaxDuration.
	ejectBaseDuration = 2 * time.Second
	ejectMaxDuration  = 30 * time.Second
	// ejectMinAvailableShare is the share of the pool that ejection leaves available.
	ejectMinAvailableShare = 0.5
)

func (x *target) ejected(now time.Time) bool { return now.Before(x.health.ejectedUntil) }

// RecordSuccess records a completed request. The latency is in seconds, normalized by the request's work; 0 means unknown.
func (t *Table) RecordSuccess(now time.Time, address string, latency float64) {
	x := t.byAddr[address]
	if x == nil {
		return
	}
	h := &x.health
	h.failures = 0
	if latency <= 0 {
		return
	}
	if h.samples == 0 {
		h.latency = latency
	}
	h.samples++
	h.latency += latencyGain * (latency - h.latency)
	x.limit.RecordLatency(now, latency)
	if h.samples >= ejectMinLatencySamples && h.latency > ejectLatencyFactor*t.medianLatency(x) {
		t.eject(now, x)
	}
}

// RecordFailure records that the target did not respond, or aborted its response.
func (t *Table) RecordFailure(now time.Time, address string) {
	x := t.byAddr[address]
	if x == nil {
		return
	}
	x.health.failures++
	if x.health.failures >= ejectAfterFailures {
		t.eject(now, x)
	}
}

// RecordUnreachable immediately ejects a target that refuses connections, and clears its prefixes.
func (t *Table) RecordUnreachable(now time.Time, address string) {
	x := t.byAddr[address]
	if x == nil {
		return
	}
	x.prefixes.clear()
	if t.byTime {
		x.pace.unreachableUntil = now.Add(unreachablePause)
	}
	t.eject(now, x)
}

// RecordOverload records that the target rejected a request because it is overloaded.
func (t *Table) RecordOverload(now time.Time, address string) {
	if x := t.byAddr[address]; x != nil {
		x.limit.RecordOverload(now)
		if t.byTime {
			t.recordFull(now, x)
		}
	}
}

func (t *Table) eject(now time.Time, x *target) {
	unavailable := 0
	for _, y := range t.targets {
		if y.ejected(now) || y.blocked != "" {
			unavailable++
		}
	}
	if x.ejected(now) || float64(len(t.targets)-unavailable-1) < ejectMinAvailableShare*float64(len(t.targets)) {
		return
	}
	duration := min(ejectMaxDuration, ejectBaseDuration<<min(x.health.ejections, 4))
	count := x.health.ejections + 1
	x.health = health{ejectedUntil: now.Add(duration), ejections: count}
	x.rampStart, x.ramping = now.Add(duration), true
}

// medianLatency returns the median latency of the targets other than x. While none of them has enough samples, it
// returns x's own latency.
func (t *Table) medianLatency(x *target) float64 {
	var latencies []float64
	for _, y := range t.targets {
		if y != x && y.health.samples >= ejectMinLatencySamples {
			latencies = append(latencies, y.health.latency)
		}
	}
	if len(latencies) == 0 {
		return x.health.latency
	}
	sort.Float64s(latencies)
	return latencies[len(latencies)/2]
}

// TargetState is the state of a target in /debug/state.
type TargetState struct {
	Name      string  `json:"name"`
	Address   string  `json:"address"`
	Blocked   string  `json:"blocked,omitempty"`
	Ejected   bool    `json:"ejected,omitempty"`
	Exclusive bool    `json:"alone,omitempty"`
	InFlight  int     `json:"in_flight"`
	Load      int     `json:"load"`
	Limit     int     `json:"limit"`
	Prefixes  int     `json:"prefixes"`
	Latency   float64 `json:"latency_seconds"`
	Version   int64   `json:"version,omitempty"`
	// Work is the expected time of work there as a multiple of the usual one, WorkToldMs the age of the target's own figure; tables with
	// ByTime only.
	Work       float64 `json:"work,omitempty"`
	WorkToldMs int64   `json:"work_told_ms,omitempty"`
}

// State returns the targets' state for /debug/state.
func (t *Table) State(now time.Time) []TargetState {
	out := make([]TargetState, 0, len(t.targets))
	for _, x := range t.targets {
		s := TargetState{
			Name: x.Name, Address: x.Address, Blocked: x.blocked, Ejected: x.ejected(now), Exclusive: x.exclusive,
			InFlight: x.inflight, Load: x.load(now), Limit: x.capacity(now), Prefixes: len(x.prefixes.sent.hashes),
			Latency: x.health.latency, Version: x.version,
		}
		if t.byTime {
			s.Work = x.paceAt(now)
			if x.pace.told > 0 {
				s.WorkToldMs = now.Sub(x.pace.toldAt).Milliseconds()
			}
		}
		out = append(out, s)
	}
	return out
}
