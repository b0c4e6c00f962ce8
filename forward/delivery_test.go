package forward

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/crashes"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/targets"
)

// contextBody is a body that can be read until its request's context ends.
type contextBody struct {
	ctx    context.Context
	r      io.Reader
	closed chan struct{}
}

func (b *contextBody) Read(p []byte) (int, error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	return b.r.Read(p)
}

func (b *contextBody) Close() error {
	close(b.closed)
	return nil
}

// failingClient answers each call with status 500 and a body.
type failingClient struct {
	targets.Client
	text    string
	bodies  []*contextBody
	budgets []time.Duration
}

func (c *failingClient) Do(ctx context.Context, call *targets.Call) (*targets.Response, error) {
	c.budgets = append(c.budgets, call.Budget)
	b := &contextBody{ctx, strings.NewReader(c.text), make(chan struct{})}
	c.bodies = append(c.bodies, b)
	return &targets.Response{Status: http.StatusInternalServerError, Body: b, Length: int64(len(c.text))}, nil
}

// newTestForwarder returns a forwarder for host h with two targets.
func newTestForwarder(client targets.Client, route fleet.Route) *Forwarder {
	return newPoolForwarder(client, route, 2)
}

// newPoolForwarder returns a forwarder for host h with a pool of the given size.
func newPoolForwarder(client targets.Client, route fleet.Route, size int) *Forwarder {
	view := fleet.NewView()
	route.Host, route.PathPrefix, route.Pool = "h", "/", "p"
	snap := &fleet.Snapshot{Tables: &fleet.Tables{Routes: []fleet.Route{route}, Pools: []fleet.Pool{{Pool: config.Pool{Name: "p"}}}}}
	for i := range size {
		snap.Instances = append(snap.Instances, &fleet.Instance{Target: config.Target{Name: fmt.Sprintf("t%d", i+1), Address: strconv.Itoa(i + 1)}, Pool: "p", Slots: 4})
	}
	view.Set(snap)
	log, metrics := slog.New(slog.DiscardHandler), process.NewMetrics()
	return New(Options{View: view, Client: client, Crashes: crashes.New(crashes.Options{Targets: noneGone{}, Log: log, Metrics: metrics}), AvailabilityZone: "a", Log: log, Metrics: metrics})
}

// TestLastErrorOfAStreamingTargetIsPassedOnWhole guards against a cut answer: the bodies of streaming routes, and bodies too
// large to buffer, are read only after the attempts are over.
func TestLastErrorOfAStreamingTargetIsPassedOnWhole(t *testing.T) {
	is := is.New(t)
	client := &failingClient{text: "the engine has no memory"}
	f := newTestForwarder(client, fleet.Route{Streaming: true, MaxAttempts: 2})
	reply := f.Serve(t.Context(), &Request{ID: "r", Method: http.MethodPost, Host: "h", Path: "/x", URI: "/x", Header: http.Header{}, Budget: time.Minute})
	is.Equal(reply.Status, http.StatusInternalServerError)
	data, err := io.ReadAll(reply.Body)
	is.NoErr(err)
	is.Equal(string(data), client.text)
	is.NoErr(reply.Body.Close())
	is.Equal(len(client.bodies), 2)
	for _, b := range client.bodies {
		<-b.closed                  // no body keeps its connection
		is.True(b.ctx.Err() != nil) // nor its context
	}
}

// TestTargetsGetTheTimeUntilTheDeadline covers a call that is sent again under its ID: the route's time limit ends a try, but does not
// give the next one a new deadline.
func TestTargetsGetTheTimeUntilTheDeadline(t *testing.T) {
	is := is.New(t)
	client := &failingClient{}
	f := newTestForwarder(client, fleet.Route{Route: config.Route{TimeoutMs: 1000}, MaxAttempts: 1})
	req := &Request{ID: "r", Method: http.MethodPost, Host: "h", Path: "/x", URI: "/x", Header: http.Header{}, Budget: 3 * time.Second}
	f.Serve(t.Context(), req)
	is.True(client.budgets[0] <= time.Second)
	req.Deadline = time.Now().Add(time.Minute)
	f.Serve(t.Context(), req)
	time.Sleep(50 * time.Millisecond)
	f.Serve(t.Context(), req)
	is.True(client.budgets[1] > 59*time.Second)
	is.True(client.budgets[2] <= client.budgets[1]-50*time.Millisecond)
}

// slowClient answers each call after a delay and records the targets.
type slowClient struct {
	targets.Client
	delay time.Duration
	mu    sync.Mutex
	sent  []string
}

func (c *slowClient) Do(ctx context.Context, call *targets.Call) (*targets.Response, error) {
	c.mu.Lock()
	c.sent = append(c.sent, call.Instance.Name)
	c.mu.Unlock()
	select {
	case <-time.After(c.delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return &targets.Response{Status: http.StatusOK, Proof: "p", Body: io.NopCloser(strings.NewReader("")), Length: 0}, nil
}

// TestHedgesGoToOtherTargets covers a pool in which only one target may get the request: a copy would only add to its load.
func TestHedgesGoToOtherTargets(t *testing.T) {
	is := is.New(t)
	client := &slowClient{delay: 4 * minHedgeDelay}
	f := newTestForwarder(client, fleet.Route{TargetLatency: 2 * minHedgeDelay, MaxAttempts: 3})
	serve := func() int {
		return f.Serve(t.Context(), &Request{ID: "r", Method: http.MethodGet, Host: "h", Path: "/x", URI: "/x", Header: http.Header{}, Budget: time.Minute}).Status
	}
	is.Equal(serve(), http.StatusOK)
	is.Equal(len(client.sent), 2)
	is.True(client.sent[0] != client.sent[1])
	client.sent = nil
	snap := *f.view.Get()
	snap.Instances = snap.Instances[:1]
	f.view.Set(&snap)
	is.Equal(serve(), http.StatusOK)
	is.Equal(client.sent, []string{"t1"})
}
