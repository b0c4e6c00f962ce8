package gate

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fake/engine"
	"github.com/ibistrail/ibistrail/fake/faults"
	"github.com/ibistrail/ibistrail/fake/service"
	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/settings"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
)

const (
	editorToken = "editor-token"
	peerToken   = "peer-token"
	zone        = "dixie-east-a"
	testModel   = "drafting"
)

// fakeSteward is the steward of a test's gates. It serves a state that the test sets, and keeps claims in memory.
type fakeSteward struct {
	mu         sync.Mutex
	state      wire.State
	changed    chan struct{}
	claims     map[string]wire.ClaimResult
	failClaims bool
	// loseNextClaimAnswer makes the next claim take effect but fail.
	loseNextClaimAnswer bool
	reports             []wire.ReportParams
	// frozen, if set, blocks all watches until it is closed.
	frozen chan struct{}
}

func (s *fakeSteward) freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = make(chan struct{})
}

func (s *fakeSteward) unfreeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.frozen)
	s.frozen = nil
}

func (s *fakeSteward) set(change func(st *wire.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.state)
	s.state.Seq++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeSteward) watch(ctx context.Context, p wire.WatchParams) (*wire.State, error) {
	for {
		s.mu.Lock()
		st, changed, frozen := s.state, s.changed, s.frozen
		s.mu.Unlock()
		if frozen != nil {
			select {
			case <-frozen:
				continue
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		if st.Seq > p.Since || p.WaitMs == 0 {
			return &st, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(time.Duration(p.WaitMs) * time.Millisecond):
			return &st, nil
		}
	}
}

func (s *fakeSteward) claim(_ context.Context, p wire.ClaimParams) (*wire.ClaimResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failClaims {
		return nil, rpc.Errorf(wire.CodeUnavailable, "log is unavailable")
	}
	r, ok := s.claims[p.Key]
	if !ok {
		r = wire.ClaimResult{ClaimID: p.ClaimID, Fingerprint: p.Fingerprint, GateID: p.GateID, GateIncarnation: p.GateIncarnation, Offset: trial.Offset(len(s.claims) + 1)}
		s.claims[p.Key] = r
	}
	if s.loseNextClaimAnswer {
		s.loseNextClaimAnswer = false
		return nil, rpc.Errorf(wire.CodeUnavailable, "answer lost")
	}
	return &r, nil
}

func (s *fakeSteward) report(_ context.Context, p wire.ReportParams) (*wire.Empty, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, p)
	return &wire.Empty{}, nil
}

// testGate is one running gate of a fleet.
type testGate struct {
	gate *Gate
	http string
	stop context.CancelFunc
	done chan struct{}
	info wire.Node
}

// fleet is a set of gates that share a fake steward, with fake engines and services as targets.
type fleet struct {
	t              *testing.T
	steward        *fakeSteward
	gates          []*testGate
	engines        []*engine.Engine
	engineServers  []*faults.Server
	services       []*service.Service
	serviceServers []*faults.Server
}

// fleetOptions configure a fleet. settings and tables, if set, change the defaults.
type fleetOptions struct {
	gates, engines, services int
	rates                    engine.Rates
	settings                 func(*settings.Gate)
	tables                   func(*config.Tables)
	readTimeout              time.Duration
}

func sha256Hex(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func newListener(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func newFleet(t *testing.T, o fleetOptions) *fleet {
	t.Helper()
	f := &fleet{t: t, steward: &fakeSteward{changed: make(chan struct{}), claims: map[string]wire.ClaimResult{}}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	sl := newListener(t)
	srv := rpc.NewServer(rpc.Options{Token: peerToken}, map[string]rpc.Handler{
		wire.MethodWatch: rpc.NewHandler(f.steward.watch), wire.MethodClaim: rpc.NewHandler(f.steward.claim), wire.MethodReport: rpc.NewHandler(f.steward.report),
	})
	wg.Go(func() { _ = srv.Serve(ctx, sl) })
	tables := f.startTargets(ctx, &wg, o)
	if o.tables != nil {
		o.tables(tables)
	}
	var peers []wire.Node
	for i := range o.gates {
		n := f.startGate(i, sl.Addr().String(), o)
		f.gates = append(f.gates, n)
		peers = append(peers, n.info)
	}
	f.steward.set(func(st *wire.State) {
		st.Ready, st.Revision, st.Tables, st.Peers = true, 1, tables, peers
		st.Versions = map[string]int64{testModel: 1}
	})
	for _, n := range f.gates {
		f.await("gate ready", func() bool { return n.gate.readiness() == nil })
	}
	return f
}

// startTargets starts the fake engines and services and returns tables with their addresses.
func (f *fleet) startTargets(ctx context.Context, wg *sync.WaitGroup, o fleetOptions) *config.Tables {
	callers := []config.Caller{{Name: "editor", TokenSHA256: sha256Hex(editorToken)}}
	engines := config.Pool{Name: "drafting-models", Kind: config.PoolEngines, Model: testModel}
	for i := range o.engines {
		e := engine.New(engine.Options{Name: fmt.Sprintf("e%d", i), Model: testModel, Version: 1, TickMs: 1, LoadLagMs: 20, Rates: o.rates})
		s, err := faults.Listen("127.0.0.1:0", e.Handler())
		if err != nil {
			f.t.Fatal(err)
		}
		e.Attach(s)
		wg.Go(func() { _ = e.Run(ctx) })
		f.t.Cleanup(s.Close)
		f.engines, f.engineServers = append(f.engines, e), append(f.engineServers, s)
		engines.Targets = append(engines.Targets, config.Target{Name: fmt.Sprintf("e%d", i), Address: s.Addr(), AvailabilityZone: zone})
	}
	desk := config.Pool{Name: "errata-desk", Kind: config.PoolServices}
	for i := range o.services {
		v := service.New(service.Options{Name: fmt.Sprintf("s%d", i)})
		s, err := faults.Listen("127.0.0.1:0", v.Handler())
		if err != nil {
			f.t.Fatal(err)
		}
		v.Attach(s)
		f.t.Cleanup(s.Close)
		f.services, f.serviceServers = append(f.services, v), append(f.serviceServers, s)
		desk.Targets = append(desk.Targets, config.Target{Name: fmt.Sprintf("s%d", i), Address: s.Addr(), AvailabilityZone: zone})
	}
	return &config.Tables{
		Routes: []config.Route{
			{Name: "drafts", Kind: config.RouteCompletions, Customer: "magnolia", Model: testModel, Pool: engines.Name, Priority: 1, Callers: callers, TimeoutMs: 30_000},
			{Name: "file", Kind: config.RouteHTTP, Customer: "magnolia", PathPrefix: "/corrections", Pool: desk.Name, Callers: callers, TimeoutMs: 10_000, NonIdempotent: true},
			{Name: "log", Kind: config.RouteHTTP, Customer: "magnolia", PathPrefix: "/log", Pool: desk.Name, Priority: 2, Callers: callers, TimeoutMs: 10_000},
		},
		Pools: []config.Pool{engines, desk},
	}
}

func (f *fleet) startGate(i int, stewardAddress string, o fleetOptions) *testGate {
	ls := &Listeners{HTTP: newListener(f.t), RPC: newListener(f.t), Debug: newListener(f.t)}
	s := settings.Gate{
		Node:           settings.Node{ID: fmt.Sprintf("g%d", i), Customer: "magnolia", AvailabilityZone: zone, StewardAddress: stewardAddress},
		DrainTimeoutMs: 10_000, MaxBodyBytes: 1 << 20,
	}
	if o.settings != nil {
		o.settings(&s)
	}
	g, err := New(Options{Settings: s, PeerToken: peerToken, Listeners: ls})
	if err != nil {
		f.t.Fatal(err)
	}
	if o.readTimeout > 0 {
		g.readTimeout = o.readTimeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &testGate{gate: g, http: "http://" + ls.HTTP.Addr().String(), stop: cancel, done: make(chan struct{}),
		info: wire.Node{ID: s.ID, AvailabilityZone: zone, GateAddress: ls.RPC.Addr().String(), GateHTTP: ls.HTTP.Addr().String()}}
	go func() {
		defer close(n.done)
		if err := g.Run(ctx); err != nil {
			f.t.Errorf("gate %s: %v", s.ID, err)
		}
	}()
	f.t.Cleanup(func() { cancel(); <-n.done })
	return n
}

// await polls until ok returns true. It fails the test after 20 s; what names the condition.
func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			f.t.Fatalf("condition not met within 20 s: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// send sends a request to gate i with the editor's token. headers are alternating names and values.
func (f *fleet) send(i int, method, path, body string, headers ...string) *http.Response {
	f.t.Helper()
	req, err := http.NewRequest(method, f.gates[i].http+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+editorToken)
	for k := 0; k+1 < len(headers); k += 2 {
		req.Header.Set(headers[k], headers[k+1])
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// executedCalls returns the number of calls that all services executed.
func (f *fleet) executedCalls() int64 {
	var n int64
	for _, s := range f.services {
		n += s.Journal().Executed
	}
	return n
}

func outcome(r *http.Response) api.Outcome { return api.Outcome(r.Header.Get(api.HeaderOutcome)) }
