// Package logtail follows a stream of the platform's log. The nodes of an availability zone form a
// tree: its root reads the log, and each other node reads from its parent, the relay. A node reads
// the log itself when its relay is dead or stalled, and reads from peers when it cannot reach the log.
package logtail

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/wire"
)

// SourceKind is the kind of a read's source.
type SourceKind string

// The kinds of sources, in order of preference.
const (
	SourceRelay SourceKind = "relay"
	SourceLog   SourceKind = "log"
	SourcePeer  SourceKind = "peer"
)

// Source is the source of a read; Node is set for SourceRelay and SourcePeer.
type Source struct {
	Kind SourceKind `json:"kind"`
	Node wire.Node  `json:"node"`
}

// Strategy is the preference among peers when the log cannot be reached.
type Strategy string

// The strategies.
const (
	OtherZoneFirst Strategy = "other-zone-first"
	SameZoneFirst  Strategy = "same-zone"
	RandomPeer     Strategy = "random"
)

// Limits of the planner.
const (
	// MaxSourceLag is how far behind the end of the log a source may be before it is avoided.
	MaxSourceLag = 10 * time.Second
	// RelayFanout is the maximum number of nodes that read from one relay.
	RelayFanout = 3
	// AvoidDuration is how long a source is avoided after a failure. For the log it doubles with each
	// consecutive failure, up to MaxLogAvoidDuration.
	AvoidDuration       = 2 * time.Second
	MaxLogAvoidDuration = 8 * time.Second
	// RelayBypassDuration is how long a node that can reach the log avoids a relay that cannot.
	RelayBypassDuration = 10 * time.Second
)

// PlannerOptions configure a Planner.
type PlannerOptions struct {
	Self     wire.Node
	Strategy Strategy
	Seed     uint64
}

// Planner chooses the source of each read of one stream. It does no I/O and reads no clock.
type Planner struct {
	opts       PlannerOptions
	rng        *rand.Rand
	avoidUntil map[string]time.Time // by node ID; "" is the log
	lastPeer   string               // ID of the last peer that answered
	// logFailures is the number of consecutive failed reads of the log.
	logFailures int
	// bypassedRelay is the ID of the relay that is avoided because it cannot reach the log.
	bypassedRelay string
}

// NewPlanner returns a planner that avoids no source; the default strategy is OtherZoneFirst.
func NewPlanner(o PlannerOptions) *Planner {
	if o.Strategy == "" {
		o.Strategy = OtherZoneFirst
	}
	return &Planner{opts: o, rng: rand.New(rand.NewPCG(o.Seed, uint64(len(o.Self.ID)))), avoidUntil: map[string]time.Time{}}
}

// Parent returns the relay of self. The live nodes of a zone and self, sorted by ID, form a tree in
// which each node has up to RelayFanout children. ok is false for the root, which reads the log.
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

// Plan returns the source of the next read: the relay, else the log, else a peer. live holds the live
// nodes and may or may not include this one.
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

// Outcome is the result of a read.
type Outcome struct {
	Err error
	// Lag is how far behind the end of the log the source was.
	Lag time.Duration
	// FromPeer means that the records of a relay come from a peer, since the relay, or one above it,
	// cannot reach the log.
	FromPeer bool
}

// Report records the outcome of a read from s, which decides the sources of the next reads.
func (p *Planner) Report(now time.Time, s Source, o Outcome) {
	if s.Kind == SourceLog {
		p.reportLog(now, o.Err)
		return
	}
	id := s.Node.ID
	if o.Err != nil || o.Lag > MaxSourceLag {
		p.avoidUntil[id] = now.Add(AvoidDuration)
		if p.lastPeer == id {
			p.lastPeer = ""
		}
		return
	}
	delete(p.avoidUntil, id)
	switch {
	case s.Kind == SourcePeer:
		p.lastPeer = id
	case o.FromPeer && !p.avoided(now, ""):
		// This node may be able to reach the log although its relay cannot.
		p.avoidUntil[id], p.bypassedRelay = now.Add(RelayBypassDuration), id
	}
}

// reportLog records the result of a read from the log. After a failure the log is avoided for a
// while, and a relay that was bypassed in favor of the log may be used again.
func (p *Planner) reportLog(now time.Time, err error) {
	if err == nil {
		p.logFailures = 0
		delete(p.avoidUntil, "")
		return
	}
	delete(p.avoidUntil, p.bypassedRelay)
	p.bypassedRelay = ""
	p.avoidUntil[""] = now.Add(min(AvoidDuration<<min(p.logFailures, 8), MaxLogAvoidDuration))
	p.logFailures++
}

// avoided reports whether the source with this key of avoidUntil is avoided at now.
func (p *Planner) avoided(now time.Time, key string) bool {
	until, ok := p.avoidUntil[key]
	if ok && !now.Before(until) {
		delete(p.avoidUntil, key)
		return false
	}
	return ok
}

// choosePeer returns the last peer that answered, if it is usable, or a random peer among those that
// the strategy prefers. If it prefers none, any usable peer is chosen.
func (p *Planner) choosePeer(now time.Time, live []wire.Node) (wire.Node, bool) {
	var usable []wire.Node
	for _, n := range live {
		if n.ID == p.opts.Self.ID || p.avoided(now, n.ID) {
			continue
		}
		if n.ID == p.lastPeer {
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
	sameZone := n.AvailabilityZone == p.opts.Self.AvailabilityZone
	switch p.opts.Strategy {
	case SameZoneFirst:
		return sameZone
	case RandomPeer:
		return true
	default:
		return !sameZone
	}
}
