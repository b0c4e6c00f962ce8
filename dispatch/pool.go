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

// verdict is the one decision on a waiting request: a target, or an error.
type verdict struct {
	address string
	err     *api.Error
}

// pending is a waiting request's query and where its verdict goes.
type pending struct {
	query   routing.Query
	address string
	verdict chan verdict
}

// pool joins routing and admission of one pool.
type pool struct {
	name      string
	admission bool
	now       func() time.Time

	mu      sync.Mutex
	rand    *rand.Rand
	table   *routing.Table
	queue   *admission.Queue
	waiting map[*admission.Waiter]*pending
	kind    config.PoolKind
	// leaving are targets that said themselves that they are draining, and when.
	leaving map[string]time.Time
	// draining are targets that the steward says get no new work, with the reason.
	draining map[string]string
	gone     bool
}

// placement is a request's place on a target.
type placement struct {
	pool    *pool
	address string
	query   routing.Query
	class   config.Priority
	started time.Time
	// boot is the engine's incarnation, once known.
	boot string
	// proven is true while the pool's arbiter knows of the run alone.
	proven bool
}

func newPool(name string, opts Options, seed uint64) *pool {
	rnd := rand.New(rand.NewPCG(seed, 1))
	return &pool{
		name: name, now: opts.Now, rand: rnd, admission: opts.Policy.Admission != policyOff,
		table: routing.NewTable(routing.Options{AvailabilityZone: opts.AvailabilityZone, GateID: opts.GateID, Policy: opts.Policy.Routing, Rand: rnd}),
		queue: admission.NewQueue(), waiting: map[*admission.Waiter]*pending{}, leaving: map[string]time.Time{},
	}
}

// update puts the pool's row and the draining targets in force.
func (p *pool) update(row *config.Pool, s *wire.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.kind, p.draining = row.Kind, s.Draining
	p.table.Update(now, row, p.blocked(now, s.Draining))
	p.table.SetGates(len(s.Peers) + 1)
	for address, v := range s.EngineVersions {
		p.table.SetVersion(address, v)
	}
	p.pump(now)
}

// blocked merges what the steward says with what the targets said themselves; the strictest wins.
func (p *pool) blocked(now time.Time, draining map[string]string) map[string]string {
	all := make(map[string]string, len(draining)+len(p.leaving))
	for a, since := range p.leaving {
		if now.Sub(since) > leavingTTL {
			delete(p.leaving, a)
			continue
		}
		all[a] = "it said so itself"
	}
	for a, reason := range draining {
		all[a] = reason
	}
	return all
}

// close refuses all that waits, as the pool is no longer in the tables.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gone = true
	p.refuse(p.queue.Drop(admission.Refusal{Reason: admission.ReasonFull, RetryAfter: time.Second}))
}

// acquire waits for a place on a target. The request is decided exactly once: it either gets a
// place, or an error that it keeps.
func (p *pool) acquire(ctx context.Context, r admission.Request, q routing.Query) (*placement, *api.Error) {
	p.mu.Lock()
	now := p.now()
	q.AnyLoad = !p.admission
	if err := p.impossible(now, r, q); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	if p.queue.Len() == 0 || !p.admission {
		if address, ok := p.table.Pick(now, q); ok {
			p.table.Start(now, address, q)
			p.queue.Passed(now)
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
		p.refuse([]*admission.Waiter{displaced})
	}
	e := &pending{query: q, verdict: make(chan verdict, 1)}
	p.waiting[w] = e
	p.pump(now)
	p.mu.Unlock()
	return p.await(ctx, w, e)
}

func (p *pool) impossible(now time.Time, r admission.Request, q routing.Query) *api.Error {
	if p.gone {
		return errNoTarget(p.name, time.Second)
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return errDeadline()
	}
	if !p.table.Possible(q) {
		return errNoTarget(p.name, p.queue.Refuse(now, r, admission.ReasonFull, p.rand.Float64()).RetryAfter+time.Second)
	}
	return nil
}

func (p *pool) await(ctx context.Context, w *admission.Waiter, e *pending) (*placement, *api.Error) {
	select {
	case v := <-e.verdict:
		return p.placed(v, w, e)
	case <-ctx.Done():
	}
	p.mu.Lock()
	removed := p.queue.Remove(w)
	delete(p.waiting, w)
	p.mu.Unlock()
	if removed {
		return nil, errCallerGone()
	}
	l, err := p.placed(<-e.verdict, w, e)
	if err != nil {
		return nil, err
	}
	l.release()
	return nil, errCallerGone()
}

func (p *pool) placed(v verdict, w *admission.Waiter, e *pending) (*placement, *api.Error) {
	if v.err != nil {
		return nil, v.err
	}
	return &placement{pool: p, address: v.address, query: e.query, class: w.Priority, started: p.now()}, nil
}

// pump gives places to those who wait, in the queue's order. The caller holds the lock.
func (p *pool) pump(now time.Time) {
	p.refuse(p.queue.Expire(now, p.rand.Float64()))
	for p.queue.Len() > 0 {
		w := p.queue.Next(now, func(w *admission.Waiter) bool {
			e := p.waiting[w]
			var ok bool
			e.address, ok = p.table.Pick(now, e.query)
			return ok
		})
		if w == nil {
			break
		}
		e := p.waiting[w]
		delete(p.waiting, w)
		p.table.Start(now, e.address, e.query)
		e.verdict <- verdict{address: e.address}
	}
	p.reserve(now)
}

// reserve empties a target while a request waits to run alone.
func (p *pool) reserve(now time.Time) {
	for _, e := range p.waiting {
		if e.query.Alone {
			p.table.Reserve(now)
			return
		}
	}
	p.table.Unreserve()
}

func (p *pool) refuse(ws []*admission.Waiter) {
	for _, w := range ws {
		if e := p.waiting[w]; e != nil {
			delete(p.waiting, w)
			e.verdict <- verdict{err: errRefused(p.name, w.Refusal)}
		}
	}
}

// tick lets time pass for those who wait.
func (p *pool) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue.Len() > 0 {
		p.pump(p.now())
	}
}

// with changes the routing table, then gives places that became free.
func (p *pool) with(change func(now time.Time, t *routing.Table)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	change(now, p.table)
	p.pump(now)
}

// report takes a load report; draining is the target's own signal.
func (p *pool) report(address string, load trial.Load) {
	p.with(func(now time.Time, t *routing.Table) { t.Report(now, address, load) })
}

// signal records whether the target says itself that it is draining, and returns whether that is news.
func (p *pool) signal(address string, draining bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, known := p.leaving[address]
	if draining {
		p.leaving[address] = p.now()
		p.table.Block(p.now(), address, "it said so itself")
		return !known
	}
	if known {
		delete(p.leaving, address)
		p.table.Block(p.now(), address, p.draining[address])
		p.pump(p.now())
	}
	return false
}

// blockedNow tells why the target may get nothing new; empty if it may.
func (p *pool) blockedNow(address string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Blocked(address)
}

// release gives the place back.
func (l *placement) release() {
	l.pool.with(func(now time.Time, t *routing.Table) { t.End(now, l.address, l.query) })
}

// finished gives the place back after a run that answered; latency is in seconds per unit of work.
func (l *placement) finished(latency float64) {
	l.pool.with(func(now time.Time, t *routing.Table) {
		t.End(now, l.address, l.query)
		t.Succeeded(now, l.address, latency)
		l.pool.queue.Finished(l.class, now.Sub(l.started))
	})
}

// failed gives the place back after a run that did not answer.
func (l *placement) failed(note func(now time.Time, t *routing.Table)) {
	l.pool.with(func(now time.Time, t *routing.Table) {
		t.End(now, l.address, l.query)
		note(now, t)
	})
}

// PoolState is what /debug/state shows of a pool.
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
