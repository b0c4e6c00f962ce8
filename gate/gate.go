// Package gate implements the data plane process ibisgate. It serves callers and trainers over HTTP,
// dispatches their requests to targets, follows the configuration of the steward on the same VM, and
// exchanges RPCs with peer gates.
package gate

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/ibistrail/ibistrail/dispatch"
	"github.com/ibistrail/ibistrail/explain"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/rollout"
	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/settings"
	"github.com/ibistrail/ibistrail/ticket"
)

// policyOff is the value of a policy setting that disables the policy.
const policyOff = "off"

// Listeners are the listeners of a gate's three servers.
type Listeners struct {
	HTTP, RPC, Debug net.Listener
}

// Options configure a Gate.
type Options struct {
	Settings  settings.Gate
	PeerToken string
	Log       *slog.Logger
	Metrics   *process.Metrics
	Dialer    *process.Dialer
	// Listeners, if set, are used instead of listening on the addresses in Settings.
	Listeners *Listeners
}

// Gate is one ibisgate process.
type Gate struct {
	opts        Options
	log         *slog.Logger
	incarnation string
	explain     *explain.Recorder
	dispatcher  *dispatch.Dispatcher
	rollouts    *rollout.Manager
	pool        *rpc.Pool
	state       *stateCache
	reports     *reporter
	keys        *keyManager
	stop        *plannedStop
	// readTimeout bounds the time to read a request body.
	readTimeout time.Duration
}

// New returns a gate. Call Run to start it.
func New(opts Options) (*Gate, error) {
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	if opts.Metrics == nil {
		opts.Metrics = process.NewMetrics()
	}
	if opts.Dialer == nil {
		opts.Dialer = process.NewDialer(opts.Settings.Unreachable)
	}
	secret := make([]byte, 32)
	if _, err := rand.Read(secret); err != nil {
		return nil, fmt.Errorf("gate: read 32 random bytes for the ticket secret: %w", err)
	}
	g := &Gate{opts: opts, log: opts.Log, incarnation: uuid.NewString(), readTimeout: readTimeout, explain: explain.New(0, time.Now)}
	g.pool = rpc.NewPool(rpc.Options{Token: opts.PeerToken, Log: opts.Log, Dial: opts.Dialer.Dial, ByteCounter: opts.Metrics.SubMap("rpc_bytes")})
	g.state = &stateCache{}
	g.reports = newReporter(g.callSteward, opts.Log, opts.Metrics)
	g.stop = newPlannedStop()
	g.dispatcher = dispatch.New(dispatch.Options{
		GateID: opts.Settings.ID, AvailabilityZone: opts.Settings.AvailabilityZone, Policy: opts.Settings.Policy,
		Dial: opts.Dialer.Dial, Log: opts.Log, Metrics: opts.Metrics, Explain: g.explain,
		ReportToSteward: g.reports.add, NotifyPeers: g.notifyPeers, RequestTrial: g.requestTrial, Seed: binary.LittleEndian.Uint64(secret),
	})
	g.rollouts = rollout.NewManager(rollout.Options{
		GateID: opts.Settings.ID, AvailabilityZone: opts.Settings.AvailabilityZone, Completer: g.dispatcher,
		Services: g.dispatcher, Directory: g.state, CallPeer: g.pool.Call, Log: opts.Log, Metrics: opts.Metrics, Explain: g.explain,
		Hedging: opts.Settings.Policy.Hedging != policyOff,
	})
	g.keys = &keyManager{gate: g, minter: ticket.NewMinter(opts.Settings.ID, g.incarnation, secret), outcomes: ticket.NewOutcomeStore()}
	return g, nil
}

// Run serves until ctx ends, and then performs a planned stop. It returns an error if a listener cannot be
// opened or a server fails.
func (g *Gate) Run(ctx context.Context) error {
	ls, err := g.listen()
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	srv := g.httpServer(runCtx)
	var wg sync.WaitGroup
	errs := make(chan error, 8)
	start := func(name string, f func(context.Context) error) {
		wg.Go(func() {
			if err := f(runCtx); err != nil {
				errs <- fmt.Errorf("gate: %s: %w", name, err)
			}
		})
	}
	start("dispatch", g.dispatcher.Run)
	start("rollouts", g.rollouts.Run)
	start("watch", g.watch)
	start("reports", g.reports.run)
	start("versions", g.reportVersions)
	start("rpc", func(ctx context.Context) error { return g.rpcServer().Serve(ctx, ls.RPC) })
	start("debug", func(ctx context.Context) error { return process.ServeDebug(ctx, ls.Debug, g.debugServer().Handler()) })
	start("http", func(context.Context) error { return ignoreClosed(srv.Serve(ls.HTTP)) })
	g.log.Info("gate_started", "http", ls.HTTP.Addr(), "rpc", ls.RPC.Addr(), "debug", ls.Debug.Addr(), "incarnation", g.incarnation)
	select {
	case <-ctx.Done():
		err = g.runPlannedStop(srv)
	case err = <-errs:
	}
	// Close connections before cancelling: requests that are cancelled must not be answered as if their
	// callers had disconnected.
	srv.Close()
	cancel()
	wg.Wait()
	g.pool.Close()
	g.log.Info("gate_stopped", "err", err)
	return err
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (g *Gate) listen() (*Listeners, error) {
	if g.opts.Listeners != nil {
		return g.opts.Listeners, nil
	}
	ls := &Listeners{}
	s := &g.opts.Settings
	for _, l := range []struct {
		dst     *net.Listener
		address string
		field   string
	}{{&ls.HTTP, s.GateHTTP, "gate_http"}, {&ls.RPC, s.GateAddress, "gate_address"}, {&ls.Debug, s.DebugAddress, "debug_address"}} {
		var err error
		if *l.dst, err = net.Listen("tcp", l.address); err != nil {
			return nil, fmt.Errorf("gate: listen on %s %s: %w; choose a free address in the settings", l.field, l.address, err)
		}
	}
	return ls, nil
}

// Incarnation returns the ID of this run of the process. Tickets and claims refer to it.
func (g *Gate) Incarnation() string { return g.incarnation }
