package steward

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fake/engine"
	"github.com/ibistrail/ibistrail/fake/logservice"
	"github.com/ibistrail/ibistrail/fake/vmlist"
	"github.com/ibistrail/ibistrail/fake/weightstore"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/settings"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
)

const (
	testPeerToken     = "0123456789abcdef"
	testOperatorToken = "operator"
	waitTimeout       = 40 * time.Second
)

// cluster is a deployment within the test process, with fakes of the platform's services.
type cluster struct {
	t     *testing.T
	log   *logservice.Service
	store *weightstore.Store
	vms   *vmlist.List
	urls  struct{ log, store, vms string }
	nodes map[string]*node
	calls *rpc.Pool
}

// node is a running steward.
type node struct {
	*Steward
	set    settings.Steward
	stop   func()
	dialer *process.Dialer
}

func newCluster(t *testing.T, o logservice.Options) *cluster {
	t.Helper()
	c := &cluster{t: t, log: logservice.New(o), store: weightstore.New(weightstore.Options{}), vms: vmlist.New(vmlist.Options{}), nodes: map[string]*node{}}
	serve := func(h *httptest.Server) string { t.Cleanup(h.Close); return h.URL }
	c.urls.log = serve(httptest.NewServer(c.log.Handler()))
	c.urls.store = serve(httptest.NewServer(c.store.Handler()))
	c.urls.vms = serve(httptest.NewServer(c.vms.Handler()))
	c.calls = rpc.NewPool(rpc.Options{})
	t.Cleanup(c.calls.Close)
	return c
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// start starts a steward and adds its VM to the VM list.
func (c *cluster) start(id, az string, seeds ...string) *node {
	c.t.Helper()
	l := Listeners{RPC: listen(c.t), Debug: listen(c.t)}
	sum := sha256.Sum256([]byte(testOperatorToken))
	set := settings.Steward{
		Node:         settings.Node{ID: id, AvailabilityZone: az, StewardAddress: l.RPC.Addr().String(), GateAddress: "127.0.0.1:1", GateHTTP: "127.0.0.1:2"},
		DebugAddress: l.Debug.Addr().String(), LogURL: c.urls.log, StoreURL: c.urls.store, VMListURL: c.urls.vms,
		Seeds: seeds, OperatorTokenSHA256: hex.EncodeToString(sum[:]), LeaseTTLMs: 2000,
	}
	c.vms.Put(trial.VM{Name: id, Address: set.StewardAddress, AvailabilityZone: az, Role: trial.VMRoleEntry})
	n := c.run(set, l)
	c.nodes[id] = n
	return n
}

func (c *cluster) run(set settings.Steward, l Listeners) *node {
	c.t.Helper()
	d := process.NewDialer(nil)
	s, err := New(Options{Settings: set, PeerToken: testPeerToken, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: process.NewMetrics(), Dialer: d})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, l) }()
	stopped := false
	stop := func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		if err := <-done; err != nil {
			c.t.Errorf("steward %s: %v", set.ID, err)
		}
	}
	c.t.Cleanup(stop)
	return &node{Steward: s, set: set, stop: stop, dialer: d}
}

// eventually fails the test if f does not return true within waitTimeout.
func (c *cluster) eventually(what string, f func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !f() {
		if time.Now().After(deadline) {
			c.t.Fatalf("not observed within %s: %s", waitTimeout, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// state returns the state that a steward serves to its gate.
func (c *cluster) state(n *node) wire.State {
	st, _ := n.stateHub.current()
	return st
}

// hasPool reports whether the state that a steward serves to its gate includes a pool.
func (c *cluster) hasPool(n *node, pool string) bool {
	st := c.state(n)
	return st.Tables != nil && st.Tables.Pool(pool) != nil
}

// apply applies a change through the operator API of n.
func (c *cluster) apply(n *node, change config.Change) (wire.ApplyResult, error) {
	var res wire.ApplyResult
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	err := c.calls.Call(ctx, n.set.StewardAddress, wire.MethodApply, wire.ApplyParams{
		OperatorParams: wire.OperatorParams{Token: testOperatorToken}, Change: change, TimeoutMs: waitTimeout.Milliseconds(),
	}, &res)
	return res, err
}

// engines starts n fake engines and returns them with their targets.
func (c *cluster) engines(n int, az string, o engine.Options) ([]*engine.Engine, []config.Target) {
	c.t.Helper()
	var engines []*engine.Engine
	var targets []config.Target
	for i := range n {
		o.Name, o.StoreURL = fmt.Sprintf("%s-e%d", az, i), c.urls.store
		e := engine.New(o)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { _ = e.Run(ctx); close(done) }()
		h := httptest.NewServer(e.Handler())
		c.t.Cleanup(func() { h.Close(); cancel(); <-done })
		engines = append(engines, e)
		targets = append(targets, config.Target{Name: o.Name, Address: h.Listener.Addr().String(), AvailabilityZone: az})
	}
	return engines, targets
}

// poolChange returns a change that adds a pool of engines and a route to it.
func poolChange(id string, targets []config.Target) config.Change {
	p := config.Pool{Name: "drafting", Kind: config.PoolEngines, Model: "m", Targets: targets, Weights: &config.Weights{Follow: true, ServingFloorPercent: 50, StalenessWeight: 1}}
	sum := sha256.Sum256([]byte("caller"))
	r := config.Route{Name: "draft", Kind: config.RouteCompletions, Customer: "magnolia", Model: "m", Pool: "drafting", TimeoutMs: 10_000, Callers: []config.Caller{{Name: "desk", TokenSHA256: hex.EncodeToString(sum[:])}}}
	return config.Change{ID: id, Author: "test", Edits: []config.Edit{{Key: config.PoolKey(p.Name), Pool: &p}, {Key: config.RouteKey(r.Name), Route: &r}}}
}

// platformAddresses returns the addresses of the log service, the weight store and the VM list.
func (c *cluster) platformAddresses() []string {
	return []string{c.urls.log[len("http://"):], c.urls.store[len("http://"):], c.urls.vms[len("http://"):]}
}

// claim sends a claim to a steward as its gate would.
func (c *cluster) claim(n *node, key int, id string) (wire.ClaimResult, error) {
	var res wire.ClaimResult
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	peers := rpc.NewPool(rpc.Options{Token: testPeerToken})
	defer peers.Close()
	err := peers.Call(ctx, n.set.StewardAddress, wire.MethodClaim, wire.ClaimParams{
		Key: fmt.Sprintf("%064x", key), Fingerprint: fmt.Sprintf("%064x", 1), GateID: n.set.ID, GateIncarnation: "i", ClaimID: id,
		TimeoutMs: waitTimeout.Milliseconds(),
	}, &res)
	return res, err
}
