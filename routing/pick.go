package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Pick returns the address of the target for a request, or false if none has room for it now.
func (t *Table) Pick(now time.Time, q Query) (string, bool) {
	if q.Alone {
		return t.pickAlone(now, q)
	}
	usable := t.eligible(now, q)
	if len(usable) == 0 {
		return "", false
	}
	switch t.opts.Policy {
	case PolicyRoundRobin:
		return t.roundRobin(usable), true
	case PolicyLeastReported:
		return t.leastReported(usable), true
	}
	own := zoneOf(usable, t.opts.AvailabilityZone)
	if len(own) > 0 {
		return t.choose(now, own, q), true
	}
	return t.choose(now, usable, q), true
}

// eligible returns the targets that may take the request now. Ejected and avoided targets are
// used only if no other is left.
func (t *Table) eligible(now time.Time, q Query) []*target {
	var best, rest []*target
	healthy := 0
	for _, x := range t.targets {
		if x.blocked != "" || x.exclusive || x.reserved || q.MinVersion > 0 && x.version > 0 && x.version < q.MinVersion {
			continue
		}
		preferred := t.opts.Policy != PolicyDefault || !x.ejected(now)
		preferred = preferred && !slices.Contains(q.Avoid, x.Address) && (!q.Versioned || x.versions(now))
		if preferred {
			healthy++
		}
		if !q.AnyLoad && !x.hasSlot(now) {
			continue
		}
		if preferred {
			best = append(best, x)
		} else {
			rest = append(rest, x)
		}
	}
	if healthy > 0 {
		return best
	}
	return rest
}

// Possible tells whether some target could take the request if it had room.
func (t *Table) Possible(q Query) bool {
	for _, x := range t.targets {
		if x.blocked == "" && (q.MinVersion == 0 || x.version == 0 || x.version >= q.MinVersion) {
			return true
		}
	}
	return false
}

func zoneOf(targets []*target, az string) []*target {
	var out []*target
	for _, x := range targets {
		if x.AvailabilityZone == az {
			out = append(out, x)
		}
	}
	return out
}

// choose takes the target with the longest cached prefix if its load is within the bound, else
// the less loaded of two random ones.
func (t *Table) choose(now time.Time, targets []*target, q Query) string {
	if x := t.affine(now, targets, q.Prefixes); x != nil {
		return x.Address
	}
	a := targets[t.opts.Rand.IntN(len(targets))]
	if len(targets) == 1 {
		return a.Address
	}
	i := t.opts.Rand.IntN(len(targets) - 1)
	b := targets[i]
	if b == a {
		b = targets[len(targets)-1]
	}
	if b.utilization(now) < a.utilization(now) {
		a = b
	}
	return a.Address
}

func (t *Table) affine(now time.Time, targets []*target, prefixes []uint64) *target {
	if len(prefixes) == 0 {
		return nil
	}
	mean := 0.0
	for _, x := range targets {
		mean += x.utilization(now)
	}
	mean /= float64(len(targets))
	var best *target
	depth := 0
	for _, x := range targets {
		d := x.prefixes.depth(prefixes)
		if d == 0 || d < depth || !withinBound(now, x, mean) {
			continue
		}
		if d > depth || x.utilization(now) < best.utilization(now) {
			best, depth = x, d
		}
	}
	return best
}

func withinBound(now time.Time, x *target, mean float64) bool {
	size := max(1, x.limit.Batch())
	return x.utilization(now) <= affinityBound*mean+float64(affinitySlack)/float64(size)
}

// pickAlone picks an idle target, a reserved one first, then each gate in an order of its own, so
// that requests that run alone through different gates seldom meet on one target. At most a third
// of the targets is used at a time, so that the others keep serving.
func (t *Table) pickAlone(now time.Time, q Query) (string, bool) {
	var best *target
	busy := 0
	for _, x := range t.targets {
		if x.exclusive {
			busy++
			continue
		}
		if x.blocked != "" || x.inflight > 0 || x.ejected(now) || slices.Contains(q.Avoid, x.Address) && len(t.targets) > len(q.Avoid) {
			continue
		}
		if best == nil || x.reserved && !best.reserved || x.reserved == best.reserved && t.rank(x) < t.rank(best) {
			best = x
		}
	}
	if best == nil || busy > 0 && busy >= len(t.targets)/3 {
		return "", false
	}
	return best.Address, true
}

func (t *Table) rank(x *target) uint64 { return xxhash.Sum64String(t.opts.GateID + "/" + x.Address) }

// Reserve keeps new requests off the target with the fewest own requests, so that it empties for
// a request that runs alone. It does nothing while a target is reserved.
func (t *Table) Reserve(now time.Time) {
	var best *target
	for _, x := range t.targets {
		if x.reserved {
			return
		}
		if x.blocked == "" && !x.exclusive && !x.ejected(now) && (best == nil || x.inflight < best.inflight) {
			best = x
		}
	}
	if best != nil {
		best.reserved = true
	}
}

// Unreserve gives up the reservation.
func (t *Table) Unreserve() {
	for _, x := range t.targets {
		x.reserved = false
	}
}

func (t *Table) roundRobin(usable []*target) string {
	t.next++
	return usable[t.next%len(usable)].Address
}

func (t *Table) leastReported(usable []*target) string {
	best := usable[0]
	for _, x := range usable[1:] {
		if x.reported < best.reported {
			best = x
		}
	}
	return best.Address
}
