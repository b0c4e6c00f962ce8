package gate

import (
	"context"
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/settings"
	"github.com/ibistrail/ibistrail/wire"
)

// maxNotifiedPeers bounds the peers that are sent a quarantine notice directly. The others learn of it by
// gossip (package rumor).
const maxNotifiedPeers = 64

// rpcServer returns the RPC server for peer gates and operators.
func (g *Gate) rpcServer() *rpc.Server {
	handlers := map[string]rpc.Handler{
		wire.MethodKeyOutcome: rpc.NewHandler(g.keys.handleKeyOutcome),
		wire.MethodExplain:    rpc.NewHandler(g.handleExplain),
		wire.MethodQuarantine: rpc.NewHandler(g.handleQuarantine),
		wire.MethodTrial:      rpc.NewHandler(g.handleTrial),
	}
	maps.Copy(handlers, g.rollouts.Handlers())
	return rpc.NewServer(rpc.Options{
		Token: g.opts.PeerToken, Log: g.log, ByteCounter: g.opts.Metrics.SubMap("rpc_bytes"),
		PublicMethods: map[string]bool{wire.MethodExplain: true}, // needs no peer token: handleExplain checks the operator's token
	}, handlers)
}

func (g *Gate) handleExplain(_ context.Context, p wire.ExplainParams) (*wire.ExplainResult, error) {
	if !settings.MatchesToken(g.opts.Settings.OperatorTokenSHA256, p.Token) {
		return nil, rpc.Errorf(wire.CodeUnauthorized, "operator token is wrong; set the token whose SHA-256 is operator_token_sha256 in the gate's settings")
	}
	events := g.explain.Events(p.RequestID)
	if events == nil {
		events = []wire.Event{}
	}
	return &wire.ExplainResult{Gate: g.opts.Settings.ID, Events: events}, nil
}

func (g *Gate) handleQuarantine(_ context.Context, notice wire.QuarantineNotice) (*wire.Empty, error) {
	g.dispatcher.ApplyNotice(notice)
	return &wire.Empty{}, nil
}

// notifyPeers sends a notice of suspects and quarantined requests to peers, and waits for their answers
// until ctx ends.
func (g *Gate) notifyPeers(ctx context.Context, notice wire.QuarantineNotice) {
	peers := g.state.Peers()
	var wg sync.WaitGroup
	for _, peer := range peers[:min(len(peers), maxNotifiedPeers)] {
		wg.Go(func() {
			if err := g.pool.Call(ctx, peer.GateAddress, wire.MethodQuarantine, notice, nil); err != nil {
				g.log.Warn("quarantine_notice_failed", "peer", peer.ID, "err", err)
			}
		})
	}
	wg.Wait()
}

func (g *Gate) handleTrial(_ context.Context, p wire.TrialParams) (*wire.TrialResult, error) {
	return &wire.TrialResult{Granted: g.dispatcher.Arbitrate(p)}, nil
}

// requestTrial asks the arbiter of the pool to begin or end a trial. The arbiter is the live gate with the
// smallest hash of pool and gate ID, so that all gates choose the same one for a pool.
func (g *Gate) requestTrial(ctx context.Context, p wire.TrialParams) (bool, error) {
	arbiter, address := g.opts.Settings.ID, ""
	for _, peer := range g.state.Peers() {
		if xxhash.Sum64String(p.Pool+"/"+peer.ID) < xxhash.Sum64String(p.Pool+"/"+arbiter) {
			arbiter, address = peer.ID, peer.GateAddress
		}
	}
	if address == "" || arbiter == g.opts.Settings.ID {
		return g.dispatcher.Arbitrate(p), nil
	}
	res := new(wire.TrialResult)
	err := g.pool.Call(ctx, address, wire.MethodTrial, p, res)
	return res.Granted, err
}
