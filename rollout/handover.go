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

// handoverTimeout limits one handover message.
const handoverTimeout = 5 * time.Second

// handoverState is the state that a peer needs to continue a step.
type handoverState struct {
	samples  []api.Sample
	partials []api.Sample
	held     api.Cursor
	version  int64
}

// handoverState returns a copy of the state that a peer needs; the step keeps running here.
func (r *runner) handoverState() handoverState {
	state := handoverState{version: r.step.TrainerVersion()}
	state.samples, state.held = r.step.Export()
	for slot, id := range r.step.LeadingAttempts() {
		k := r.tasks[id]
		if k == nil || k.progress == nil {
			continue
		}
		text, tokens, spans, engine := k.progress.copy()
		if len(tokens) > 0 {
			state.partials = append(state.partials, api.Sample{Slot: slot, Text: text, Tokens: tokens, Spans: spans, Engine: engine})
		}
	}
	return state
}

// Drain hands the live steps over to peers before a planned stop. A step that no peer accepts runs here until
// the gate exits; its trainer then resubmits it to another gate. Drain returns the error of ctx.
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

// handOver sends a step to one peer after another until one accepts it.
func (m *Manager) handOver(ctx context.Context, r *runner) {
	for _, peer := range m.handoverPeers(r.key) {
		reply := make(chan handoverState, 1)
		select {
		case r.exportRequests <- reply:
		case <-r.done:
			return
		case <-ctx.Done():
			return
		}
		state := <-reply
		owner, err := m.sendStep(ctx, r, peer, state)
		if err != nil {
			m.opts.Log.Warn("step_handover_failed", "step", r.key.id, "peer", peer.ID, "err", err)
			continue
		}
		m.logEvent("step_handed_over", r.key.id, "peer", peer.ID, "samples", len(state.samples), "partials", len(state.partials), "held", state.held.Count())
		select {
		case r.handedOver <- ownerGate{owner: owner, address: peer.GateAddress}:
			<-r.done
		case <-r.done:
		}
		return
	}
}

// sendStep sends a step to a peer, with the samples split over several messages, and returns the new owner.
// The peer treats the repeated specification as idempotent.
func (m *Manager) sendStep(ctx context.Context, r *runner, peer wire.Node, state handoverState) (string, error) {
	spec := r.spec
	spec.Held, spec.TrainerVersion = state.held, state.version
	var res wire.HandoverResult
	for isFirst := true; isFirst || len(state.samples) > 0; isFirst = false {
		sampleCount, partialCount := samplesPerMessage(state.samples), samplesPerMessage(state.partials)
		params := wire.HandoverParams{
			Trainer: r.key.trainer, Spec: spec, Samples: state.samples[:sampleCount], Partials: state.partials[:partialCount],
			RemainingMs: max(1, r.deadline.Sub(m.opts.Now()).Milliseconds()),
		}
		state.samples, state.partials = state.samples[sampleCount:], state.partials[partialCount:]
		callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
		err := m.opts.CallPeer(callCtx, peer.GateAddress, wire.MethodHandover, params, &res)
		cancel()
		if err != nil {
			return "", err
		}
	}
	return res.Owner, nil
}

// samplesPerMessage returns how many of the samples fit into one message of about MaxAnswerBytes, at least one.
func samplesPerMessage(samples []api.Sample) int {
	size := 0
	for i := range samples {
		size += sampleBytes(&samples[i])
		if size > MaxAnswerBytes {
			return max(1, i)
		}
	}
	return len(samples)
}

// handoverPeers returns the peers in the order in which a step is offered to them: other availability zones
// first, since a planned stop often continues with the rest of this zone. Within each part a hash of the step's
// key and the peer's ID spreads the steps.
func (m *Manager) handoverPeers(key stepKey) []wire.Node {
	peers := slices.DeleteFunc(slices.Clone(m.opts.Directory.Peers()), func(n wire.Node) bool { return n.ID == m.opts.GateID })
	rank := func(n wire.Node) uint64 {
		h := fnv.New64a()
		h.Write([]byte(key.trainer + "/" + key.id + "/" + n.ID))
		return h.Sum64()
	}
	sameZone := func(n wire.Node) int {
		if n.AvailabilityZone == m.opts.AvailabilityZone {
			return 1
		}
		return 0
	}
	slices.SortFunc(peers, func(a, b wire.Node) int {
		return cmp.Or(cmp.Compare(sameZone(a), sameZone(b)), cmp.Compare(rank(a), rank(b)))
	})
	return peers
}

func (m *Manager) handleHandover(_ context.Context, p wire.HandoverParams) (*wire.HandoverResult, error) {
	tables, _ := m.opts.Directory.Tables()
	if tables == nil {
		return nil, rpcError(notReadyError())
	}
	route := tables.Route(p.Spec.Route)
	if route == nil {
		return nil, rpcError(errorf(api.CodeNoRoute, 404, 0, "route %q is not in force here; wait for the configuration", p.Spec.Route))
	}
	if err := Validate(&p.Spec, route); err != nil {
		return nil, rpcError(err)
	}
	deadline := m.opts.Now().Add(time.Duration(p.RemainingMs) * time.Millisecond)
	if _, err := m.open(p.Trainer, route, p.Spec, deadline, SamplesImported{Samples: p.Samples, Partials: p.Partials}); err != nil {
		return nil, rpcError(err)
	}
	m.logEvent("step_taken_over", p.Spec.ID, "trainer", p.Trainer, "samples", len(p.Samples), "partials", len(p.Partials))
	return &wire.HandoverResult{Owner: m.opts.GateID}, nil
}
