// Package membership tells which nodes live, in the manner of SWIM: each node probes few others in
// each period, suspects before it declares dead, and spreads what changes on the same messages.
// Its cost for a node does not depend on the number of nodes.
package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/wire"
)

// Periods and bounds of the protocol.
const (
	// TickPeriod is how often Tick is called.
	TickPeriod = 200 * time.Millisecond
	// ProbePeriod is how often one peer of the own zone is probed.
	ProbePeriod = time.Second
	// CrossZoneEvery is the number of periods between two probes into other zones.
	CrossZoneEvery = 5
	// DeadEvery is the number of periods between two attempts to reach a dead or unknown node.
	DeadEvery = 5
	// ProbeTimeout bounds a direct probe.
	ProbeTimeout = 500 * time.Millisecond
	// IndirectTimeout bounds a probe through a helper.
	IndirectTimeout = 2 * ProbeTimeout
	// IndirectHelpers is how many helpers are asked after a direct probe failed.
	IndirectHelpers = 3
	// SuspicionTimeout is how long a suspect has to refute.
	SuspicionTimeout = 3 * time.Second
	// HearsayGrace is added to it where the suspicion was heard from another node.
	HearsayGrace = 1500 * time.Millisecond
	// PauseGap between two ticks means that this node itself was paused.
	PauseGap = 5 * TickPeriod
	// TombstoneRetention is how long a dead member is remembered.
	TombstoneRetention = 10 * time.Minute
	// MaxMembers bounds the table.
	MaxMembers = 4096
	// MaxNews bounds the members that one message carries as news.
	MaxNews = 8
	// AnnounceFanout is how many peers hear of a change at once.
	AnnounceFanout = 3
	// minSends is the least number of messages that carry a piece of news.
	minSends = 3
	// joinSends is the number of messages that carry a node that was not known.
	joinSends = 5
)

// Options configure a Core.
type Options struct {
	Self wire.Node
	// Incarnation must be higher than in any earlier life of the node.
	Incarnation int64
	Seed        uint64
}

// member is an entry of the table.
type member struct {
	wire.Member
	since    time.Time // when the status was taken
	deadline time.Time // when a suspect is probed for the last time
	last     bool      // that last probe is under way
	sends    int       // messages that still carry the entry as news
}

// live tells whether the member counts as living, suspects included.
func (m *member) live() bool {
	return m.Status == wire.StatusAlive || m.Status == wire.StatusSuspect
}

// Core is the table of members and the schedule of probes. It has no clock and does no I/O, and is
// not safe for concurrent use.
type Core struct {
	opts     Options
	rng      *rand.Rand
	self     *member
	members  map[string]*member // by node ID, the own one included
	contacts []string           // steward addresses of the VM list and the seeds
	lastTick time.Time
	nextAt   time.Time // of the next probe period
	period   int
	urgent   bool
	probes   map[string]*probe // by node ID
	mismatch int               // exchanges in a row with differing hashes
	syncAt   time.Time         // earliest next exchange of buckets
	cursor   int               // rotates through the contacts
	version  uint64            // grows with each change of the table
}

// New returns a core that knows only itself.
func New(o Options) *Core {
	c := &Core{
		opts:    o,
		rng:     rand.New(rand.NewPCG(o.Seed, uint64(o.Incarnation))),
		members: map[string]*member{},
		probes:  map[string]*probe{},
	}
	c.self = &member{Member: wire.Member{Node: o.Self, Incarnation: o.Incarnation, Status: wire.StatusAlive}}
	c.members[o.Self.ID] = c.self
	c.spread(c.self)
	return c
}

// rank orders statuses at equal incarnation.
func rank(s wire.MemberStatus) int {
	return slices.Index([]wire.MemberStatus{wire.StatusAlive, wire.StatusSuspect, wire.StatusDead, wire.StatusLeft}, s)
}

// newer tells whether a replaces b.
func newer(a, b *wire.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return rank(a.Status) > rank(b.Status)
}

// spread marks m as news for the next messages.
func (c *Core) spread(m *member) {
	m.sends = minSends + bits.Len(uint(len(c.members)))
	c.urgent = true
	c.version++
}

// Version grows with each change of the table.
func (c *Core) Version() uint64 { return c.version }

// merge takes what another node tells of a member and tells whether it was new.
func (c *Core) merge(now time.Time, in wire.Member) bool {
	if rank(in.Status) < 0 || in.Node.ID == "" {
		return false
	}
	if in.Node.ID == c.self.Node.ID {
		c.refute(in)
		return false
	}
	m := c.members[in.Node.ID]
	if m != nil && !newer(&in, &m.Member) {
		return false
	}
	fresh := m == nil
	if fresh {
		if len(c.members) >= MaxMembers {
			return false
		}
		m = &member{}
		c.members[in.Node.ID] = m
	}
	in.Revision = max(in.Revision, m.Revision)
	c.set(now, m, in)
	if in.Status == wire.StatusSuspect {
		m.deadline = m.deadline.Add(HearsayGrace)
	}
	if fresh {
		m.sends = joinSends // who joins is found by comparing tables too
	}
	return true
}

// set replaces an entry and spreads it.
func (c *Core) set(now time.Time, m *member, in wire.Member) {
	m.Member, m.since, m.last = in, now, false
	if in.Status == wire.StatusSuspect {
		m.deadline = now.Add(SuspicionTimeout)
	}
	c.spread(m)
}

// refute answers what others say of this node with a higher incarnation.
func (c *Core) refute(in wire.Member) {
	stale := in.Incarnation > c.self.Incarnation
	accused := in.Incarnation == c.self.Incarnation && rank(in.Status) > rank(c.self.Status)
	if stale || accused {
		c.self.Incarnation = in.Incarnation + 1
		c.spread(c.self)
	}
}

// mark changes the status of a member on this node's own evidence.
func (c *Core) mark(now time.Time, m *member, s wire.MemberStatus) {
	in := m.Member
	in.Status = s
	c.set(now, m, in)
}

// SetSelf tells what runs on this VM; a change is spread under a new incarnation.
func (c *Core) SetSelf(gateIncarnation string, gateDraining bool) {
	if c.self.GateIncarnation == gateIncarnation && c.self.GateDraining == gateDraining {
		return
	}
	c.self.GateIncarnation, c.self.GateDraining = gateIncarnation, gateDraining
	c.self.Incarnation++
	c.spread(c.self)
}

// SetContacts replaces the addresses at which nodes may be found.
func (c *Core) SetContacts(addresses []string) { c.contacts = addresses }

// Leave declares that this node leaves by plan; Tick spreads it.
func (c *Core) Leave() {
	c.self.Incarnation++
	c.self.Status = wire.StatusLeft
	c.spread(c.self)
}

// AnnounceSoon makes the next Tick send to some peers at once.
func (c *Core) AnnounceSoon() { c.urgent = true }

// Members returns the table sorted by ID, tombstones included.
func (c *Core) Members() []wire.Member {
	out := make([]wire.Member, 0, len(c.members))
	for _, m := range c.members {
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(a, b wire.Member) int { return cmp.Compare(a.Node.ID, b.Node.ID) })
	return out
}

// sorted returns the other members that keep holds for, by ID, so that a seed decides the run.
func (c *Core) sorted(keep func(m *member) bool) []*member {
	var out []*member
	for _, m := range c.members {
		if m != c.self && keep(m) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *member) int { return cmp.Compare(a.Node.ID, b.Node.ID) })
	return out
}
