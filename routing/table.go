// Package routing picks the target of a request: own in-flight counts corrected by lagging load
// reports, two random choices, prefix affinity with a load bound, the own availability zone
// first, ejection of slow and failing targets with a floor, and ramp-up of new ones. It does no
// I/O; the time and the random source are arguments.
package routing

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/ibistrail/ibistrail/admission"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/trial"
)

// Policies of a Table.
const (
	PolicyDefault       = ""
	PolicyRoundRobin    = "round-robin"
	PolicyLeastReported = "least-reported"
)

// Bounds of routing.
const (
	// RampUp is how long a new target gets less than its share.
	RampUp = 5 * time.Second
	// rampFloor is the share of its limit that a new target gets at first.
	rampFloor = 0.2
	// affinityBound is how far above the mean utilization a target may be and still be preferred
	// for a cached prefix.
	affinityBound = 1.25
	// affinitySlack is the number of requests by which a target may exceed that bound.
	affinitySlack = 2
	// affinityFree is the utilization up to which a target is preferred whatever the mean.
	affinityFree = 0.75
	// zoneTargets is the number of targets from which on the own zone's caches suffice for
	// prefixes; with fewer, a prefix has its place in the whole pool.
	zoneTargets = 16
	// crossZoneBlocks is the number of whole blocks of a prompt from which on a cached prefix in
	// another zone can save more than the way there costs.
	crossZoneBlocks = 2
	// overcommit is how far above its limit a target is used by requests that the target's own queue
	// puts before those that are there.
	overcommit = 2
)

// Query describes a request to be placed.
type Query struct {
	// Prefixes are the hashes of the prompt's prefixes, from Prefixes.
	Prefixes []uint64
	// Avoid are addresses not to be used while another target can serve.
	Avoid []string
	// MinVersion keeps the request off targets whose known weight version is lower.
	MinVersion int64
	// Versioned asks for a target that reports weight versions, while one is left.
	Versioned bool
	// Alone asks for a target that runs nothing else of this gate's.
	Alone bool
	// AnyLoad ignores limits (baselines without admission).
	AnyLoad bool
	// Class is the request's priority; a lower number is served first.
	Class int
}

// Options configure a Table.
type Options struct {
	AvailabilityZone string
	// GateID spreads the choices of different gates for requests that run alone.
	GateID string
	Policy string
	Rand   *rand.Rand
}

// Table is the routing state of one pool.
type Table struct {
	opts    Options
	targets []*target
	byAddr  map[string]*target
	next    int
	started bool
	heat    heat
	// gates is the number of gates that share the targets.
	gates int
}

// NewTable returns a table without targets.
func NewTable(opts Options) *Table {
	return &Table{opts: opts, byAddr: map[string]*target{}, gates: 1}
}

// Update puts the pool's targets in force. blocked names targets that get nothing new, by
// address, with the reason. A target that comes back under its address starts afresh once its
// row or block has gone.
func (t *Table) Update(now time.Time, pool *config.Pool, blocked map[string]string) {
	old := t.byAddr
	t.byAddr = make(map[string]*target, len(pool.Targets))
	t.targets = t.targets[:0]
	for _, row := range pool.Targets {
		x := old[row.Address]
		if x == nil {
			x = &target{limit: admission.NewLimit(pool.ConcurrencyPerTarget), since: now, ramp: t.started}
		}
		x.Target = row
		x.limit.SetFixed(pool.ConcurrencyPerTarget)
		x.setBlocked(now, blockReason(row, blocked))
		t.targets = append(t.targets, x)
		t.byAddr[row.Address] = x
	}
	t.started = t.started || len(t.targets) > 0
}

func blockReason(row config.Target, blocked map[string]string) string {
	if row.Draining {
		return "its row says draining"
	}
	return blocked[row.Address]
}

func (x *target) setBlocked(now time.Time, reason string) {
	if x.blocked != "" && reason == "" {
		x.since, x.ramp = now, true
		x.prefixes.clear()
		x.health = health{}
	}
	x.blocked = reason
}

// SetGates tells how many gates share the targets.
func (t *Table) SetGates(n int) { t.gates = n }

// Block stops new work to a target; an empty reason lets it get work again, unless its row says draining.
func (t *Table) Block(now time.Time, address, reason string) {
	if x := t.byAddr[address]; x != nil {
		x.setBlocked(now, blockReason(x.Target, map[string]string{address: reason}))
	}
}

// SetVersion records the weight version that a target was seen to run.
func (t *Table) SetVersion(address string, version int64) {
	if x := t.byAddr[address]; x != nil {
		x.version = version
	}
}

// Blocked returns why the target gets nothing new; empty if it does, or if it is not of the pool.
func (t *Table) Blocked(address string) string {
	x := t.byAddr[address]
	if x == nil {
		return "it is not in the pool"
	}
	return x.blocked
}

// Usable counts the targets that may get new work, whatever their load.
func (t *Table) Usable() int {
	n := 0
	for _, x := range t.targets {
		if x.blocked == "" {
			n++
		}
	}
	return n
}

// Addresses returns the targets' addresses, sorted.
func (t *Table) Addresses() []string {
	out := make([]string, 0, len(t.targets))
	for _, x := range t.targets {
		out = append(out, x.Address)
	}
	sort.Strings(out)
	return out
}

// Start counts a request that goes to address.
func (t *Table) Start(now time.Time, address string, q Query) {
	x := t.byAddr[address]
	if x == nil {
		return
	}
	x.setInflight(now, x.inflight+1)
	x.byClass[classOf(q)]++
	if q.Alone {
		x.exclusive, x.reserved = true, false
	}
	t.heat.note(q.Prefixes)
	for _, h := range q.Prefixes {
		x.prefixes.sent.add(h)
	}
}

func classOf(q Query) int { return min(max(q.Class, 0), classes-1) }

// End counts a request that has left address.
func (t *Table) End(now time.Time, address string, q Query) {
	x := t.byAddr[address]
	if x == nil {
		return
	}
	x.setInflight(now, max(0, x.inflight-1))
	x.byClass[classOf(q)] = max(0, x.byClass[classOf(q)]-1)
	if q.Alone {
		x.exclusive = false
	}
}

// Report takes a load report that is age old.
func (t *Table) Report(now time.Time, address string, load trial.Load) {
	x := t.byAddr[address]
	if x == nil {
		return
	}
	x.reported = load.Running + load.Waiting
	x.reportedAt = now.Add(-time.Duration(load.AgeMs) * time.Millisecond)
	x.limit.Report(load.BatchLimit, x.others(now))
}

// CacheSince returns the sequence number after which the target's cache events are to be read.
func (t *Table) CacheSince(address string) int64 {
	if x := t.byAddr[address]; x != nil {
		return x.prefixes.last
	}
	return 0
}

// CacheEvents takes a target's cache events as hints.
func (t *Table) CacheEvents(address string, ev *trial.CacheEvents) {
	x := t.byAddr[address]
	if x == nil {
		return
	}
	x.prefixes.take(ev)
}

// Forget discards the remembered prefixes of a target that has restarted.
func (t *Table) Forget(address string) {
	if x := t.byAddr[address]; x != nil {
		x.prefixes.clear()
	}
}
