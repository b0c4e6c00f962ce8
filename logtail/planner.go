// Package logtail follows a stream of the platform's log. In each availability zone one node reads
// the log and relays it to the others, along a tree; a node reads the log itself when the one
// above it is dead or stalls, and reads from peers when the log cannot be reached.
package logtail

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/wire"
)

// SourceKind tells from whom a read is asked.
type SourceKind string

// The kinds of sources, in the order of preference.
const (
	SourceRelay SourceKind = "relay"
	SourceLog   SourceKind = "log"
	SourcePeer  SourceKind = "peer"
)

// Source is where the next read goes; Node is set for SourceRelay and SourcePeer.
type Source struct {
	Kind SourceKind `json:"kind"`
	Node wire.Node  `json:"node"`
}

// Strategy orders the peers that are asked when the log cannot be reached.
type Strategy string

// The strategies.
const (
	OtherZoneFirst Strategy = "other-zone-first"
	SameZoneFirst  Strategy = "same-zone"
	RandomPeer     Strategy = "random"
)

// Bounds of the planner.
const (
	// MaxAge is how far behind the end of the log a source may be before another one is tried.
	MaxAge = 10 * time.Second
	// RelayFanout is how many nodes read through one node of their zone.
	RelayFanout = 3
	// AvoidFor is how long a source that failed is avoided, AvoidLogMax at most the log after
	// failures in a row.
	AvoidFor    = 2 * time.Second
	AvoidLogMax = 8 * time.Second
	// DetourFor is how long a node that reaches the log leaves a relay that does not.
	DetourFor = 10 * time.Second
)

// PlannerOptions configure a Planner.
type PlannerOptions struct {
	Self     wire.Node
	Strategy Strategy
	Seed     uint64
}

// Planner chooses the source of each read of one stream. It does no I/O and reads no clock.
type Planner struct {
	opts  PlannerOptions
	rng   *rand.Rand
	avoid map[string]time.Time // by node ID, "" is the log
	peer  string               // the peer that served last
	// logFailures are failures of the log in a row.
	logFailures int
	// detour is the relay that is avoided because it does not reach the log.
	detour string
}

// NewPlanner returns a planner that avoids nothing.
func NewPlanner(o PlannerOptions) *Planner {
	if o.Strategy == "" {
		o.Strategy = OtherZoneFirst
	}
	return &Planner{opts: o, rng: rand.New(rand.NewPCG(o.Seed, uint64(len(o.Self.ID)))), avoid: map[string]time.Time{}}
}

// Parent returns the node of its zone through which self reads: the nodes of a zone, ordered by ID,
// form a tree whose root reads the log. ok is false for the root.
func Parent(live []wire.Node, self wire.Node) (parent wire.Node, ok bool) {
	zone := []wire.Node{self}
	for _, n := range live {
		if n.AvailabilityZone == self.AvailabilityZone && n.ID != self.ID {
			zone = append(zone, n)
		}
	}
	slices.SortFunc(zone, func(a, b wire.Node) int { return strings.Compare(a.ID, b.ID) })
	i := slices.IndexFunc(zone, func(n wire.Node) bool { return n.ID == self.ID })
	if i == 0 {
		return wire.Node{}, false
	}
	return zone[(i-1)/RelayFanout], true
}

// Plan returns the source of the next read; live are the live nodes, this one included or not.
func (p *Planner) Plan(now time.Time, live []wire.Node) Source {
	if parent, ok := Parent(live, p.opts.Self); ok && !p.avoided(now, parent.ID) {
		return Source{Kind: SourceRelay, Node: parent}
	}
	if !p.avoided(now, "") {
		return Source{Kind: SourceLog}
	}
	if n, ok := p.choosePeer(now, live); ok {
		return Source{Kind: SourcePeer, Node: n}
	}
	return Source{Kind: SourceLog}
}

// Outcome is how a read went.
type Outcome struct {
	Err error
	// Age is how far behind the end of the log the source was.
	Age time.Duration
	// Lateral tells that the source is cut from the log itself.
	Lateral bool
}

// Report tells how a read from s went.
func (p *Planner) Report(now time.Time, s Source, o Outcome) {
	if s.Kind == SourceLog {
		p.reportLog(now, o.Err)
		return
	}
	id := s.Node.ID
	if o.Err != nil || o.Age > MaxAge {
		p.avoid[id] = now.Add(AvoidFor)
		if p.peer == id {
			p.peer = ""
		}
		return
	}
	delete(p.avoid, id)
	switch {
	case s.Kind == SourcePeer:
		p.peer = id
	case o.Lateral && !p.avoided(now, ""):
		// This node may reach the log although its relay does not.
		p.avoid[id], p.detour = now.Add(DetourFor), id
	}
}

// reportLog backs off from a log that fails, and goes back to the relay that was left for it.
func (p *Planner) reportLog(now time.Time, err error) {
	if err == nil {
		p.logFailures = 0
		delete(p.avoid, "")
		return
	}
	delete(p.avoid, p.detour)
	p.detour = ""
	p.avoid[""] = now.Add(min(AvoidFor<<min(p.logFailures, 8), AvoidLogMax))
	p.logFailures++
}

func (p *Planner) avoided(now time.Time, key string) bool {
	until, ok := p.avoid[key]
	if ok && !now.Before(until) {
		delete(p.avoid, key)
		return false
	}
	return ok
}

// choosePeer keeps to the peer that served last, else takes the best one of the strategy.
func (p *Planner) choosePeer(now time.Time, live []wire.Node) (wire.Node, bool) {
	var usable []wire.Node
	for _, n := range live {
		if n.ID == p.opts.Self.ID || p.avoided(now, n.ID) {
			continue
		}
		if n.ID == p.peer {
			return n, true
		}
		usable = append(usable, n)
	}
	if len(usable) == 0 {
		return wire.Node{}, false
	}
	slices.SortFunc(usable, func(a, b wire.Node) int { return strings.Compare(a.ID, b.ID) })
	preferred := slices.DeleteFunc(slices.Clone(usable), func(n wire.Node) bool { return !p.prefers(n) })
	if len(preferred) > 0 {
		usable = preferred
	}
	return usable[p.rng.IntN(len(usable))], true
}

func (p *Planner) prefers(n wire.Node) bool {
	same := n.AvailabilityZone == p.opts.Self.AvailabilityZone
	switch p.opts.Strategy {
	case SameZoneFirst:
		return same
	case RandomPeer:
		return true
	default:
		return !same
	}
}
