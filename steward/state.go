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

// Times of the state for the gate.
const (
	// statePause is the least time between two states, so that a burst of news makes one.
	statePause = 20 * time.Millisecond
	// stateRefresh rebuilds the state without news, so that what has expired leaves it.
	stateRefresh = time.Second
	// GateSilence is how long a gate may not have watched before it counts as gone.
	GateSilence = 10 * time.Second
	// restartGrace is how long the gate of a VM counts as living after its steward left by plan.
	restartGrace = 15 * time.Second
)

// gateWatch keeps what the VM's gate last told of itself.
type gateWatch struct {
	mu     sync.Mutex
	params wire.WatchParams
	at     time.Time
	open   int // watches that wait
}

func (g *gateWatch) begin(p wire.WatchParams) {
	g.mu.Lock()
	g.params, g.at = p, time.Now()
	g.open++
	g.mu.Unlock()
}

func (g *gateWatch) end() {
	g.mu.Lock()
	g.at = time.Now()
	g.open--
	g.mu.Unlock()
}

// last returns the newest watch of a gate that still lives.
func (g *gateWatch) last() (wire.WatchParams, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	live := !g.at.IsZero() && (g.open > 0 || time.Since(g.at) < GateSilence)
	return g.params, live
}

// watch serves the state to the VM's gate, and to gates of other VMs whose own steward is away.
func (s *Steward) watch(ctx context.Context, p wire.WatchParams) (wire.State, error) {
	if p.GateID != s.self.ID {
		st, err := s.hub.watch(ctx, p)
		st.Peers = s.peersFor(p.GateID, st.Peers)
		return st, err
	}
	s.gate.begin(p)
	defer s.gate.end()
	s.members.setSelf(p.GateIncarnation, p.Draining)
	return s.hub.watch(ctx, p)
}

// peersFor returns the peers as the gate of another VM sees them: with this VM's gate, if it takes
// work, and without its own.
func (s *Steward) peersFor(gateID string, peers []wire.Node) []wire.Node {
	out := make([]wire.Node, 0, len(peers)+1)
	for _, n := range peers {
		if n.ID != gateID {
			out = append(out, n)
		}
	}
	if gate, live := s.gate.last(); live && !gate.Draining {
		out = append(out, s.self)
	}
	return out
}

// publishStates builds the state for the gate whenever something has changed.
func (s *Steward) publishStates(ctx context.Context) error {
	refresh := time.NewTicker(stateRefresh)
	defer refresh.Stop()
	for {
		if _, live := s.gate.last(); !live {
			s.members.setSelf("", false)
		}
		s.hub.set(s.build())
		select {
		case <-ctx.Done():
			return nil
		case <-s.dirty:
		case <-refresh.C:
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(statePause):
		}
	}
}

// build joins what the duties know.
func (s *Steward) build() wire.State {
	tb, revision, ready := s.tables.inForce()
	st := wire.State{Ready: ready, Revision: revision, Versions: s.versions(), EngineVersions: s.engineVersions()}
	if ready {
		st.Tables = tb
		if s.readyAt.IsZero() {
			s.readyAt = time.Now()
			s.opts.Metrics.Latency("start_to_ready_seconds").Observe(s.readyAt.Sub(s.started))
			s.opts.Log.Info("ready", "revision", revision, "after", s.readyAt.Sub(s.started))
		}
	}
	leaving := s.leavingRumors()
	st.Draining = draining(tb, leaving)
	st.Quarantined, st.Suspects = s.members.judge()
	st.Peers = s.peers(leaving)
	return st
}

// peers returns the gates of other VMs that live. A gate outlives the planned restart of its
// steward, so it counts for a while longer.
func (s *Steward) peers(leaving map[string]string) []wire.Node {
	now := time.Now()
	var out []wire.Node
	for _, m := range s.members.Members() {
		if m.Status == wire.StatusAlive || m.Status == wire.StatusSuspect {
			s.aliveAt[m.Node.ID] = now
		}
		restarts := m.Status == wire.StatusLeft && now.Sub(s.aliveAt[m.Node.ID]) < restartGrace
		live := m.Status == wire.StatusAlive || m.Status == wire.StatusSuspect || restarts
		_, leaves := leavingReason(leaving, m.Node.StewardAddress)
		if live && m.Node.ID != s.self.ID && m.GateIncarnation != "" && !m.GateDraining && !leaves {
			out = append(out, m.Node)
		}
	}
	maps.DeleteFunc(s.aliveAt, func(_ string, at time.Time) bool { return now.Sub(at) > restartGrace })
	return out
}

// leavingRumors returns the addresses that are told to be leaving, with the reasons.
func (s *Steward) leavingRumors() map[string]string {
	out := map[string]string{}
	for _, r := range s.members.kind(rumor.KindLeaving) {
		var reason string
		if json.Unmarshal(r.Value, &reason) == nil && reason != "" {
			out[r.Key] = reason
		}
	}
	return out
}

// draining merges the pool's rows, the list of VMs and what was seen of targets; one word suffices.
func draining(tb *config.Tables, leaving map[string]string) map[string]string {
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

// versions are the newest known weight versions by model.
func (s *Steward) versions() map[string]int64 {
	out := map[string]int64{}
	for _, r := range s.members.kind(rumor.KindVersion) {
		out[r.Key] = max(out[r.Key], r.Seq)
	}
	return out
}

// engineVersions are what engines were last seen to run.
func (s *Steward) engineVersions() map[string]int64 {
	out := map[string]int64{}
	for _, r := range s.members.kind(rumor.KindEngines) {
		var seen map[string]int64
		if json.Unmarshal(r.Value, &seen) == nil {
			maps.Copy(out, seen)
		}
	}
	return out
}

// report takes what the VM's gate has seen of targets and starts rumors of it.
func (s *Steward) report(_ context.Context, p wire.ReportParams) (wire.Empty, error) {
	now := time.Now()
	var rumors []wire.Rumor
	for _, a := range p.Leaving {
		rumors = append(rumors, newLeaving(now, a, "target says draining"))
	}
	for _, d := range p.Deaths {
		rumors = append(rumors, rumor.NewDeath(now, d))
	}
	for _, fp := range p.Cleared {
		rumors = append(rumors, rumor.NewCleared(now, fp))
	}
	for model, version := range p.Versions {
		s.store.hint(model, version)
	}
	s.members.put(rumors...)
	return wire.Empty{}, nil
}

// Lives of rumors that the steward starts.
const (
	leavingTTL = 2 * time.Minute
	versionTTL = time.Hour
	enginesTTL = 10 * time.Minute
)

func newLeaving(now time.Time, address, reason string) wire.Rumor {
	return wire.Rumor{Kind: rumor.KindLeaving, Key: address, Seq: now.UnixMilli(), Expires: now.Add(leavingTTL).UnixMilli(), Value: encode(reason)}
}

func newVersion(now time.Time, model string, version int64) wire.Rumor {
	return wire.Rumor{Kind: rumor.KindVersion, Key: model, Seq: version, Expires: now.Add(versionTTL).UnixMilli()}
}

// dump is the state dump of the process.
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
	st, _ := s.hub.get()
	d := dump{
		Node: s.self, Started: s.started, State: st, Tails: s.tails.status(), Members: s.members.Members(),
		Rumors: map[string][]wire.Rumor{}, Leases: s.leases.status(), Claims: s.claims.status(), Pools: s.orders.status(), Config: s.tables.status(),
	}
	for _, k := range []string{rumor.KindLeaving, rumor.KindVersion, rumor.KindDeath, rumor.KindCleared, rumor.KindEngines} {
		d.Rumors[k] = s.members.kind(k)
	}
	return d
}
