package scaling

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/duties"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
)

// fakeTenure is held under a token. Its waves last 500 ms.
type fakeTenure struct {
	mu    sync.Mutex
	token int64
	until time.Time
	waves int
}

func (f *fakeTenure) OrderDelay() (time.Duration, bool) { return 0, true }

func (f *fakeTenure) BeginWave(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.until = time.Now().Add(500 * time.Millisecond)
	f.waves++
	return nil
}

func (f *fakeTenure) MaySend() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.until)
}

func (f *fakeTenure) Held() (int64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.token, true
}

// fakeAPI records the orders, and answers none of them while hang is set.
type fakeAPI struct {
	duties.API
	mu     sync.Mutex
	hang   bool
	orders []duties.TargetOrder
	tokens []int64
	times  []time.Time
}

func (f *fakeAPI) OrderTargets(ctx context.Context, h duties.Holder, o duties.TargetOrder) error {
	f.mu.Lock()
	f.orders, f.tokens, f.times = append(f.orders, o), append(f.tokens, h.Token), append(f.times, time.Now())
	hang := f.hang
	f.mu.Unlock()
	if hang {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// newRunner returns a runner whose controller has settled, for a pool that needs targets in four zones.
func newRunner(t *testing.T, api *fakeAPI, tenure *fakeTenure) *Runner {
	view := fleet.NewView()
	snap := &fleet.Snapshot{Tables: &fleet.Tables{
		Routes: []fleet.Route{{Route: config.Route{Pool: "p"}, Batch: true}},
		Pools:  []fleet.Pool{{Pool: config.Pool{Name: "p"}, Engine: &fleet.Engine{Slots: slots}, Scaling: limits}},
	}}
	for zone := range limits.ZonePrices {
		for i := range 2 {
			snap.Instances = append(snap.Instances, &fleet.Instance{Target: config.Target{Name: fmt.Sprint(zone, i), AvailabilityZone: zone}, Pool: "p"})
		}
	}
	view.Set(snap)
	r := &Runner{
		Pool: "p", VM: "v", View: view, API: api, Tenure: tenure, Load: func() Load { return Load{ArrivingSlots: 100} },
		Draining: func(*fleet.Instance) bool { return false }, ViewAge: func() time.Duration { return 0 },
		Log: slog.New(slog.DiscardHandler), Metrics: process.NewMetrics(),
	}
	r.outcomes, r.wanted = r.Metrics.SubMap("scaling_orders"), r.Metrics.SubMap("scaling_wanted")
	r.step(t.Context())
	if r.controller == nil || len(api.orders) > 0 {
		t.Fatal("orders were sent right after the tenure was taken")
	}
	r.settle()
	return r
}

// settle makes the controller one that has observed for a long time.
func (r *Runner) settle() {
	r.controller.startAt = r.controller.startAt.Add(-time.Minute)
	r.controller.freshSince = r.controller.startAt
}

// TestCallsKeepToTheirRateAndWave guards against calls above the share of the rate, and after the end of a wave.
func TestCallsKeepToTheirRateAndWave(t *testing.T) {
	is := is.New(t)
	api, tenure := &fakeAPI{}, &fakeTenure{token: 7}
	r := newRunner(t, api, tenure)
	r.CallsPerSecond = 10 // one call each 200 ms for all pools together
	r.step(t.Context())
	is.Equal(tenure.waves, 1)
	is.True(len(api.orders) >= 2 && len(api.orders) <= 3)
	for i := range api.times[1:] {
		is.True(api.times[i+1].Sub(api.times[i]) > 190*time.Millisecond)
	}
	is.True(api.times[len(api.times)-1].Before(tenure.until))
	for range 3 {
		r.step(t.Context())
	}
	subjects := map[Subject]int{}
	for _, o := range api.orders {
		subjects[Subject{o.AvailabilityZone, o.Spot}]++
	}
	for s, n := range subjects {
		t.Log(s, n)
		is.Equal(n, 1) // each order once
	}
	is.True(len(subjects) >= 4)
}

// TestHangingCallEndsWithinTheWave guards against a call that is still under way when a successor sends its own, and against
// calls one after the other to an API that does not answer.
func TestHangingCallEndsWithinTheWave(t *testing.T) {
	is := is.New(t)
	api, tenure := &fakeAPI{hang: true}, &fakeTenure{token: 7}
	r := newRunner(t, api, tenure)
	begin := time.Now()
	r.step(t.Context())
	is.True(time.Since(begin) < 500*time.Millisecond)
	n := len(api.orders)
	is.True(n > 0)
	r.step(t.Context())
	is.Equal(len(api.orders), n) // paused
	is.True(r.State().Held)
}

// TestNewTokenStartsANewController guards against the plans of an earlier tenure, in which another VM has given orders meanwhile.
func TestNewTokenStartsANewController(t *testing.T) {
	is := is.New(t)
	api, tenure := &fakeAPI{}, &fakeTenure{token: 7}
	r := newRunner(t, api, tenure)
	tenure.token = 9
	r.step(t.Context())
	is.Equal(len(api.orders), 0)
	is.Equal(r.State().Token, int64(9))
	r.settle()
	r.step(t.Context())
	is.True(len(api.orders) > 0)
	for _, token := range api.tokens {
		is.Equal(token, int64(9))
	}
}
