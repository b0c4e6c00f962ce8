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
	// pollEvery is the period of the poll loop.
	pollEvery = 100 * time.Millisecond
	// pollMinAge is the age before which a target is not polled again.
	pollMinAge  = 250 * time.Millisecond
	pollTimeout = time.Second
	// cacheEvery is the number of load reports for one reading of cache events.
	cacheEvery = 4
)

// polled is when a target was polled.
type polled struct {
	at    time.Time
	count int
}

// pollLoads reads load reports of engines: of those that run own requests first, then of those
// not read for the longest time.
func (d *Dispatcher) pollLoads(ctx context.Context) {
	history := map[string]*polled{}
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, t := range d.toPoll(history, pollsPerSecond/int(time.Second/pollEvery)) {
			wg.Go(func() { d.poll(ctx, t) })
		}
	}
}

// pollTarget is an engine to be polled.
type pollTarget struct {
	pool    *pool
	address string
	busy    bool
	cache   bool
	last    time.Time
}

// toPoll picks at most n engines.
func (d *Dispatcher) toPoll(history map[string]*polled, n int) []pollTarget {
	now := d.opts.Now()
	var all []pollTarget
	known := map[string]bool{}
	for _, p := range d.allPools() {
		for _, t := range p.pollable() {
			known[t.address] = true
			if h := history[t.address]; h != nil {
				t.last, t.cache = h.at, h.count%cacheEvery == 0
			}
			if now.Sub(t.last) >= pollMinAge {
				all = append(all, t)
			}
		}
	}
	for a := range history {
		if !known[a] {
			delete(history, a)
		}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].busy != all[j].busy {
			return all[i].busy
		}
		return all[i].last.Before(all[j].last)
	})
	all = all[:min(n, len(all))]
	for _, t := range all {
		h := history[t.address]
		if h == nil {
			h = &polled{}
			history[t.address] = h
		}
		h.at = now
		h.count++
	}
	return all
}

// pollable returns the pool's engines.
func (p *pool) pollable() []pollTarget {
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
	draining, err := d.get(ctx, t.address, trial.PathLoad, &load)
	if err != nil {
		return
	}
	d.leaving(t.pool, t.address, draining)
	t.pool.report(t.address, load)
	if t.cache {
		d.pollCache(ctx, t)
	}
}

func (d *Dispatcher) pollCache(ctx context.Context, t pollTarget) {
	t.pool.mu.Lock()
	since := t.pool.table.CacheSince(t.address)
	t.pool.mu.Unlock()
	var ev trial.CacheEvents
	if _, err := d.get(ctx, t.address, trial.PathCacheEvents+"?since="+formatInt(since), &ev); err != nil {
		return
	}
	d.setBoot(t.address, ev.Boot)
	t.pool.with(func(_ time.Time, table *routing.Table) { table.CacheEvents(t.address, &ev) })
}
