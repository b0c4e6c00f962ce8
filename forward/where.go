package forward

import (
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/routing"
	"github.com/ibistrail/ibistrail/shedding"
)

// Placement explains where a request that arrived now would be sent.
type Placement struct {
	Pool string `json:"pool"`
	// Target is the target; empty if the request would be refused.
	Target string `json:"target,omitempty"`
	// AllAtLimits is set if no target is below its limit, so that the request waits in the target's queue.
	AllAtLimits bool              `json:"all_at_limits,omitempty"`
	Targets     []TargetCandidate `json:"targets"`
	// Waiting is set if no target has room: the request would wait behind these, or be refused.
	Waiting *shedding.State `json:"waiting,omitempty"`
	// Refusal is nil if the request would be sent or wait.
	Refusal *Refusal `json:"refusal,omitempty"`
}

// Refusal is the VM's own answer to a request that is not sent.
type Refusal struct {
	Status       int    `json:"status"`
	Reason       string `json:"reason"`
	RetryAfterMs int64  `json:"retry_after_ms"`
}

func newRefusal(r *Reply) *Refusal {
	return &Refusal{Status: r.Status, Reason: r.Reason, RetryAfterMs: r.RetryAfter.Milliseconds()}
}

// NoTables returns the refusal of all requests while no tables are known.
func NoTables() *Refusal { return newRefusal(noTablesReply()) }

// TargetCandidate is a target with the inputs of the choice.
type TargetCandidate struct {
	routing.TargetState
	AvailabilityZone string           `json:"az"`
	Leaving          bool             `json:"leaving"`
	RateLimited      bool             `json:"rate_limited"`
	Versions         map[string]int64 `json:"versions,omitempty"`
}

// Where explains where a request on a route would be sent now. It sends nothing and changes nothing. The choice between two random targets
// and between the pools of a split route is drawn anew, as for each request.
func (f *Forwarder) Where(now time.Time, snap *fleet.Snapshot, route *fleet.Route) Placement {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := &delivery{f: f, req: &Request{}, route: route, poolName: route.PoolFor(f.rand.Float64()), startedAt: now, deadline: now.Add(defaultTimeout)}
	if t := route.Timeout(); t > 0 {
		d.deadline = now.Add(t)
	}
	p := f.poolState(now, snap, d.poolName)
	out := Placement{Pool: d.poolName, Targets: []TargetCandidate{}}
	in, q, ok := d.choose(now, p, false, false)
	if ok && p.queue != nil && !p.table.NoneReachable(now) {
		q = d.roomQuery(now, p)
		address, hasRoom := p.table.Pick(now, q)
		if in = p.byAddr[address]; !hasRoom || in == nil {
			state := p.queue.Counts(now)
			out.Waiting = &state
		}
	}
	switch {
	case !ok:
		out.Refusal = newRefusal(d.unsentReply())
	case out.Waiting == nil:
		out.Target, out.AllAtLimits = in.Name, q.IgnoreLimits
	}
	for _, state := range p.table.State(now) {
		c := TargetCandidate{TargetState: state}
		if in := p.byAddr[state.Address]; in != nil {
			c.AvailabilityZone, c.Versions = in.AvailabilityZone, in.Versions
			c.Leaving, c.RateLimited = in.Draining || f.states.Draining(in), f.limiter.Limited(in)
		}
		out.Targets = append(out.Targets, c)
	}
	return out
}
