// Package membership detects which nodes are alive with a gossip protocol in the manner of SWIM: in
// each period a node probes a few others, a node that does not answer is suspected before it is
// declared dead, and changes are piggybacked on the same messages. The cost per node does not depend
// on the number of nodes.
package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/wire"
)

// Timing and limits of the protocol.
const (
	// TickPeriod is the interval at which Tick must be called.
	TickPeriod = 200 * time.Millisecond
	// ProbePeriod is the interval at which a node probes one peer in its own availability zone.
	ProbePeriod = time.Second
	// CrossZoneEvery is the number of probe periods between two probes of other zones.
	CrossZoneEvery = 5
	// DeadProbeEvery is the number of probe periods between two probes of a dead or unknown node.
	DeadProbeEvery = 5
	// ProbeTimeout is the timeout of a direct probe.
	ProbeTimeout = 500 * time.Millisecond
	// IndirectTimeout is the timeout of an indirect probe through a helper.
	IndirectTimeout = 2 * ProbeTimeout
	// IndirectHelpers is the maximum number of helpers that are asked after a direct probe failed.
	IndirectHelpers = 3
	// SuspicionTimeout is how long a suspect has to refute the suspicion before its final probe.
	SuspicionTimeout = 3 * time.Second
	// RemoteSuspicionGrace is added to SuspicionTimeout if another node reported the suspicion.
	RemoteSuspicionGrace = 1500 * time.Millisecond
	// MinPauseGap is the time between two ticks above which this node was paused itself.
	MinPauseGap = 5 * TickPeriod
	// TombstoneRetention is how long a member that died or left stays in the table.
	TombstoneRetention = 10 * time.Minute
	// MaxMembers is the maximum number of members in the table.
	MaxMembers = 4096
	// MaxUpdates is the maximum number of changed members piggybacked on one message.
	MaxUpdates = 8
	// AnnounceFanout is the number of peers to which a change is sent at once.
	AnnounceFanout = 3
	// minSends is the minimum number of messages that carry a change; the bit length of the number of
	// members is added to it.
	minSends = 3
	// joinSends is the number of messages that carry a new member.
	joinSends = 5
)

// Options configure a Core.
type Options struct {
	Self wire.Node
	// Incarnation must be higher than in any earlier run of the node.
	Incarnation int64
	Seed        uint64
}

// member is an entry of the member table.
type member struct {
	wire.Member
	statusSince time.Time // when the status was set
	deadline    time.Time // when a suspect gets its final probe
	finalProbe  bool      // the final probe was sent
	sendsLeft   int       // number of messages that the entry is still piggybacked on
}

// live reports whether the member is alive or suspected.
func (m *member) live() bool {
	return m.Status == wire.StatusAlive || m.Status == wire.StatusSuspect
}

// Core implements the protocol: the member table and the schedule of probes. It reads no clock (callers
// pass the time), does no I/O, and is not safe for concurrent use.
type Core struct {
	opts            Options
	rng             *rand.Rand
	self            *member
	members         map[string]*member // by node ID, including this node
	contacts        []string           // steward addresses from the VM list and the seeds
	lastTick        time.Time
	nextPeriodAt    time.Time // start of the next probe period
	period          int
	announceDue     bool
	pendingIndirect map[string]*indirectProbe // by node ID
	mismatches      int                       // consecutive exchanges with differing hashes
	nextSyncAt      time.Time                 // earliest time of the next table sync
	contactCursor   int                       // rotates through the missing contacts
	version         uint64                    // increases with each change of the table
}

// New returns a core whose table holds only its own node.
func New(o Options) *Core {
	c := &Core{
		opts:            o,
		rng:             rand.New(rand.NewPCG(o.Seed, uint64(o.Incarnation))),
		members:         map[string]*member{},
		pendingIndirect: map[string]*indirectProbe{},
	}
	c.self = &member{Member: wire.Member{Node: o.Self, Incarnation: o.Incarnation, Status: wire.StatusAlive}}
	c.members[o.Self.ID] = c.self
	c.disseminate(c.self)
	return c
}

// rank returns the precedence of a status at equal incarnations, or -1 for an unknown status.
func rank(s wire.MemberStatus) int {
	return slices.Index([]wire.MemberStatus{wire.StatusAlive, wire.StatusSuspect, wire.StatusDead, wire.StatusLeft}, s)
}

// supersedes reports whether entry a replaces entry b.
func supersedes(a, b *wire.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return rank(a.Status) > rank(b.Status)
}

// disseminate schedules m to be piggybacked on the next messages.
func (c *Core) disseminate(m *member) {
	m.sendsLeft = minSends + bits.Len(uint(len(c.members)))
	c.announceDue = true
	c.version++
}

// Version returns a counter that increases with each change of the table.
func (c *Core) Version() uint64 { return c.version }

// merge applies an entry that another node sent and reports whether it changed the table. An entry
// about this node is refuted instead if necessary.
func (c *Core) merge(now time.Time, in wire.Member) bool {
	if rank(in.Status) < 0 || in.Node.ID == "" {
		return false
	}
	if in.Node.ID == c.self.Node.ID {
		c.refute(in)
		return false
	}
	m := c.members[in.Node.ID]
	if m != nil && !supersedes(&in, &m.Member) {
		return false
	}
	isNew := m == nil
	if isNew {
		if len(c.members) >= MaxMembers {
			return false
		}
		m = &member{}
		c.members[in.Node.ID] = m
	}
	in.Revision = max(in.Revision, m.Revision)
	c.replaceEntry(now, m, in)
	if in.Status == wire.StatusSuspect {
		m.deadline = m.deadline.Add(RemoteSuspicionGrace)
	}
	if isNew {
		m.sendsLeft = joinSends // nodes also learn of new members by table sync
	}
	return true
}

// replaceEntry replaces an entry and disseminates it.
func (c *Core) replaceEntry(now time.Time, m *member, in wire.Member) {
	m.Member, m.statusSince, m.finalProbe = in, now, false
	if in.Status == wire.StatusSuspect {
		m.deadline = now.Add(SuspicionTimeout)
	}
	c.disseminate(m)
}

// refute raises this node's incarnation above that of an entry that contradicts its status or is newer.
func (c *Core) refute(in wire.Member) {
	stale := in.Incarnation > c.self.Incarnation
	accused := in.Incarnation == c.self.Incarnation && rank(in.Status) > rank(c.self.Status)
	if stale || accused {
		c.self.Incarnation = in.Incarnation + 1
		c.disseminate(c.self)
	}
}

// setStatus changes the status of a member because of this node's own probes.
func (c *Core) setStatus(now time.Time, m *member, s wire.MemberStatus) {
	in := m.Member
	in.Status = s
	c.replaceEntry(now, m, in)
}

// SetSelf sets the state of the gate on this VM. A change is disseminated with a new incarnation.
func (c *Core) SetSelf(gateIncarnation string, gateDraining bool) {
	if c.self.GateIncarnation == gateIncarnation && c.self.GateDraining == gateDraining {
		return
	}
	c.self.GateIncarnation, c.self.GateDraining = gateIncarnation, gateDraining
	c.self.Incarnation++
	c.disseminate(c.self)
}

// SetContacts sets the steward addresses that are probed to discover nodes.
func (c *Core) SetContacts(addresses []string) { c.contacts = addresses }

// Leave sets the status of this node to left; the next Tick announces it.
func (c *Core) Leave() {
	c.self.Incarnation++
	c.self.Status = wire.StatusLeft
	c.disseminate(c.self)
}

// RequestAnnounce makes the next Tick send messages to up to AnnounceFanout peers.
func (c *Core) RequestAnnounce() { c.announceDue = true }

// Members returns all members sorted by node ID, including this node and those that died or left.
func (c *Core) Members() []wire.Member {
	out := make([]wire.Member, 0, len(c.members))
	for _, m := range c.members {
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(a, b wire.Member) int { return cmp.Compare(a.Node.ID, b.Node.ID) })
	return out
}

// otherMembers returns the members, except this node, for which keep returns true. They are sorted by
// ID, so that a run depends only on its seed.
func (c *Core) otherMembers(keep func(m *member) bool) []*member {
	var out []*member
	for _, m := range c.members {
		if m != c.self && keep(m) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *member) int { return cmp.Compare(a.Node.ID, b.Node.ID) })
	return out
}
