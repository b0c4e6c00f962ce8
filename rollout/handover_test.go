package rollout

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/dispatch"
	"github.com/matryer/is"
)

// waitFor polls until a condition holds, and fails the test after 20 s.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after 20 s waiting for %s", what)
		}
	}
}

func TestDrainHandsOverPartialTokens(t *testing.T) {
	is := is.New(t)
	cluster := newFakeCluster()
	cluster.unblock, cluster.firstTokens = make(chan struct{}), []int{7, 8}
	a, b := cluster.gate(t, "a"), cluster.gate(t, "b")
	ctx := context.Background()
	_, err := a.Submit(ctx, "tr", testRoute(), scoredSpec())
	is.True(err == nil)
	waitFor(t, "12 attempts", func() bool { return cluster.callCount() == 12 })
	is.NoErr(a.Drain(ctx))
	waitFor(t, "12 further attempts at the peer", func() bool { return cluster.callCount() == 24 })
	for _, c := range cluster.callsAfter(12) {
		is.Equal(c.Tokens, []int{7, 8})
		is.Equal(c.Spans, []api.Span{{Version: 1, Tokens: 2}})
	}
	close(cluster.unblock)
	got := pullAll(t, func(r api.PullRequest) (*api.PullResponse, *api.Error) { return b.Pull(ctx, "tr", "s", r) }, nil, 12)
	is.Equal(len(got), 12)
}

func TestDrainWithoutPeersKeepsStep(t *testing.T) {
	is := is.New(t)
	cluster := newFakeCluster()
	a := cluster.gate(t, "a")
	ctx := context.Background()
	_, err := a.Submit(ctx, "tr", testRoute(), scoredSpec())
	is.True(err == nil)
	is.NoErr(a.Drain(ctx)) // gate b is in the directory but unreachable
	got := pullAll(t, func(r api.PullRequest) (*api.PullResponse, *api.Error) { return a.Pull(ctx, "tr", "s", r) }, nil, 12)
	is.Equal(len(got), 12)
}

func TestSupersedeReleasesStepAtPreviousOwner(t *testing.T) {
	is := is.New(t)
	cluster := newFakeCluster()
	cluster.unblock = make(chan struct{})
	a, b := cluster.gate(t, "a"), cluster.gate(t, "b")
	ctx := context.Background()
	for _, m := range []*Manager{a, b} {
		_, err := m.Submit(ctx, "tr", testRoute(), scoredSpec())
		is.True(err == nil)
	}
	b.Supersede("tr", "s", "a")
	waitFor(t, "release of the step at gate a", func() bool { return a.lookup(stepKey{"tr", "s"}) == nil })
	is.True(b.lookup(stepKey{"tr", "s"}) != nil)
}

func TestStepOnTwoGatesDeliversEachSlotOnce(t *testing.T) {
	is := is.New(t)
	cluster := newFakeCluster()
	a, b := cluster.gate(t, "a"), cluster.gate(t, "b")
	ctx := context.Background()
	for _, m := range []*Manager{a, b} {
		_, err := m.Submit(ctx, "tr", testRoute(), scoredSpec())
		is.True(err == nil)
	}
	turn := 0
	got := pullAll(t, func(r api.PullRequest) (*api.PullResponse, *api.Error) {
		turn++
		r.MaxSamples = 4
		return []*Manager{a, b}[turn%2].Pull(ctx, "tr", "s", r)
	}, nil, 12)
	for _, n := range got {
		is.Equal(n, 1)
	}
}

func TestConcurrentStepsSharePoolCapacity(t *testing.T) {
	is := is.New(t)
	cluster := newFakeCluster()
	cluster.unblock = make(chan struct{})
	m := cluster.gate(t, "a")
	ctx := context.Background()
	big := testSpec(8, 8, "")
	big.TrainerVersion = 1
	_, err := m.Submit(ctx, "one", testRoute(), big)
	is.True(err == nil)
	waitFor(t, "the only step to use the whole pool", func() bool { return cluster.callCount() == defaultConcurrency })
	_, err = m.Submit(ctx, "two", testRoute(), big)
	is.True(err == nil)
	waitFor(t, "the second step to use half of the pool", func() bool { return cluster.callCount() == defaultConcurrency+defaultConcurrency/2 })
}

// rejectingCompleter returns a permanent error for the prompt rejected.
type rejectingCompleter struct {
	*fakeCluster
	rejected string
}

func (c rejectingCompleter) Complete(ctx context.Context, call dispatch.Call) (*dispatch.Result, *api.Error) {
	if call.Prompt == c.rejected {
		return nil, &api.Error{Code: api.CodeTooLarge, Message: "prompt is too long for the engine"}
	}
	return c.fakeCluster.Complete(ctx, call)
}

func TestPullReportsFailedSlots(t *testing.T) {
	is := is.New(t)
	cluster := newFakeCluster()
	m := NewManager(Options{GateID: "a", Completer: rejectingCompleter{cluster, "bad"}, Services: cluster, Directory: cluster, CallPeer: cluster.call})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	defer func() {
		cancel()
		if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	}()
	spec := scoredSpec()
	spec.Groups[1].Prompt = "bad"
	_, err := m.Submit(ctx, "tr", testRoute(), spec)
	is.True(err == nil)
	var held api.Cursor
	for {
		resp, err := m.Pull(ctx, "tr", "s", api.PullRequest{Cursor: held, TrainerVersion: 1, WaitMs: 5000})
		is.True(err == nil)
		for _, s := range resp.Samples {
			held = held.With(s.Slot)
		}
		if resp.Remaining <= len(resp.Failed) {
			is.Equal(len(resp.Failed), 4)
			is.Equal(held.Count(), 8)
			return
		}
	}
}
