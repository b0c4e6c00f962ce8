package routing

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Pick returns the address of the target for a request. It returns false if no target has room now.
func (t *Table) Pick(now time.Time, q Query) (string, bool) {
	if q.Exclusive {
		return t.pickExclusive(now, q)
	}
	targets := t.eligible(now, q)
	if len(targets) == 0 {
		return "", false
	}
	switch t.opts.Policy {
	case PolicyRoundRobin:
		return t.roundRobin(targets), true
	case PolicyLeastReported:
		return t.leastReported(targets), true
	}
	if x := t.pickByPrefix(now, targets, q.Prefixes); x != nil {
		return x.Address, true
	}
	if t.byTime {
		return t.pickByTime(now, targets, q).Address, true
	}
	return t.pickLessLoaded(now, t.nearest(now, targets)), true
}

// nearest returns the targets to choose from: those in this gate's zone that can start the request immediately, else
// those in other zones that can, else those in this gate's zone that would queue it, else all.
func (t *Table) nearest(now time.Time, usable []*target) []*target {
	local := inZone(usable, t.opts.AvailabilityZone)
	for _, candidates := range [][]*target{withRoom(now, local), withRoom(now, usable), local} {
		if len(candidates) > 0 {
			return candidates
		}
	}
	return usable
}

// withRoom returns the targets whose batch has room for another request.
func withRoom(now time.Time, targets []*target) []*target {
	var out []*target
	for _, x := range targets {
		if x.utilization(now) <= 1 {
			out = append(out, x)
		}
	}
	return out
}

// eligible returns the targets that may receive the request now. Ejected targets, those in Query.Avoid and those that a
// versioned query avoids are a fallback for the case that the pool has no other. Tables with ByTime use ejected ones last.
func (t *Table) eligible(now time.Time, q Query) []*target {
	var preferred, avoided, fallback []*target
	preferredCount, avoidedCount := 0, 0
	for _, x := range t.targets {
		if x.blocked != "" || x.exclusive || x.reserved || slices.Contains(q.Exclude, x.Address) || q.MinVersion > 0 && x.version > 0 && x.version < q.MinVersion {
			continue
		}
		isPreferred := t.opts.Policy != PolicyDefault || !x.ejected(now)
		isPreferred = isPreferred && !slices.Contains(q.Avoid, x.Address) && (!q.Versioned || x.reportsVersions(now))
		if isPreferred {
			preferredCount++
		}
		isAvoided := !isPreferred && t.byTime && !x.ejected(now) // such as one that was full
		if isAvoided {
			avoidedCount++
		}
		if !q.IgnoreLimits && (!x.hasSlot(now, classOf(q), t.gates) || q.LeaveFree && !x.leavesFree(now)) {
			continue
		}
		switch {
		case isPreferred:
			preferred = append(preferred, x)
		case isAvoided:
			avoided = append(avoided, x)
		default:
			fallback = append(fallback, x)
		}
	}
	switch {
	case preferredCount > 0:
		return preferred
	case avoidedCount > 0:
		return avoided
	}
	return fallback
}

// HasCandidate reports whether any target could receive the request, regardless of its load.
func (t *Table) HasCandidate(q Query) bool {
	for _, x := range t.targets {
		if x.blocked == "" && (q.MinVersion == 0 || x.version == 0 || x.version >= q.MinVersion) {
			return true
		}
	}
	return false
}

func inZone(targets []*target, az string) []*target {
	var out []*target
	for _, x := range targets {
		if x.AvailabilityZone == az {
			out = append(out, x)
		}
	}
	return out
}

// pickLessLoaded returns the less utilized of two random targets.
func (t *Table) pickLessLoaded(now time.Time, targets []*target) string {
	a, b := t.twoRandom(targets)
	if b.utilization(now) < a.utilization(now) {
		a = b
	}
	return a.Address
}

// twoRandom returns two random targets, the same twice if there is only one.
func (t *Table) twoRandom(targets []*target) (a, b *target) {
	a = targets[t.opts.Rand.IntN(len(targets))]
	if len(targets) == 1 {
		return a, a
	}
	b = targets[t.opts.Rand.IntN(len(targets)-1)]
	if b == a {
		b = targets[len(targets)-1]
	}
	return a, b
}

// pickByPrefix selects the target for a prompt with a shared prefix by rendezvous hashing: all gates rank the targets
// in the same order without communicating, so each prefix is cached on few targets. If the first target's load exceeds
// the bound, pickByPrefix returns the target within the bound that probably caches most of the prompt, or the first of
// several such targets by rank. It returns nil for a prompt without a shared prefix, or if no target is within the bound.
func (t *Table) pickByPrefix(now time.Time, usable []*target, prefixes []uint64) *target {
	index := t.frequency.placementIndex(prefixes, len(usable))
	if index < 0 {
		return nil
	}
	targets := usable
	if local := inZone(usable, t.opts.AvailabilityZone); len(prefixes) < crossZoneMinBlocks || len(local) >= zoneMinTargets {
		targets = local
	}
	mean := meanUtilization(now, targets)
	first := firstInPrefixOrder(targets, prefixes[index])
	if first == nil || withinAffinityBound(now, first, mean) {
		return first
	}
	var best *target
	for _, x := range targets {
		if withinAffinityBound(now, x, mean) && (best == nil || betterForPrefixes(x, best, prefixes[:index+1])) {
			best = x
		}
	}
	return best
}

// betterForPrefixes reports whether x probably caches more of the leading prefixes than y, or as many and ranks before it.
func betterForPrefixes(x, y *target, prefixes []uint64) bool {
	lengthX, lengthY := x.prefixes.matchLength(prefixes), y.prefixes.matchLength(prefixes)
	if lengthX != lengthY {
		return lengthX > lengthY
	}
	h := prefixes[len(prefixes)-1]
	return prefixRank(h, x) < prefixRank(h, y)
}

func firstInPrefixOrder(targets []*target, prefix uint64) *target {
	var first *target
	for _, x := range targets {
		if first == nil || prefixRank(prefix, x) < prefixRank(prefix, first) {
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

// prefixRank returns a target's rank for a prefix; the lowest comes first.
func prefixRank(prefix uint64, x *target) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], prefix)
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(x.Address)
	return d.Sum64()
}

// withinAffinityBound reports whether a target may be preferred for a cached prefix: it can start the request
// immediately, and its utilization isn't far above the mean.
func withinAffinityBound(now time.Time, x *target, mean float64) bool {
	u := x.utilization(now)
	size := max(1, x.limit.BatchCapacity())
	return u <= affinityFreeUtilization || u <= 1 && u <= affinityBound*mean+float64(affinitySlack)/float64(size)
}

// pickExclusive returns an idle target for a request that runs alone: the reserved one first, then the least loaded, then
// in an order that differs by gate, so that such requests of different gates rarely collide. At most a third of the
// targets (but at least one) run such requests at a time, so that the others keep serving.
func (t *Table) pickExclusive(now time.Time, q Query) (string, bool) {
	var best *target
	busy := 0
	for _, x := range t.targets {
		if x.exclusive {
			busy++
			continue
		}
		if x.blocked != "" || x.inflight > 0 || x.ejected(now) || slices.Contains(q.Exclude, x.Address) || slices.Contains(q.Avoid, x.Address) && len(t.targets) > len(q.Avoid) {
			continue
		}
		if best == nil || t.betterForExclusive(now, x, best) {
			best = x
		}
	}
	if best == nil || busy > 0 && busy >= len(t.targets)/3 {
		return "", false
	}
	return best.Address, true
}

// betterForExclusive reports whether x is a better target than y for a request that runs alone.
func (t *Table) betterForExclusive(now time.Time, x, y *target) bool {
	if x.reserved != y.reserved {
		return x.reserved
	}
	if lx, ly := x.load(now), y.load(now); lx != ly {
		return lx < ly
	}
	return t.gateRank(x) < t.gateRank(y)
}

func (t *Table) gateRank(x *target) uint64 {
	return xxhash.Sum64String(t.opts.GateID + "/" + x.Address)
}

// Reserve excludes the target with the fewest requests of this gate from other requests, so that it drains for a
// request that runs alone. It does nothing while a target is reserved.
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

// Unreserve cancels the reservation.
func (t *Table) Unreserve() {
	for _, x := range t.targets {
		x.reserved = false
	}
}

func (t *Table) roundRobin(usable []*target) string {
	t.roundRobinIndex++
	return usable[t.roundRobinIndex%len(usable)].Address
}

func (t *Table) leastReported(usable []*target) string {
	best := usable[0]
	for _, x := range usable[1:] {
		if x.reportedLoad < best.reportedLoad {
			best = x
		}
	}
	return best.Address
}
