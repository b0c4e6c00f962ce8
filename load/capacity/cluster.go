// Package capacity measures the cost of the control plane per node. It runs up to about a hundred real stewards over
// loopback TCP with a simulated platform and extrapolates the measurements to the design size.
package capacity

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fake/logservice"
	"github.com/ibistrail/ibistrail/fake/vmlist"
	"github.com/ibistrail/ibistrail/fake/weightstore"
	"github.com/ibistrail/ibistrail/logtail"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/settings"
	"github.com/ibistrail/ibistrail/steward"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
)

const (
	peerToken     = "capacity-peer-token"
	operatorToken = "capacity-operator-token"
	zoneCount     = 4
	// storeRate is the number of engines that the simulated weight store serves at a time.
	storeRate = 400
	// callTimeout is the timeout of calls made by the measurement itself.
	callTimeout = 30 * time.Second
	// watchTimeout is how long the watch call of a gate waits for a change.
	watchTimeout = 20 * time.Second
)

// cluster is a set of stewards and a simulated platform in this process.
type cluster struct {
	log           *logservice.Service
	store         *weightstore.Store
	vms           *vmlist.List
	platformURLs  [3]string // log, weight store, VM list
	closers       []func()
	rpcPool       *rpc.Pool
	fetchStrategy logtail.Strategy
	mu            sync.Mutex
	nodes         []*node
	seq           int
}

// node is a running steward together with the watch loop of its gate.
type node struct {
	*steward.Steward
	settings settings.Steward
	metrics  *process.Metrics
	dialer   *process.Dialer
	freezer  *freezer
	stop     func()

	mu       sync.Mutex
	revision trial.Offset
	versions map[string]int64
	readyAt  time.Time
	started  time.Time
}

func newCluster(fetch logtail.Strategy) *cluster {
	c := &cluster{
		log: logservice.New(logservice.Options{}), store: weightstore.New(weightstore.Options{LoadRate: storeRate}),
		vms: vmlist.New(vmlist.Options{}), rpcPool: rpc.NewPool(rpc.Options{}), fetchStrategy: fetch,
	}
	for i, h := range []http.Handler{c.log.Handler(), c.store.Handler(), c.vms.Handler()} {
		s := httptest.NewServer(h)
		c.platformURLs[i] = s.URL
		c.closers = append(c.closers, s.Close)
	}
	return c
}

// close stops all nodes and then the simulated platform.
func (c *cluster) close() {
	var wg sync.WaitGroup
	for _, n := range c.running() {
		wg.Go(n.stop)
	}
	wg.Wait()
	c.rpcPool.Close()
	for _, f := range c.closers {
		f()
	}
}

func (c *cluster) running() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*node(nil), c.nodes...)
}

// platformAddresses returns the addresses of the log, the weight store and the VM list.
func (c *cluster) platformAddresses() []string {
	out := make([]string, len(c.platformURLs))
	for i, u := range c.platformURLs {
		out[i] = u[len("http://"):]
	}
	return out
}

// grow starts nodes until n are running.
func (c *cluster) grow(n int) error {
	for len(c.running()) < n {
		if _, err := c.start(); err != nil {
			return err
		}
	}
	return nil
}

// start starts one more node; nodes are assigned to the zones round-robin.
func (c *cluster) start() (*node, error) {
	l, err := listeners()
	if err != nil {
		return nil, err
	}
	az := zoneName(c.seq % zoneCount)
	sum := sha256.Sum256([]byte(operatorToken))
	cfg := settings.Steward{
		Node:         settings.Node{ID: fmt.Sprintf("n%03d", c.seq), AvailabilityZone: az, StewardAddress: l.RPC.Addr().String(), GateAddress: "127.0.0.1:1", GateHTTP: "127.0.0.1:2"},
		DebugAddress: l.Debug.Addr().String(), LogURL: c.platformURLs[0], StoreURL: c.platformURLs[1], VMListURL: c.platformURLs[2],
		OperatorTokenSHA256: hex.EncodeToString(sum[:]), LeaseTTLMs: steward.DefaultLeaseTTL.Milliseconds(),
	}
	if existing := c.running(); len(existing) > 0 {
		cfg.Seeds = []string{existing[0].settings.StewardAddress, existing[c.seq%len(existing)].settings.StewardAddress}
	}
	c.seq++
	c.vms.Put(trial.VM{Name: cfg.ID, Address: cfg.StewardAddress, AvailabilityZone: az, Role: trial.VMRoleEntry})
	return c.run(cfg, l)
}

func zoneName(i int) string { return string(rune('a' + i)) }

func listeners() (steward.Listeners, error) {
	r, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return steward.Listeners{}, fmt.Errorf("capacity: %w", err)
	}
	d, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return steward.Listeners{}, fmt.Errorf("capacity: %w", err)
	}
	return steward.Listeners{RPC: r, Debug: d}, nil
}

func (c *cluster) run(cfg settings.Steward, l steward.Listeners) (*node, error) {
	n := &node{settings: cfg, metrics: process.NewMetrics(), dialer: process.NewDialer(nil), freezer: newFreezer(), started: time.Now()}
	s, err := steward.New(steward.Options{
		Settings: cfg, PeerToken: peerToken, Log: slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError})),
		Metrics: n.metrics, Dialer: n.dialer, FetchStrategy: c.fetchStrategy,
	})
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	n.Steward = s
	l.RPC = &freezingListener{Listener: l.RPC, f: n.freezer}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Run(ctx, l) }) // runs until ctx ends
	wg.Go(func() { n.watch(ctx) })
	n.stop = sync.OnceFunc(func() { cancel(); wg.Wait() })
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	return n, nil
}

// remove deletes a node from the list of running nodes without stopping it.
func (c *cluster) remove(n *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.nodes {
		if c.nodes[i] == n {
			c.nodes = append(c.nodes[:i], c.nodes[i+1:]...)
			return
		}
	}
}

// watch follows the steward's state as a gate does, with repeated watch calls, until ctx ends.
func (n *node) watch(ctx context.Context) {
	pool := rpc.NewPool(rpc.Options{Token: peerToken})
	defer pool.Close()
	p := wire.WatchParams{GateID: n.settings.ID, GateIncarnation: "1", WaitMs: watchTimeout.Milliseconds()}
	for ctx.Err() == nil {
		var st wire.State
		cctx, cancel := context.WithTimeout(ctx, watchTimeout+callTimeout)
		err := pool.Call(cctx, n.settings.StewardAddress, wire.MethodWatch, p, &st)
		cancel()
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		p.Since, p.Revision = st.Seq, max(p.Revision, st.Revision)
		n.mu.Lock()
		n.revision, n.versions = p.Revision, st.Versions
		if st.Ready && n.readyAt.IsZero() {
			n.readyAt = time.Now()
		}
		n.mu.Unlock()
	}
}

// appliedRevision returns the latest table revision received by the gate's watch.
func (n *node) appliedRevision() trial.Offset {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.revision
}

// ready returns the time from the start until the gate was ready, and whether it is ready.
func (n *node) ready() (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.readyAt.Sub(n.started), !n.readyAt.IsZero()
}

// apply publishes a change through node n and returns its offset in the log.
func (c *cluster) apply(n *node, change config.Change) (trial.Offset, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var res wire.ApplyResult
	p := wire.ApplyParams{OperatorParams: wire.OperatorParams{Token: operatorToken}, Change: change, TimeoutMs: callTimeout.Milliseconds()}
	if err := c.rpcPool.Call(ctx, n.settings.StewardAddress, wire.MethodApply, p, &res); err != nil {
		return 0, fmt.Errorf("capacity: apply %s: %w", change.ID, err)
	}
	if !res.Decision.Accepted {
		return 0, fmt.Errorf("capacity: change %s was rejected: %v %v", change.ID, res.Decision.Conflicts, res.Decision.Problems)
	}
	return res.Decision.Offset, nil
}

func (n *node) members() []wire.Member { return n.Members() }

// waitUntil polls f until it returns true, for at most limit. It returns the time waited and whether f returned true.
func waitUntil(limit time.Duration, f func() bool) (time.Duration, bool) {
	start := time.Now()
	for !f() {
		if time.Since(start) > limit {
			return limit, false
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start), true
}

// awaitJoined waits until each node is ready and has all nodes as alive members.
func (c *cluster) awaitJoined(limit time.Duration) error {
	nodes := c.running()
	_, ok := waitUntil(limit, func() bool {
		for _, n := range nodes {
			if _, ready := n.ready(); !ready || n.aliveCount() != len(nodes) {
				return false
			}
		}
		return true
	})
	if !ok {
		return fmt.Errorf("capacity: %d nodes are not all ready with complete member tables after %s", len(nodes), limit)
	}
	return nil
}

func (n *node) aliveCount() int {
	k := 0
	for _, m := range n.members() {
		if m.Status == wire.StatusAlive {
			k++
		}
	}
	return k
}

func (n *node) statusOf(id string) wire.MemberStatus {
	for _, m := range n.members() {
		if m.Node.ID == id {
			return m.Status
		}
	}
	return ""
}
