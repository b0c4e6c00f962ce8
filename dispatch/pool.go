package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/admission"
	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/routing"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
)

// decision is the outcome of a queued request: the address of a target, or an error.
type decision struct {
	address string
	err     *api.Error
}

// pendingRequest is a queued request.
type pendingRequest struct {
	query     routing.Query
	candidate string
	decision  chan decision
}

// pool combines the routing table and the admission queue of one pool.
type pool struct {
	name             string
	admissionEnabled bool
	now              func() time.Time

	mu      sync.Mutex
	rand    *rand.Rand
	table   *routing.Table
	queue   *admission.Queue
	waiting map[*admission.Waiter]*pendingRequest
	kind    config.PoolKind
	// drainSignals holds the targets that reported themselves as draining, with the time of their last report.
	drainSignals map[string]time.Time
	// stewardDraining holds the targets that the steward excludes from new work, with the reason.
	stewardDraining map[string]string
	closed          bool
}

// placement is a slot that a request occupies on a target.
type placement struct {
	pool    *pool
	address string
	query   routing.Query
	class   config.Priority
	started time.Time
	// boot is the engine's boot ID, which changes with each restart; empty while unknown.
	boot string
	// trialGranted is true if the pool's arbiter granted the run alone.
	trialGranted bool
}

func newPool(name string, opts Options, seed uint64) *pool {
	rng := rand.New(rand.NewPCG(seed, 1))
	return &pool{
		name: name, now: opts.Now, rand: rng, admissionEnabled: opts.Policy.Admission != policyOff,
		table: routing.NewTable(routing.Options{AvailabilityZone: opts.AvailabilityZone, GateID: opts.GateID, Policy: opts.Policy.Routing, Rand: rng}),
		queue: admission.NewQueue(), waiting: map[*admission.Waiter]*pendingRequest{}, drainSignals: map[string]time.Time{},
	}
}

// update applies the pool's row and the steward's state.
func (p *pool) update(row *config.Pool, s *wire.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.kind, p.stewardDraining = row.Kind, s.Draining
	p.table.Update(now, row, p.blockReasons(now, s.Draining))
	p.table.SetGates(len(s.Peers) + 1)
	for address, v := range s.EngineVersions {
		p.table.SetVersion(address, v)
	}
	p.grantWaiters(now)
}

// blockReasons returns the targets that get no new work, with the reason: those that the steward excludes and
// those whose drain signal has not expired. If both apply, the steward's reason is returned.
func (p *pool) blockReasons(now time.Time, draining map[string]string) map[string]string {
	reasons := make(map[string]string, len(draining)+len(p.drainSignals))
	for a, since := range p.drainSignals {
		if now.Sub(since) > drainSignalTTL {
			delete(p.drainSignals, a)
			continue
		}
		reasons[a] = "it said so itself"
	}
	for a, reason := range draining {
		reasons[a] = reason
	}
	return reasons
}

// close refuses all queued requests. It is called when the pool is no longer in the tables.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.refuseWaiters(p.queue.RefuseAll(admission.Refusal{Reason: admission.ReasonQueueFull, RetryAfter: time.Second}))
}

// acquire returns a placement on a target, after queueing if none is free. A request is decided exactly
// once: it gets either a placement or a final error.
func (p *pool) acquire(ctx context.Context, r admission.Request, q routing.Query) (*placement, *api.Error) {
	p.mu.Lock()
	now := p.now()
	q.IgnoreLimits = !p.admissionEnabled
	if err := p.checkAdmissible(now, r, q); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	if p.queue.Len() == 0 || !p.admissionEnabled {
		if address, ok := p.table.Pick(now, q); ok {
			p.table.Start(now, address, q)
			p.queue.RecordBypass(now)
			p.mu.Unlock()
			return &placement{pool: p, address: address, query: q, class: r.Priority, started: now}, nil
		}
	}
	w, displaced, refusal := p.queue.Offer(now, r, p.rand.Float64())
	if refusal != nil {
		p.mu.Unlock()
		return nil, errRefused(p.name, *refusal)
	}
	if displaced != nil {
		p.refuseWaiters([]*admission.Waiter{displaced})
	}
	pr := &pendingRequest{query: q, decision: make(chan decision, 1)}
	p.waiting[w] = pr
	p.grantWaiters(now)
	p.mu.Unlock()
	return p.awaitDecision(ctx, w, pr)
}

func (p *pool) checkAdmissible(now time.Time, r admission.Request, q routing.Query) *api.Error {
	if p.closed {
		return errNoTarget(p.name, time.Second)
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return errDeadline()
	}
	if !p.table.HasCandidate(q) {
		return errNoTarget(p.name, p.queue.NewRefusal(now, r, admission.ReasonQueueFull, p.rand.Float64()).RetryAfter+time.Second)
	}
	return nil
}

func (p *pool) awaitDecision(ctx context.Context, w *admission.Waiter, pr *pendingRequest) (*placement, *api.Error) {
	select {
	case dec := <-pr.decision:
		return p.newPlacement(dec, w, pr)
	case <-ctx.Done():
	}
	p.mu.Lock()
	removed := p.queue.Remove(w)
	delete(p.waiting, w)
	p.mu.Unlock()
	if removed {
		return nil, errCallerGone()
	}
	placed, err := p.newPlacement(<-pr.decision, w, pr)
	if err != nil {
		return nil, err
	}
	placed.release()
	return nil, errCallerGone()
}

func (p *pool) newPlacement(dec decision, w *admission.Waiter, pr *pendingRequest) (*placement, *api.Error) {
	if dec.err != nil {
		return nil, dec.err
	}
	return &placement{pool: p, address: dec.address, query: pr.query, class: w.Priority, started: p.now()}, nil
}

// grantWaiters refuses expired waiters and grants free placements to the others in queue order. The caller
// holds the lock.
func (p *pool) grantWaiters(now time.Time) {
	p.refuseWaiters(p.queue.Expire(now, p.rand.Float64()))
	for p.queue.Len() > 0 {
		w := p.queue.Next(now, func(w *admission.Waiter) bool {
			pr := p.waiting[w]
			var ok bool
			pr.candidate, ok = p.table.Pick(now, pr.query)
			return ok
		})
		if w == nil {
			break
		}
		pr := p.waiting[w]
		delete(p.waiting, w)
		p.table.Start(now, pr.candidate, pr.query)
		pr.decision <- decision{address: pr.candidate}
	}
	p.updateReservation(now)
}

// updateReservation reserves a target, so that it drains, while a request waits to run alone.
func (p *pool) updateReservation(now time.Time) {
	for _, pr := range p.waiting {
		if pr.query.Exclusive {
			p.table.Reserve(now)
			return
		}
	}
	p.table.Unreserve()
}

func (p *pool) refuseWaiters(waiters []*admission.Waiter) {
	for _, w := range waiters {
		if pr := p.waiting[w]; pr != nil {
			delete(p.waiting, w)
			pr.decision <- decision{err: errRefused(p.name, w.Refusal)}
		}
	}
}

// tick expires and grants waiters.
func (p *pool) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue.Len() > 0 {
		p.grantWaiters(p.now())
	}
}

// updateTable calls change with the routing table, then grants placements that became free.
func (p *pool) updateTable(change func(now time.Time, t *routing.Table)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	change(now, p.table)
	p.grantWaiters(now)
}

func (p *pool) applyLoadReport(address string, load trial.Load) {
	p.updateTable(func(now time.Time, t *routing.Table) { t.RecordLoad(now, address, load) })
}

// setDrainSignal records whether the target reports itself as draining. It returns true if the target was not
// known to be draining before.
func (p *pool) setDrainSignal(address string, draining bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, known := p.drainSignals[address]
	if draining {
		p.drainSignals[address] = p.now()
		p.table.Block(p.now(), address, "it said so itself")
		return !known
	}
	if known {
		delete(p.drainSignals, address)
		p.table.Block(p.now(), address, p.stewardDraining[address])
		p.grantWaiters(p.now())
	}
	return false
}

// blockReason returns the reason why the target gets no new work; empty if it is not blocked.
func (p *pool) blockReason(address string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.BlockReason(address)
}

// release frees the placement without a result for the target.
func (pl *placement) release() {
	pl.pool.updateTable(func(now time.Time, t *routing.Table) { t.End(now, pl.address, pl.query) })
}

// succeeded frees the placement after a complete answer. latency is in seconds per unit of work.
func (pl *placement) succeeded(latency float64) {
	pl.pool.updateTable(func(now time.Time, t *routing.Table) {
		t.End(now, pl.address, pl.query)
		t.RecordSuccess(now, pl.address, latency)
		pl.pool.queue.RecordServiceTime(pl.class, now.Sub(pl.started))
	})
}

// failed frees the placement after an attempt without a complete answer and calls recordFailure with the
// routing table.
func (pl *placement) failed(recordFailure func(now time.Time, t *routing.Table)) {
	pl.pool.updateTable(func(now time.Time, t *routing.Table) {
		t.End(now, pl.address, pl.query)
		recordFailure(now, t)
	})
}

// PoolState is the state of a pool as shown by /debug/state.
type PoolState struct {
	Waiting   int                   `json:"waiting"`
	DrainRate float64               `json:"drain_rate_per_second"`
	Targets   []routing.TargetState `json:"targets"`
}

func (p *pool) state() PoolState {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	return PoolState{Waiting: p.queue.Len(), DrainRate: p.queue.DrainRate(now), Targets: p.table.State(now)}
}
