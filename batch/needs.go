package batch

import (
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/versions"
)

// recentSteps is the number of newest submissions of a model from which its needs are derived.
const recentSteps = 4

// Needs returns the requirements of recent steps on the engines of a pool.
func (s *Service) Needs(pool string) versions.Demand { return &needs{service: s, pool: pool} }

// needs implements versions.Demand for a pool.
type needs struct {
	service *Service
	pool    string
}

// eachRecent calls visit for the newest submissions of a model, at most recentSteps.
func (n *needs) eachRecent(model string, visit func(sub *submissionState)) {
	p := n.service.partitionOf(n.pool)
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

// AllowedLag returns the smallest version lag that the newest steps accepted at the time of their submission.
func (n *needs) AllowedLag(model string) int64 {
	smallest, known := int64(0), false
	n.eachRecent(model, func(sub *submissionState) {
		if lag := max(0, sub.head.NewestVersion-sub.head.MinVersion); !known || lag < smallest {
			smallest, known = lag, true
		}
	})
	return smallest
}

// RecentWork returns the mean number of expected tokens of the newest steps.
func (n *needs) RecentWork(model string) float64 {
	sum, steps := 0.0, 0
	n.eachRecent(model, func(sub *submissionState) {
		sum += float64(sub.head.ExpectedTokens)
		steps++
	})
	return sum / float64(max(1, steps))
}

// HasQueuedItems reports whether items of the model got no engine in the last scheduling pass.
func (n *needs) HasQueuedItems(model string) bool {
	n.service.runner.mu.Lock()
	defer n.service.runner.mu.Unlock()
	return n.service.runner.waitingModels[model]
}

// FreeSlots returns the number of free slots of an engine, or 0 if it is not registered.
func (n *needs) FreeSlots(k fleet.Key) int {
	n.service.runner.mu.Lock()
	defer n.service.runner.mu.Unlock()
	if e := n.service.runner.engines.byKey[k]; e != nil {
		return e.freeSlots(time.Now())
	}
	return 0
}
