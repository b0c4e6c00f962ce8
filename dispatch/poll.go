package dispatch

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/routing"
	"github.com/ibistrail/ibistrail/trial"
)

// Bounds of polls: their number a second does not depend on the number of targets.
const (
	// pollsPerSecond is the number of load reports that a gate reads a second.
	pollsPerSecond = 40
	// pollInterval is the period of the poll loop.
	pollInterval = 100 * time.Millisecond
	// minPollInterval is the age before which a target is not polled again.
	minPollInterval = 250 * time.Millisecond
	pollTimeout     = time.Second
	// pollsPerCacheRead is the number of load reports for one reading of cache events.
	pollsPerCacheRead = 4
)

// pollRecord is when a target was polled.
type pollRecord struct {
	lastPoll time.Time
	polls    int
}

// pollLoads reads load reports of engines: of those that run own requests first, then of those
// not read for the longest time.
func (d *Dispatcher) pollLoads(ctx context.Context) {
	history := map[string]*pollRecord{}
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, t := range d.pickPollTargets(history, pollsPerSecond/int(time.Second/pollInterval)) {
			wg.Go(func() { d.poll(ctx, t) })
		}
	}
}

// pollTarget is an engine to be polled.
type pollTarget struct {
	pool            *pool
	address         string
	busy            bool
	pollCacheEvents bool
	lastPoll        time.Time
}

// pickPollTargets picks at most n engines.
func (d *Dispatcher) pickPollTargets(history map[string]*pollRecord, limit int) []pollTarget {
	now := d.opts.Now()
	var candidates []pollTarget
	known := map[string]bool{}
	for _, p := range d.allPools() {
		for _, t := range p.pollTargets() {
			known[t.address] = true
			if h := history[t.address]; h != nil {
				t.lastPoll, t.pollCacheEvents = h.lastPoll, h.polls%pollsPerCacheRead == 0
			}
			if now.Sub(t.lastPoll) >= minPollInterval {
				candidates = append(candidates, t)
			}
		}
	}
	for a := range history {
		if !known[a] {
			delete(history, a)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].busy != candidates[j].busy {
			return candidates[i].busy
		}
		return candidates[i].lastPoll.Before(candidates[j].lastPoll)
	})
	candidates = candidates[:min(limit, len(candidates))]
	for _, t := range candidates {
		h := history[t.address]
		if h == nil {
			h = &pollRecord{}
			history[t.address] = h
		}
		h.lastPoll = now
		h.polls++
	}
	return candidates
}

// pollTargets returns the pool's engines.
func (p *pool) pollTargets() []pollTarget {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.kind != config.PoolEngines {
		return nil
	}
	states := p.table.State(p.now())
	out := make([]pollTarget, 0, len(states))
	for _, s := range states {
		out = append(out, pollTarget{pool: p, address: s.Address, busy: s.InFlight > 0})
	}
	return out
}

// poll reads the load of one engine, and now and then its cache events.
func (d *Dispatcher) poll(ctx context.Context, t pollTarget) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var load trial.Load
	draining, err := d.getJSON(ctx, t.address, trial.PathLoad, &load)
	if err != nil {
		return
	}
	d.recordDrainSignal(t.pool, t.address, draining)
	t.pool.applyLoadReport(t.address, load)
	if t.pollCacheEvents {
		d.pollCache(ctx, t)
	}
}

func (d *Dispatcher) pollCache(ctx context.Context, t pollTarget) {
	t.pool.mu.Lock()
	since := t.pool.table.CacheSince(t.address)
	t.pool.mu.Unlock()
	var ev trial.CacheEvents
	if _, err := d.getJSON(ctx, t.address, trial.PathCacheEvents+"?since="+formatInt(since), &ev); err != nil {
		return
	}
	d.setBoot(t.address, ev.Boot)
	t.pool.updateTable(func(_ time.Time, table *routing.Table) { table.CacheEvents(t.address, &ev) })
}
