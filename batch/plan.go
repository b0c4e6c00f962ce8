package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
)

// Weights of the choice of an engine, in parts of an engine's slots.
const (
	// groupBonus is what an engine is worth that has read the group's shared prompt.
	groupBonus = 0.3
	// zoneCost is what an engine in another zone costs, where each byte is paid for.
	zoneCost = 0.1
	// sharedCost is what an engine costs that all other models could use as well: half of its slots are
	// kept for them while others have room.
	sharedCost = 0.5
)

// task is an item that waits for an engine, as the plan sees it.
type task struct {
	job   *job
	route *fleet.Route
	// due is when the submission's results are due.
	due time.Time
	// need is how long the item will take.
	need time.Duration
	// carried is true for items of groups that came before: the trainer waits for them in any case.
	carried bool
}

// latestStart is when the item must start to be in time.
func (t *task) latestStart() time.Time { return t.due.Add(-t.need) }

// overdue tells whether the time has passed at which the item was due. Before that an item is not given
// up for lost: the callers' estimates are often far off, and the longest items decide when a step ends.
func (t *task) overdue(now time.Time) bool { return now.After(t.due) }

// sortTasks puts the items first that would be late first, and those that are overdue last. It answers
// bursts of whole submissions, in which a few long items decide when a step is whole.
func sortTasks(now time.Time, tasks []*task) {
	slices.SortStableFunc(tasks, func(a, b *task) int {
		la, lb := a.overdue(now), b.overdue(now)
		if la != lb {
			if lb {
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
	// hosts are the engines that run items of the group, by instance ID.
	hosts map[string]int
	avoid string
}

// field is a pool's engines that have room, for one look at the waiting items.
type field struct {
	now  time.Time
	best time.Duration // the best pace in the pool
	free []*engine
	// wanted are the least versions that the newest open steps accept, by model.
	wanted map[string]int64
}

// field returns the engines of a pool that may take a request now.
func (s *engines) field(now time.Time, pool string) *field {
	f := &field{now: now, best: s.bestPace(pool)}
	for _, e := range s.by {
		if e.instance.Pool == pool && !e.instance.Draining && !now.Before(e.until) && e.room(now) > 0 {
			f.free = append(f.free, e)
		}
	}
	slices.SortFunc(f.free, func(a, b *engine) int { return cmp.Compare(a.instance.Name, b.instance.Name) })
	return f
}

// choose returns the engine for an item, or nil if none has room.
func (f *field) choose(q request) *engine {
	var best *engine
	var bestCost float64
	for _, e := range f.free {
		if e.instance.Name == q.avoid || f.now.Before(e.blocked[q.model]) || q.model != "" && e.versions[q.model] < q.least {
			continue
		}
		if cost := e.cost(f.now, q, f.best) + sharedCost*f.shared(e, q.model); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// shared returns the part of the other models whose newest steps an engine could run. Where few
// engines have the versions that steps accept, an item is better off where the others cannot go.
func (f *field) shared(e *engine, model string) float64 {
	others, usable := 0, 0
	for m, least := range f.wanted {
		if m == model {
			continue
		}
		others++
		if e.versions[m] >= least {
			usable++
		}
	}
	if others == 0 {
		return 0
	}
	return float64(usable) / float64(others)
}

// taken updates the field after a request was sent to an engine.
func (f *field) taken(e *engine) {
	if e.room(f.now) <= 0 {
		f.free = slices.DeleteFunc(f.free, func(x *engine) bool { return x == e })
	}
}

// cost ranks an engine for a request; the lowest is taken.
func (e *engine) cost(now time.Time, q request, bestPace time.Duration) float64 {
	c := 1 - float64(e.room(now))/float64(max(1, e.instance.Slots))
	if bestPace > 0 {
		c += float64(e.currentPace(now, bestPace))/float64(bestPace) - 1
	}
	if q.hosts[e.instance.Name] > 0 {
		c -= groupBonus
	}
	if e.instance.AvailabilityZone != q.az {
		c += zoneCost
	}
	return c
}

// Bounds of moving a running item to a faster engine.
const (
	// moveRatio is how much slower than the best an engine must be.
	moveRatio = 1.5
	// moveGain is the time that a move must save; it costs the reading of what is known so far.
	moveGain = 300 * time.Millisecond
)

// slower tells whether an item that needs left events more should leave the engine for a better one
// that has room. Only measured paces count, so that items do not wander between slow engines.
func (f *field) slower(e *engine, left int, q request) bool {
	if f.best <= 0 || float64(e.pace) < moveRatio*float64(f.best) || time.Duration(left)*(e.pace-f.best) < moveGain {
		return false
	}
	to := f.choose(q)
	return to != nil && float64(e.pace) > moveRatio*float64(to.pace)
}

// shortage counts why a pool's engines could not take a request.
type shortage struct{ engines, cooling, blocked, old, full int }

func (s *engines) shortage(now time.Time, q request) shortage {
	var n shortage
	for _, e := range s.by {
		if e.instance.Pool != q.pool || e.instance.Draining {
			continue
		}
		n.engines++
		switch {
		case now.Before(e.until):
			n.cooling++
		case now.Before(e.blocked[q.model]):
			n.blocked++
		case q.model != "" && e.versions[q.model] < q.least:
			n.old++
		case e.room(now) <= 0:
			n.full++
		}
	}
	return n
}
