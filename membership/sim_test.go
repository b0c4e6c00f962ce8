package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ibistrail/ibistrail/wire"
)

// sim runs cores with a virtual clock and a simulated network with delays and cuts; nodes may crash and freeze.
type sim struct {
	now    time.Time
	rng    *rand.Rand
	events events
	serial int
	nodes  map[string]*simNode
	ids    []string
	// cut reports whether messages from one node to another are lost.
	cut func(from, to *simNode) bool
	// onChange is called after each step of a node.
	onChange func(n *simNode)
	bytes    map[string]int
}

type simNode struct {
	id, az  string
	core    *Core
	up      bool
	frozen  bool
	backlog []func()
}

type event struct {
	at     time.Time
	serial int
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// newSim starts zones*perZone nodes; each has the addresses of all as contacts.
func newSim(seed uint64, zones, perZone int) *sim {
	s := &sim{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 7)), nodes: map[string]*simNode{}, bytes: map[string]int{},
		cut: func(_, _ *simNode) bool { return false }, onChange: func(*simNode) {}}
	var contacts []string
	for z := range zones {
		for i := range perZone {
			contacts = append(contacts, fmt.Sprintf("z%d-n%02d", z, i))
		}
	}
	for _, id := range contacts {
		s.start(id, id[:2], seed, contacts)
	}
	return s
}

// start starts a node whose steward address is its ID.
func (s *sim) start(id, az string, seed uint64, contacts []string) *simNode {
	n := &simNode{id: id, az: az, up: true, core: New(Options{Self: wire.Node{ID: id, AvailabilityZone: az, StewardAddress: id}, Incarnation: s.now.UnixMilli(), Seed: seed + uint64(len(s.ids))})}
	n.core.SetContacts(contacts)
	s.nodes[id] = n
	s.ids = append(s.ids, id)
	s.after(time.Duration(s.rng.Int64N(int64(TickPeriod))), func() { s.tick(n) })
	return n
}

func (s *sim) after(d time.Duration, f func()) {
	s.serial++
	heap.Push(&s.events, event{s.now.Add(d), s.serial, f})
}

// run advances the clock by d.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// runUntil advances the clock until f returns true, at most by d, and reports whether f did.
func (s *sim) runUntil(d time.Duration, f func() bool) bool {
	for end := s.now.Add(d); s.now.Before(end); {
		if f() {
			return true
		}
		s.run(50 * time.Millisecond)
	}
	return f()
}

// runOn runs f on a node now, or when it thaws; a crashed node runs nothing.
func (s *sim) runOn(n *simNode, f func()) {
	switch {
	case !n.up:
	case n.frozen:
		n.backlog = append(n.backlog, f)
	default:
		f()
		s.onChange(n)
	}
}

func (s *sim) freeze(n *simNode, d time.Duration) {
	n.frozen = true
	s.after(d, func() {
		n.frozen = false
		for _, f := range n.backlog {
			s.runOn(n, f)
		}
		n.backlog = nil
	})
}

func (s *sim) tick(n *simNode) {
	s.runOn(n, func() {
		s.sendAll(n, n.core.Tick(s.now))
		s.after(TickPeriod, func() { s.tick(n) })
	})
}

func (s *sim) delay(a, b *simNode) time.Duration {
	d := time.Duration(200+s.rng.IntN(300)) * time.Microsecond
	if a.az != b.az {
		d += time.Millisecond
	}
	return d
}

func (s *sim) sendAll(n *simNode, sends []Send) {
	for _, x := range sends {
		s.sendOne(n, x)
	}
}

// sendOne delivers a message and its response, or reports its failure to n after the message's timeout.
func (s *sim) sendOne(n *simNode, x Send) {
	s.bytes[n.id] += size(x.Params.Members)
	done := false
	fail := func() {
		if !done {
			done = true
			s.sendAll(n, n.core.HandleFailure(s.now, x))
		}
	}
	s.after(x.Timeout, func() { s.runOn(n, fail) })
	to := s.nodes[x.To.StewardAddress]
	if to == nil || s.cut(n, to) || !to.up {
		return
	}
	s.after(s.delay(n, to), func() {
		s.runOn(to, func() {
			r := to.core.HandleGossip(s.now, x.Params)
			s.bytes[to.id] += size(r.Members)
			respond := func() {
				if s.cut(to, n) {
					return
				}
				s.after(s.delay(to, n), func() {
					s.runOn(n, func() {
						if !done {
							done = true
							s.sendAll(n, n.core.HandleResponse(s.now, x, &r))
						}
					})
				})
			}
			if x.Params.Probe == "" {
				respond()
				return
			}
			s.relayProbe(to, x.Params.Probe, func(ok bool) { r.ProbeOK = ok; respond() })
		})
	})
}

// relayProbe probes target on behalf of another node, as the steward does.
func (s *sim) relayProbe(n *simNode, target string, then func(ok bool)) {
	to := s.nodes[target]
	done := false
	finish := func(ok bool) {
		if !done {
			done = true
			then(ok)
		}
	}
	s.after(ProbeTimeout, func() { s.runOn(n, func() { finish(false) }) })
	if to == nil || !to.up || s.cut(n, to) || s.cut(to, n) {
		return
	}
	m := n.core.Message(to.core.self.Node)
	s.after(s.delay(n, to), func() {
		s.runOn(to, func() {
			r := to.core.HandleGossip(s.now, m.Params)
			s.after(s.delay(to, n), func() {
				s.runOn(n, func() { s.sendAll(n, n.core.HandleResponse(s.now, m, &r)); finish(true) })
			})
		})
	})
}

// size estimates the bytes of a message.
func size(members []wire.Member) int { return 150 + 300*len(members) }

// status returns the status of a node in n's table, or "" if it is unknown.
func (n *simNode) status(id string) wire.MemberStatus {
	if m := n.core.members[id]; m != nil {
		return m.Status
	}
	return ""
}

// allSee reports whether id has the given status in the tables of all other running nodes.
func (s *sim) allSee(id string, status wire.MemberStatus) bool {
	for _, o := range s.nodes {
		if o.up && o.id != id && o.status(id) != status {
			return false
		}
	}
	return true
}

// allAlive reports whether all running nodes are alive in the tables of all others.
func (s *sim) allAlive() bool {
	for _, id := range s.ids {
		if s.nodes[id].up && !s.allSee(id, wire.StatusAlive) {
			return false
		}
	}
	return true
}
