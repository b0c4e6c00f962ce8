package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/dispatch"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"
)

// fakeCluster fakes the pool, the scorer, the directory and the network of a few managers.
type fakeCluster struct {
	mu            sync.Mutex
	version       int64
	calls         []dispatch.Call
	unblock       chan struct{} // if set, completions block until it is closed
	firstTokens   []int         // tokens sent before a completion blocks
	scoreCalls    map[string]int
	failingScores int // number of score calls that fail before the first success
	managers      map[string]*Manager
}

func newFakeCluster() *fakeCluster {
	return &fakeCluster{version: 1, scoreCalls: map[string]int{}, managers: map[string]*Manager{}}
}

func (f *fakeCluster) Complete(ctx context.Context, c dispatch.Call) (*dispatch.Result, *api.Error) {
	f.mu.Lock()
	unblock, version := f.unblock, f.version
	f.mu.Unlock()
	if len(c.Tokens) == 0 && len(f.firstTokens) > 0 {
		c.OnTokens(dispatch.Piece{Text: "f", Tokens: f.firstTokens, Version: version})
	}
	f.mu.Lock()
	f.calls = append(f.calls, c) // a call that is counted has passed on its first tokens
	f.mu.Unlock()
	if unblock != nil {
		select {
		case <-unblock:
		case <-ctx.Done():
			return nil, &api.Error{Code: api.CodeDeadline}
		}
	}
	c.OnTokens(dispatch.Piece{Text: "a ", Tokens: []int{5}, Version: version})
	return &dispatch.Result{Text: "a ", Tokens: []int{5}, Spans: []api.Span{{Version: version, Tokens: 1}}, Engine: "e1"}, nil
}

func (f *fakeCluster) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

// callsAfter returns the completion calls after the first n.
func (f *fakeCluster) callsAfter(n int) []dispatch.Call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]dispatch.Call(nil), f.calls[n:]...)
}

func (f *fakeCluster) CallService(_ context.Context, c dispatch.ServiceCall) (*dispatch.ServiceAnswer, *api.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scoreCalls[c.IdempotencyKey]++
	if f.failingScores > 0 {
		f.failingScores--
		return &dispatch.ServiceAnswer{Status: http.StatusInternalServerError}, nil
	}
	var req scoreRequest
	if err := json.Unmarshal(c.Body, &req); err != nil || c.Path != "/judge/score" {
		return &dispatch.ServiceAnswer{Status: http.StatusBadRequest}, nil
	}
	return &dispatch.ServiceAnswer{Status: http.StatusOK, Body: fmt.Appendf(nil, `{"score":%d}`, req.Slot)}, nil
}

func (f *fakeCluster) Tables() (*config.Tables, trial.Offset) {
	return &config.Tables{
		Routes: []config.Route{*testRoute(), {Name: "judge", Kind: config.RouteHTTP, PathPrefix: "/judge/"}},
		Pools:  []config.Pool{{Name: "engines", Model: "m", Targets: []config.Target{{Name: "e1"}}}},
	}, 1
}

func (f *fakeCluster) Version(string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

func (f *fakeCluster) Peers() []wire.Node {
	return []wire.Node{{ID: "a", GateAddress: "a"}, {ID: "b", GateAddress: "b"}}
}

// call calls a manager's handler with params and result encoded as JSON, as package rpc does.
func (f *fakeCluster) call(ctx context.Context, address, method string, params, result any) error {
	f.mu.Lock()
	m := f.managers[address]
	f.mu.Unlock()
	if m == nil {
		return fmt.Errorf("no gate at %s", address)
	}
	raw, _ := json.Marshal(params)
	res, err := m.Handlers()[method](ctx, raw)
	if err != nil {
		raw, _ := json.Marshal(err)
		var e jsonrpc2.Error
		_ = json.Unmarshal(raw, &e)
		return &e
	}
	raw, _ = json.Marshal(res)
	if result == nil {
		return nil
	}
	return json.Unmarshal(raw, result)
}

func (f *fakeCluster) gate(t *testing.T, id string) *Manager {
	m := NewManager(Options{GateID: id, Completer: f, Services: f, Directory: f, CallPeer: f.call, Hedging: true})
	f.mu.Lock()
	f.managers[id] = m
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return m
}

func testRoute() *config.Route {
	return &config.Route{Name: "train", Kind: config.RouteSteps, Pool: "engines", TimeoutMs: 60_000, MaxStalenessVersions: 4}
}

func scoredSpec() api.StepSpec {
	spec := testSpec(3, 4, "judge")
	spec.TrainerVersion = 1
	return spec
}

// pullAll pulls until the trainer holds every slot and returns how often each was delivered.
func pullAll(t *testing.T, pull func(api.PullRequest) (*api.PullResponse, *api.Error), held api.Cursor, slots int) map[int]int {
	t.Helper()
	got := map[int]int{}
	for held.Count() < slots {
		resp, err := pull(api.PullRequest{Cursor: held, TrainerVersion: 1, WaitMs: 2000})
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range resp.Samples {
			got[s.Slot]++
			held = held.With(s.Slot)
		}
	}
	return got
}

func TestStepDeliversEachSlotOnceDespiteScorerErrors(t *testing.T) {
	is := is.New(t)
	cluster := newFakeCluster()
	cluster.failingScores = 5
	m := cluster.gate(t, "a")
	ctx := context.Background()
	acc, err := m.Submit(ctx, "tr", testRoute(), scoredSpec())
	is.True(err == nil)
	is.Equal(*acc, api.StepAccepted{ID: "s", Owner: "a", Slots: 12})
	got := pullAll(t, func(r api.PullRequest) (*api.PullResponse, *api.Error) { return m.Pull(ctx, "tr", "s", r) }, nil, 12)
	is.Equal(len(got), 12)
	for _, n := range got {
		is.Equal(n, 1)
	}
	is.Equal(len(cluster.scoreCalls), 12) // one idempotency key per sample, also for retries
	is.Equal(cluster.callCount(), 12)
}

func TestStepIsPrivateAndIdempotent(t *testing.T) {
	is := is.New(t)
	cluster := newFakeCluster()
	cluster.unblock = make(chan struct{})
	m := cluster.gate(t, "a")
	ctx := context.Background()
	_, err := m.Submit(ctx, "tr", testRoute(), scoredSpec())
	is.True(err == nil)
	_, err = m.Pull(ctx, "other", "s", api.PullRequest{})
	is.Equal(err.Code, api.CodeStepUnknown)
	is.Equal(m.Release(ctx, "other", "s").Code, api.CodeStepUnknown)
	resubmitted := scoredSpec()
	resubmitted.Held, resubmitted.TrainerVersion = api.Cursor{}.With(0), 2
	_, err = m.Submit(ctx, "tr", testRoute(), resubmitted)
	is.True(err == nil)
	resubmitted.Seed++
	_, err = m.Submit(ctx, "tr", testRoute(), resubmitted)
	is.Equal(err.Code, api.CodeStepConflict)
	_, err = m.Pull(ctx, "tr", "s", api.PullRequest{Cursor: api.Cursor{0, 0xf0}})
	is.Equal(err.Code, api.CodeBadRequest) // the cursor names a slot outside the step
	is.True(m.Release(ctx, "tr", "s") == nil)
	_, err = m.Pull(ctx, "tr", "s", api.PullRequest{})
	is.Equal(err.Code, api.CodeStepUnknown)
}

func TestPullIsForwardedToOwner(t *testing.T) {
	is := is.New(t)
	cluster := newFakeCluster()
	a, b := cluster.gate(t, "a"), cluster.gate(t, "b")
	ctx := context.Background()
	acc, err := a.Submit(ctx, "tr", testRoute(), scoredSpec())
	is.True(err == nil)
	got := pullAll(t, func(r api.PullRequest) (*api.PullResponse, *api.Error) {
		r.Owner = acc.Owner
		return b.Pull(ctx, "tr", "s", r)
	}, nil, 12)
	is.Equal(len(got), 12)
	_, err = b.Pull(ctx, "tr", "s", api.PullRequest{Owner: "gone"})
	is.Equal(err.Code, api.CodeStepUnknown)
}

func TestDrainHandsOverUndeliveredSamples(t *testing.T) {
	is := is.New(t)
	cluster := newFakeCluster()
	a, b := cluster.gate(t, "a"), cluster.gate(t, "b")
	ctx := context.Background()
	_, err := a.Submit(ctx, "tr", testRoute(), scoredSpec())
	is.True(err == nil)
	first, err := a.Pull(ctx, "tr", "s", api.PullRequest{TrainerVersion: 1, WaitMs: 5000, MaxSamples: 4})
	is.True(err == nil)
	is.Equal(len(first.Samples), 4)
	var held api.Cursor
	for _, s := range first.Samples {
		held = held.With(s.Slot)
	}
	for { // wait until the remaining 8 samples are ready at gate a
		resp, err := a.Pull(ctx, "tr", "s", api.PullRequest{Cursor: held, TrainerVersion: 1, WaitMs: 5000})
		is.True(err == nil)
		if len(resp.Samples) == 8 {
			break
		}
	}
	calls := cluster.callCount()
	is.NoErr(a.Drain(ctx))
	_, err = a.Submit(ctx, "tr", testRoute(), api.StepSpec{ID: "new", Groups: scoredSpec().Groups, MaxTokens: 1})
	is.Equal(err.Code, api.CodeDraining)
	resp, err := a.Pull(ctx, "tr", "s", api.PullRequest{Owner: "a", Cursor: held, TrainerVersion: 1, WaitMs: 5000})
	is.True(err == nil)
	is.Equal(len(resp.Samples), 8)
	is.Equal(resp.Owner, "b")
	is.Equal(cluster.callCount(), calls) // no sample was generated again
	got := pullAll(t, func(r api.PullRequest) (*api.PullResponse, *api.Error) { return b.Pull(ctx, "tr", "s", r) }, held, 12)
	is.Equal(len(got), 8)
}

func TestReleaseThroughAnotherGateEndsStep(t *testing.T) {
	is := is.New(t)
	cluster := newFakeCluster()
	cluster.unblock = make(chan struct{})
	a, b := cluster.gate(t, "a"), cluster.gate(t, "b")
	ctx := context.Background()
	_, err := a.Submit(ctx, "tr", testRoute(), scoredSpec())
	is.True(err == nil)
	is.True(b.ReleaseAt(ctx, "tr", "s", "a") == nil) // through another gate
	_, err = a.Pull(ctx, "tr", "s", api.PullRequest{})
	is.Equal(err.Code, api.CodeStepUnknown)
}

func TestStepDeadlineEndsWaitingPull(t *testing.T) {
	is := is.New(t)
	cluster := newFakeCluster()
	cluster.unblock = make(chan struct{})
	m := cluster.gate(t, "a")
	ctx := context.Background()
	spec := scoredSpec()
	spec.TimeoutMs = 100
	_, err := m.Submit(ctx, "tr", testRoute(), spec)
	is.True(err == nil)
	began := time.Now()
	_, err = m.Pull(ctx, "tr", "s", api.PullRequest{WaitMs: 20_000})
	is.Equal(err.Code, api.CodeDeadline)
	is.True(time.Since(began) < 10*time.Second)
}
