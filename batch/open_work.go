package batch

import (
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/scaling"
)

const (
	// arrivalWindow is the time over which the arrival of work is averaged: a few steps of a trainer.
	arrivalWindow = 12 * time.Second
	// defaultRunDeadline is the time in which items are to end whose route has no deadline.
	defaultRunDeadline = 10 * time.Second
)

// OpenWork returns the open work of a pool on the VM that runs its items.
func (s *Service) OpenWork(pool string) scaling.Load {
	now := time.Now()
	snap := s.opts.View.Get()
	if snap.Tables == nil {
		return scaling.Load{}
	}
	load := s.runner.openWork(now, snap, pool)
	p := s.partitionOf(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	load.Age = now.Sub(p.caughtUpAt)
	if !p.caughtUp() {
		load.Age = max(load.Age, arrivalWindow)
	}
	load.ArrivingSlots = arrivingSlots(now, p.index, load.EventInterval, snap.Tables, pool)
	return load
}

// arrivingSlots returns the mean number of slots that the work of the submissions in arrivalWindow occupies.
func arrivingSlots(now time.Time, index *indexState, interval time.Duration, t *fleet.Tables, pool string) float64 {
	since := now.Add(-arrivalWindow).UnixMilli()
	work := time.Duration(0)
	for i := len(index.order) - 1; i >= 0; i-- {
		sub := index.submissions[index.order[i]]
		if sub.head.AcceptedMs < since-arrivalWindow.Milliseconds() {
			break // older ones follow; clocks of VMs and the order of arrival differ by less
		}
		if sub.head.AcceptedMs < since {
			continue
		}
		route := sub.head.route(t)
		if route == nil || route.Pool != pool {
			continue
		}
		events := int64(sub.itemCount * typicalEvents)
		if tokens := int64(tokensPerEvent(t.Pool(pool))); sub.head.ExpectedTokens > 0 && tokens > 0 {
			events = sub.head.ExpectedTokens / tokens
		}
		work += time.Duration(events) * interval
	}
	return work.Seconds() / arrivalWindow.Seconds()
}

// openWork returns the items of a pool that wait for an engine or run on one, and what other VMs run there.
func (r *runner) openWork(now time.Time, snap *fleet.Snapshot, pool string) scaling.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	load := scaling.Load{EventInterval: r.engines.meanInterval(pool)}
	p := snap.Tables.Pool(pool)
	if p == nil {
		return load
	}
	tokens := tokensPerEvent(p)
	for _, jobs := range r.jobs {
		var due time.Duration
		matched := false
		for _, j := range jobs { // all jobs have the same submission
			if !matched {
				route := j.head.route(snap.Tables)
				if route == nil || route.Pool != pool {
					break
				}
				deadline := route.RunDeadline
				if deadline <= 0 {
					deadline = defaultRunDeadline
				}
				due, matched = time.UnixMilli(j.head.AcceptedMs).Add(deadline).Sub(now), true
			}
			switch {
			case j.state == jobWaiting && !j.textComplete && !j.heldLogged:
				load.Waiting++
			case j.state == jobRunning:
			default:
				continue // needs no engine, or is held back
			}
			load.Open = append(load.Open, scaling.Work{Remaining: time.Duration(j.remainingEvents(tokens)) * load.EventInterval, Due: due})
		}
	}
	for _, e := range r.engines.byKey {
		if e.instance.Pool == pool && now.Sub(e.otherLoadAt) < loadReportTTL {
			load.OtherSlots += e.otherLoad
		}
	}
	return load
}
