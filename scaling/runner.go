package scaling

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/duties"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
)

const (
	// interval is the time between two decisions.
	interval = 500 * time.Millisecond
	// callTimeout bounds a call to the platform's API. It must be below the order window of a tenure (500 ms).
	callTimeout = 400 * time.Millisecond
	// callShare is the part of the calls per second of all VMs that all pools together may use.
	callShare = 0.5
)

// Tenure is the exclusive right to order the targets of a pool.
type Tenure interface {
	// OrderDelay returns the time until orders may be sent; ok is false if the tenure is not held.
	OrderDelay() (wait time.Duration, ok bool)
	// BeginWave records a wave of orders, which may be sent while MaySend returns true.
	BeginWave(ctx context.Context) error
	MaySend() bool
	// Held returns the fencing token, and whether the tenure is held.
	Held() (token int64, held bool)
}

// Runner orders the targets of one pool while this VM holds the pool's tenure.
type Runner struct {
	Pool   string
	VM     string
	View   *fleet.View
	API    duties.API
	Tenure Tenure
	// Load returns the work of the pool.
	Load func() Load
	// Draining reports whether a target has said in an answer that it leaves.
	Draining func(*fleet.Instance) bool
	// ViewAge returns the time since the tables and the registrations were both known to be complete.
	ViewAge func() time.Duration
	// CallsPerSecond limits the calls of all VMs together; 0 means no limit.
	CallsPerSecond float64
	Log            *slog.Logger
	Metrics        *process.Metrics

	controller *Controller
	token      int64
	outcomes   *expvar.Map
	wanted     *expvar.Map
	logged     string // the newest scaling_wanted event, without its inputs
	nextCall   time.Time

	mu    sync.Mutex
	state State
}

// Run orders targets until ctx is done.
func (r *Runner) Run(ctx context.Context) {
	r.outcomes, r.wanted = r.Metrics.SubMap("scaling_orders"), r.Metrics.SubMap("scaling_wanted")
	for ctx.Err() == nil {
		r.step(ctx)
		process.Sleep(ctx, interval)
	}
	for _, s := range r.State().Subjects {
		r.wanted.Delete(r.metricName(s.Subject()))
	}
}

// step decides once, and sends the orders that are due.
func (r *Runner) step(ctx context.Context) {
	snap := r.View.Get()
	token, held := r.Tenure.Held()
	if !held || snap.Tables == nil {
		r.controller = nil
		return
	}
	pool := snap.Tables.Pool(r.Pool)
	if pool == nil || pool.Scaling == nil {
		r.controller = nil
		return
	}
	if r.controller == nil || r.token != token {
		r.controller, r.token, r.logged = NewController(), token, ""
	}
	o := r.observe(snap, pool)
	d := r.controller.Decide(o, pool.Scaling)
	r.publish(&o, &d)
	if len(d.Orders) == 0 {
		return
	}
	if wait, ok := r.Tenure.OrderDelay(); !ok || wait > 0 {
		return // a decision follows by then
	}
	if err := r.Tenure.BeginWave(ctx); err != nil {
		r.Log.Warn("order_tenure", "pool", r.Pool, "outcome", "lost", "err", err)
		return
	}
	r.send(ctx, d.Orders, scalingPools(snap.Tables))
}

// observe returns what this VM knows about the pool.
func (r *Runner) observe(snap *fleet.Snapshot, pool *fleet.Pool) Observation {
	o := Observation{Now: time.Now(), Counts: map[Subject]int{}, Slots: 1, Load: r.Load(), Partial: servesOthers(snap.Tables, pool)}
	o.ViewAge = max(r.ViewAge(), o.Load.Age)
	if !o.Partial {
		o.Load.OtherSlots = 0 // what the reports count besides are runs of this VM that just ended
	}
	if pool.Engine != nil {
		o.Slots = max(1, pool.Engine.Slots)
	}
	for _, in := range snap.Pool(r.Pool) {
		if pool.Engine == nil {
			o.Slots = max(o.Slots, in.Slots)
		}
		if !in.Draining && !r.Draining(in) {
			o.Counts[Subject{in.AvailabilityZone, in.Spot}]++
		}
	}
	return o
}

// servesOthers reports whether the pool gets requests that are no items of batches, or no items at all.
func servesOthers(t *fleet.Tables, pool *fleet.Pool) bool {
	batches := false
	for i := range t.Routes {
		if route := &t.Routes[i]; route.UsesPool(pool.Name) {
			if !route.Batch {
				return true
			}
			batches = true
		}
	}
	return !batches
}

// scalingPools returns the number of pools whose targets are ordered.
func scalingPools(t *fleet.Tables) int {
	n := 0
	for i := range t.Pools {
		if t.Pools[i].Scaling != nil {
			n++
		}
	}
	return n
}

// send sends the orders of a wave, each after the pause that the rate of calls asks for. Orders for which the wave is too short are due
// again in the next one.
func (r *Runner) send(ctx context.Context, orders []Order, pools int) {
	var pause time.Duration
	if r.CallsPerSecond > 0 {
		pause = time.Duration(float64(time.Second) * float64(max(1, pools)) / (r.CallsPerSecond * callShare))
	}
	var wg sync.WaitGroup
	outcomes := make([]Outcome, len(orders))
	for n, o := range orders {
		outcomes[n] = Unsent
		process.Sleep(ctx, time.Until(r.nextCall))
		if !r.maySend() || ctx.Err() != nil {
			continue
		}
		r.nextCall = time.Now().Add(pause)
		wg.Go(func() { outcomes[n] = r.order(ctx, o) })
	}
	wg.Wait()
	for n, o := range orders {
		r.controller.Sent(time.Now(), o, outcomes[n])
		r.outcomes.Add(string(outcomes[n]), 1)
	}
}

// maySend reports whether the wave is open under the token that the orders name.
func (r *Runner) maySend() bool {
	if !r.Tenure.MaySend() {
		return false
	}
	token, held := r.Tenure.Held()
	return held && token == r.token
}

// order sends one order.
func (r *Runner) order(ctx context.Context, o Order) Outcome {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := time.Now()
	err := r.API.OrderTargets(duties.WithGuard(ctx, r.maySend), duties.Holder{VM: r.VM, Token: r.token}, duties.TargetOrder{
		Pool: r.Pool, AvailabilityZone: o.Zone, Count: o.Count, Spot: o.Spot,
	})
	outcome := Unknown
	switch {
	case err == nil:
		outcome = Accepted
	case errors.Is(err, duties.ErrNoneAvailable):
		outcome = NoneAvailable
	case errors.Is(err, duties.ErrTooManyCalls):
		outcome = TooManyCalls
	case errors.Is(err, duties.ErrNotAllowed):
		outcome = Unsent
	}
	r.Log.Info("scaling_order", "pool", r.Pool, "zone", o.Zone, "kind", o.kind(), "count", o.Count, "reason", o.Reason, "token", r.token,
		"outcome", string(outcome), "ms", time.Since(start).Milliseconds(), "err", err)
	return outcome
}

// State is the part of the state dump about the targets that are ordered for a pool. Only the VM that holds the pool's tenure has it.
type State struct {
	Token int64 `json:"token"`
	// Reason is the reason of the newest decision. Held is set if nothing may be changed for that reason.
	Reason string `json:"reason"`
	Held   bool   `json:"held,omitempty"`
	// OpenItems, WaitingItems and SoonestDueMs describe the open work.
	OpenItems    int   `json:"open_items"`
	WaitingItems int   `json:"waiting_items"`
	SoonestDueMs int64 `json:"soonest_due_ms"`
	// NeedSlots is what the open work needs, PeakSlots the maximum of the last minute, without headroom.
	NeedSlots int   `json:"need_slots"`
	PeakSlots int   `json:"peak_slots"`
	ViewAgeMs int64 `json:"view_age_ms"`
	// Subjects are the counts by zone and kind.
	Subjects []SubjectState `json:"counts"`
}

// SubjectState is the part of the state dump about the targets of one kind in a zone.
type SubjectState struct {
	Zone     string `json:"az"`
	Spot     bool   `json:"spot,omitempty"`
	Observed int    `json:"observed"`
	Wanted   int    `json:"wanted"`
	// Ordered is the newest count that the platform accepted in this tenure; nil if there is none.
	Ordered *int `json:"ordered,omitempty"`
	// LastOutcome is the outcome of the newest order, Reason the newest reason for another count.
	LastOutcome Outcome `json:"last_outcome,omitempty"`
	Reason      string  `json:"reason,omitempty"`
}

// Subject returns the zone and kind.
func (s SubjectState) Subject() Subject { return Subject{s.Zone, s.Spot} }

// State returns the state dump of the newest decision.
func (r *Runner) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

func (r *Runner) metricName(s Subject) string { return r.Pool + "." + s.Zone + "." + s.kind() }

// publish updates the state dump and the metrics, and logs the decision if it differs from the one before.
func (r *Runner) publish(o *Observation, d *Decision) {
	state := State{
		Token: r.token, Reason: d.Reason, Held: d.Held, OpenItems: len(o.Load.Open), WaitingItems: o.Load.Waiting,
		SoonestDueMs: o.Load.soonest().Milliseconds(), NeedSlots: d.NeedSlots, PeakSlots: d.PeakSlots, ViewAgeMs: o.ViewAge.Milliseconds(),
	}
	var wanted, observed []string
	for _, s := range slices.SortedFunc(maps.Keys(r.controller.subjects), compareSubjects) {
		st := r.controller.subjects[s]
		entry := SubjectState{Zone: s.Zone, Spot: s.Spot, Observed: st.observed, Wanted: d.Wanted[s], LastOutcome: st.lastOutcome, Reason: st.reason}
		if st.sent {
			count := st.confirmed
			entry.Ordered = &count
		}
		state.Subjects = append(state.Subjects, entry)
		gauge := new(expvar.Int)
		gauge.Set(int64(entry.Wanted))
		r.wanted.Set(r.metricName(s), gauge)
		if !s.Spot || entry.Wanted > 0 || entry.Observed > 0 {
			wanted = append(wanted, fmt.Sprintf("%s/%s:%d", s.Zone, s.kind(), entry.Wanted))
			observed = append(observed, fmt.Sprintf("%s/%s:%d", s.Zone, s.kind(), entry.Observed))
		}
	}
	r.mu.Lock()
	r.state = state
	r.mu.Unlock()
	event := strings.Join(wanted, " ")
	if d.Held {
		event += " " + d.Reason
	}
	if event == r.logged {
		return
	}
	r.logged = event
	r.Log.Info("scaling_wanted", "pool", r.Pool, "wanted", strings.Join(wanted, " "), "observed", strings.Join(observed, " "), "reason", d.Reason,
		"held", d.Held, "open", state.OpenItems, "waiting", state.WaitingItems, "soonest_due_ms", state.SoonestDueMs,
		"arriving_slots", int(o.Load.ArrivingSlots), "other_slots", o.Load.OtherSlots, "need_slots", d.NeedSlots, "peak_slots", d.PeakSlots,
		"event_ms", o.Load.EventInterval.Milliseconds(), "view_age_ms", state.ViewAgeMs, "token", r.token)
}
