// Package steward implements the control process of a VM. It follows the configuration log, takes part in
// the cluster membership, contends for leases, orders engines to load weights, decides claims, and publishes
// the resulting state to the VM's gate.
package steward

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/httpcheck"
	"github.com/ibistrail/ibistrail/lease"
	"github.com/ibistrail/ibistrail/logtail"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/settings"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
	"golang.org/x/sync/errgroup"
)

// Timeouts and defaults of the process.
const (
	// AppendTimeout bounds one append to the log.
	AppendTimeout = 2 * time.Second
	// LeaveTimeout bounds a planned shutdown: releasing the leases and announcing the departure.
	LeaveTimeout = time.Second
	// DefaultLeaseTTL is the lease TTL if the settings leave lease_ttl_ms out.
	DefaultLeaseTTL = 10 * time.Second
)

// Options configure a Steward.
type Options struct {
	Settings  settings.Steward
	PeerToken string
	Log       *slog.Logger
	Metrics   *process.Metrics
	Dialer    *process.Dialer
	// FetchStrategy selects the order in which peers are tried when the log is unreachable; empty means the
	// default strategy of package logtail.
	FetchStrategy logtail.Strategy
}

// Listeners are the listeners of a steward; Run opens each nil one on its address from the settings.
type Listeners struct {
	RPC   net.Listener
	Debug net.Listener
}

// Steward is the control process of one VM.
type Steward struct {
	opts        Options
	self        wire.Node
	incarnation int64
	seed        uint64

	calls       *rpc.Pool // requests that are answered at once
	longPolls   *rpc.Pool // requests that block at the server until it has a result
	platformLog trial.Log

	gossip        *gossip
	tables        *tables
	tails         *tails
	leases        *leases
	claims        *claimService
	versionPoller *versionPoller
	vmList        *vmList
	orders        *orderManager
	stateHub      *stateHub
	gateTracker   *gateTracker
	dirty         chan struct{} // requests to rebuild the gate's state
	started       time.Time
	readyAt       time.Time
	lastAlive     map[string]time.Time // by node ID; used by livePeers only
}

// New returns a steward without any state; Run starts it. It returns an error if the settings' lease TTL is out of range.
func New(o Options) (*Steward, error) {
	set := &o.Settings
	if ttl := time.Duration(set.LeaseTTLMs) * time.Millisecond; ttl < 0 || ttl > lease.MaxTTL {
		return nil, fmt.Errorf("steward: lease_ttl_ms %d is out of bounds; set 1 to %d, or leave it out", set.LeaseTTLMs, lease.MaxTTL.Milliseconds())
	}
	if set.LeaseTTLMs == 0 {
		set.LeaseTTLMs = DefaultLeaseTTL.Milliseconds()
	}
	s := &Steward{opts: o, incarnation: time.Now().UnixMilli(), dirty: make(chan struct{}, 1), started: time.Now(), lastAlive: map[string]time.Time{}}
	s.self = wire.Node{ID: set.ID, AvailabilityZone: set.AvailabilityZone, StewardAddress: set.StewardAddress, GateAddress: set.GateAddress, GateHTTP: set.GateHTTP}
	s.seed = xxhash.Sum64String(set.ID)
	controlBytes := o.Metrics.SubMap("control_bytes")
	poolOptions := rpc.Options{Token: o.PeerToken, ByteCounter: controlBytes, Log: o.Log, Dial: countedDial(o.Dialer, controlBytes, "total.rpc")}
	s.calls, s.longPolls = rpc.NewPool(poolOptions), rpc.NewPool(poolOptions)
	s.platformLog = trial.NewLogClient(set.LogURL, httpClient(o.Dialer, controlBytes, "log"))
	s.stateHub = newStateHub(s.incarnation)
	s.gateTracker = &gateTracker{}
	s.gossip = newGossip(s.self, s.incarnation, s.seed, s.calls.Call, o.Log, s.markDirty)
	s.tables = newTables(s.seed, s.markDirty)
	s.tails = newTails(s)
	s.tails.add(config.Stream, s.tables, s.gossip.Alive, 0)
	s.leases = newLeases(s)
	s.claims = newClaimService(s)
	s.versionPoller = newVersionPoller(s, trial.NewStoreClient(set.StoreURL, httpClient(o.Dialer, controlBytes, "store")))
	s.vmList = newVMList(s, trial.NewVMListClient(set.VMListURL, httpClient(o.Dialer, controlBytes, "vms")))
	s.orders = newOrderManager(s, trial.NewEngineClient(httpClient(o.Dialer, controlBytes, "engine")))
	return s, nil
}

// holder returns the ID of this process as a lease holder: node ID and incarnation.
func (s *Steward) holder() string { return s.self.ID + "/" + strconv.FormatInt(s.incarnation, 36) }

// markDirty requests a rebuild of the gate's state without blocking.
func (s *Steward) markDirty() {
	select {
	case s.dirty <- struct{}{}:
	default: // a rebuild is already pending
	}
}

// Run serves until ctx ends, then releases the leases and leaves the membership. It returns the first error of a
// listener or a background task, nil after a planned stop.
func (s *Steward) Run(ctx context.Context, l Listeners) error {
	if err := l.open(&s.opts.Settings); err != nil {
		return err
	}
	defer s.calls.Close()
	defer s.longPolls.Close()
	g, ctx := errgroup.WithContext(ctx)
	server := rpc.NewServer(s.serverOptions(), s.handlers())
	debug := &process.DebugServer{Metrics: s.opts.Metrics, State: func() any { return s.dump() }, Ready: s.ready, Routes: s.debugRoutes}
	counted := &countedListener{Listener: l.RPC, counter: s.opts.Metrics.SubMap("control_bytes"), kind: "total.rpc"}
	g.Go(func() error { return server.Serve(ctx, counted) })
	g.Go(func() error { return process.ServeDebug(ctx, l.Debug, debug.Handler()) })
	for _, run := range []func(context.Context) error{s.gossip.run, s.tails.run, s.leases.run, s.claims.run, s.versionPoller.run, s.vmList.run, s.orders.run, s.publishStates, s.refreshSnapshots} {
		g.Go(func() error { return run(ctx) })
	}
	s.opts.Log.Info("steward_started", "address", l.RPC.Addr().String(), "debug", l.Debug.Addr().String(), "az", s.self.AvailabilityZone, "incarnation", s.incarnation)
	err := g.Wait()
	s.leave()
	return err
}

// open opens the listeners that are nil.
func (l *Listeners) open(set *settings.Steward) error {
	for _, x := range []struct {
		l       *net.Listener
		address string
		field   string
	}{{&l.RPC, set.StewardAddress, "steward_address"}, {&l.Debug, set.DebugAddress, "debug_address"}} {
		if *x.l != nil {
			continue
		}
		n, err := net.Listen("tcp", x.address)
		if err != nil {
			return fmt.Errorf("steward: %w; free the address or change %s in the settings", err, x.field)
		}
		*x.l = n
	}
	return nil
}

func (s *Steward) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), LeaveTimeout)
	defer cancel()
	s.leases.release(ctx)
	s.gossip.leave(ctx)
	s.opts.Log.Info("steward_stopped")
}

func (s *Steward) serverOptions() rpc.Options {
	return rpc.Options{
		Token: s.opts.PeerToken, Log: s.opts.Log, ByteCounter: s.opts.Metrics.SubMap("control_bytes"),
		PublicMethods: map[string]bool{wire.MethodApply: true, wire.MethodGet: true, wire.MethodHistory: true, wire.MethodNodes: true},
	}
}

func (s *Steward) handlers() map[string]rpc.Handler {
	return map[string]rpc.Handler{
		wire.MethodWatch:       rpc.NewHandler(s.watch),
		wire.MethodClaim:       rpc.NewHandler(s.claims.claim),
		wire.MethodRelayClaims: rpc.NewHandler(s.claims.relayClaims),
		wire.MethodReport:      rpc.NewHandler(s.report),
		wire.MethodGossip:      rpc.NewHandler(s.gossip.handle),
		wire.MethodFetch:       rpc.NewHandler(s.tails.fetch),
		wire.MethodStatus:      rpc.NewHandler(func(context.Context, wire.Empty) (wire.Member, error) { return s.status(), nil }),
		wire.MethodApply:       rpc.NewHandler(s.apply),
		wire.MethodGet:         rpc.NewHandler(s.get),
		wire.MethodHistory:     rpc.NewHandler(s.history),
		wire.MethodNodes:       rpc.NewHandler(s.nodes),
	}
}

// ready returns an error until the tables in force are known.
func (s *Steward) ready() error {
	if _, _, ok := s.tables.active(); !ok {
		return fmt.Errorf("no configuration is known yet; check the log service and the peers")
	}
	return nil
}

// Members returns the membership table sorted by node ID. The members' revisions are not set.
func (s *Steward) Members() []wire.Member { return s.gossip.Members() }

// Snapshot returns the tables in force, or an empty snapshot if none are known yet.
func (s *Steward) Snapshot() config.Snapshot {
	snap, _ := s.tables.Snapshot()
	return snap
}

// status returns this node's own membership entry, with its revision and the state of its gate.
func (s *Steward) status() wire.Member {
	_, revision, _ := s.tables.active()
	m := wire.Member{Node: s.self, Incarnation: s.incarnation, Status: wire.StatusAlive, Revision: revision}
	for _, member := range s.gossip.Members() {
		if member.Node.ID == s.self.ID {
			m.Incarnation, m.Status = member.Incarnation, member.Status
		}
	}
	if p, ok := s.gateTracker.last(); ok {
		// A revision is active on a node only once its gate has applied it.
		m.Revision, m.GateIncarnation, m.GateDraining = min(p.Revision, revision), p.GateIncarnation, p.Draining
	}
	return m
}

func (s *Steward) debugRoutes(r *mux.Router) {
	if s.opts.Settings.Debug {
		s.opts.Dialer.Routes(r)
	}
}

// httpClient returns an HTTP client that counts its bytes under "rx.KIND" and "tx.KIND".
func httpClient(d *process.Dialer, c rpc.Counter, kind string) *http.Client {
	dial := countedDial(d, c, kind)
	return &http.Client{Transport: httpcheck.NewTransport(&http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute,
	})}
}

// countedDial returns a dial function whose connections count their bytes under "rx.KIND" and "tx.KIND".
func countedDial(d *process.Dialer, c rpc.Counter, kind string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := d.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, counter: c, rx: "rx." + kind, tx: "tx." + kind}, nil
	}
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	counter rpc.Counter
	kind    string
}

// Accept returns the next connection as a countedConn.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counter: l.counter, rx: "rx." + l.kind, tx: "tx." + l.kind}, nil
}

// countedConn counts the bytes that are read from and written to a connection.
type countedConn struct {
	net.Conn
	counter rpc.Counter
	rx, tx  string
}

// Read adds the bytes read to the rx counter.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.Add(c.rx, int64(n))
	return n, err
}

// Write adds the bytes written to the tx counter.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.Add(c.tx, int64(n))
	return n, err
}
