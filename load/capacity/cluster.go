// Package capacity measures what control costs a node: real stewards over loopback TCP, from few
// to a hundred, before stand-ins of the platform.
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
	zones         = 4
	// storeRate is how many engines the stand-in store serves at a time.
	storeRate = 400
	// callTimeout bounds a call of the measurement itself.
	callTimeout = 30 * time.Second
	// watchWait is how long a gate's watch waits.
	watchWait = 20 * time.Second
)

// cluster is a deployment inside this process.
type cluster struct {
	log   *logservice.Service
	store *weightstore.Store
	vms   *vmlist.List
	urls  [3]string // log, store, list of VMs
	stop  []func()
	calls *rpc.Pool
	fetch logtail.Strategy
	mu    sync.Mutex
	nodes []*node
	seq   int
}

// node is a running steward with the watch of its gate.
type node struct {
	*steward.Steward
	set     settings.Steward
	metrics *process.Metrics
	dialer  *process.Dialer
	frozen  *freezer
	stop    func()

	mu       sync.Mutex
	revision trial.Offset
	versions map[string]int64
	readyAt  time.Time
	started  time.Time
}

func newCluster(fetch logtail.Strategy) *cluster {
	c := &cluster{
		log: logservice.New(logservice.Options{}), store: weightstore.New(weightstore.Options{LoadRate: storeRate}),
		vms: vmlist.New(vmlist.Options{}), calls: rpc.NewPool(rpc.Options{}), fetch: fetch,
	}
	for i, h := range []http.Handler{c.log.Handler(), c.store.Handler(), c.vms.Handler()} {
		s := httptest.NewServer(h)
		c.urls[i] = s.URL
		c.stop = append(c.stop, s.Close)
	}
	return c
}

// close ends all nodes, then the stand-ins.
func (c *cluster) close() {
	var wg sync.WaitGroup
	for _, n := range c.running() {
		wg.Go(n.stop)
	}
	wg.Wait()
	c.calls.Close()
	for _, f := range c.stop {
		f()
	}
}

func (c *cluster) running() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*node(nil), c.nodes...)
}

// platformAddresses are what a zone without the platform cannot reach.
func (c *cluster) platformAddresses() []string {
	out := make([]string, len(c.urls))
	for i, u := range c.urls {
		out[i] = u[len("http://"):]
	}
	return out
}

// grow starts nodes until there are n.
func (c *cluster) grow(n int) error {
	for len(c.running()) < n {
		if _, err := c.start(); err != nil {
			return err
		}
	}
	return nil
}

// start runs one more node, in the zones by turns.
func (c *cluster) start() (*node, error) {
	l, err := listeners()
	if err != nil {
		return nil, err
	}
	az := zoneName(c.seq % zones)
	sum := sha256.Sum256([]byte(operatorToken))
	set := settings.Steward{
		Node:         settings.Node{ID: fmt.Sprintf("n%03d", c.seq), AvailabilityZone: az, StewardAddress: l.RPC.Addr().String(), GateAddress: "127.0.0.1:1", GateHTTP: "127.0.0.1:2"},
		DebugAddress: l.Debug.Addr().String(), LogURL: c.urls[0], StoreURL: c.urls[1], VMListURL: c.urls[2],
		OperatorTokenSHA256: hex.EncodeToString(sum[:]), LeaseTTLMs: steward.DefaultLeaseTTL.Milliseconds(),
	}
	if known := c.running(); len(known) > 0 {
		set.Seeds = []string{known[0].set.StewardAddress, known[c.seq%len(known)].set.StewardAddress}
	}
	c.seq++
	c.vms.Put(trial.VM{Name: set.ID, Address: set.StewardAddress, AvailabilityZone: az, Role: trial.VMRoleEntry})
	return c.run(set, l)
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

func (c *cluster) run(set settings.Steward, l steward.Listeners) (*node, error) {
	n := &node{set: set, metrics: process.NewMetrics(), dialer: process.NewDialer(nil), frozen: newFreezer(), started: time.Now()}
	s, err := steward.New(steward.Options{
		Settings: set, PeerToken: peerToken, Log: slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError})),
		Metrics: n.metrics, Dialer: n.dialer, Fetch: c.fetch,
	})
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	n.Steward = s
	l.RPC = &freezingListener{Listener: l.RPC, f: n.frozen}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Run(ctx, l) }) // ends with its context
	wg.Go(func() { n.watch(ctx) })
	n.stop = sync.OnceFunc(func() { cancel(); wg.Wait() })
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	return n, nil
}

// remove forgets a node that was stopped.
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

// watch does what a gate does to know what is in force.
func (n *node) watch(ctx context.Context) {
	pool := rpc.NewPool(rpc.Options{Token: peerToken})
	defer pool.Close()
	p := wire.WatchParams{GateID: n.set.ID, GateIncarnation: "1", WaitMs: watchWait.Milliseconds()}
	for ctx.Err() == nil {
		var st wire.State
		cctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
		err := pool.Call(cctx, n.set.StewardAddress, wire.MethodWatch, p, &st)
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

func (n *node) inForce() trial.Offset {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.revision
}

func (n *node) ready() (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.readyAt.Sub(n.started), !n.readyAt.IsZero()
}

// apply publishes a change through n and returns its offset.
func (c *cluster) apply(n *node, change config.Change) (trial.Offset, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var res wire.ApplyResult
	p := wire.ApplyParams{OperatorParams: wire.OperatorParams{Token: operatorToken}, Change: change, TimeoutMs: callTimeout.Milliseconds()}
	if err := c.calls.Call(ctx, n.set.StewardAddress, wire.MethodApply, p, &res); err != nil {
		return 0, fmt.Errorf("capacity: apply %s: %w", change.ID, err)
	}
	if !res.Decision.Accepted {
		return 0, fmt.Errorf("capacity: change %s was rejected: %v %v", change.ID, res.Decision.Conflicts, res.Decision.Problems)
	}
	return res.Decision.Offset, nil
}

// members returns n's table.
func (n *node) members() []wire.Member { return n.Members() }

// until polls f until it holds, at most for limit, and returns how long that took.
func until(limit time.Duration, f func() bool) (time.Duration, bool) {
	began := time.Now()
	for !f() {
		if time.Since(began) > limit {
			return limit, false
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began), true
}

// joined waits until all nodes are ready and know one another.
func (c *cluster) joined(limit time.Duration) error {
	nodes := c.running()
	_, ok := until(limit, func() bool {
		for _, n := range nodes {
			if _, ready := n.ready(); !ready || n.aliveCount() != len(nodes) {
				return false
			}
		}
		return true
	})
	if !ok {
		return fmt.Errorf("capacity: %d nodes do not all know one another after %s", len(nodes), limit)
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
