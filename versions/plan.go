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
	// typicalLoad and typicalStep hold until a load, or the time between two versions, was measured.
	typicalLoad = time.Second
	typicalStep = 4 * time.Second
	// paceGain is the weight of a new measurement in a moving average.
	paceGain = 0.3
	// firstReport is the part of a load's usual time after which its engine is asked for the first time,
	// reportEvery the pause from then on.
	firstReport = 0.9
	reportEvery = 120 * time.Millisecond
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
	// askAt is when to read the engine's report next.
	askAt time.Time
	// retry is when the engine may be ordered again.
	retry time.Time
}

// Planner decides which engines load what next. Where steps accept versions that are some behind,
// an engine need not load each one: it skips as many as are accepted, and the engines take turns, so
// that some run the newest version, the others one that is still accepted, and few load at a time.
type Planner struct {
	engines map[fleet.Key]*engine
	pool    *fleet.Pool
	named   map[string]*naming
	// load is how long a load lasts.
	load time.Duration
}

// naming is how often versions of a model are named.
type naming struct {
	version int64
	at      time.Time
	every   time.Duration
}

// NewPlanner returns a planner without engines.
func NewPlanner() *Planner {
	return &Planner{engines: map[fleet.Key]*engine{}, named: map[string]*naming{}, load: typicalLoad}
}

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

// Needs tells what the steps of each model want of the engines.
type Needs interface {
	// Allowance returns by how many versions an engine may lag behind the newest of a model.
	Allowance(model string) int64
	// Work is the recent work of a model in engine time for each version; only ratios count.
	Work(model string) float64
	// Waiting tells whether items of the model wait for an engine now.
	Waiting(model string) bool
	// Room is the number of requests that an engine could start now.
	Room(k fleet.Key) int
}

// candidate is an engine that should load a version of a model.
type candidate struct {
	e      *engine
	intent Intent
	// urgent is set where items of the model wait for an engine.
	urgent bool
	lag    int64
	room   int
}

// Plan returns what to order now and marks it.
func (p *Planner) Plan(now time.Time, named map[string]int64, needs Needs) []Intent {
	if p.pool == nil || p.pool.Engine == nil {
		return nil
	}
	wave := (len(p.engines) + waveShare - 1) / waveShare
	room := wave
	for _, e := range p.engines {
		if e.busy(now) {
			room--
		}
	}
	if room <= 0 {
		return nil
	}
	p.noteNamed(now, named)
	share := p.shares(needs, wave)
	var due []candidate
	for _, m := range p.pool.Engine.Models {
		due = append(due, p.due(now, m, named[m], share[m], needs)...)
	}
	slices.SortStableFunc(due, func(a, b candidate) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.room, a.room), cmp.Compare(b.lag, a.lag), cmp.Compare(a.e.instance.Name, b.e.instance.Name))
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
		c.e.askAt = now.Add(time.Duration(firstReport * float64(p.load)))
		out = append(out, c.intent)
	}
	return out
}

func (e *engine) busy(now time.Time) bool { return e.loading && now.Before(e.until) }

// noteNamed follows how often each model's versions are named.
func (p *Planner) noteNamed(now time.Time, named map[string]int64) {
	for m, v := range named {
		n := p.named[m]
		if n == nil {
			p.named[m] = &naming{version: v, at: now, every: typicalStep}
			continue
		}
		if v > n.version {
			every := now.Sub(n.at) / time.Duration(v-n.version)
			n.every += time.Duration(paceGain * float64(every-n.every))
			n.version, n.at = v, now
		}
	}
}

// shares returns how many engines should be able to serve each model. Where the loads for all engines
// fit between two versions that is all of them; else the loads that fit are shared by the models'
// work, so that a model with little to do does not take engines from the others.
func (p *Planner) shares(needs Needs, wave int) map[string]int {
	out := map[string]int{}
	wanted, work := 0.0, 0.0 // loads a second that all engines would take; work of all models
	for _, m := range p.pool.Engine.Models {
		out[m] = len(p.engines)
		n := p.named[m]
		if n == nil || n.every <= 0 {
			continue
		}
		wanted += float64(len(p.engines)) / float64(needs.Allowance(m)+1) / n.every.Seconds()
		work += needs.Work(m)
	}
	possible := float64(wave) / p.load.Seconds()
	if wanted <= possible || work <= 0 {
		return out
	}
	for _, m := range p.pool.Engine.Models {
		n := p.named[m]
		if n == nil || n.every <= 0 {
			continue
		}
		loads := possible * needs.Work(m) / work * n.every.Seconds() // for each version
		out[m] = min(len(p.engines), max(1, int(loads*float64(needs.Allowance(m)+1)+0.5)))
	}
	return out
}

// due returns the engines that should load a model's newest version, so that share engines can serve
// its newest steps, and a part of these runs the newest version already.
func (p *Planner) due(now time.Time, model string, newest int64, share int, needs Needs) []candidate {
	if newest <= 0 {
		return nil
	}
	allowance := max(0, needs.Allowance(model))
	var old, accepted []candidate
	current, usable := 0, 0
	for k, e := range p.engines {
		lag := newest - e.versions[model]
		if lag <= 0 || e.busy(now) && e.model == model && e.version >= newest {
			current++
			usable++
			continue
		}
		if lag <= allowance {
			usable++
		}
		if e.instance.Draining || e.busy(now) || now.Before(e.retry) {
			continue
		}
		c := candidate{e: e, lag: lag, urgent: lag > allowance && needs.Waiting(model), room: needs.Room(k), intent: Intent{e.instance, model, newest}}
		if lag > allowance {
			old = append(old, c)
		} else {
			accepted = append(accepted, c)
		}
	}
	// Engines that followed the model most lately go on with it.
	byLag := func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.lag, b.lag), cmp.Compare(b.room, a.room), cmp.Compare(a.e.instance.Name, b.e.instance.Name))
	}
	slices.SortFunc(old, byLag)
	slices.SortFunc(accepted, func(a, b candidate) int { return byLag(b, a) })
	out := old[:min(len(old), max(0, share-usable))]
	turns := int(allowance) + 1
	if short := (share+turns-1)/turns - current - len(out); short > 0 {
		out = append(out, accepted[:min(short, len(accepted))]...)
	}
	return out
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
		took = now.Sub(e.began)
		p.load += time.Duration(paceGain * float64(took-p.load))
		return took, true
	}
	return 0, false
}

// Failed tells that an engine did not take its order.
func (p *Planner) Failed(now time.Time, k fleet.Key) {
	if e := p.engines[k]; e != nil {
		e.loading, e.retry = false, now.Add(retryAfter)
	}
}

// Ask returns the loads whose engines' reports are to be read now.
func (p *Planner) Ask(now time.Time) []Intent {
	var out []Intent
	for _, e := range p.engines {
		if e.loading && !now.Before(e.askAt) {
			e.askAt = now.Add(reportEvery)
			out = append(out, Intent{e.instance, e.model, e.version})
		}
	}
	slices.SortFunc(out, func(a, b Intent) int { return cmp.Compare(a.Instance.Name, b.Instance.Name) })
	return out
}

// Next returns how long it takes until an engine is to be asked or ordered again; ok is false if none is.
func (p *Planner) Next(now time.Time) (wait time.Duration, ok bool) {
	for _, e := range p.engines {
		at := e.retry
		if e.loading {
			at = e.askAt
		}
		if d := at.Sub(now); d > 0 && (!ok || d < wait) {
			wait, ok = d, true
		}
	}
	return wait, ok
}
