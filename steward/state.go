package steward

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/rumor"
	"github.com/ibistrail/ibistrail/wire"
)

// Intervals and timeouts of the gate's state.
const (
	// minStateInterval is the minimum time between two states, so that a burst of changes yields one state.
	minStateInterval = 20 * time.Millisecond
	// stateRefreshPeriod is how often the state is rebuilt without a change, to remove expired entries.
	stateRefreshPeriod = time.Second
	// GateTimeout is how long after its last watch a gate is considered alive.
	GateTimeout = 10 * time.Second
	// restartGrace is how long a VM's gate stays listed as a peer after its steward has left the membership.
	restartGrace = 15 * time.Second
)

// gateTracker records the latest watch of the VM's own gate.
type gateTracker struct {
	mu          sync.Mutex
	params      wire.WatchParams
	lastSeen    time.Time
	openWatches int
}

func (g *gateTracker) begin(p wire.WatchParams) {
	g.mu.Lock()
	g.params, g.lastSeen = p, time.Now()
	g.openWatches++
	g.mu.Unlock()
}

func (g *gateTracker) end() {
	g.mu.Lock()
	g.lastSeen = time.Now()
	g.openWatches--
	g.mu.Unlock()
}

// last returns the parameters of the latest watch and reports whether the gate is considered alive.
func (g *gateTracker) last() (wire.WatchParams, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	live := !g.lastSeen.IsZero() && (g.openWatches > 0 || time.Since(g.lastSeen) < GateTimeout)
	return g.params, live
}

// watch serves the state to the VM's own gate, and to gates of other VMs whose steward is not reachable.
func (s *Steward) watch(ctx context.Context, p wire.WatchParams) (wire.State, error) {
	if p.GateID != s.self.ID {
		st, err := s.stateHub.watch(ctx, p)
		st.Peers = s.peersOf(p.GateID, st.Peers)
		return st, err
	}
	s.gateTracker.begin(p)
	defer s.gateTracker.end()
	s.gossip.setSelf(p.GateIncarnation, p.Draining)
	return s.stateHub.watch(ctx, p)
}

// peersOf returns the peers from the view of another VM's gate: it adds this VM's gate, if that is alive and
// not draining, and removes the asking gate.
func (s *Steward) peersOf(gateID string, peers []wire.Node) []wire.Node {
	out := make([]wire.Node, 0, len(peers)+1)
	for _, n := range peers {
		if n.ID != gateID {
			out = append(out, n)
		}
	}
	if gate, live := s.gateTracker.last(); live && !gate.Draining {
		out = append(out, s.self)
	}
	return out
}

// publishStates rebuilds the gate's state after each change and every stateRefreshPeriod.
func (s *Steward) publishStates(ctx context.Context) error {
	refresh := time.NewTicker(stateRefreshPeriod)
	defer refresh.Stop()
	for {
		if _, live := s.gateTracker.last(); !live {
			s.gossip.setSelf("", false)
		}
		s.stateHub.set(s.buildState())
		select {
		case <-ctx.Done():
			return nil
		case <-s.dirty:
		case <-refresh.C:
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(minStateInterval):
		}
	}
}

// buildState assembles the gate's state from the configuration, the rumors and the membership.
func (s *Steward) buildState() wire.State {
	tb, revision, ready := s.tables.active()
	st := wire.State{Ready: ready, Revision: revision, Versions: s.newestVersions(), EngineVersions: s.engineVersions()}
	if ready {
		st.Tables = tb
		if s.readyAt.IsZero() {
			s.readyAt = time.Now()
			s.opts.Metrics.Latency("start_to_ready_seconds").Observe(s.readyAt.Sub(s.started))
			s.opts.Log.Info("ready", "revision", revision, "after", s.readyAt.Sub(s.started))
		}
	}
	leaving := s.leavingAddresses()
	st.Draining = drainingAddresses(tb, leaving)
	st.Quarantined, st.Suspects = s.gossip.quarantineState()
	st.Peers = s.livePeers(leaving)
	return st
}

// livePeers returns the other nodes whose gates accept requests. A gate keeps running during a planned restart
// of its steward, so a node that has left stays listed for restartGrace.
func (s *Steward) livePeers(leaving map[string]string) []wire.Node {
	now := time.Now()
	var out []wire.Node
	for _, m := range s.gossip.Members() {
		if m.Status == wire.StatusAlive || m.Status == wire.StatusSuspect {
			s.lastAlive[m.Node.ID] = now
		}
		restarting := m.Status == wire.StatusLeft && now.Sub(s.lastAlive[m.Node.ID]) < restartGrace
		live := m.Status == wire.StatusAlive || m.Status == wire.StatusSuspect || restarting
		_, isLeaving := leavingReason(leaving, m.Node.StewardAddress)
		if live && m.Node.ID != s.self.ID && m.GateIncarnation != "" && !m.GateDraining && !isLeaving {
			out = append(out, m.Node)
		}
	}
	maps.DeleteFunc(s.lastAlive, func(_ string, at time.Time) bool { return now.Sub(at) > restartGrace })
	return out
}

// leavingAddresses returns the addresses that rumors report as leaving, with their reasons.
func (s *Steward) leavingAddresses() map[string]string {
	out := map[string]string{}
	for _, r := range s.gossip.rumorsByKind(rumor.KindLeaving) {
		var reason string
		if json.Unmarshal(r.Value, &reason) == nil && reason != "" {
			out[r.Key] = reason
		}
	}
	return out
}

// drainingAddresses returns the draining targets with a reason each. A target is draining if its pool row, the
// VM list or its own status says so.
func drainingAddresses(tb *config.Tables, leaving map[string]string) map[string]string {
	out := maps.Clone(leaving)
	for i := range tb.Pools {
		for _, t := range tb.Pools[i].Targets {
			if t.Draining {
				out[t.Address] = "pool row says draining"
			} else if len(leaving) > 0 {
				if reason, ok := leavingReason(leaving, t.Address); ok {
					out[t.Address] = reason
				}
			}
		}
	}
	return out
}

// newestVersions returns the newest known weight version of each model.
func (s *Steward) newestVersions() map[string]int64 {
	out := map[string]int64{}
	for _, r := range s.gossip.rumorsByKind(rumor.KindVersion) {
		out[r.Key] = max(out[r.Key], r.Seq)
	}
	return out
}

// engineVersions returns the weight version that each engine last reported, by address.
func (s *Steward) engineVersions() map[string]int64 {
	out := map[string]int64{}
	for _, r := range s.gossip.rumorsByKind(rumor.KindEngines) {
		var seen map[string]int64
		if json.Unmarshal(r.Value, &seen) == nil {
			maps.Copy(out, seen)
		}
	}
	return out
}

// report publishes the gate's observations of targets as rumors. Weight versions are only hints, which the version
// poller checks against the store.
func (s *Steward) report(_ context.Context, p wire.ReportParams) (wire.Empty, error) {
	now := time.Now()
	var rumors []wire.Rumor
	for _, a := range p.Leaving {
		rumors = append(rumors, newLeavingRumor(now, a, "target says draining"))
	}
	for _, d := range p.Deaths {
		rumors = append(rumors, rumor.NewDeath(now, d))
	}
	for _, fp := range p.Cleared {
		rumors = append(rumors, rumor.NewCleared(now, fp))
	}
	for model, version := range p.Versions {
		s.versionPoller.hint(model, version)
	}
	s.gossip.addLocalRumors(rumors...)
	return wire.Empty{}, nil
}

// Lifetimes of the rumors that the steward publishes.
const (
	leavingTTL = 2 * time.Minute
	versionTTL = time.Hour
	enginesTTL = 10 * time.Minute
)

func newLeavingRumor(now time.Time, address, reason string) wire.Rumor {
	return wire.Rumor{Kind: rumor.KindLeaving, Key: address, Seq: now.UnixMilli(), Expires: now.Add(leavingTTL).UnixMilli(), Value: encode(reason)}
}

func newVersionRumor(now time.Time, model string, version int64) wire.Rumor {
	return wire.Rumor{Kind: rumor.KindVersion, Key: model, Seq: version, Expires: now.Add(versionTTL).UnixMilli()}
}

// dump is the state dump on the debug address.
type dump struct {
	Node    wire.Node               `json:"node"`
	Started time.Time               `json:"started"`
	State   wire.State              `json:"state"`
	Tails   any                     `json:"tails"`
	Members []wire.Member           `json:"members"`
	Rumors  map[string][]wire.Rumor `json:"rumors"`
	Leases  any                     `json:"leases"`
	Claims  any                     `json:"claims"`
	Pools   any                     `json:"pools"`
	Config  config.Status           `json:"config"`
}

func (s *Steward) dump() dump {
	st, _ := s.stateHub.current()
	d := dump{
		Node: s.self, Started: s.started, State: st, Tails: s.tails.status(), Members: s.gossip.Members(),
		Rumors: map[string][]wire.Rumor{}, Leases: s.leases.status(), Claims: s.claims.status(), Pools: s.orders.status(), Config: s.tables.status(),
	}
	for _, k := range []string{rumor.KindLeaving, rumor.KindVersion, rumor.KindDeath, rumor.KindCleared, rumor.KindEngines} {
		d.Rumors[k] = s.gossip.rumorsByKind(k)
	}
	return d
}
