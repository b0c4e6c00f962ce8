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
	retryAfter = 300 * time.Millisecond
)

// engine is what the planner believes of one engine.
type engine struct {
	instance *fleet.Instance
	versions map[string]int64
	// loading tells that version of model is being loaded, since began and at most until.
	loading      bool
	model        string
	version      int64
	began, until time.Time
	// retry is when the engine may be ordered again.
	retry time.Time
}

// Planner decides which engines load what next. Where steps accept versions that are some behind,
// an engine need not load each one: it skips as many as are accepted, and the engines take turns, so
// that some run the newest version, the others one that is still accepted, and few load at a time.
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

// candidate is an engine that should load a version of a model.
type candidate struct {
	e   *engine
	lag int64
	// must is set where the engine cannot serve the model's newest steps.
	must   bool
	intent Intent
}

// Plan returns what to order now and marks it. allowance returns by how many versions an engine may
// lag behind the newest of a model.
func (p *Planner) Plan(now time.Time, named map[string]int64, allowance func(model string) int64) []Intent {
	if p.pool == nil || p.pool.Engine == nil {
		return nil
	}
	room := (len(p.engines) + waveShare - 1) / waveShare
	for _, e := range p.engines {
		if e.busy(now) {
			room--
		}
	}
	var due []candidate
	for _, m := range p.pool.Engine.Models {
		due = append(due, p.due(now, m, named[m], max(0, allowance(m)))...)
	}
	slices.SortStableFunc(due, func(a, b candidate) int {
		if a.must != b.must {
			if a.must {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.lag, a.lag), cmp.Compare(a.e.instance.Name, b.e.instance.Name))
	})
	var out []Intent
	for _, c := range due {
		if len(out) >= room {
			break
		}
		if c.e.busy(now) {
			continue // it was taken for another model
		}
		c.e.loading, c.e.model, c.e.version = true, c.intent.Model, c.intent.Version
		c.e.began, c.e.until = now, now.Add(loadTimeout)
		out = append(out, c.intent)
	}
	return out
}

func (e *engine) busy(now time.Time) bool { return e.loading && now.Before(e.until) }

// due returns the engines that should load a model's newest version.
func (p *Planner) due(now time.Time, model string, newest, allowance int64) []candidate {
	if newest <= 0 {
		return nil
	}
	var must, may []candidate
	current := 0
	for _, e := range p.engines {
		lag := newest - e.versions[model]
		if lag <= 0 || e.busy(now) && e.model == model && e.version >= newest {
			current++
			continue
		}
		if e.instance.Draining || e.busy(now) || now.Before(e.retry) {
			continue
		}
		c := candidate{e: e, lag: lag, must: lag > allowance, intent: Intent{e.instance, model, newest}}
		if c.must {
			must = append(must, c)
		} else {
			may = append(may, c)
		}
	}
	// The engines take turns: at least one share of them runs the newest version.
	turns := int(allowance) + 1
	short := (len(p.engines)+turns-1)/turns - current - len(must)
	slices.SortFunc(may, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.lag, a.lag), cmp.Compare(a.e.instance.Name, b.e.instance.Name))
	})
	if short > 0 {
		must = append(must, may[:min(short, len(may))]...)
	}
	return must
}

// Observed takes an engine's report, and returns how long its load took if that has ended.
func (p *Planner) Observed(now time.Time, k fleet.Key, r Report) (took time.Duration, done bool) {
	e := p.engines[k]
	if e == nil {
		return 0, false
	}
	for m, v := range r.Versions {
		e.versions[m] = max(e.versions[m], v)
	}
	if e.loading && e.versions[e.model] >= e.version {
		e.loading = false
		return now.Sub(e.began), true
	}
	return 0, false
}

// Failed tells that an engine did not take its order.
func (p *Planner) Failed(now time.Time, k fleet.Key) {
	if e := p.engines[k]; e != nil {
		e.loading, e.retry = false, now.Add(retryAfter)
	}
}

// Loading returns what is being loaded.
func (p *Planner) Loading() []Intent {
	var out []Intent
	for _, e := range p.engines {
		if e.loading {
			out = append(out, Intent{e.instance, e.model, e.version})
		}
	}
	slices.SortFunc(out, func(a, b Intent) int { return cmp.Compare(a.Instance.Name, b.Instance.Name) })
	return out
}
