package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/routing"
	"github.com/ibistrail/ibistrail/shedding"
	"github.com/ibistrail/ibistrail/trial"
)

// roomCheckInterval is the time between two looks for room while requests wait: requests of other VMs end unseen. It is about half the
// work of a plain request.
const roomCheckInterval = 10 * time.Millisecond

// roomWait is a request that waits for room. The fields but done are guarded by Forwarder.mu until done is closed.
type roomWait struct {
	d    *delivery
	done chan struct{}
	// instance is the target that the request goes to; nil if it is refused after retryAfter.
	instance   *fleet.Instance
	query      routing.Query
	retryAfter time.Duration
}

// choice is what a target was chosen by, for the log: the expected time of the request there, and the target's work figure with its age.
type choice struct {
	expected    time.Duration
	workPercent int
	workAge     time.Duration
}

// setSlots tells the queue how many slots the pool's targets have.
func (p *poolState) setSlots() {
	if p.queue == nil {
		return
	}
	slots := 0
	for _, in := range p.byAddr {
		slots += in.Slots
	}
	p.queue.SetSlots(slots)
}

// startAt counts the request among the load of its target. The caller holds Forwarder.mu.
func (d *delivery) startAt(now time.Time, p *poolState, address string, q routing.Query) {
	p.table.Start(now, address, q)
	if p.queue != nil {
		p.queue.Sent(d.req.Background)
		d.queueFactor = p.table.QueueFactor(now, address)
	}
}

// pickOrWait picks a target for the next attempt. A request that no target has run takes its turn among those that wait for room; if it is
// refused, refused is set.
func (d *delivery) pickOrWait(ctx context.Context) (*fleet.Instance, routing.Query, bool) {
	if d.runs > 0 || len(d.pending) > 0 || len(d.pathLost) > 0 || len(d.atLimit) > 0 || d.continuing || d.suspect() {
		return d.pick(false)
	}
	f, now := d.f, time.Now()
	f.mu.Lock()
	p := f.poolState(now, f.view.Get(), d.poolName)
	if p.queue == nil || p.table.NoneReachable(now) {
		f.mu.Unlock()
		return d.pick(false)
	}
	r := d.roomRequest(now, p)
	if d.sends == 0 {
		p.queue.Observe(now, &r)
	}
	if p.queue.MaySend(r.Background) {
		if in, q := d.place(now, p, &r); in != nil {
			f.mu.Unlock()
			return in, q, true
		}
	}
	q := d.roomQuery(now, p)
	q.IgnoreLimits, q.LeaveFree = true, false
	if _, ok := p.table.Pick(now, q); !ok {
		f.mu.Unlock()
		return nil, q, false // the pool has no target
	}
	decision := p.queue.Arrive(now, r)
	if decision.Action == shedding.Refuse {
		state := p.queue.Counts(now)
		f.mu.Unlock()
		d.refused = refusal(http.StatusServiceUnavailable, decision.Reason, decision.RetryAfter)
		d.logRoom("refused", 0, decision, state, decision.RetryAfter)
		return nil, q, false
	}
	w := &roomWait{d: d, done: make(chan struct{})}
	decision.Waiter.Value = w
	f.checkLater(d.poolName, p)
	f.mu.Unlock()
	return d.awaitRoom(ctx, p, w, decision)
}

// awaitRoom waits until the request has a place or is refused. endWaits ends the wait in time.
func (d *delivery) awaitRoom(ctx context.Context, p *poolState, w *roomWait, decision shedding.Decision) (*fleet.Instance, routing.Query, bool) {
	select {
	case <-w.done:
	case <-ctx.Done():
	}
	f, now := d.f, time.Now()
	f.mu.Lock()
	left := p.queue.Leave(decision.Waiter) || ctx.Err() != nil
	if left && w.instance != nil {
		p.table.End(now, w.instance.Address, w.query)
		p.queue.Unsent(d.req.Background)
		f.placeWaiting(now, p)
	}
	state := p.queue.Counts(now)
	f.mu.Unlock()
	outcome := "placed"
	switch {
	case left:
		outcome = "left"
	case w.instance == nil:
		outcome = "refused_waiting"
		d.refused = refusal(http.StatusServiceUnavailable, "no target had room for the request", w.retryAfter)
	}
	d.logRoom(outcome, now.Sub(decision.Waiter.Arrived()), decision, state, w.retryAfter)
	return w.instance, w.query, outcome == "placed"
}

// logRoom logs and counts what became of a request that found no room at once.
func (d *delivery) logRoom(outcome string, waited time.Duration, decision shedding.Decision, s shedding.State, retryAfter time.Duration) {
	key := outcome
	if d.req.Background {
		key = "background." + outcome
	}
	d.f.roomWaits.Add(key, 1)
	d.f.log.Info("room_wait", "id", d.req.ID, "pool", d.poolName, "organisation", d.req.Organisation, "background", d.req.Background, "outcome", outcome,
		"waited_ms", waited.Milliseconds(), "ahead", decision.Ahead, "estimate_ms", decision.Estimate.Milliseconds(), "max_wait_ms", decision.MaxWait.Milliseconds(),
		"rate_per_s", int(decision.Rate), "rate_ms", decision.RateAge.Milliseconds(), "callers", s.Callers, "background_waiting", s.Background,
		"in_flight", s.InFlight, "away", s.Away, "retry_after_ms", retryAfter.Milliseconds(), "reason", decision.Reason)
}

// roomRequest describes the request to the queue. The caller holds Forwarder.mu.
func (d *delivery) roomRequest(now time.Time, p *poolState) shedding.Request {
	r := shedding.Request{
		ID: d.req.ID, Kind: d.route.Name, Organisation: d.req.Organisation, Background: d.req.Background, Budget: d.deadline.Sub(now), Waited: now.Sub(d.startedAt),
	}
	r.Work, _ = p.table.Work(d.route.Name)
	if d.route.TargetLatency > 0 {
		r.Objective = max(1, d.route.TargetLatency-r.Waited)
	}
	return r
}

// roomQuery returns the query for the request's next target. The caller holds Forwarder.mu.
func (d *delivery) roomQuery(now time.Time, p *poolState) routing.Query {
	q := routing.Query{
		Avoid: d.tried, Exclude: d.excluded(p, false), Kind: d.route.Name, Budget: d.deadline.Sub(now), LeaveFree: p.queue.LeaveFree(d.req.Background),
	}
	if d.route.TargetLatency > 0 {
		q.Objective = max(1, d.route.TargetLatency-now.Sub(d.startedAt))
	}
	return q
}

// place picks a target with room and counts the request there. It returns nil if there is none, or if the request would take longer there
// than its time because of the queue or the target's pace. It sets r.Expected. The caller holds Forwarder.mu.
func (d *delivery) place(now time.Time, p *poolState, r *shedding.Request) (*fleet.Instance, routing.Query) {
	q := d.roomQuery(now, p)
	address, ok := p.table.Pick(now, q)
	in := p.byAddr[address]
	if !ok || in == nil {
		return nil, q
	}
	work, known := p.table.Work(q.Kind)
	expected := p.table.Expected(now, address, q.Kind)
	if known && work <= q.Budget {
		r.Expected = expected
		if expected > q.Budget {
			return nil, q
		}
	}
	percent, age := p.table.WorkFigure(now, address)
	d.choice = choice{expected, percent, age}
	d.startAt(now, p, address, q)
	return in, q
}

// placeWaiting gives room to the requests that wait. The caller holds mu.
func (f *Forwarder) placeWaiting(now time.Time, p *poolState) {
	if p.queue.Waiting() == 0 {
		return
	}
	placed := p.queue.Dispatch(now, func(w *shedding.Waiter) bool {
		x := w.Value.(*roomWait)
		x.instance, x.query = x.d.place(now, p, &w.Request)
		return x.instance != nil
	})
	for _, w := range placed {
		close(w.Value.(*roomWait).done)
	}
}

// endWaits refuses the requests that wait in vain. The caller holds mu.
func (f *Forwarder) endWaits(now time.Time, p *poolState) {
	refused := p.queue.Expire(now)
	if p.table.NoneReachable(now) {
		refused = append(refused, p.queue.Clear()...)
	}
	for _, w := range refused {
		x := w.Value.(*roomWait)
		x.retryAfter = p.queue.RefuseWaiter(now, w)
		close(x.done)
	}
}

// checkLater looks for room again after roomCheckInterval, if requests wait. The caller holds mu.
func (f *Forwarder) checkLater(pool string, p *poolState) {
	if p.checking || p.queue.Waiting() == 0 {
		return
	}
	p.checking = true
	time.AfterFunc(roomCheckInterval, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		p.checking = false
		now := time.Now()
		f.poolState(now, f.view.Get(), pool)
		f.placeWaiting(now, p)
		f.endWaits(now, p)
		f.checkLater(pool, p)
	})
}

// recordPlace records at the queue that a send has ended, and the target's load report. The report counts the send itself, so it is recorded
// before the send is taken from the target's load. The caller holds Forwarder.mu.
func (d *delivery) recordPlace(now time.Time, p *poolState, o outcome) {
	if o.err == nil && !o.answer.NotExecuted {
		p.queue.Ended(now, d.req.Background)
	} else {
		p.queue.Unsent(d.req.Background)
	}
	if o.err != nil || o.answer.Load == nil {
		return
	}
	l, address := o.answer.Load, o.attempt.instance.Address
	p.table.RecordLoad(now, address, trial.Load{Running: l.Running, Waiting: l.Waiting, BatchLimit: l.Slots})
	p.table.RecordWork(now, address, l.WorkPercent)
}

// recordUnfinished records how long the pending sends have taken, from which targets that became slow are known before they answer.
func (d *delivery) recordUnfinished() {
	d.f.mu.Lock()
	defer d.f.mu.Unlock()
	p, now := d.f.pools[d.poolName], time.Now()
	if p.queue == nil {
		return
	}
	for a := range d.pending {
		p.table.RecordUnfinished(now, a.instance.Address, d.route.Name, now.Sub(a.startedAt), a.queueFactor)
	}
}

// noRoom returns the refusal of a request that targets have not run, with a Retry-After from the rate at which room frees; nil if the pool
// has no queue.
func (d *delivery) noRoom() *Reply {
	if d.refused != nil {
		return d.refused
	}
	f, now := d.f, time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[d.poolName]
	if p.queue == nil || d.sends == 0 {
		return nil
	}
	after := max(d.permitDelay, p.queue.RefuseUnsent(now, d.roomRequest(now, p)))
	return refusal(http.StatusServiceUnavailable, "no target had room for the request", after)
}

// Waiting returns the state of the requests that wait for room, by pool, for the state dump.
func (f *Forwarder) Waiting() map[string]shedding.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]shedding.State{}
	for name, p := range f.pools {
		if p.queue != nil {
			out[name] = p.queue.State(time.Now())
		}
	}
	return out
}
