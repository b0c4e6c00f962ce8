package versions

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
)

// Bounds of a plan.
const (
	// waveDivisor is the part of a pool that may load at once, as a divisor: the others keep serving, and
	// loads slow each other down when more share the weights' source.
	waveDivisor = 5
	// loadTimeout is how long an accepted order may take before the engine is asked again.
	loadTimeout = 4 * time.Second
	// initialLoadTime and typicalStep hold until a load, or the time between two versions, was measured.
	initialLoadTime       = time.Second
	initialNamingInterval = 4 * time.Second
	// averageGain is the weight of a new measurement in a moving average.
	averageGain = 0.3
	// firstReportShare is the part of a load's usual time after which its engine is asked for the first time,
	// reportEvery the pause from then on.
	firstReportShare = 0.9
	reportInterval   = 120 * time.Millisecond
	// retryDelay is the pause after an order that failed, or that another one was in the way of.
	retryDelay = 300 * time.Millisecond
)

// engine is what the planner believes of one engine.
type engine struct {
	instance *fleet.Instance
	versions map[string]int64
	// loading tells that version of model is being loaded, since began and at most until.
	loading                   bool
	loadModel                 string
	loadVersion               int64
	loadStarted, loadDeadline time.Time
	// nextReport is when to read the engine's report next.
	nextReport time.Time
	// retryAt is when the engine may be ordered again.
	retryAt time.Time
}

// Planner decides which engines load what next. Where steps accept versions that are some behind,
// an engine need not load each one: it skips as many as are accepted, and the engines take turns, so
// that some run the newest version, the others one that is still accepted, and few load at a time.
type Planner struct {
	engines     map[fleet.Key]*engine
	pool        *fleet.Pool
	namingRates map[string]*namingRate
	// loadTime is how long a load lasts.
	loadTime time.Duration
}

// namingRate is how often versions of a model are named.
type namingRate struct {
	version  int64
	namedAt  time.Time
	interval time.Duration
}

// NewPlanner returns a planner without engines.
func NewPlanner() *Planner {
	return &Planner{engines: map[fleet.Key]*engine{}, namingRates: map[string]*namingRate{}, loadTime: initialLoadTime}
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
	// hasQueued is set where items of the model wait for an engine.
	hasQueued bool
	lag       int64
	freeSlots int
}

// Plan returns what to order now and marks it.
func (p *Planner) Plan(now time.Time, named map[string]int64, needs Needs) []Intent {
	if p.pool == nil || p.pool.Engine == nil {
		return nil
	}
	waveSize := (len(p.engines) + waveDivisor - 1) / waveDivisor
	free := waveSize
	for _, e := range p.engines {
		if e.busy(now) {
			free--
		}
	}
	if free <= 0 {
		return nil
	}
	p.recordNamed(now, named)
	shares := p.engineShares(needs, waveSize)
	var due []candidate
	for _, m := range p.pool.Engine.Models {
		due = append(due, p.candidates(now, m, named[m], shares[m], needs)...)
	}
	slices.SortStableFunc(due, func(a, b candidate) int {
		if a.hasQueued != b.hasQueued {
			if a.hasQueued {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.freeSlots, a.freeSlots), cmp.Compare(b.lag, a.lag), cmp.Compare(a.e.instance.Name, b.e.instance.Name))
	})
	var out []Intent
	for _, c := range due {
		if len(out) >= free {
			break
		}
		if c.e.busy(now) {
			continue // it was taken for another model
		}
		c.e.loading, c.e.loadModel, c.e.loadVersion = true, c.intent.Model, c.intent.Version
		c.e.loadStarted, c.e.loadDeadline = now, now.Add(loadTimeout)
		c.e.nextReport = now.Add(time.Duration(firstReportShare * float64(p.loadTime)))
		out = append(out, c.intent)
	}
	return out
}

func (e *engine) busy(now time.Time) bool { return e.loading && now.Before(e.loadDeadline) }

// recordNamed follows how often each model's versions are named.
func (p *Planner) recordNamed(now time.Time, named map[string]int64) {
	for m, v := range named {
		n := p.namingRates[m]
		if n == nil {
			p.namingRates[m] = &namingRate{version: v, namedAt: now, interval: initialNamingInterval}
			continue
		}
		if v > n.version {
			interval := now.Sub(n.namedAt) / time.Duration(v-n.version)
			n.interval += time.Duration(averageGain * float64(interval-n.interval))
			n.version, n.namedAt = v, now
		}
	}
}

// engineShares returns how many engines should be able to serve each model. Where the loads for all engines
// fit between two versions that is all of them; else the loads that fit are shared by the models'
// work, so that a model with little to do does not take engines from the others.
func (p *Planner) engineShares(needs Needs, waveSize int) map[string]int {
	shares := map[string]int{}
	wantedRate, totalWork := 0.0, 0.0 // loads a second that all engines would take; work of all models
	for _, m := range p.pool.Engine.Models {
		shares[m] = len(p.engines)
		n := p.namingRates[m]
		if n == nil || n.interval <= 0 {
			continue
		}
		wantedRate += float64(len(p.engines)) / float64(needs.Allowance(m)+1) / n.interval.Seconds()
		totalWork += needs.Work(m)
	}
	possibleRate := float64(waveSize) / p.loadTime.Seconds()
	if wantedRate <= possibleRate || totalWork <= 0 {
		return shares
	}
	for _, m := range p.pool.Engine.Models {
		n := p.namingRates[m]
		if n == nil || n.interval <= 0 {
			continue
		}
		loadsPerVersion := possibleRate * needs.Work(m) / totalWork * n.interval.Seconds() // for each version
		shares[m] = min(len(p.engines), max(1, int(loadsPerVersion*float64(needs.Allowance(m)+1)+0.5)))
	}
	return shares
}

// candidates returns the engines that should load a model's newest version, so that share engines can serve
// its newest steps, and a part of these runs the newest version already.
func (p *Planner) candidates(now time.Time, model string, newest int64, share int, needs Needs) []candidate {
	if newest <= 0 {
		return nil
	}
	allowance := max(0, needs.Allowance(model))
	var tooOld, accepted []candidate
	current, usable := 0, 0
	for k, e := range p.engines {
		lag := newest - e.versions[model]
		if lag <= 0 || e.busy(now) && e.loadModel == model && e.loadVersion >= newest {
			current++
			usable++
			continue
		}
		if lag <= allowance {
			usable++
		}
		if e.instance.Draining || e.busy(now) || now.Before(e.retryAt) {
			continue
		}
		c := candidate{e: e, lag: lag, hasQueued: lag > allowance && needs.Waiting(model), freeSlots: needs.Room(k), intent: Intent{e.instance, model, newest}}
		if lag > allowance {
			tooOld = append(tooOld, c)
		} else {
			accepted = append(accepted, c)
		}
	}
	// Engines that followed the model most lately go on with it.
	byLag := func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.lag, b.lag), cmp.Compare(b.freeSlots, a.freeSlots), cmp.Compare(a.e.instance.Name, b.e.instance.Name))
	}
	slices.SortFunc(tooOld, byLag)
	slices.SortFunc(accepted, func(a, b candidate) int { return byLag(b, a) })
	out := tooOld[:min(len(tooOld), max(0, share-usable))]
	turns := int(allowance) + 1
	if short := (share+turns-1)/turns - current - len(out); short > 0 {
		out = append(out, accepted[:min(short, len(accepted))]...)
	}
	return out
}

// RecordReport takes an engine's report, and returns how long its load took if that has ended.
func (p *Planner) RecordReport(now time.Time, k fleet.Key, r Report) (took time.Duration, done bool) {
	e := p.engines[k]
	if e == nil {
		return 0, false
	}
	for m, v := range r.Versions {
		e.versions[m] = max(e.versions[m], v)
	}
	if e.loading && e.versions[e.loadModel] >= e.loadVersion {
		e.loading = false
		took = now.Sub(e.loadStarted)
		p.loadTime += time.Duration(averageGain * float64(took-p.loadTime))
		return took, true
	}
	return 0, false
}

// RecordFailure tells that an engine did not take its order.
func (p *Planner) RecordFailure(now time.Time, k fleet.Key) {
	if e := p.engines[k]; e != nil {
		e.loading, e.retryAt = false, now.Add(retryDelay)
	}
}

// ReportsDue returns the loads whose engines' reports are to be read now.
func (p *Planner) ReportsDue(now time.Time) []Intent {
	var out []Intent
	for _, e := range p.engines {
		if e.loading && !now.Before(e.nextReport) {
			e.nextReport = now.Add(reportInterval)
			out = append(out, Intent{e.instance, e.loadModel, e.loadVersion})
		}
	}
	slices.SortFunc(out, func(a, b Intent) int { return cmp.Compare(a.Instance.Name, b.Instance.Name) })
	return out
}

// NextCheck returns how long it takes until an engine is to be asked or ordered again; ok is false if none is.
func (p *Planner) NextCheck(now time.Time) (wait time.Duration, ok bool) {
	for _, e := range p.engines {
		at := e.retryAt
		if e.loading {
			at = e.nextReport
		}
		if d := at.Sub(now); d > 0 && (!ok || d < wait) {
			wait, ok = d, true
		}
	}
	return wait, ok
}
