package entry

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/ibistrail/ibistrail/batch"
	"github.com/ibistrail/ibistrail/crashes"
	"github.com/ibistrail/ibistrail/detour"
	"github.com/ibistrail/ibistrail/duties"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/forward"
	"github.com/ibistrail/ibistrail/memory"
	"github.com/ibistrail/ibistrail/organisation"
	"github.com/ibistrail/ibistrail/origins"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/ratelimit"
	"github.com/ibistrail/ibistrail/relay"
	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/store"
	"github.com/ibistrail/ibistrail/targets"
	"github.com/ibistrail/ibistrail/targetstate"
	"github.com/ibistrail/ibistrail/versions"
	"github.com/ibistrail/ibistrail/wire"
)

// Limits and timing of a process.
const (
	// headerTimeout bounds the time for reading the headers of a request.
	headerTimeout = 10 * time.Second
	// releaseTimeout bounds the release of all tenures in a planned stop.
	releaseTimeout = time.Second
	// balancerDelay is how long the balancer may open new connections after SIGTERM: it checks readiness
	// once a second, and two checks must fail.
	balancerDelay = 2500 * time.Millisecond
	// shutdownReserveDivisor sets the part of the grace period that is kept in reserve after the last answers: an eighth. Callers may count on
	// answers that are due before the last sixth.
	shutdownReserveDivisor = 8
	// handoverMargin is how long before that the work of tenures ends at the latest: a last try to save and to release them takes time.
	handoverMargin = 1500 * time.Millisecond
	// bodyMemoryFraction is the part of the VM's memory that the bodies of callers may take. The smallest VMs have 144 MB, of which the
	// process itself takes up to a third.
	bodyMemoryFraction = 0.25
	// pageMemoryFraction is how much of it pages of results may take, so that readers which stop reading keep out no bodies.
	pageMemoryFraction = bodyMemoryFraction / 2
	// connectionMemoryFraction is the part of the VM's memory that the connections of callers may take, headMemoryFraction that of the heads
	// of their requests.
	connectionMemoryFraction, headMemoryFraction = 1.0 / 8, 1.0 / 8
	// connectionBytes is the memory of a connection: its buffers and the stack of its goroutine.
	connectionBytes = 24 << 10
	// reservedDescriptors are kept for files. Callers may have half of the others; the rest is for targets, the store and other VMs.
	reservedDescriptors = 200
	// minCallerConnections are allowed however small the VM is.
	minCallerConnections = 16
	// openItemMemoryFraction is the part of the VM's memory that the items of open submissions may take.
	openItemMemoryFraction = 0.25
	// headLimitFactor is up to how many times the configuration's limit a head is read: its refusal then names the request, and tells an
	// invalid API key first.
	headLimitFactor = 4
	// maxReadinessConnections and maxReadinessHeadBytes limit readiness checks, which are few and small.
	maxReadinessConnections = 64
	maxReadinessHeadBytes   = 4 << 10
	// readerStallTimeout is how long a caller may read nothing of an answer. Callers wait for at most 12 s and a little more for results, so that
	// none that reads at all is ended.
	readerStallTimeout = 20 * time.Second
)

// Options are the dependencies and settings of a Process.
type Options struct {
	Settings Settings
	Log      *slog.Logger
	Metrics  *process.Metrics
	// MetricsAddress is the listen address of metrics and the state dump; empty disables both.
	MetricsAddress string
	Store          store.Log
	Client         targets.Client
	Engines        versions.Engines
	Sources        []Source
	// CrashTopic is the compacted topic in which VMs share which requests were running when targets crashed.
	CrashTopic string
	// SoftwareTopic is the compacted topic that holds the software versions of pools.
	SoftwareTopic string
	// DutyAPI is the platform's API for duties of one VM; nil if there is none.
	DutyAPI duties.API
	// Peers announces this VM's relay and finds those of other VMs, Relay serves it; both are nil without a relay.
	Peers *relay.Directory
	Relay http.Handler
	// Isolated reports whether this VM reaches neither the store nor another VM; nil means that it is not known.
	Isolated func() bool
	// Dial opens connections to other VMs; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// BootTime returns the time since boot, including time during which the VM was suspended.
	BootTime func() time.Duration
	// Handler returns the handler of callers' requests.
	Handler func(p *Process) http.Handler
	// ReadyHandler returns the handler of the balancer's readiness checks.
	ReadyHandler func(ready func() bool) http.Handler
}

// Process is the process of an entry VM.
type Process struct {
	opts      Options
	View      *fleet.View
	Forwarder *forward.Forwarder
	Batches   *batch.Service
	// Memory bounds what is held for callers, Pages the part of it that pages of results may take.
	Memory, Pages *memory.Budget
	// Keys decides on requests that need an API key.
	Keys *organisation.Register

	follower *topicFollower
	crashes  *crashes.Register
	targets  *targetstate.Register
	detour   *detour.Client
	// detours passes the calls of other VMs on to targets.
	detours  *detour.Server
	limiter  *ratelimit.Limiter
	origins  *origins.Register
	rpcPool  *rpc.Pool
	stopping atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc

	tenures *tenureManager
	usage   *usageDuty // nil without the duty
}

// New returns a process that serves nothing until Run.
func New(opts Options) *Process {
	if opts.Metrics == nil {
		opts.Metrics = process.NewMetrics()
	}
	p := &Process{opts: opts, View: fleet.NewView()}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	s := opts.Settings
	p.targets = targetstate.NewRegister(opts.Log, opts.Metrics)
	self := fleet.VM{Name: s.VM, AvailabilityZone: s.AvailabilityZone, RPCAddress: s.RPCAddress, RelayAddress: s.RelayAddress, Small: s.Small()}
	p.detour = detour.New(detour.Options{Self: self, View: p.View, Targets: opts.Client, Dial: opts.Dial, Log: opts.Log, Metrics: opts.Metrics,
		OnStranded: func() { p.tenures.handOn() }})
	context.AfterFunc(p.ctx, p.detour.Close)
	p.detours = &detour.Server{Client: p.detour, Direct: p.targets.Client(p.detour.Direct()), Draining: p.targets.Draining, Small: s.Small()}
	client := p.targets.Client(p.detour)
	p.rpcPool = rpc.NewPool(rpc.Options{Dial: opts.Dial, Log: opts.Log, ByteCounter: opts.Metrics.SubMap("rpc_bytes")})
	p.limiter = ratelimit.New(ratelimit.Options{
		Self: self, Alone: opts.Peers == nil, Register: p.targets, Call: p.rpcPool.Call, Log: opts.Log, Metrics: opts.Metrics,
	})
	p.origins = origins.New(origins.Options{Self: self, View: p.View, Store: opts.Store, SoftwareTopic: opts.SoftwareTopic, FirstStart: s.FirstStart, BootTime: opts.BootTime, Call: p.rpcPool.Call, Log: opts.Log, Metrics: opts.Metrics})
	if opts.Peers != nil {
		opts.Peers.OnChange = func(vms []fleet.VM) {
			p.limiter.SetVMs(vms)
			p.origins.SetVMs(vms)
			p.detour.SetVMs(vms)
			p.usage.setVMs(vms)
		}
	}
	p.follower = newTopicFollower(opts.Store, opts.Log, p.View, opts.BootTime, s.FailClosed)
	p.Memory = memory.NewBudget(int64(bodyMemoryFraction * float64(s.MemoryBytes)))
	p.Pages = p.Memory.Part(int64(pageMemoryFraction * float64(s.MemoryBytes)))
	opts.Metrics.Set("caller_memory", expvar.Func(func() any { return p.Memory.State() }))
	opts.Metrics.Set("caller_pages", expvar.Func(func() any { return p.Pages.State() }))
	p.Keys = organisation.NewRegister(organisation.Options{
		Rules: organisation.Rules{FailClosed: s.FailClosed, RevokeWithin: s.RevokeWithin}, TablesAge: p.follower.tablesAge, Metrics: opts.Metrics,
	})
	p.crashes = crashes.New(crashes.Options{Store: opts.Store, Topic: opts.CrashTopic, Targets: p.detour, Log: opts.Log, Metrics: opts.Metrics})
	processID := fmt.Sprintf("%s/%d", s.VM, time.Now().UnixNano())
	p.usage = newUsageDuty(&opts, processID, p.rpcPool.Call)
	p.Forwarder = forward.New(forward.Options{
		View: p.View, Client: client, Crashes: p.crashes, Limiter: p.limiter, Origins: p.origins, States: p.targets, Usage: p.usage.counter(), AvailabilityZone: s.AvailabilityZone, Log: opts.Log, Metrics: opts.Metrics,
	})
	p.Batches = batch.New(p.ctx, batch.Options{
		VM: s.VM, AvailabilityZone: s.AvailabilityZone, Partitions: s.Partitions, MaxRecordBytes: s.RecordBytes, MaxAppendBytes: s.CallBytes, PartitionBytes: s.PartitionBytes, MaxOpenItemBytes: int64(openItemMemoryFraction * float64(s.MemoryBytes)),
		Retention: s.BatchRetention, Log: opts.Log, Metrics: opts.Metrics, Store: opts.Store, View: p.View, Client: client, Forwarder: p.Forwarder, Crashes: p.crashes, Limiter: p.limiter, States: p.targets,
		OnOpenWork: func() { p.tenures.syncTenures() },
	})
	p.tenures = newTenureManager(p, processID)
	return p
}

// standby reports whether this VM has too little CPU to hold tenures while another VM can.
func (p *Process) standby() bool { return p.opts.Settings.Small() }

// ShuttingDown reports whether a planned stop has begun.
func (p *Process) ShuttingDown() bool { return p.stopping.Load() }

// Ready reports whether the process can serve requests: tables and registrations are known, it is not stopping, and it is not
// cut off from the rest of the deployment, in which case callers are better served by other VMs if they reach any.
func (p *Process) Ready() bool {
	return !p.ShuttingDown() && p.follower.ready() && (p.opts.Isolated == nil || !p.opts.Isolated())
}

// Run serves until stop is closed and then shuts down gracefully. It returns an error if a listener fails.
func (p *Process) Run(stop <-chan struct{}) error {
	s := p.opts.Settings
	l, err := net.Listen("tcp", s.ListenAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	callerListener := p.newCallerListener(l)
	rl, err := net.Listen("tcp", s.ReadyAddress)
	if err != nil {
		return fmt.Errorf("listen for the balancer's readiness checks: %w", err)
	}
	readyListener := &memory.Listener{Listener: rl, StallTimeout: readerStallTimeout, MaxOpen: maxReadinessConnections}
	for _, src := range p.opts.Sources {
		go p.follower.follow(p.ctx, src)
	}
	p.serveRelay()
	p.serveRPC()
	go p.crashes.Run(p.ctx)
	go p.origins.Run(p.ctx)
	go p.Batches.Run()
	go p.tenures.run()
	p.usage.start(p.ctx)
	callerServer := p.newCallerServer()
	serveErrs := make(chan error, 2)
	go func() { serveErrs <- callerListener.Serve(callerServer) }()
	readyServer := &http.Server{Handler: p.opts.ReadyHandler(p.Ready), ReadHeaderTimeout: time.Second, MaxHeaderBytes: maxReadinessHeadBytes}
	go func() { serveErrs <- readyListener.Serve(readyServer) }()
	p.serveDebug()
	p.opts.Log.Info("started", "vm", s.VM, "az", s.AvailabilityZone, "callers", s.ListenAddress, "ready", s.ReadyAddress)
	select {
	case err := <-serveErrs:
		p.cancel()
		return err
	case <-p.ctx.Done():
		return errors.Join(callerServer.Close(), readyServer.Close())
	case <-stop:
	}
	defer readyServer.Close()
	p.shutdown(callerServer)
	return nil
}

// serveDebug starts serving metrics and the state dump. A failure is only logged: callers are served anyway.
func (p *Process) serveDebug() {
	if p.opts.MetricsAddress == "" {
		return
	}
	l, err := net.Listen("tcp", p.opts.MetricsAddress)
	if err != nil {
		p.opts.Log.Error("metrics_unserved", "address", p.opts.MetricsAddress, "err", err)
		return
	}
	go func() {
		if err := process.ServeDebug(p.ctx, l, p.DebugHandler()); err != nil {
			p.opts.Log.Error("metrics_unserved", "address", p.opts.MetricsAddress, "err", err)
		}
	}()
}

// DebugHandler returns the handler of the metrics, the state dump and the explanations of choices.
func (p *Process) DebugHandler() http.Handler {
	d := process.DebugServer{Metrics: p.opts.Metrics, State: func() any { return p.State() }, Ready: p.checkReady, Routes: p.debugRoutes}
	return d.Handler()
}

// serveRelay starts to pass on the calls of other VMs to the store and to targets. A failure is only logged: this VM then serves as long as
// it reaches both itself.
func (p *Process) serveRelay() {
	if p.opts.Relay == nil {
		return
	}
	l, err := net.Listen("tcp", p.opts.Settings.RelayAddress)
	if err != nil {
		p.opts.Log.Error("relay_unserved", "address", p.opts.Settings.RelayAddress, "err", err)
		return
	}
	r := mux.NewRouter()
	r.Handle(detour.Path, p.detours).Methods(http.MethodPost)
	r.NotFoundHandler = p.opts.Relay
	go func() {
		if err := process.Serve(p.ctx, l, r); err != nil {
			p.opts.Log.Error("relay_unserved", "address", p.opts.Settings.RelayAddress, "err", err)
		}
	}()
	go p.opts.Peers.Run(p.ctx)
}

// serveRPC starts serving the calls of other VMs. A failure is only logged: the others then do without this VM.
func (p *Process) serveRPC() {
	address := p.opts.Settings.RPCAddress
	if address == "" {
		return
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		p.opts.Log.Error("rpc_unserved", "address", address, "err", err)
		return
	}
	server := rpc.NewServer(rpc.Options{TrustPeers: true, Log: p.opts.Log}, map[string]rpc.Handler{
		wire.MethodPermits: rpc.NewHandler(p.limiter.Handle), wire.MethodRecordOrigins: rpc.NewHandler(p.origins.HandleRecord),
		wire.MethodFindOrigin: rpc.NewHandler(p.origins.HandleFind), wire.MethodReachDuties: rpc.NewHandler(p.usage.handleReach),
	})
	go func() {
		defer p.rpcPool.Close()
		if err := server.Serve(p.ctx, l); err != nil {
			p.opts.Log.Error("rpc_unserved", "address", address, "err", err)
		}
	}()
}

func (p *Process) checkReady() error {
	if p.Ready() {
		return nil
	}
	return errors.New("the tables or the targets are not known yet, or the process stops")
}

// newCallerListener returns the listener of callers, which bounds their connections and the heads of their requests.
func (p *Process) newCallerListener(l net.Listener) *memory.Listener {
	s, ended := &p.opts.Settings, p.opts.Metrics.SubMap("caller_connections_ended")
	listener := &memory.Listener{
		Listener: l, StallTimeout: readerStallTimeout, MaxOpen: s.maxCallerConnections(), Ended: ended,
		Heads: memory.NewBudget(int64(headMemoryFraction * float64(s.MemoryBytes))),
		HeadLimit: func() int {
			if t := p.View.Get().Tables; t != nil {
				return headLimitFactor * t.Limits.HeaderBytes
			}
			return 0
		},
		Stalled: func(peer string) {
			p.opts.Log.Warn("caller_stalled", "peer", peer, "after_ms", readerStallTimeout.Milliseconds())
		},
		OnEnded: func(reason, peer string, count int) {
			p.opts.Log.Warn("caller_connection_ended", "reason", reason, "peer", peer, "count", count)
		},
	}
	p.opts.Metrics.Set("caller_heads", expvar.Func(func() any { return listener.Heads.State() }))
	p.opts.Metrics.Set("caller_connections", expvar.Func(func() any {
		return map[string]int{"open": listener.Open(), "limit": listener.MaxOpen}
	}))
	return listener
}

// newCallerServer returns the HTTP server for callers.
func (p *Process) newCallerServer() *http.Server {
	idle := newIdleConns(func() time.Duration {
		if t := p.View.Get().Tables; t != nil {
			return t.Limits.IdleTimeout
		}
		return 0
	})
	return &http.Server{
		Handler:   p.opts.Handler(p),
		ConnState: idle.onStateChange,
		// The limit in the configuration is shorter; this one closes connections on which no request arrives.
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          slog.NewLogLogger(p.opts.Log.Handler(), slog.LevelDebug),
	}
}

// shutdown hands over unfinished work, waits until the balancer opens no more connections, and drains the
// requests in progress.
func (p *Process) shutdown(server *http.Server) {
	start := time.Now()
	p.stopping.Store(true)
	p.opts.Log.Info("stopping", "grace_ms", p.opts.Settings.StopGrace.Milliseconds())
	go p.usage.release(p.ctx) // beside the other tenures, as a store that does not answer takes up the grace period
	drained := start.Add(p.opts.Settings.StopGrace - p.opts.Settings.StopGrace/shutdownReserveDivisor)
	released := p.tenures.stop(drained.Add(-handoverMargin))
	p.limiter.Stop()
	p.detour.StopPassingOn()
	if p.opts.Peers != nil {
		p.opts.Peers.Withdraw()
	}
	time.Sleep(min(balancerDelay, p.opts.Settings.StopGrace/2))
	ctx, cancel := context.WithDeadline(context.Background(), drained)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		p.opts.Log.Warn("stopped_early", "err", err)
	}
	p.detours.Drain(ctx)
	<-released
	p.usage.flush(p.ctx)
	p.cancel()
	p.opts.Log.Info("stopped", "ms", time.Since(start).Milliseconds())
}

// Abort ends the process at once. It neither hands over work nor drains requests.
func (p *Process) Abort() { p.cancel() }

// HoldsPool reports whether this VM dispatches the items of a pool and orders its weight versions.
func (p *Process) HoldsPool(pool string) bool { return p.tenures.holdsPool(pool) }
