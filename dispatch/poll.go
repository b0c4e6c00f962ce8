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

// Bounds of polling. The rate doesn't depend on the number of targets.
const (
	// pollsPerSecond is the maximum number of load reports that a gate reads per second.
	pollsPerSecond = 40
	// pollInterval is the period of the poll loop.
	pollInterval = 100 * time.Millisecond
	// minPollInterval is the minimum time between two polls of a target.
	minPollInterval = 250 * time.Millisecond
	pollTimeout     = time.Second
	// pollsPerCacheRead is the number of load polls per read of a target's cache events.
	pollsPerCacheRead = 4
)

// pollRecord is the poll history of a target.
type pollRecord struct {
	lastPoll time.Time
	polls    int
}

// pollLoads polls the load of engines until ctx ends: first those that run requests of this gate, then those
// polled least recently.
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

// pollTarget is an engine that may be polled. busy is true if it runs requests of this gate.
type pollTarget struct {
	pool            *pool
	address         string
	busy            bool
	pollCacheEvents bool
	lastPoll        time.Time
}

// pickPollTargets returns at most limit engines to poll now, records them in history, and deletes the history of
// removed targets.
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

// pollTargets returns the engines of the pool; none for a pool of plain services.
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

// poll reads the load of an engine, and its cache events if t.pollCacheEvents is set.
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
	t.pool.updateTable(func(_ time.Time, table *routing.Table) { table.ApplyCacheEvents(t.address, &ev) })
}
