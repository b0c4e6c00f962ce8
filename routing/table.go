// Package routing picks the target of a request. It combines this gate's in-flight counts with the targets' delayed load
// reports, takes the less loaded of two random targets, and supports prefix affinity with a load bound, preference for
// the gate's own availability zone, ejection of slow and failing targets up to a share of the pool, and ramp-up of new
// ones. Tables with ByTime choose by the expected time of a request instead: queue and running work times the target's work figure. It does no I/O; the time and the random source are arguments.
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

// Parameters of routing.
const (
	// RampUp is the time over which a new target's limit rises to its full value.
	RampUp = 5 * time.Second
	// rampMinShare is the share of its limit that a new target starts with.
	rampMinShare = 0.2
	// affinityBound is the multiple of the mean utilization up to which a target is preferred for a cached prefix.
	affinityBound = 1.25
	// affinitySlack is the number of requests by which a target may exceed that bound.
	affinitySlack = 2
	// affinityFreeUtilization is the utilization up to which a target is preferred regardless of the mean.
	affinityFreeUtilization = 0.75
	// zoneMinTargets is the number of targets in the gate's own zone from which on their caches suffice for prefixes.
	// With fewer, prefixes are placed across the whole pool.
	zoneMinTargets = 16
	// crossZoneMinBlocks is the number of whole blocks of a prompt from which on a cached prefix in another zone can save
	// more time than the network latency between the zones costs.
	crossZoneMinBlocks = 2
	// overcommitFactor is the multiple of its limit up to which a target receives requests that its own queue orders
	// before those already there.
	overcommitFactor = 2
)

// Query describes the request for which a target is picked.
type Query struct {
	// Prefixes are the hashes of the prompt's prefixes, as returned by the function Prefixes.
	Prefixes []uint64
	// Avoid lists addresses that are used only if no other target can serve the request.
	Avoid []string
	// Exclude lists addresses that are not used.
	Exclude []string
	// MinVersion excludes targets whose known weight version is lower; 0 means no minimum.
	MinVersion int64
	// Versioned prefers targets that report weight versions.
	Versioned bool
	// Exclusive requires a target that runs no other request of this gate.
	Exclusive bool
	// IgnoreLimits ignores the targets' limits (baselines without admission).
	IgnoreLimits bool
	// Class is the request's priority; a lower number is served first.
	Class int
	// Kind, Objective and Budget are the kind of request whose usual time applies, the time in which it should be answered and that in
	// which it must be; 0 means none. They matter in tables with ByTime only.
	Kind              string
	Objective, Budget time.Duration
	// LeaveFree leaves some slots of each target free for other requests.
	LeaveFree bool
}

// Options configure a Table.
type Options struct {
	AvailabilityZone string
	// GateID makes the order of targets for requests that run alone differ between gates.
	GateID string
	Policy string
	Rand   *rand.Rand
}

// Table is the routing state of one pool.
type Table struct {
	opts            Options
	targets         []*target
	byAddr          map[string]*target
	roundRobinIndex int
	// populated is set once the table has had targets; those added later ramp up.
	populated bool
	frequency prefixFrequency
	// gates is the number of gates that share the targets.
	gates int
	// byTime is set if targets are chosen by the expected time of the request; usual holds the usual times by kind of request.
	byTime bool
	usual  map[string]*usual
	ready  []*target // scratch space of pickByTime
}

// NewTable returns a table without targets.
func NewTable(opts Options) *Table {
	return &Table{opts: opts, byAddr: map[string]*target{}, gates: 1, usual: map[string]*usual{}}
}

// Update sets the pool's targets. blocked maps the addresses of targets that get no new requests to the reason. A target
// that returns after it was removed or blocked starts with a ramp-up and without its former health and prefixes.
func (t *Table) Update(now time.Time, pool *config.Pool, blocked map[string]string) {
	previous := t.byAddr
	t.byAddr = make(map[string]*target, len(pool.Targets))
	t.targets = t.targets[:0]
	for _, row := range pool.Targets {
		x := previous[row.Address]
		if x == nil {
			x = &target{limit: admission.NewLimit(pool.ConcurrencyPerTarget), rampStart: now, ramping: t.populated}
		}
		x.Target, x.byTime = row, t.byTime
		x.limit.SetFixed(pool.ConcurrencyPerTarget)
		x.setBlocked(now, blockReason(row, blocked))
		t.targets = append(t.targets, x)
		t.byAddr[row.Address] = x
	}
	t.populated = t.populated || len(t.targets) > 0
}

func blockReason(row config.Target, blocked map[string]string) string {
	if row.Draining {
		return "its row says draining"
	}
	return blocked[row.Address]
}

func (x *target) setBlocked(now time.Time, reason string) {
	if x.blocked != "" && reason == "" {
		x.rampStart, x.ramping = now, true
		x.prefixes.clear()
		x.health = health{}
	}
	x.blocked = reason
}

// SetGates sets the number of gates that share the targets.
func (t *Table) SetGates(n int) { t.gates = n }

// Block stops new requests to a target; an empty reason unblocks it, unless it is draining according to its row.
func (t *Table) Block(now time.Time, address, reason string) {
	if x := t.byAddr[address]; x != nil {
		x.setBlocked(now, blockReason(x.Target, map[string]string{address: reason}))
	}
}

// SetVersion records the weight version that a target runs.
func (t *Table) SetVersion(address string, version int64) {
	if x := t.byAddr[address]; x != nil {
		x.version = version
	}
}

// BlockReason returns the reason why the target gets no new requests; it is empty if the target isn't blocked. An unknown
// address counts as blocked.
func (t *Table) BlockReason(address string) string {
	x := t.byAddr[address]
	if x == nil {
		return "it is not in the pool"
	}
	return x.blocked
}

// Usable returns the number of targets that aren't blocked, regardless of their load.
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

// Start records that a request is sent to address.
func (t *Table) Start(now time.Time, address string, q Query) {
	x := t.byAddr[address]
	if x == nil {
		return
	}
	if x.byTime && x.inflight >= x.capacity(now) {
		x.pace.probedAt = now
	}
	x.setInflight(now, x.inflight+1)
	x.byClass[classOf(q)]++
	if q.Exclusive {
		x.exclusive, x.reserved = true, false
	}
	t.frequency.record(q.Prefixes)
	for _, h := range q.Prefixes {
		x.prefixes.sent.add(h)
	}
}

func classOf(q Query) int { return min(max(q.Class, 0), classCount-1) }

// End records that a request to address has ended.
func (t *Table) End(now time.Time, address string, q Query) {
	x := t.byAddr[address]
	if x == nil {
		return
	}
	x.setInflight(now, max(0, x.inflight-1))
	x.byClass[classOf(q)] = max(0, x.byClass[classOf(q)]-1)
	if q.Exclusive {
		x.exclusive = false
	}
}

// RecordLoad records a target's load report, which is load.AgeMs old.
func (t *Table) RecordLoad(now time.Time, address string, load trial.Load) {
	x := t.byAddr[address]
	if x == nil {
		return
	}
	x.reportedLoad = load.Running + load.Waiting
	x.reportedAt = now.Add(-time.Duration(load.AgeMs) * time.Millisecond)
	x.limit.SetLoad(load.BatchLimit, x.externalLoad(now))
	if x.byTime {
		x.recordExternal(now)
	}
}

// CacheSince returns the sequence number after which to read the target's cache events.
func (t *Table) CacheSince(address string) int64 {
	if x := t.byAddr[address]; x != nil {
		return x.prefixes.lastSeq
	}
	return 0
}

// ApplyCacheEvents updates the target's prefix index with its cache events.
func (t *Table) ApplyCacheEvents(address string, ev *trial.CacheEvents) {
	x := t.byAddr[address]
	if x == nil {
		return
	}
	x.prefixes.apply(ev)
}

// ClearPrefixes clears the prefix index of a target that has restarted.
func (t *Table) ClearPrefixes(address string) {
	if x := t.byAddr[address]; x != nil {
		x.prefixes.clear()
	}
}
