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

// maxNotified bounds the peers that are told at once of a quarantine; the rumor tells the others.
const maxNotified = 64

// rpcServer answers peers.
func (g *Gate) rpcServer() *rpc.Server {
	handlers := map[string]rpc.Handler{
		wire.MethodKeyOutcome: rpc.Handle(g.keys.handleOutcome),
		wire.MethodExplain:    rpc.Handle(g.handleExplain),
		wire.MethodQuarantine: rpc.Handle(g.handleQuarantine),
		wire.MethodTrial:      rpc.Handle(g.handleTrial),
	}
	maps.Copy(handlers, g.rollouts.Handlers())
	return rpc.NewServer(rpc.Options{
		Token: g.opts.PeerToken, Log: g.log, Bytes: g.opts.Metrics.SubMap("rpc_bytes"),
		Open: map[string]bool{wire.MethodExplain: true}, // operators, by their token
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

func (g *Gate) handleQuarantine(_ context.Context, n wire.QuarantineNotice) (*wire.Empty, error) {
	g.dispatcher.Notice(n)
	return &wire.Empty{}, nil
}

// notifyPeers tells peers of suspects and quarantines and waits for them until ctx ends.
func (g *Gate) notifyPeers(ctx context.Context, n wire.QuarantineNotice) {
	peers := g.state.Peers()
	var wg sync.WaitGroup
	for _, p := range peers[:min(len(peers), maxNotified)] {
		wg.Go(func() {
			if err := g.pool.Call(ctx, p.GateAddress, wire.MethodQuarantine, n, nil); err != nil {
				g.log.Warn("quarantine_notice_failed", "peer", p.ID, "err", err)
			}
		})
	}
	wg.Wait()
}

func (g *Gate) handleTrial(_ context.Context, p wire.TrialParams) (*wire.TrialResult, error) {
	return &wire.TrialResult{Granted: g.dispatcher.Arbitrate(p)}, nil
}

// trial asks the arbiter of a pool, which is the live gate whose ID comes first in an order of the pool's own.
func (g *Gate) trial(ctx context.Context, p wire.TrialParams) (bool, error) {
	best, address := g.opts.Settings.ID, ""
	for _, n := range g.state.Peers() {
		if xxhash.Sum64String(p.Pool+"/"+n.ID) < xxhash.Sum64String(p.Pool+"/"+best) {
			best, address = n.ID, n.GateAddress
		}
	}
	if address == "" || best == g.opts.Settings.ID {
		return g.dispatcher.Arbitrate(p), nil
	}
	res := new(wire.TrialResult)
	err := g.pool.Call(ctx, address, wire.MethodTrial, p, res)
	return res.Granted, err
}
