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

// until waits for a condition that other goroutines bring about.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not come about", what)
		}
	}
}

func TestPlannedStopHandsTokensSoFarOver(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.hold, w.first = make(chan struct{}), []int{7, 8}
	a, b := w.gate(t, "a"), w.gate(t, "b")
	ctx := context.Background()
	_, err := a.Submit(ctx, "tr", testRoute(), worldSpec())
	is.True(err == nil)
	until(t, "all attempts", func() bool { return w.count() == 12 })
	is.NoErr(a.Drain(ctx))
	until(t, "all attempts at the peer", func() bool { return w.count() == 24 })
	for _, c := range w.after(12) {
		is.Equal(c.Tokens, []int{7, 8})
		is.Equal(c.Spans, []api.Span{{Version: 1, Tokens: 2}})
	}
	close(w.hold)
	got := drive(t, func(r api.PullRequest) (*api.PullResponse, *api.Error) { return b.Pull(ctx, "tr", "s", r) }, nil, 12)
	is.Equal(len(got), 12)
}

func TestDrainWithoutPeersKeepsTheStep(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	a := w.gate(t, "a")
	ctx := context.Background()
	_, err := a.Submit(ctx, "tr", testRoute(), worldSpec())
	is.True(err == nil)
	is.NoErr(a.Drain(ctx)) // gate b of the directory does not answer
	got := drive(t, func(r api.PullRequest) (*api.PullResponse, *api.Error) { return a.Pull(ctx, "tr", "s", r) }, nil, 12)
	is.Equal(len(got), 12)
}

func TestOwnerThatWasLeftIsReleased(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.hold = make(chan struct{})
	a, b := w.gate(t, "a"), w.gate(t, "b")
	ctx := context.Background()
	for _, m := range []*Manager{a, b} {
		_, err := m.Submit(ctx, "tr", testRoute(), worldSpec())
		is.True(err == nil)
	}
	b.Supersede("tr", "s", "a")
	until(t, "release at a", func() bool { return a.lookup(stepKey{"tr", "s"}) == nil })
	is.True(b.lookup(stepKey{"tr", "s"}) != nil)
}

func TestTwoGatesThatHoldOneStepDoubleNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	a, b := w.gate(t, "a"), w.gate(t, "b")
	ctx := context.Background()
	for _, m := range []*Manager{a, b} {
		_, err := m.Submit(ctx, "tr", testRoute(), worldSpec())
		is.True(err == nil)
	}
	turn := 0
	got := drive(t, func(r api.PullRequest) (*api.PullResponse, *api.Error) {
		turn++
		r.MaxSamples = 4
		return []*Manager{a, b}[turn%2].Pull(ctx, "tr", "s", r)
	}, nil, 12)
	for _, n := range got {
		is.Equal(n, 1)
	}
}

func TestStepsShareAPool(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.hold = make(chan struct{})
	m := w.gate(t, "a")
	ctx := context.Background()
	big := testSpec(8, 8, "")
	big.TrainerVersion = 1
	_, err := m.Submit(ctx, "one", testRoute(), big)
	is.True(err == nil)
	until(t, "the whole pool for one step", func() bool { return w.count() == defaultConcurrency })
	_, err = m.Submit(ctx, "two", testRoute(), big)
	is.True(err == nil)
	until(t, "half of the pool for the second", func() bool { return w.count() == defaultConcurrency+defaultConcurrency/2 })
}

// refusingCompleter refuses for good what bad names, and for a time everything else once.
type refusingCompleter struct {
	*fakeWorld
	bad string
}

func (c refusingCompleter) Complete(ctx context.Context, call dispatch.Call) (*dispatch.Result, *api.Error) {
	if call.Prompt == c.bad {
		return nil, &api.Error{Code: api.CodeTooLarge, Message: "too long for the engine"}
	}
	return c.fakeWorld.Complete(ctx, call)
}

func TestPullNamesSlotsThatCannotBeFilled(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	m := NewManager(Options{GateID: "a", Completer: refusingCompleter{w, "bad"}, Services: w, Directory: w, Call: w.call})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	defer func() {
		cancel()
		if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	}()
	spec := worldSpec()
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
