package routing

import (
	"encoding/binary"
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
	if x := t.affine(now, usable, q.Prefixes); x != nil {
		return x.Address, true
	}
	return t.choose(now, t.near(now, usable)), true
}

// near returns the targets to choose from: those of the own zone that can start at once, else
// those of other zones that can, else those of the own zone where the request would wait, else all.
func (t *Table) near(now time.Time, usable []*target) []*target {
	own := zoneOf(usable, t.opts.AvailabilityZone)
	for _, set := range [][]*target{free(now, own), free(now, usable), own} {
		if len(set) > 0 {
			return set
		}
	}
	return usable
}

// free returns the targets whose batch has room.
func free(now time.Time, targets []*target) []*target {
	var out []*target
	for _, x := range targets {
		if x.utilization(now) <= 1 {
			out = append(out, x)
		}
	}
	return out
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
		if !q.AnyLoad && !x.hasSlot(now, classOf(q), t.gates) {
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

// choose takes the less loaded of two random targets.
func (t *Table) choose(now time.Time, targets []*target) string {
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

// affine returns the place of the prompt's shared beginning: the first target in an order that the
// beginning's hash gives each gate alike, so that gates agree without a word and each beginning is
// cached in few places. Where its load is above the bound, the one that holds most of the prompt
// by what was sent there and by its cache events is taken, or the next in order. It returns nil for a prompt without a shared beginning.
func (t *Table) affine(now time.Time, usable []*target, prefixes []uint64) *target {
	key := t.heat.key(prefixes, len(usable))
	if key < 0 {
		return nil
	}
	targets := usable
	if own := zoneOf(usable, t.opts.AvailabilityZone); len(prefixes) < crossZoneBlocks || len(own) >= zoneTargets {
		targets = own
	}
	mean := meanUtilization(now, targets)
	first := firstPlace(targets, prefixes[key])
	if first == nil || withinBound(now, first, mean) {
		return first
	}
	var best *target
	for _, x := range targets {
		if withinBound(now, x, mean) && (best == nil || before(x, best, prefixes[:key+1])) {
			best = x
		}
	}
	return best
}

// before tells whether x is the better place for prefixes than y.
func before(x, y *target, prefixes []uint64) bool {
	dx, dy := x.prefixes.depth(prefixes), y.prefixes.depth(prefixes)
	if dx != dy {
		return dx > dy
	}
	h := prefixes[len(prefixes)-1]
	return place(h, x) < place(h, y)
}

func firstPlace(targets []*target, prefix uint64) *target {
	var first *target
	for _, x := range targets {
		if first == nil || place(prefix, x) < place(prefix, first) {
			first = x
		}
	}
	return first
}

func meanUtilization(now time.Time, targets []*target) float64 {
	mean := 0.0
	for _, x := range targets {
		mean += x.utilization(now)
	}
	return mean / float64(max(1, len(targets)))
}

// place ranks a target for a prefix.
func place(prefix uint64, x *target) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], prefix)
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(x.Address)
	return d.Sum64()
}

// withinBound tells whether a target may be preferred for a cached prefix: it can start the
// request at once, and is not far above the others.
func withinBound(now time.Time, x *target, mean float64) bool {
	u := x.utilization(now)
	size := max(1, x.limit.Batch())
	return u <= affinityFree || u <= 1 && u <= affinityBound*mean+float64(affinitySlack)/float64(size)
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
		if best == nil || t.emptier(now, x, best) {
			best = x
		}
	}
	if best == nil || busy > 0 && busy >= len(t.targets)/3 {
		return "", false
	}
	return best.Address, true
}

// emptier tells whether x suits a request that runs alone better than y.
func (t *Table) emptier(now time.Time, x, y *target) bool {
	if x.reserved != y.reserved {
		return x.reserved
	}
	if lx, ly := x.load(now), y.load(now); lx != ly {
		return lx < ly
	}
	return t.rank(x) < t.rank(y)
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
