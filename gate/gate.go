// Package gate joins the data plane's duties into the process ibisgate: callers and trainers over
// HTTP on one side, targets on the other, the steward of the same VM and peer gates beside it.
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

const policyOff = "off"

// Listeners replace those that a gate opens at the addresses of its settings.
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
	// Listeners, if set, are served instead of the addresses in Settings.
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
	state       *stateHolder
	reports     *reporter
	keys        *keys
	stop        *stopper
	// readTimeout bounds the time in which a body arrives.
	readTimeout time.Duration
}

// New returns a gate that does not run yet.
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
		return nil, fmt.Errorf("gate: no randomness: %w", err)
	}
	g := &Gate{opts: opts, log: opts.Log, incarnation: uuid.NewString(), readTimeout: readTimeout, explain: explain.New(0, time.Now)}
	g.pool = rpc.NewPool(rpc.Options{Token: opts.PeerToken, Log: opts.Log, Dial: opts.Dialer.Dial, Bytes: opts.Metrics.SubMap("rpc_bytes")})
	g.state = &stateHolder{}
	g.reports = newReporter(g.callSteward, opts.Log, opts.Metrics)
	g.stop = newStopper()
	g.dispatcher = dispatch.New(dispatch.Options{
		GateID: opts.Settings.ID, AvailabilityZone: opts.Settings.AvailabilityZone, Policy: opts.Settings.Policy,
		Dial: opts.Dialer.Dial, Log: opts.Log, Metrics: opts.Metrics, Explain: g.explain,
		Report: g.reports.add, Notify: g.notifyPeers, Trial: g.trial, Seed: binary.LittleEndian.Uint64(secret),
	})
	g.rollouts = rollout.NewManager(rollout.Options{
		GateID: opts.Settings.ID, AvailabilityZone: opts.Settings.AvailabilityZone, Completer: g.dispatcher,
		Services: g.dispatcher, Directory: g.state, Call: g.pool.Call, Log: opts.Log, Metrics: opts.Metrics, Explain: g.explain,
		Hedging: opts.Settings.Policy.Hedging != policyOff,
	})
	g.keys = &keys{gate: g, minter: ticket.NewMinter(opts.Settings.ID, g.incarnation, secret), book: ticket.NewBook()}
	return g, nil
}

// Run serves until ctx ends, then performs the planned stop.
func (g *Gate) Run(ctx context.Context) error {
	ls, err := g.listen()
	if err != nil {
		return err
	}
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	srv := g.server(run)
	var wg sync.WaitGroup
	errs := make(chan error, 8)
	start := func(name string, f func(context.Context) error) {
		wg.Go(func() {
			if err := f(run); err != nil {
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
	start("debug", func(ctx context.Context) error { return process.Serve(ctx, ls.Debug, g.debug().Handler()) })
	start("http", func(context.Context) error { return ignoreClosed(srv.Serve(ls.HTTP)) })
	g.log.Info("gate_started", "http", ls.HTTP.Addr(), "rpc", ls.RPC.Addr(), "debug", ls.Debug.Addr(), "incarnation", g.incarnation)
	select {
	case <-ctx.Done():
		err = g.planned(srv)
	case err = <-errs:
	}
	// Connections first: the requests that cancel ends must not be answered as if their callers had gone.
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
		into    *net.Listener
		address string
		field   string
	}{{&ls.HTTP, s.GateHTTP, "gate_http"}, {&ls.RPC, s.GateAddress, "gate_address"}, {&ls.Debug, s.DebugAddress, "debug_address"}} {
		var err error
		if *l.into, err = net.Listen("tcp", l.address); err != nil {
			return nil, fmt.Errorf("gate: listen on %s %s: %w; choose a free address in the settings", l.field, l.address, err)
		}
	}
	return ls, nil
}

// Incarnation returns the incarnation that tickets and claims name.
func (g *Gate) Incarnation() string { return g.incarnation }
