package batch

import (
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/versions"
)

// recentSteps is the number of newest submissions of a model from which its demand is derived.
const recentSteps = 4

// Demand returns the requirements of recent steps on the engines of a pool.
func (s *Service) Demand(pool string) versions.Demand { return &poolDemand{service: s, pool: pool} }

// poolDemand implements versions.Demand for a pool.
type poolDemand struct {
	service *Service
	pool    string
}

// eachRecent calls visit for the newest submissions of a model, at most recentSteps.
func (d *poolDemand) eachRecent(model string, visit func(sub *submissionState)) {
	p := d.service.partitionOf(d.pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := 0
	for i := len(p.index.order) - 1; i >= 0 && seen < recentSteps; i-- {
		if sub := p.index.submissions[p.index.order[i]]; sub.head.Model == model {
			visit(sub)
			seen++
		}
	}
}

// AllowedLag returns the typical version lag that the newest steps accepted at the time of their submission.
func (d *poolDemand) AllowedLag(model string) int64 {
	var heads []*Head
	d.eachRecent(model, func(sub *submissionState) { heads = append(heads, sub.head) })
	return typicalLag(heads)
}

// firstVersion is the version of a model before any was named.
const firstVersion = 1

// typicalLag returns the median of the version lags that steps accepted, or 0 if there are none. Single lags are off: if
// the accepting VM did not know the newest version yet, or if a step was submitted late, after the next version was named.
// A step submitted while only the first version existed shows no lag.
func typicalLag(heads []*Head) int64 {
	var lags []int64
	for _, h := range heads {
		if h.NewestVersion > firstVersion {
			lags = append(lags, max(0, h.NewestVersion-h.MinVersion))
		}
	}
	if len(lags) == 0 {
		return 0
	}
	slices.Sort(lags)
	return lags[(len(lags)-1)/2]
}

// RecentWork returns the mean number of expected tokens of the newest steps.
func (d *poolDemand) RecentWork(model string) float64 {
	sum, steps := 0.0, 0
	d.eachRecent(model, func(sub *submissionState) {
		sum += float64(sub.head.ExpectedTokens)
		steps++
	})
	return sum / float64(max(1, steps))
}

// NewestStep returns the number of the newest step of a model, or 0 if there is none.
func (d *poolDemand) NewestStep(model string) int64 {
	newest := int64(0)
	d.eachRecent(model, func(sub *submissionState) { newest = max(newest, sub.head.Step) })
	return newest
}

// HasQueuedItems reports whether items of the model got no engine in the last scheduling pass.
func (d *poolDemand) HasQueuedItems(model string) bool {
	d.service.runner.mu.Lock()
	defer d.service.runner.mu.Unlock()
	return d.service.runner.waitingModels[model]
}

// FreeSlots returns the number of free slots of an engine, or 0 if it is not registered or its last requests failed.
func (d *poolDemand) FreeSlots(k fleet.Key) int {
	d.service.runner.mu.Lock()
	defer d.service.runner.mu.Unlock()
	if e := d.service.runner.engines.byKey[k]; e != nil && e.failures == 0 {
		return e.freeSlots(time.Now())
	}
	return 0
}
