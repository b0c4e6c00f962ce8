package steward

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/membership"
	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/rumor"
	"github.com/ibistrail/ibistrail/wire"
)

// Limits of the gossip.
const (
	// MaxPendingSends bounds the messages that wait for a response; further messages fail at once.
	MaxPendingSends = 64
	// MinRumorSyncInterval is the minimum time between two comparisons of the rumor tables.
	MinRumorSyncInterval = 2 * time.Second
	// rumorMismatchLimit is how many exchanges in a row must show different hashes before the rumor
	// tables are compared.
	rumorMismatchLimit = 3
)

// gossip runs the membership protocol and the rumor store over JSON-RPC.
type gossip struct {
	self      wire.Node
	call      callFunc
	log       *slog.Logger
	onChange  func()
	sendSlots chan struct{}

	mu         sync.Mutex
	core       *membership.Core
	rumors     *rumor.Store
	mismatches int
	nextSyncAt time.Time
	members    []wire.Member // table at the last change; read-only, since it is shared
	statuses   map[string]wire.MemberStatus
	// membersVersion and rumorsVersion are the versions of the tables at the last change.
	membersVersion, rumorsVersion uint64
}

// callFunc calls a method on the node at address and decodes its result into result.
type callFunc func(ctx context.Context, address, method string, params, result any) error

func newGossip(self wire.Node, incarnation int64, seed uint64, call callFunc, log *slog.Logger, onChange func()) *gossip {
	g := &gossip{
		self: self, call: call, log: log, onChange: onChange,
		sendSlots: make(chan struct{}, MaxPendingSends),
		core:      membership.New(membership.Options{Self: self, Incarnation: incarnation, Seed: seed}),
		rumors:    rumor.New(),
		statuses:  map[string]wire.MemberStatus{},
	}
	g.members = g.core.Members()
	return g
}

// run calls tick every membership.TickPeriod until ctx ends.
func (g *gossip) run(ctx context.Context) error {
	tick := time.NewTicker(membership.TickPeriod)
	defer tick.Stop()
	for {
		g.tick(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (g *gossip) tick(ctx context.Context) {
	now := time.Now()
	g.mu.Lock()
	g.rumors.Expire(now)
	if g.rumors.TakeChanged() {
		g.core.RequestAnnounce()
	}
	sends := g.addRumors(g.core.Tick(now))
	g.publishChanges()
	g.mu.Unlock()
	g.send(ctx, sends)
}

// outgoing is a message to send. Some rumors are sent within a zone only.
type outgoing struct {
	membership.Send
	sameZone bool
}

// addRumors adds rumors to messages, depending on the receivers' zones. The caller holds mu.
func (g *gossip) addRumors(sends []membership.Send) []outgoing {
	out := make([]outgoing, len(sends))
	for i, s := range sends {
		inZone := s.To.AvailabilityZone == g.self.AvailabilityZone
		s.Params.Rumors = g.rumors.NextUpdates(inZone)
		s.Params.RumorsHash = g.rumors.Hash(inZone)
		out[i] = outgoing{Send: s, sameZone: inZone}
	}
	return out
}

// send sends messages without blocking; those above MaxPendingSends fail at once.
func (g *gossip) send(ctx context.Context, sends []outgoing) {
	for _, s := range sends {
		select {
		case g.sendSlots <- struct{}{}:
			go func() {
				defer func() { <-g.sendSlots }()
				g.exchange(ctx, s)
			}()
		default:
			g.log.Warn("gossip_dropped", "to", s.To.ID, "reason", "too many messages wait for answers")
			g.handleResult(ctx, s, nil)
		}
	}
}

func (g *gossip) exchange(ctx context.Context, s outgoing) {
	cctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	var res wire.GossipResult
	if err := g.call(cctx, s.To.StewardAddress, wire.MethodGossip, s.Params, &res); err != nil {
		if ctx.Err() == nil {
			g.handleResult(ctx, s, nil)
		}
		return
	}
	g.handleResult(ctx, s, &res)
}

// handleResult applies the result of a message to the membership and the rumors, and sends the messages that
// follow from it. A nil result means that the message failed.
func (g *gossip) handleResult(ctx context.Context, s outgoing, res *wire.GossipResult) {
	now := time.Now()
	g.mu.Lock()
	var next []outgoing
	if res == nil {
		next = g.addRumors(g.core.HandleFailure(now, s.Send))
	} else {
		g.rumors.Merge(now, res.Rumors)
		next = g.addRumors(g.core.HandleResponse(now, s.Send, res))
		next = append(next, g.syncRumors(now, s, res)...)
	}
	g.publishChanges()
	g.mu.Unlock()
	g.send(ctx, next)
}

// syncRumors returns the message that continues a rumor table comparison, or that starts one if the hashes have
// differed in rumorMismatchLimit exchanges in a row. The caller holds mu.
func (g *gossip) syncRumors(now time.Time, s outgoing, res *wire.GossipResult) []outgoing {
	differing := g.rumors.DifferingBuckets(res.RumorBuckets, s.sameZone)
	if len(differing) == 0 {
		g.mismatches = 0
		return nil
	}
	g.mismatches++
	continues := len(s.Params.RumorSync) > 0 && s.Params.RumorSync[0] != differing[0]
	if !continues && (g.mismatches < rumorMismatchLimit || now.Before(g.nextSyncAt)) {
		return nil
	}
	g.nextSyncAt = now.Add(MinRumorSyncInterval)
	next := s
	next.Send = g.core.Message(s.To)
	next.Params.RumorSync = differing[:min(2, len(differing))]
	next.Params.Rumors = g.rumors.InBuckets(next.Params.RumorSync, nil, s.sameZone)
	next.Params.RumorsHash = g.rumors.Hash(s.sameZone)
	return []outgoing{next}
}

// handle processes a peer's message and returns the response.
func (g *gossip) handle(ctx context.Context, p wire.GossipParams) (wire.GossipResult, error) {
	if len(p.Members) > 2*membership.MaxSyncMembers || len(p.Rumors) > 2*rumor.MaxSync {
		return wire.GossipResult{}, rpc.Errorf(wire.CodeTooLarge, "message carries more than %d members or rumors; send parts", 2*membership.MaxSyncMembers)
	}
	now := time.Now()
	sameZone := p.AvailabilityZone == g.self.AvailabilityZone
	g.mu.Lock()
	g.rumors.Merge(now, p.Rumors)
	res := g.core.HandleGossip(now, p)
	if len(p.RumorSync) > 0 {
		res.Rumors = g.rumors.InBuckets(p.RumorSync, p.Rumors, sameZone)
	} else {
		res.Rumors = g.rumors.NextUpdates(sameZone)
	}
	if p.RumorsHash != g.rumors.Hash(sameZone) {
		res.RumorBuckets = g.rumors.BucketHashes(sameZone)
	}
	var target wire.Node
	if p.Probe != "" {
		target = g.memberNode(p.Probe)
	}
	g.publishChanges()
	g.mu.Unlock()
	if target.ID != "" {
		res.ProbeOK = g.probeFor(ctx, target)
	}
	return res, nil
}

func (g *gossip) memberNode(id string) wire.Node {
	for _, m := range g.members {
		if m.Node.ID == id {
			return m.Node
		}
	}
	return wire.Node{}
}

// probeFor probes target on behalf of a peer and reports whether it responded.
func (g *gossip) probeFor(ctx context.Context, target wire.Node) bool {
	g.mu.Lock()
	s := g.addRumors([]membership.Send{g.core.Message(target)})[0]
	g.mu.Unlock()
	cctx, cancel := context.WithTimeout(ctx, membership.ProbeTimeout)
	defer cancel()
	var res wire.GossipResult
	if err := g.call(cctx, target.StewardAddress, wire.MethodGossip, s.Params, &res); err != nil {
		return false
	}
	g.handleResult(ctx, s, &res)
	return true
}

// publishChanges copies the changed membership table for readers, logs changes of status and calls onChange. The
// caller holds mu.
func (g *gossip) publishChanges() {
	if g.core.Version() == g.membersVersion && g.rumors.Version() == g.rumorsVersion {
		return
	}
	g.membersVersion, g.rumorsVersion = g.core.Version(), g.rumors.Version()
	g.members = g.core.Members()
	for _, m := range g.members {
		if old := g.statuses[m.Node.ID]; old != m.Status {
			g.statuses[m.Node.ID] = m.Status
			g.log.Info("member_status", "member", m.Node.ID, "az", m.Node.AvailabilityZone, "status", m.Status, "incarnation", m.Incarnation)
		}
	}
	g.onChange()
}

// Members returns a copy of the membership table, sorted by ID.
func (g *gossip) Members() []wire.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]wire.Member(nil), g.members...)
}

// Alive returns the nodes with status alive, including this one; suspected nodes are left out.
func (g *gossip) Alive() []wire.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]wire.Node, 0, len(g.members))
	for _, m := range g.members {
		if m.Status == wire.StatusAlive {
			out = append(out, m.Node)
		}
	}
	return out
}

// version returns the version of the membership table; it increases with each change.
func (g *gossip) version() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.membersVersion
}

// addLocalRumors adds rumors that originate from this node.
func (g *gossip) addLocalRumors(rumors ...wire.Rumor) {
	now := time.Now()
	g.mu.Lock()
	g.rumors.Merge(now, rumors)
	g.publishChanges()
	g.mu.Unlock()
}

func (g *gossip) rumorsByKind(kind string) []wire.Rumor {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rumors.ByKind(kind)
}

func (g *gossip) quarantineState() ([]wire.Quarantine, []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rumors.QuarantineState()
}

func (g *gossip) setSelf(gateIncarnation string, draining bool) {
	g.mu.Lock()
	g.core.SetSelf(gateIncarnation, draining)
	g.publishChanges()
	g.mu.Unlock()
}

func (g *gossip) setContacts(addresses []string) {
	g.mu.Lock()
	g.core.SetContacts(addresses)
	g.mu.Unlock()
}

// leave announces the planned departure of this node to some peers and waits for their responses.
func (g *gossip) leave(ctx context.Context) {
	g.mu.Lock()
	g.core.Leave()
	sends := g.addRumors(g.core.Tick(time.Now()))
	g.mu.Unlock()
	var wg sync.WaitGroup
	for _, s := range sends {
		wg.Go(func() { g.exchange(ctx, s) })
	}
	wg.Wait()
}
