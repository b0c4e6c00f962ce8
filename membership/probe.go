package membership

import (
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/wire"
)

// Send is a message that the caller must send to To. The caller then passes its response or failure to
// the Core.
type Send struct {
	To      wire.Node
	Params  wire.GossipParams
	Timeout time.Duration
	kind    sendKind
	target  string // ID of the node that an indirect probe checks
}

type sendKind int

const (
	sendGossip     sendKind = iota // a failure is ignored
	sendProbe                      // a failure leads to indirect probes
	sendIndirect                   // a helper probes target
	sendFinalProbe                 // a failure declares a suspect dead
)

// indirectProbe is the state of the indirect probes of a node whose direct probe failed.
type indirectProbe struct {
	helpersLeft int
	incarnation int64
}

// Tick advances the protocol and returns the messages to send.
func (c *Core) Tick(now time.Time) []Send {
	c.compensatePause(now)
	c.removeTombstones(now)
	out := c.finalProbes(now)
	if !now.Before(c.nextPeriodAt) {
		c.nextPeriodAt = now.Add(ProbePeriod)
		c.period++
		out = append(out, c.periodProbes()...)
	}
	if c.announceDue {
		c.announceDue = false
		out = append(out, c.announce()...)
	}
	return out
}

// compensatePause extends the deadlines of suspects by the time that this node was paused, when it
// could not receive their refutations.
func (c *Core) compensatePause(now time.Time) {
	gap := now.Sub(c.lastTick)
	if !c.lastTick.IsZero() && gap > MinPauseGap {
		for _, m := range c.members {
			m.deadline = m.deadline.Add(gap)
		}
		clear(c.pendingIndirect)
	}
	c.lastTick = now
}

func (c *Core) removeTombstones(now time.Time) {
	for id, m := range c.members {
		if !m.live() && m != c.self && now.Sub(m.statusSince) > TombstoneRetention {
			delete(c.members, id)
			c.version++
		}
	}
}

// finalProbes returns the final probe of each suspect whose deadline has passed.
func (c *Core) finalProbes(now time.Time) []Send {
	var out []Send
	for _, m := range c.otherMembers(func(m *member) bool { return m.Status == wire.StatusSuspect }) {
		if !m.finalProbe && !now.Before(m.deadline) {
			m.finalProbe = true
			out = append(out, c.newMessage(m, sendFinalProbe))
		}
	}
	return out
}

// periodProbes returns the probes of one probe period.
func (c *Core) periodProbes() []Send {
	var out []Send
	zone := c.otherMembers(func(m *member) bool { return m.live() && c.sameZone(m) })
	if m := c.chooseInZone(zone); m != nil {
		out = append(out, c.newMessage(m, sendProbe))
	}
	if m := c.chooseCrossZone(len(zone) == 0); m != nil {
		out = append(out, c.newMessage(m, sendProbe))
	}
	for _, m := range c.otherMembers(func(m *member) bool { return m.Status == wire.StatusSuspect && c.sameZone(m) }) {
		if c.remindsSuspect(m) {
			out = append(out, c.newMessage(m, sendGossip))
		}
	}
	return append(out, c.contactProbes()...)
}

// remindsSuspect reports whether this node must send the suspicion to m so that m refutes it. Only the
// live node of the zone that precedes m in the ring of IDs does so.
func (c *Core) remindsSuspect(m *member) bool {
	return c.successor(func(o *member) bool { return c.sameZone(o) && o.live() }) == m
}

// chooseInZone alternates between the next live node in the ring of IDs, so that each node has a
// regular prober, and a random node, so that a node whose prober died is still probed.
func (c *Core) chooseInZone(zone []*member) *member {
	if len(zone) == 0 {
		return nil
	}
	if c.period%2 == 0 {
		return zone[c.rng.IntN(len(zone))]
	}
	return c.successor(func(m *member) bool { return m.Status == wire.StatusAlive && c.sameZone(m) })
}

// successor returns the next node in the ring of IDs for which keep returns true, or nil.
func (c *Core) successor(keep func(m *member) bool) *member {
	ring := c.otherMembers(keep)
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

// chooseCrossZone picks a random other zone and then a random node of it, so that small zones are
// probed as often as large ones. It does so every CrossZoneEvery periods, and in each period while
// another zone has a suspect or this node is the only one in its own zone.
func (c *Core) chooseCrossZone(alone bool) *member {
	zones := map[string][]*member{}
	var names []string
	suspects := false
	for _, m := range c.otherMembers(func(m *member) bool { return m.live() && !c.sameZone(m) }) {
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

// contactProbes returns probes of contacts that are not live members and of dead members, which may
// have restarted.
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
	for _, m := range c.otherMembers(func(m *member) bool { return m.Status == wire.StatusDead }) {
		if !slices.Contains(missing, m.Node.StewardAddress) {
			missing = append(missing, m.Node.StewardAddress)
		}
	}
	alone := len(c.otherMembers((*member).live)) == 0
	if len(missing) == 0 || (!alone && c.period%DeadProbeEvery != 0) {
		return nil
	}
	n := 1
	if alone {
		n = AnnounceFanout
	}
	var out []Send
	for range min(n, len(missing)) {
		c.contactCursor++
		to := wire.Node{StewardAddress: missing[(c.contactCursor+c.rng.IntN(2))%len(missing)]}
		s := c.newSend(to, sendGossip)
		s.Params.Members = append(s.Params.Members, c.self.Member)
		out = append(out, s)
	}
	return out
}

// announce returns messages to AnnounceFanout random peers, the first of them in another zone.
func (c *Core) announce() []Send {
	inZone := c.shuffledMembers(func(m *member) bool { return m.Status == wire.StatusAlive && c.sameZone(m) })
	outside := c.shuffledMembers(func(m *member) bool { return m.Status == wire.StatusAlive && !c.sameZone(m) })
	var out []Send
	for _, m := range append(outside[:min(1, len(outside))], append(inZone, outside[min(1, len(outside)):]...)...) {
		if len(out) == AnnounceFanout {
			break
		}
		out = append(out, c.newMessage(m, sendGossip))
	}
	return out
}

func (c *Core) shuffledMembers(keep func(m *member) bool) []*member {
	s := c.otherMembers(keep)
	c.rng.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
	return s
}

func (c *Core) sameZone(m *member) bool {
	return m.Node.AvailabilityZone == c.self.Node.AvailabilityZone
}

// newMessage returns a message to a member. A member that is not alive also gets its own entry, so
// that it can refute it.
func (c *Core) newMessage(m *member, k sendKind) Send {
	s := c.newSend(m.Node, k)
	if m.Status != wire.StatusAlive && !slices.ContainsFunc(s.Params.Members, func(x wire.Member) bool { return x.Node.ID == m.Node.ID }) {
		s.Params.Members = append(s.Params.Members, m.Member)
	}
	return s
}

// Message returns a gossip message to a node; its failure does not make the node a suspect.
func (c *Core) Message(to wire.Node) Send {
	if m := c.members[to.ID]; m != nil {
		return c.newMessage(m, sendGossip)
	}
	return c.newSend(to, sendGossip)
}

func (c *Core) newSend(to wire.Node, k sendKind) Send {
	return Send{
		To: to, kind: k, Timeout: ProbeTimeout,
		Params: wire.GossipParams{
			From: c.self.Node.ID, AvailabilityZone: c.self.Node.AvailabilityZone,
			Members: c.nextUpdates(to.ID), MembersHash: c.tableHash(),
		},
	}
}

// HandleFailure handles a message that got no response within its timeout and returns the messages to send next.
func (c *Core) HandleFailure(now time.Time, s Send) []Send {
	switch s.kind {
	case sendProbe:
		return c.indirectProbes(now, s)
	case sendIndirect:
		c.helperFinished(now, s, false)
	case sendFinalProbe:
		if m := c.members[s.To.ID]; m != nil && m.Status == wire.StatusSuspect && m.finalProbe {
			c.setStatus(now, m, wire.StatusDead)
		}
	}
	return nil
}

// indirectProbes returns messages that ask helpers to probe a node that did not answer. Without
// helpers, the node becomes a suspect.
func (c *Core) indirectProbes(now time.Time, s Send) []Send {
	m := c.members[s.To.ID]
	if m == nil || m.Status != wire.StatusAlive || c.pendingIndirect[s.To.ID] != nil {
		return nil
	}
	helpers := c.helpers(m)
	if len(helpers) == 0 {
		c.setStatus(now, m, wire.StatusSuspect)
		return nil
	}
	c.pendingIndirect[s.To.ID] = &indirectProbe{helpersLeft: len(helpers), incarnation: m.Incarnation}
	var out []Send
	for _, h := range helpers {
		i := c.newMessage(h, sendIndirect)
		i.target, i.Params.Probe, i.Timeout = m.Node.ID, m.Node.ID, IndirectTimeout
		out = append(out, i)
	}
	return out
}

// helpers returns random helpers: one from another zone than the target's if there is one, and the others
// preferably from the target's zone.
func (c *Core) helpers(target *member) []*member {
	alive := func(m *member) bool { return m.Status == wire.StatusAlive && m != target }
	inZone := c.shuffledMembers(func(m *member) bool {
		return alive(m) && m.Node.AvailabilityZone == target.Node.AvailabilityZone
	})
	outside := c.shuffledMembers(func(m *member) bool {
		return alive(m) && m.Node.AvailabilityZone != target.Node.AvailabilityZone
	})
	all := append(outside[:min(1, len(outside))], append(inZone, outside[min(1, len(outside)):]...)...)
	return all[:min(IndirectHelpers, len(all))]
}

// helperFinished records a helper's result. If no helper reached the target, it becomes a suspect.
func (c *Core) helperFinished(now time.Time, s Send, ok bool) {
	p := c.pendingIndirect[s.target]
	if p == nil {
		return
	}
	if ok {
		delete(c.pendingIndirect, s.target)
		return
	}
	if p.helpersLeft--; p.helpersLeft > 0 {
		return
	}
	delete(c.pendingIndirect, s.target)
	if m := c.members[s.target]; m != nil && m.Status == wire.StatusAlive && m.Incarnation == p.incarnation {
		c.setStatus(now, m, wire.StatusSuspect)
	}
}

// HandleResponse handles the response to a message and returns the messages to send next.
func (c *Core) HandleResponse(now time.Time, s Send, r *wire.GossipResult) []Send {
	for _, m := range r.Members {
		c.merge(now, m)
	}
	switch s.kind {
	case sendIndirect:
		c.helperFinished(now, s, r.ProbeOK)
	case sendFinalProbe:
		// The response normally contains a refutation; a node that did not refute is probed again.
		if m := c.members[s.To.ID]; m != nil && m.Status == wire.StatusSuspect {
			m.finalProbe, m.deadline = false, now.Add(ProbePeriod)
		}
	}
	return c.nextSync(now, s, r)
}
