package batch

import (
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/versions"
)

// stepWindow is the number of a model's newest submissions that its needs follow.
const stepWindow = 4

// Needs returns what the steps that run on a pool want of its engines.
func (s *Service) Needs(pool string) versions.Needs { return &needs{s: s, pool: pool} }

// needs implements versions.Needs for a pool.
type needs struct {
	s    *Service
	pool string
}

// newest calls visit with the newest submissions of a model.
func (n *needs) newest(model string, visit func(e *entry)) {
	p := n.s.partitionOf(n.pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := 0
	for i := len(p.book.order) - 1; i >= 0 && seen < stepWindow; i-- {
		if e := p.book.entries[p.book.order[i]]; e.head.Model == model {
			visit(e)
			seen++
		}
	}
}

// Allowance implements versions.Needs: the smallest lag that the newest steps accepted when they came.
func (n *needs) Allowance(model string) int64 {
	least, known := int64(0), false
	n.newest(model, func(e *entry) {
		if lag := max(0, e.head.NewestVersion-e.head.MinVersion); !known || lag < least {
			least, known = lag, true
		}
	})
	return least
}

// Work implements versions.Needs.
func (n *needs) Work(model string) float64 {
	sum, steps := 0.0, 0
	n.newest(model, func(e *entry) {
		sum += float64(e.head.ExpectedTokens)
		steps++
	})
	return sum / float64(max(1, steps))
}

// Waiting implements versions.Needs.
func (n *needs) Waiting(model string) bool {
	n.s.runner.mu.Lock()
	defer n.s.runner.mu.Unlock()
	return n.s.runner.short[model]
}

// Room implements versions.Needs.
func (n *needs) Room(k fleet.Key) int {
	n.s.runner.mu.Lock()
	defer n.s.runner.mu.Unlock()
	if e := n.s.runner.engines.by[k]; e != nil {
		return e.room(time.Now())
	}
	return 0
}
