package batch

import (
	"cmp"
	"slices"
	"time"
)

// Weights of the choice of an engine, in parts of an engine's slots.
const (
	// foreignCost is what an engine costs that mostly follows another model: its place is more use to
	// that one's steps.
	foreignCost = 0.4
	// groupBonus is what an engine is worth that has read the group's shared prompt.
	groupBonus = 0.3
	// zoneCost is what an engine in another zone costs, where each byte is paid for.
	zoneCost = 0.1
)

// task is an item that waits for an engine, as the plan sees it.
type task struct {
	job *job
	// due is when the submission's results are due.
	due time.Time
	// need is how long the item will take.
	need time.Duration
	// carried is true for items of groups that came before: the trainer waits for them in any case.
	carried bool
}

// latestStart is when the item must start to be in time.
func (t *task) latestStart() time.Time { return t.due.Add(-t.need) }

// lateSlack is how far behind its latest start an item still counts as possible, as a share of what
// it needs: the callers' estimates are often far off.
const lateSlack = 0.5

// possible tells whether the item may still be in time.
func (t *task) possible(now time.Time) bool {
	return !now.After(t.latestStart().Add(time.Duration(lateSlack * float64(t.need))))
}

// sortTasks puts the items first that would be late first, after those that cannot be in time the
// rest. It answers bursts of whole submissions, in which a few long items decide when a step is
// whole.
func sortTasks(now time.Time, tasks []*task) {
	slices.SortStableFunc(tasks, func(a, b *task) int {
		pa, pb := a.possible(now), b.possible(now)
		if pa != pb {
			if pa {
				return -1
			}
			return 1
		}
		if a.carried != b.carried {
			if a.carried {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.latestStart().UnixNano(), b.latestStart().UnixNano())
	})
}

// request is what an engine must offer.
type request struct {
	pool, model string
	least       int64
	az          string
	// assigned are the models that engines mostly follow, by instance ID.
	assigned map[string]string
	// hosts are the engines that run items of the group, by instance ID.
	hosts map[string]int
	avoid string
}

// choose returns the engine for an item, or nil if none has room.
func (s *engines) choose(now time.Time, q request) *engine {
	var best *engine
	var bestCost float64
	for _, e := range s.by {
		in := e.instance
		if in.Pool != q.pool || in.Draining || now.Before(e.until) || e.room(now) <= 0 || in.Name == q.avoid {
			continue
		}
		if q.model != "" && e.versions[q.model] < q.least {
			continue
		}
		cost := e.cost(now, q, s.bestPace(q.pool))
		if best == nil || cost < bestCost || cost == bestCost && in.Name < best.instance.Name {
			best, bestCost = e, cost
		}
	}
	return best
}

// cost ranks an engine for a request; the lowest is taken.
func (e *engine) cost(now time.Time, q request, bestPace time.Duration) float64 {
	c := 1 - float64(e.room(now))/float64(max(1, e.instance.Slots))
	if bestPace > 0 {
		c += float64(e.pace)/float64(bestPace) - 1
	}
	if m := q.assigned[e.instance.Name]; m != "" && m != q.model {
		c += foreignCost
	}
	if q.hosts[e.instance.Name] > 0 {
		c -= groupBonus
	}
	if e.instance.AvailabilityZone != q.az {
		c += zoneCost
	}
	return c
}
