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
	// maxRetryDelay limits the time before an engine that did not answer is asked again; it doubles with each failure.
	maxRetryDelay = 4 * time.Second
	// maxMissedReports is the number of reports in a row that a loading engine may leave unanswered before its place in the
	// wave goes to another.
	maxMissedReports = 2
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
	// missedReports is the number of reports in a row that the engine left unanswered.
	missedReports int
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
	// NewestStep returns the number of the newest step of a model, which tells how far its trainer has come.
	NewestStep(model string) int64
	// FreeSlots returns the number of requests that an engine could start now.
	FreeSlots(k fleet.Key) int
}

// modelPlan holds the state of a model in one pass of the planner. Its candidates are engines that may be ordered now, the
// best first.
type modelPlan struct {
	now    time.Time
	model  string
	newest int64
	// share is the number of engines that should be able to serve the model's newest steps, usable those that are; turn is
	// the number that should run the newest version, current those that do. Both count loads in progress.
	share, usable, turn, current int
	// reachedBefore is usable divided by share before this pass.
	reachedBefore float64
	// queued is set if items of the model wait for an engine.
	queued     bool
	newestStep int64
	// tooOld are engines with versions that the newest steps don't accept, accepted those with older versions that
	// they do.
	tooOld, accepted []*candidate
}

// candidate is an engine that may load a model's newest version.
type candidate struct {
	e         *engine
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
	shares := p.engineShares(now, demand, waveSize)
	var plans []*modelPlan
	for _, m := range p.pool.Engine.Models {
		if named[m] > 0 {
			plans = append(plans, p.planModel(now, m, named[m], shares[m], demand))
		}
	}
	var out []Intent
	for _, next := range []func(*modelPlan) (*candidate, float64){(*modelPlan).nextUrgent, (*modelPlan).nextSurplus, (*modelPlan).nextRegular} {
		for len(out) < freeLoads {
			plan, c := leastServed(plans, next)
			if c == nil {
				break
			}
			plan.usable++
			plan.current++
			e := c.e
			e.loading, e.loadModel, e.loadVersion = true, plan.model, plan.newest
			e.loadStarted, e.loadDeadline = now, now.Add(loadTimeout)
			e.nextReport = now.Add(time.Duration(firstReportShare * float64(p.loadTime)))
			out = append(out, Intent{e.instance, plan.model, plan.newest})
		}
	}
	return out
}

// leastServed returns the next candidate of the plan that reached the smallest part of its goal, so that models take
// turns, or nil if no plan has a candidate. Among equal ones the plan of the trainer furthest behind goes first.
func leastServed(plans []*modelPlan, next func(*modelPlan) (*candidate, float64)) (plan *modelPlan, c *candidate) {
	smallest := 0.0
	for _, p := range plans {
		found, reached := next(p)
		if found != nil && (c == nil || reached < smallest || reached == smallest && p.newestStep < plan.newestStep) {
			plan, c, smallest = p, found, reached
		}
	}
	return plan, c
}

// nextUrgent returns the next load that queued items wait for, within the model's share. What the model had reached before
// this pass counts, so that the loads of a pass go to one model: its longest items start now, those of the others
// with the next pass. Half a pass each would delay both.
func (p *modelPlan) nextUrgent() (*candidate, float64) {
	if !p.queued || p.usable >= p.share {
		return nil, 0
	}
	return p.firstIdle(p.tooOld, 0), p.reachedBefore
}

// nextRegular returns the next load within the model's share. Engines whose version is too old go first.
func (p *modelPlan) nextRegular() (*candidate, float64) {
	if p.usable < p.share {
		if c := p.firstIdle(p.tooOld, 0); c != nil {
			return c, float64(p.usable) / float64(p.share)
		}
	}
	if p.current < p.turn {
		return p.firstIdle(p.accepted, 0), float64(p.current) / float64(p.turn)
	}
	return nil, 0
}

// nextSurplus returns the next load beyond the model's share: while items wait, an engine with free slots whose version is
// too old is useless to them, so a load is better than a wave that is not full.
func (p *modelPlan) nextSurplus() (*candidate, float64) {
	if !p.queued {
		return nil, 0
	}
	return p.firstIdle(p.tooOld, 1), float64(p.usable) / float64(max(1, p.share))
}

// firstIdle returns the first candidate that has not been selected in this pass and has at least minFreeSlots, or nil.
func (p *modelPlan) firstIdle(candidates []*candidate, minFreeSlots int) *candidate {
	for _, c := range candidates {
		if !c.e.busy(p.now) && c.freeSlots >= minFreeSlots {
			return c
		}
	}
	return nil
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
//
// While the next version is overdue, such as in an outage of the store, the share grows with the time since
// the last one.
func (p *Planner) engineShares(now time.Time, demand Demand, waveSize int) map[string]int {
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
		interval := max(n.interval, now.Sub(n.namedAt))
		loadsPerVersion := possibleRate * demand.RecentWork(m) / totalWork * interval.Seconds()
		shares[m] = min(len(p.engines), max(1, int(loadsPerVersion*float64(demand.AllowedLag(m)+1)+0.5)))
	}
	return shares
}

// planModel returns the state of a model at the beginning of a pass. One in allowedLag+1 of the engines of its share should
// run the newest version.
func (p *Planner) planModel(now time.Time, model string, newest int64, share int, demand Demand) *modelPlan {
	allowedLag := max(0, demand.AllowedLag(model))
	turns := int(allowedLag) + 1
	plan := &modelPlan{now: now, model: model, newest: newest, share: share, turn: (share + turns - 1) / turns, queued: demand.HasQueuedItems(model), newestStep: demand.NewestStep(model)}
	for k, e := range p.engines {
		lag := newest - e.versions[model]
		if lag <= 0 || e.busy(now) && e.loadModel == model && e.loadVersion >= newest {
			plan.current++
			plan.usable++
			continue
		}
		if lag <= allowedLag {
			plan.usable++
		}
		if e.instance.Draining || e.busy(now) || now.Before(e.retryAt) {
			continue
		}
		c := &candidate{e: e, lag: lag, freeSlots: demand.FreeSlots(k)}
		if lag > allowedLag {
			plan.tooOld = append(plan.tooOld, c)
		} else {
			plan.accepted = append(plan.accepted, c)
		}
	}
	plan.reachedBefore = float64(plan.usable) / float64(max(1, share))
	// A load of an engine with free slots delays the fewest items. One that did not answer may have free slots for that reason.
	slices.SortFunc(plan.tooOld, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.e.missedReports, b.e.missedReports), cmp.Compare(b.freeSlots, a.freeSlots), cmp.Compare(a.lag, b.lag), cmp.Compare(a.e.instance.Name, b.e.instance.Name))
	})
	slices.SortFunc(plan.accepted, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.e.missedReports, b.e.missedReports), cmp.Compare(b.lag, a.lag), cmp.Compare(b.freeSlots, a.freeSlots), cmp.Compare(a.e.instance.Name, b.e.instance.Name))
	})
	return plan
}

// RecordReport records an engine's report. If it completes a load, RecordReport returns the load's duration and true.
func (p *Planner) RecordReport(now time.Time, k fleet.Key, r Report) (took time.Duration, done bool) {
	e := p.engines[k]
	if e == nil {
		return 0, false
	}
	e.missedReports = 0
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

// Cancel takes back a load that was not ordered.
func (p *Planner) Cancel(k fleet.Key) {
	if e := p.engines[k]; e != nil {
		e.loading = false
	}
}

// RecordMissedReport records that an engine left the reading of its report unanswered. It is asked again later and later, so that
// engines behind a partition don't delay the loads of others.
func (p *Planner) RecordMissedReport(now time.Time, k fleet.Key) {
	e := p.engines[k]
	if e == nil {
		return
	}
	delay := min(maxRetryDelay, retryDelay<<min(e.missedReports, 8))
	e.missedReports++
	e.retryAt, e.nextReport = now.Add(delay), now.Add(delay)
	if e.missedReports >= maxMissedReports {
		e.loading = false
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
