package versions

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
)

// Bounds of a plan.
const (
	// waveShare is the part of a pool that may load at once, as a divisor: the others keep serving, and
	// loads slow each other down when more share the weights' source.
	waveShare = 5
	// loadTimeout is how long an accepted order may take before the engine is asked again.
	loadTimeout = 4 * time.Second
	// retryAfter is the pause after an order that failed, or that another one was in the way of.
	retryAfter = 400 * time.Millisecond
)

// engine is what the planner believes of one engine.
type engine struct {
	instance *fleet.Instance
	versions map[string]int64
	// loading is the version being loaded until done, in model.
	loading bool
	model   string
	version int64
	until   time.Time
	// retry is when the engine may be ordered again.
	retry time.Time
}

// Planner decides which engines load what next.
type Planner struct {
	engines map[fleet.Key]*engine
	pool    *fleet.Pool
}

// NewPlanner returns a planner without engines.
func NewPlanner() *Planner { return &Planner{engines: map[fleet.Key]*engine{}} }

// Update takes the pool's registered engines. Registrations lag, so a version that was reported
// later stays if it is higher.
func (p *Planner) Update(pool *fleet.Pool, instances []*fleet.Instance) {
	p.pool = pool
	seen := make(map[fleet.Key]bool, len(instances))
	for _, in := range instances {
		seen[in.Key()] = true
		e := p.engines[in.Key()]
		if e == nil {
			e = &engine{versions: map[string]int64{}}
			p.engines[in.Key()] = e
		}
		e.instance = in
		for m, v := range in.Versions {
			e.versions[m] = max(e.versions[m], v)
		}
	}
	for k := range p.engines {
		if !seen[k] {
			delete(p.engines, k)
		}
	}
}

// Intent is an engine that is to load a version.
type Intent struct {
	Instance *fleet.Instance
	Model    string
	Version  int64
}

// Plan returns what to order now, the engines that are furthest behind first, and marks them.
func (p *Planner) Plan(now time.Time, named map[string]int64) []Intent {
	if p.pool == nil || p.pool.Engine == nil {
		return nil
	}
	current := make([]*fleet.Instance, 0, len(p.engines))
	room := (len(p.engines) + waveShare - 1) / waveShare
	for _, e := range p.engines {
		seen := *e.instance
		seen.Versions = e.versions
		current = append(current, &seen)
		if e.loading && now.Before(e.until) {
			room--
		}
	}
	slices.SortFunc(current, func(a, b *fleet.Instance) int { return cmp.Compare(a.Name, b.Name) })
	assigned := Assign(p.pool.Engine.Models, named, current)
	type candidate struct {
		e      *engine
		intent Intent
		lag    int64
	}
	var due []candidate
	for _, in := range current {
		e := p.engines[in.Key()]
		m := assigned[in.Name]
		lag := named[m] - e.versions[m]
		if lag <= 0 || in.Draining || e.loading && now.Before(e.until) || now.Before(e.retry) {
			continue
		}
		due = append(due, candidate{e, Intent{e.instance, m, named[m]}, lag})
	}
	slices.SortStableFunc(due, func(a, b candidate) int { return cmp.Compare(b.lag, a.lag) })
	var out []Intent
	for _, c := range due {
		if len(out) >= room {
			break
		}
		c.e.loading, c.e.model, c.e.version, c.e.until = true, c.intent.Model, c.intent.Version, now.Add(loadTimeout)
		out = append(out, c.intent)
	}
	return out
}

// Observed takes an engine's report.
func (p *Planner) Observed(now time.Time, k fleet.Key, r Report) {
	e := p.engines[k]
	if e == nil {
		return
	}
	for m, v := range r.Versions {
		e.versions[m] = max(e.versions[m], v)
	}
	if e.loading && e.versions[e.model] >= e.version {
		e.loading = false
	}
}

// Failed tells that an engine did not take its order.
func (p *Planner) Failed(now time.Time, k fleet.Key) {
	if e := p.engines[k]; e != nil {
		e.loading, e.retry = false, now.Add(retryAfter)
	}
}

// Loading returns the engines whose orders are being carried out.
func (p *Planner) Loading() []*fleet.Instance {
	var out []*fleet.Instance
	for _, e := range p.engines {
		if e.loading {
			out = append(out, e.instance)
		}
	}
	slices.SortFunc(out, func(a, b *fleet.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Pending tells whether some engine still has to load a version.
func (p *Planner) Pending(named map[string]int64) bool {
	for _, e := range p.engines {
		if e.loading {
			return true
		}
		if p.pool == nil || p.pool.Engine == nil {
			continue
		}
		for _, m := range p.pool.Engine.Models {
			if e.versions[m] < named[m] {
				return true
			}
		}
	}
	return false
}
