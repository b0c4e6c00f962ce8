package membership

import (
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/wire"
)

// Send is a message that the shell sends to To; it reports the end with Answered or Failed.
type Send struct {
	To      wire.Node
	Params  wire.GossipParams
	Timeout time.Duration
	kind    sendKind
	target  string // the node that an indirect probe is about
}

type sendKind int

const (
	sendGossip   sendKind = iota // no conclusion from a failure
	sendProbe                    // a failure leads to indirect probes
	sendIndirect                 // asks a helper to probe target
	sendLast                     // a failure declares a suspect dead
)

// probe is a direct probe that failed and waits for its helpers.
type probe struct {
	waiting int
	inc     int64
}

// Tick advances the protocol and returns what is to be sent.
func (c *Core) Tick(now time.Time) []Send {
	c.resume(now)
	c.forget(now)
	out := c.lastProbes(now)
	if !now.Before(c.nextAt) {
		c.nextAt = now.Add(ProbePeriod)
		c.period++
		out = append(out, c.periodProbes()...)
	}
	if c.urgent {
		c.urgent = false
		out = append(out, c.announce()...)
	}
	return out
}

// resume gives suspects the time back that this node was paused: it could not hear them.
func (c *Core) resume(now time.Time) {
	gap := now.Sub(c.lastTick)
	if !c.lastTick.IsZero() && gap > PauseGap {
		for _, m := range c.members {
			m.deadline = m.deadline.Add(gap)
		}
		clear(c.probes)
	}
	c.lastTick = now
}

func (c *Core) forget(now time.Time) {
	for id, m := range c.members {
		if !m.live() && m != c.self && now.Sub(m.since) > TombstoneRetention {
			delete(c.members, id)
			c.version++
		}
	}
}

// lastProbes gives each suspect whose time is over one more chance.
func (c *Core) lastProbes(now time.Time) []Send {
	var out []Send
	for _, m := range c.sorted(func(m *member) bool { return m.Status == wire.StatusSuspect }) {
		if !m.last && !now.Before(m.deadline) {
			m.last = true
			out = append(out, c.message(m, sendLast))
		}
	}
	return out
}

// periodProbes chooses whom to probe in this period.
func (c *Core) periodProbes() []Send {
	var out []Send
	zone := c.sorted(func(m *member) bool { return m.live() && c.sameZone(m) })
	if m := c.chooseInZone(zone); m != nil {
		out = append(out, c.message(m, sendProbe))
	}
	if m := c.chooseCrossZone(len(zone) == 0); m != nil {
		out = append(out, c.message(m, sendProbe))
	}
	for _, m := range c.sorted(func(m *member) bool { return m.Status == wire.StatusSuspect && c.sameZone(m) }) {
		if c.firstSuspecter(m) {
			out = append(out, c.message(m, sendGossip))
		}
	}
	return append(out, c.contactProbes()...)
}

// firstSuspecter picks few nodes that remind a suspect to refute, by ring order.
func (c *Core) firstSuspecter(m *member) bool {
	return c.successor(func(o *member) bool { return c.sameZone(o) && o.live() }) == m
}

// chooseInZone alternates between the next living node in the ring of IDs, so that each node has a
// steady prober, and a random one, so that no prober's death leaves a node unwatched.
func (c *Core) chooseInZone(zone []*member) *member {
	if len(zone) == 0 {
		return nil
	}
	if c.period%2 == 0 {
		return zone[c.rng.IntN(len(zone))]
	}
	return c.successor(func(m *member) bool { return m.Status == wire.StatusAlive && c.sameZone(m) })
}

// successor returns the next node in the ring of IDs for which keep holds.
func (c *Core) successor(keep func(m *member) bool) *member {
	ring := c.sorted(keep)
	for _, m := range ring {
		if m.Node.ID > c.self.Node.ID {
			return m
		}
	}
	if len(ring) > 0 {
		return ring[0]
	}
	return nil
}

// chooseCrossZone picks a zone, then a node of it, so that small zones are watched as closely. It
// does so in each period while a zone has a suspect, or where this node is alone in its own.
func (c *Core) chooseCrossZone(alone bool) *member {
	zones := map[string][]*member{}
	var names []string
	suspects := false
	for _, m := range c.sorted(func(m *member) bool { return m.live() && !c.sameZone(m) }) {
		az := m.Node.AvailabilityZone
		if zones[az] == nil {
			names = append(names, az)
		}
		zones[az] = append(zones[az], m)
		suspects = suspects || m.Status == wire.StatusSuspect
	}
	due := alone || suspects || (c.period+int(c.opts.Seed%CrossZoneEvery))%CrossZoneEvery == 0
	if !due || len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	zone := zones[names[c.rng.IntN(len(names))]]
	return zone[c.rng.IntN(len(zone))]
}

// contactProbes looks for nodes of the VM list that are not known, and for dead ones that are back.
func (c *Core) contactProbes() []Send {
	known := map[string]bool{}
	for _, m := range c.members {
		known[m.Node.StewardAddress] = known[m.Node.StewardAddress] || m.live()
	}
	var missing []string
	for _, a := range c.contacts {
		if a != c.self.Node.StewardAddress && !known[a] {
			missing = append(missing, a)
		}
	}
	for _, m := range c.sorted(func(m *member) bool { return m.Status == wire.StatusDead }) {
		if !slices.Contains(missing, m.Node.StewardAddress) {
			missing = append(missing, m.Node.StewardAddress)
		}
	}
	alone := len(c.sorted((*member).live)) == 0
	if len(missing) == 0 || (!alone && c.period%DeadEvery != 0) {
		return nil
	}
	n := 1
	if alone {
		n = AnnounceFanout
	}
	var out []Send
	for range min(n, len(missing)) {
		c.cursor++
		to := wire.Node{StewardAddress: missing[(c.cursor+c.rng.IntN(2))%len(missing)]}
		s := c.send(to, sendGossip)
		s.Params.Members = append(s.Params.Members, c.self.Member)
		out = append(out, s)
	}
	return out
}

// announce tells some peers of a change at once; the first is of another zone.
func (c *Core) announce() []Send {
	near := c.shuffled(func(m *member) bool { return m.Status == wire.StatusAlive && c.sameZone(m) })
	far := c.shuffled(func(m *member) bool { return m.Status == wire.StatusAlive && !c.sameZone(m) })
	var out []Send
	for _, m := range append(far[:min(1, len(far))], append(near, far[min(1, len(far)):]...)...) {
		if len(out) == AnnounceFanout {
			break
		}
		out = append(out, c.message(m, sendGossip))
	}
	return out
}

func (c *Core) shuffled(keep func(m *member) bool) []*member {
	s := c.sorted(keep)
	c.rng.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
	return s
}

func (c *Core) sameZone(m *member) bool {
	return m.Node.AvailabilityZone == c.self.Node.AvailabilityZone
}

// message is a send to a member that reminds a suspected or dead receiver of what is said of it.
func (c *Core) message(m *member, k sendKind) Send {
	s := c.send(m.Node, k)
	if m.Status != wire.StatusAlive && !slices.ContainsFunc(s.Params.Members, func(x wire.Member) bool { return x.Node.ID == m.Node.ID }) {
		s.Params.Members = append(s.Params.Members, m.Member)
	}
	return s
}

// Message returns a message to a node without a conclusion from its failure.
func (c *Core) Message(to wire.Node) Send {
	if m := c.members[to.ID]; m != nil {
		return c.message(m, sendGossip)
	}
	return c.send(to, sendGossip)
}

func (c *Core) send(to wire.Node, k sendKind) Send {
	return Send{
		To: to, kind: k, Timeout: ProbeTimeout,
		Params: wire.GossipParams{
			From: c.self.Node.ID, AvailabilityZone: c.self.Node.AvailabilityZone,
			Members: c.news(to.ID), MembersHash: c.hash(),
		},
	}
}

// Failed tells that a send got no answer and returns what to send instead.
func (c *Core) Failed(now time.Time, s Send) []Send {
	switch s.kind {
	case sendProbe:
		return c.indirect(now, s)
	case sendIndirect:
		c.helperDone(now, s, false)
	case sendLast:
		if m := c.members[s.To.ID]; m != nil && m.Status == wire.StatusSuspect && m.last {
			c.mark(now, m, wire.StatusDead)
		}
	}
	return nil
}

// indirect asks helpers to probe a node that did not answer.
func (c *Core) indirect(now time.Time, s Send) []Send {
	m := c.members[s.To.ID]
	if m == nil || m.Status != wire.StatusAlive || c.probes[s.To.ID] != nil {
		return nil
	}
	helpers := c.helpers(m)
	if len(helpers) == 0 {
		c.mark(now, m, wire.StatusSuspect)
		return nil
	}
	c.probes[s.To.ID] = &probe{waiting: len(helpers), inc: m.Incarnation}
	var out []Send
	for _, h := range helpers {
		i := c.message(h, sendIndirect)
		i.target, i.Params.Probe, i.Timeout = m.Node.ID, m.Node.ID, IndirectTimeout
		out = append(out, i)
	}
	return out
}

// helpers prefers nodes of the target's zone and takes at least one of another if there is one.
func (c *Core) helpers(target *member) []*member {
	alive := func(m *member) bool { return m.Status == wire.StatusAlive && m != target }
	near := c.shuffled(func(m *member) bool {
		return alive(m) && m.Node.AvailabilityZone == target.Node.AvailabilityZone
	})
	far := c.shuffled(func(m *member) bool {
		return alive(m) && m.Node.AvailabilityZone != target.Node.AvailabilityZone
	})
	all := append(far[:min(1, len(far))], append(near, far[min(1, len(far)):]...)...)
	return all[:min(IndirectHelpers, len(all))]
}

// helperDone counts a helper's word; the target is suspect when none reached it.
func (c *Core) helperDone(now time.Time, s Send, ok bool) {
	p := c.probes[s.target]
	if p == nil {
		return
	}
	if ok {
		delete(c.probes, s.target)
		return
	}
	if p.waiting--; p.waiting > 0 {
		return
	}
	delete(c.probes, s.target)
	if m := c.members[s.target]; m != nil && m.Status == wire.StatusAlive && m.Incarnation == p.inc {
		c.mark(now, m, wire.StatusSuspect)
	}
}

// Answered takes the answer of a send and returns what follows from it.
func (c *Core) Answered(now time.Time, s Send, r *wire.GossipResult) []Send {
	for _, m := range r.Members {
		c.merge(now, m)
	}
	switch s.kind {
	case sendIndirect:
		c.helperDone(now, s, r.ProbeOK)
	case sendLast:
		// The answer refutes; a receiver that did not would be probed again.
		if m := c.members[s.To.ID]; m != nil && m.Status == wire.StatusSuspect {
			m.last, m.deadline = false, now.Add(ProbePeriod)
		}
	}
	return c.sync(now, s, r)
}
