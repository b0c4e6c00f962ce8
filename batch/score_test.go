package batch

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/forward"
	"github.com/ibistrail/ibistrail/process"
)

// scorerStep is the answer to one scoring call.
type scorerStep struct {
	fails bool
	// routes are the routes from the answer on, routesLater those after routeGone.
	routes, routesLater []fleet.Route
}

// scriptedScorer answers scoring calls by a script. It refuses calls without a route of their own, and those that the script does not have.
type scriptedScorer struct {
	view    *fleet.View
	steps   []scorerStep
	refused int
}

// routeGone is how long a route is gone in a script.
const routeGone = 200 * time.Millisecond

func (f *scriptedScorer) Serve(_ context.Context, req *forward.Request) *forward.Reply {
	if route := f.view.Get().Tables.Match(req.Host, req.Path); route == nil || route.Batch {
		f.refused++
		return &forward.Reply{Status: http.StatusNotFound}
	}
	if len(f.steps) == 0 {
		f.refused++
		return &forward.Reply{Status: http.StatusOK, Proof: "one call too many"}
	}
	step := f.steps[0]
	f.steps = f.steps[1:]
	setRoutes(f.view, step.routes...)
	if step.routesLater != nil {
		time.AfterFunc(routeGone, func() { setRoutes(f.view, step.routesLater...) })
	}
	if step.fails {
		return &forward.Reply{Status: http.StatusInternalServerError, ServerErrors: 1}
	}
	return &forward.Reply{Status: http.StatusOK, Proof: "score"}
}

// TestItemIsGivenUpByTheRouteOfItsScoringCall guards against items that are given up before their scoring call has failed as often as its route
// allows: the route is gone, has another limit, or its place is taken by a route of batches while the call fails.
func TestItemIsGivenUpByTheRouteOfItsScoringCall(t *testing.T) {
	route := func(maxAttempts int) []fleet.Route { return []fleet.Route{scorerRoute(maxAttempts)} }
	batches := []fleet.Route{{Route: config.Route{PathPrefix: "/"}, Batch: true, MaxAttempts: 1}}
	for _, tc := range []struct {
		name  string
		steps []scorerStep
		score string
	}{
		{"fails as often as allowed", []scorerStep{{true, route(2), nil}, {true, route(2), nil}}, ""},
		{"the route is gone after a failure", []scorerStep{{true, nil, route(2)}, {false, route(2), nil}}, "score"},
		{"the route is gone after the last failure, and is back", []scorerStep{{true, route(2), nil}, {true, nil, route(2)}, {true, route(2), nil}}, ""},
		{"a route of batches has the path after a failure", []scorerStep{{true, batches, route(2)}, {false, route(2), nil}}, "score"},
		{"the limit is raised during the last failure", []scorerStep{{true, route(2), nil}, {true, route(3), nil}, {false, route(3), nil}}, "score"},
		{"the limit is lowered during a failure", []scorerStep{{true, route(1), nil}}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			view := newTestView(scorerRoute(2))
			f := &scriptedScorer{view: view, steps: tc.steps}
			r := newRunner(Options{View: view, Forwarder: f, Log: slog.New(slog.DiscardHandler), Metrics: process.NewMetrics()})
			r.appendProgress = func(*partition, string, []*Progress) {}
			j := &job{head: &Head{ID: "b", AcceptedMs: time.Now().UnixMilli()}, item: &Item{ID: "i"}, state: jobScoring}
			r.jobs["b"] = map[string]*job{"i": j}
			score, ok := r.score(t.Context(), j, newScorer())
			is.True(ok)
			is.Equal(score, tc.score)
			is.Equal(len(f.steps), 0)
			is.Equal(f.refused, 0) // no call is tried without a route, and none is one too many
		})
	}
}

// TestScoringCallWithoutARouteEndsWithItsBatch guards against calls that are sent when the route is back although the batch has ended.
func TestScoringCallWithoutARouteEndsWithItsBatch(t *testing.T) {
	is := is.New(t)
	view := newTestView()
	f := &scriptedScorer{view: view, steps: []scorerStep{{false, nil, nil}}}
	r := newRunner(Options{View: view, Forwarder: f, Log: slog.New(slog.DiscardHandler), Metrics: process.NewMetrics()})
	j := &job{head: &Head{ID: "b"}, item: &Item{ID: "i"}, state: jobScoring}
	r.jobs["b"] = map[string]*job{"i": j}
	time.AfterFunc(routeGone, func() {
		r.mu.Lock()
		delete(r.jobs, "b")
		r.mu.Unlock()
		setRoutes(view, scorerRoute(2))
	})
	_, ok := r.score(t.Context(), j, newScorer())
	is.True(!ok)
	is.Equal(len(f.steps), 1) // not called
}
