package routing

import (
	"sort"
	"time"
)

// Bounds of ejection.
const (
	// ejectAfterFailures is the number of failures in a row that ejects a target.
	ejectAfterFailures = 3
	// ejectSlower is the factor over the pool's median latency that ejects a target.
	ejectSlower = 3.0
	// ejectMinSamples is the number of latencies that must be known first.
	ejectMinSamples = 5
	// ejectBase and ejectMax bound the time of an ejection, which doubles each time.
	ejectBase = 2 * time.Second
	ejectMax  = 30 * time.Second
	// ejectFloor is the share of the pool that is never ejected.
	ejectFloor = 0.5
)

func (x *target) ejected(now time.Time) bool { return now.Before(x.health.until) }

// Succeeded records the latency of a finished request in seconds, normalized by its work.
func (t *Table) Succeeded(now time.Time, address string, latency float64) {
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
	x.limit.Observe(now, latency)
	if h.samples >= ejectMinSamples && h.latency > ejectSlower*t.medianLatency(x) {
		t.eject(now, x)
	}
}

// Failed records that the target did not answer, or broke off.
func (t *Table) Failed(now time.Time, address string) {
	x := t.byAddr[address]
	if x == nil {
		return
	}
	x.health.failures++
	if x.health.failures >= ejectAfterFailures {
		t.eject(now, x)
	}
}

// Dead ejects a target that refuses connections, at once.
func (t *Table) Dead(now time.Time, address string) {
	x := t.byAddr[address]
	if x == nil {
		return
	}
	x.prefixes.clear()
	t.eject(now, x)
}

// Overloaded records that the target refused for overload.
func (t *Table) Overloaded(now time.Time, address string) {
	if x := t.byAddr[address]; x != nil {
		x.limit.Refused(now)
	}
}

func (t *Table) eject(now time.Time, x *target) {
	out := 0
	for _, y := range t.targets {
		if y.ejected(now) || y.blocked != "" {
			out++
		}
	}
	if x.ejected(now) || float64(len(t.targets)-out-1) < ejectFloor*float64(len(t.targets)) {
		return
	}
	d := min(ejectMax, ejectBase<<min(x.health.ejected, 4))
	ejections := x.health.ejected + 1
	x.health = health{until: now.Add(d), ejected: ejections}
	x.since, x.ramp = now.Add(d), true
}

// medianLatency returns the median of the other targets' latencies; 0 while unknown.
func (t *Table) medianLatency(except *target) float64 {
	var all []float64
	for _, y := range t.targets {
		if y != except && y.health.samples >= ejectMinSamples {
			all = append(all, y.health.latency)
		}
	}
	if len(all) == 0 {
		return except.health.latency
	}
	sort.Float64s(all)
	return all[len(all)/2]
}

// TargetState is what /debug/state shows of a target.
type TargetState struct {
	Name     string  `json:"name"`
	Address  string  `json:"address"`
	Blocked  string  `json:"blocked,omitempty"`
	Ejected  bool    `json:"ejected,omitempty"`
	Alone    bool    `json:"alone,omitempty"`
	InFlight int     `json:"in_flight"`
	Load     int     `json:"load"`
	Limit    int     `json:"limit"`
	Prefixes int     `json:"prefixes"`
	Latency  float64 `json:"latency_seconds"`
	Version  int64   `json:"version,omitempty"`
}

// State returns what /debug/state shows of the targets.
func (t *Table) State(now time.Time) []TargetState {
	out := make([]TargetState, 0, len(t.targets))
	for _, x := range t.targets {
		out = append(out, TargetState{
			Name: x.Name, Address: x.Address, Blocked: x.blocked, Ejected: x.ejected(now), Alone: x.exclusive,
			InFlight: x.inflight, Load: x.load(now), Limit: x.capacity(now), Prefixes: len(x.prefixes.sent.held),
			Latency: x.health.latency, Version: x.version,
		})
	}
	return out
}
