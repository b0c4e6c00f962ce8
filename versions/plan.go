package versions

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
)

// Parameters of the plan.
const (
	// waveDivisor sets the wave size: one in waveDivisor engines of a pool may load at a time. The others keep serving, and
	// loads slow each other down when more of them share the source of the weights.
	waveDivisor = 5
	// loadTimeout is the time after which an order whose load did not complete is sent again.
	loadTimeout = 4 * time.Second
	// initialLoadTime and initialNamingInterval are the initial estimates of the duration of a load and of the time
	// between two versions of a model.
	initialLoadTime       = time.Second
	initialNamingInterval = 4 * time.Second
	// averageGain is the weight of a new measurement in the moving averages.
	averageGain = 0.3
	// firstReportShare is the share of the average load time after which a loading engine's report is read first;
	// reportInterval is the time between further reads.
	firstReportShare = 0.9
	reportInterval   = 120 * time.Millisecond
	// retryDelay is the time before an engine is ordered again after an order failed or conflicted with another.
	retryDelay = 300 * time.Millisecond
)

// engine is the planner's state of one engine.
type engine struct {
	instance *fleet.Instance
	versions map[string]int64
	// loading is set while loadVersion of loadModel is being loaded, until loadDeadline at most.
	loading                   bool
	loadModel                 string
	loadVersion               int64
	loadStarted, loadDeadline time.Time
	// nextReport is the time at which to read the engine's report next.
	nextReport time.Time
	// retryAt is the time from which on the engine may be ordered again.
	retryAt time.Time
}

// Planner decides which engines load which version next. If steps accept older versions, an engine doesn't load each
// one: it skips as many as are accepted, and the engines take turns, so that some run the newest version, the others one
// that is still accepted, and few load at a time.
type Planner struct {
	engines     map[fleet.Key]*engine
	pool        *fleet.Pool
	namingRates map[string]*namingRate
	// loadTime is the average duration of a load.
	loadTime time.Duration
}

// namingRate is the average interval at which trainers name versions of a model, and the last one named.
type namingRate struct {
	version  int64
	namedAt  time.Time
	interval time.Duration
}

// NewPlanner returns a planner without engines.
func NewPlanner() *Planner {
	return &Planner{engines: map[fleet.Key]*engine{}, namingRates: map[string]*namingRate{}, loadTime: initialLoadTime}
}

// Update sets the pool and its registered engines. Registrations are delayed, so a higher version from an engine's report
// is kept.
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

// Intent is a planned load of a weight version by an engine.
type Intent struct {
	Instance *fleet.Instance
	Model    string
	Version  int64
}

// Demand describes the demand of the steps of each model.
type Demand interface {
	// AllowedLag returns the number of versions by which an engine may lag behind the newest version of a model.
	AllowedLag(model string) int64
	// RecentWork returns the recent work of a model in engine time per version; only the ratio between models matters.
	RecentWork(model string) float64
	// HasQueuedItems reports whether items of the model are queued for an engine.
	HasQueuedItems(model string) bool
	// FreeSlots returns the number of requests that an engine could start now.
	FreeSlots(k fleet.Key) int
}

// candidate is an engine that should load a version of a model.
type candidate struct {
	e      *engine
	intent Intent
	// urgent is set if the engine's version is too old for the model's steps and items of the model are queued.
	urgent    bool
	lag       int64
	freeSlots int
}

// Plan returns the loads to order now and marks their engines as loading. named holds the newest version of each model.
func (p *Planner) Plan(now time.Time, named map[string]int64, demand Demand) []Intent {
	if p.pool == nil || p.pool.Engine == nil {
		return nil
	}
	waveSize := (len(p.engines) + waveDivisor - 1) / waveDivisor
	freeLoads := waveSize
	for _, e := range p.engines {
		if e.busy(now) {
			freeLoads--
		}
	}
	if freeLoads <= 0 {
		return nil
	}
	p.recordNamed(now, named)
	shares := p.engineShares(demand, waveSize)
	var due []candidate
	for _, m := range p.pool.Engine.Models {
		due = append(due, p.loadCandidates(now, m, named[m], shares[m], demand)...)
	}
	slices.SortStableFunc(due, func(a, b candidate) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.freeSlots, a.freeSlots), cmp.Compare(b.lag, a.lag), cmp.Compare(a.e.instance.Name, b.e.instance.Name))
	})
	var out []Intent
	for _, c := range due {
		if len(out) >= freeLoads {
			break
		}
		if c.e.busy(now) {
			continue // selected for another model
		}
		c.e.loading, c.e.loadModel, c.e.loadVersion = true, c.intent.Model, c.intent.Version
		c.e.loadStarted, c.e.loadDeadline = now, now.Add(loadTimeout)
		c.e.nextReport = now.Add(time.Duration(firstReportShare * float64(p.loadTime)))
		out = append(out, c.intent)
	}
	return out
}

func (e *engine) busy(now time.Time) bool { return e.loading && now.Before(e.loadDeadline) }

// recordNamed updates the models' naming rates.
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

// engineShares returns the number of engines that should be able to serve each model. If the loads of all engines fit
// into the time between two versions, it is all of them. Otherwise the loads that are possible are divided between the models in
// proportion to their work, so that a model with little work doesn't take engines from the others.
func (p *Planner) engineShares(demand Demand, waveSize int) map[string]int {
	shares := map[string]int{}
	wantedRate, totalWork := 0.0, 0.0 // loads per second if all engines served all models; work of all models
	for _, m := range p.pool.Engine.Models {
		shares[m] = len(p.engines)
		n := p.namingRates[m]
		if n == nil || n.interval <= 0 {
			continue
		}
		wantedRate += float64(len(p.engines)) / float64(demand.AllowedLag(m)+1) / n.interval.Seconds()
		totalWork += demand.RecentWork(m)
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
		loadsPerVersion := possibleRate * demand.RecentWork(m) / totalWork * n.interval.Seconds()
		shares[m] = min(len(p.engines), max(1, int(loadsPerVersion*float64(demand.AllowedLag(m)+1)+0.5)))
	}
	return shares
}

// loadCandidates returns the engines that should load a model's newest version, so that share engines can serve its newest
// steps and one in allowedLag+1 of these runs the newest version.
func (p *Planner) loadCandidates(now time.Time, model string, newest int64, share int, demand Demand) []candidate {
	if newest <= 0 {
		return nil
	}
	allowedLag := max(0, demand.AllowedLag(model))
	var tooOld, accepted []candidate
	current, usable := 0, 0
	for k, e := range p.engines {
		lag := newest - e.versions[model]
		if lag <= 0 || e.busy(now) && e.loadModel == model && e.loadVersion >= newest {
			current++
			usable++
			continue
		}
		if lag <= allowedLag {
			usable++
		}
		if e.instance.Draining || e.busy(now) || now.Before(e.retryAt) {
			continue
		}
		c := candidate{
			e: e, lag: lag, urgent: lag > allowedLag && demand.HasQueuedItems(model), freeSlots: demand.FreeSlots(k),
			intent: Intent{e.instance, model, newest},
		}
		if lag > allowedLag {
			tooOld = append(tooOld, c)
		} else {
			accepted = append(accepted, c)
		}
	}
	// Engines that are too old are ordered from the smallest lag up, accepted ones from the largest lag down.
	byLag := func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.lag, b.lag), cmp.Compare(b.freeSlots, a.freeSlots), cmp.Compare(a.e.instance.Name, b.e.instance.Name))
	}
	slices.SortFunc(tooOld, byLag)
	slices.SortFunc(accepted, func(a, b candidate) int { return byLag(b, a) })
	out := tooOld[:min(len(tooOld), max(0, share-usable))]
	turns := int(allowedLag) + 1
	if missing := (share+turns-1)/turns - current - len(out); missing > 0 {
		out = append(out, accepted[:min(missing, len(accepted))]...)
	}
	return out
}

// RecordReport records an engine's report. If it completes a load, RecordReport returns the load's duration and true.
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

// RecordFailure records that an engine's order was not sent or not accepted.
func (p *Planner) RecordFailure(now time.Time, k fleet.Key) {
	if e := p.engines[k]; e != nil {
		e.loading, e.retryAt = false, now.Add(retryDelay)
	}
}

// ReportsDue returns the loads in progress for which to read the engine's report now.
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

// NextCheck returns the time until an engine's next report is due or it may be ordered again; ok is false if there is none.
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
