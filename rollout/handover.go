package rollout

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/wire"
)

// handoverTimeout bounds one handover message.
const handoverTimeout = 5 * time.Second

// export is what a peer needs to go on with a step.
type export struct {
	samples  []api.Sample
	partials []api.Sample
	held     api.Cursor
	version  int64
}

// export gathers what a peer needs; the step goes on meanwhile.
func (r *runner) export() export {
	ex := export{version: r.step.Version()}
	ex.samples, ex.held = r.step.Export()
	for slot, id := range r.step.Running() {
		k := r.tasks[id]
		if k == nil || k.progress == nil {
			continue
		}
		text, tokens, spans, engine := k.progress.copy()
		if len(tokens) > 0 {
			ex.partials = append(ex.partials, api.Sample{Slot: slot, Text: text, Tokens: tokens, Spans: spans, Engine: engine})
		}
	}
	return ex
}

// Drain hands the live steps to peers for a planned stop. A step that no peer takes stays until
// the gate exits; its trainer then hands it in elsewhere.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	runners := make([]*runner, 0, len(m.steps))
	for _, r := range m.steps {
		runners = append(runners, r)
	}
	m.mu.Unlock()
	var wg sync.WaitGroup
	for _, r := range runners {
		wg.Go(func() { m.handOver(ctx, r) })
	}
	wg.Wait()
	return ctx.Err()
}

// handOver offers a step to one peer after another.
func (m *Manager) handOver(ctx context.Context, r *runner) {
	for _, peer := range m.handoverPeers(r.key) {
		reply := make(chan export, 1)
		select {
		case r.exports <- reply:
		case <-r.done:
			return
		case <-ctx.Done():
			return
		}
		ex := <-reply
		owner, err := m.offer(ctx, r, peer, ex)
		if err != nil {
			m.opts.Log.Warn("step_handover_failed", "step", r.key.id, "peer", peer.ID, "err", err)
			continue
		}
		m.note("step_handed_over", r.key.id, "peer", peer.ID, "samples", len(ex.samples), "partials", len(ex.partials), "held", ex.held.Count())
		select {
		case r.moves <- moved{owner: owner, address: peer.GateAddress}:
			<-r.done
		case <-r.done:
		}
		return
	}
}

// offer sends a step to a peer, its samples in parts; an equal specification is idempotent there.
func (m *Manager) offer(ctx context.Context, r *runner, peer wire.Node, ex export) (string, error) {
	spec := r.spec
	spec.Held, spec.TrainerVersion = ex.held, ex.version
	var res wire.HandoverResult
	for first := true; first || len(ex.samples) > 0; first = false {
		n, p := partSize(ex.samples), partSize(ex.partials)
		params := wire.HandoverParams{
			Trainer: r.key.trainer, Spec: spec, Samples: ex.samples[:n], Partials: ex.partials[:p],
			RemainingMs: max(1, r.deadline.Sub(m.opts.Now()).Milliseconds()),
		}
		ex.samples, ex.partials = ex.samples[n:], ex.partials[p:]
		cctx, cancel := context.WithTimeout(ctx, handoverTimeout)
		err := m.opts.Call(cctx, peer.GateAddress, wire.MethodHandover, params, &res)
		cancel()
		if err != nil {
			return "", err
		}
	}
	return res.Owner, nil
}

func partSize(samples []api.Sample) int {
	size := 0
	for i := range samples {
		size += sampleSize(&samples[i])
		if size > MaxAnswerBytes {
			return max(1, i)
		}
	}
	return len(samples)
}

// handoverPeers orders the peers: other zones first, since a planned stop often takes the rest of
// its zone next, spread by the step's name.
func (m *Manager) handoverPeers(key stepKey) []wire.Node {
	peers := slices.DeleteFunc(slices.Clone(m.opts.Directory.Peers()), func(n wire.Node) bool { return n.ID == m.opts.GateID })
	rank := func(n wire.Node) uint64 {
		h := fnv.New64a()
		h.Write([]byte(key.trainer + "/" + key.id + "/" + n.ID))
		return h.Sum64()
	}
	near := func(n wire.Node) int {
		if n.AvailabilityZone == m.opts.AvailabilityZone {
			return 1
		}
		return 0
	}
	slices.SortFunc(peers, func(a, b wire.Node) int {
		return cmp.Or(cmp.Compare(near(a), near(b)), cmp.Compare(rank(a), rank(b)))
	})
	return peers
}

func (m *Manager) handleHandover(_ context.Context, p wire.HandoverParams) (*wire.HandoverResult, error) {
	tables, _ := m.opts.Directory.Tables()
	if tables == nil {
		return nil, rpcError(notReady())
	}
	route := tables.Route(p.Spec.Route)
	if route == nil {
		return nil, rpcError(errorf(api.CodeNoRoute, 404, 0, "route %q is not in force here; wait for the configuration", p.Spec.Route))
	}
	if err := Validate(&p.Spec, route); err != nil {
		return nil, rpcError(err)
	}
	deadline := m.opts.Now().Add(time.Duration(p.RemainingMs) * time.Millisecond)
	if _, err := m.open(p.Trainer, route, p.Spec, deadline, Imported{Samples: p.Samples, Partials: p.Partials}); err != nil {
		return nil, rpcError(err)
	}
	m.note("step_taken_over", p.Spec.ID, "trainer", p.Trainer, "samples", len(p.Samples), "partials", len(p.Partials))
	return &wire.HandoverResult{Owner: m.opts.GateID}, nil
}
