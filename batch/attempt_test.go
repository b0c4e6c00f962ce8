package batch

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/crashes"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/forward"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/targets"
)

// lateCancelClient answers with a complete stream and cancels the run before it returns the end.
type lateCancelClient struct {
	targets.Client
	cancel context.CancelFunc
	events int
}

func (c *lateCancelClient) Do(context.Context, *targets.Call) (*targets.Response, error) {
	return &targets.Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("")), Version: 1}, nil
}

func (c *lateCancelClient) Events(io.Reader) targets.EventReader { return c }

func (c *lateCancelClient) Next() (targets.Event, error) {
	if c.events++; c.events > 1 {
		c.cancel()
		return targets.Event{}, io.EOF
	}
	return targets.Event{ID: 1, Data: "text"}, nil
}

// newTestView returns a view of tables with the given routes on host "h".
func newTestView(routes ...fleet.Route) *fleet.View {
	v := fleet.NewView()
	setRoutes(v, routes...)
	return v
}

// setRoutes replaces the routes of a view.
func setRoutes(v *fleet.View, routes ...fleet.Route) {
	version := int64(1)
	if t := v.Get().Tables; t != nil {
		version = t.Version + 1
	}
	for i := range routes {
		routes[i].Host = "h"
	}
	v.Set(&fleet.Snapshot{Tables: &fleet.Tables{Version: version, Routes: routes}})
}

// itemRoute returns a route of batches.
func itemRoute(maxAttempts int) fleet.Route {
	return fleet.Route{Route: config.Route{PathPrefix: "/b"}, Batch: true, MaxAttempts: maxAttempts}
}

// scorerRoute returns a route to scorers.
func scorerRoute(maxAttempts int) fleet.Route {
	return fleet.Route{Route: config.Route{PathPrefix: "/score/"}, MaxAttempts: maxAttempts}
}

// newScorer returns the call that scores an item, on scorerRoute.
func newScorer() *Scorer { return &Scorer{ID: "s", Host: "h", Path: "/score/1"} }

// scorer answers each call whose context has not ended.
type scorer struct{}

func (scorer) Serve(ctx context.Context, _ *forward.Request) *forward.Reply {
	if ctx.Err() != nil {
		return &forward.Reply{Status: http.StatusGatewayTimeout}
	}
	return &forward.Reply{Status: http.StatusOK, Proof: "score"}
}

func TestCompleteItemIsScoredIfItsRunIsCanceledAtTheEnd(t *testing.T) {
	is := is.New(t)
	runCtx, cancel := context.WithCancel(t.Context())
	log, metrics := slog.New(slog.DiscardHandler), process.NewMetrics()
	client := &lateCancelClient{cancel: cancel}
	r := newRunner(Options{
		View: newTestView(itemRoute(3), scorerRoute(3)), Client: client, Forwarder: scorer{}, Log: log, Metrics: metrics,
		Crashes: crashes.New(crashes.Options{Log: log, Metrics: metrics}),
	})
	var listed []resultMeta
	r.appendResult = func(_ *partition, _ string, result resultMeta, _ string) { listed = append(listed, result) }
	j := &job{head: &Head{ID: "b", Host: "h", Path: "/b"}, item: &Item{ID: "i", Scorer: newScorer()}, state: jobRunning}
	r.jobs["b"] = map[string]*job{"i": j}
	instance := &fleet.Instance{}
	j.instance = instance
	r.attempt(t.Context(), runCtx, cancel, j, &targets.Call{Instance: instance})
	is.Equal(len(listed), 1)
	is.Equal(listed[0].Score, "score")
}

// failingScorer answers the first calls with an error and records the deadlines of all.
type failingScorer struct {
	failures  int
	deadlines []time.Time
}

func (f *failingScorer) Serve(_ context.Context, req *forward.Request) *forward.Reply {
	f.deadlines = append(f.deadlines, req.Deadline)
	if len(f.deadlines) <= f.failures {
		return &forward.Reply{Status: http.StatusGatewayTimeout}
	}
	return &forward.Reply{Status: http.StatusOK, Proof: "score"}
}

// TestRepeatedScoringCallsKeepTheirDeadline guards against handing a later try more time than the first one had left (rule BUDGET),
// also at a VM that takes the batch over: the soak found runs of such calls with a new deadline (seeds 11 and 17).
func TestRepeatedScoringCallsKeepTheirDeadline(t *testing.T) {
	is := is.New(t)
	log := slog.New(slog.DiscardHandler)
	accepted := time.Now().Add(-5 * time.Second).UnixMilli()
	f := &failingScorer{failures: 4}
	for range 2 { // the holder and its successor
		r := newRunner(Options{View: newTestView(scorerRoute(3)), Forwarder: f, Log: log, Metrics: process.NewMetrics()})
		s := newScorer()
		j := &job{head: &Head{ID: "b", AcceptedMs: accepted}, item: &Item{ID: "i", Scorer: s}, state: jobScoring}
		r.jobs["b"] = map[string]*job{"i": j}
		score, ok := r.score(t.Context(), j, s)
		is.True(ok)
		is.Equal(score, "score")
	}
	is.Equal(len(f.deadlines), 6)
	for _, d := range f.deadlines {
		is.True(!d.IsZero())
		is.Equal(d, f.deadlines[0])
	}
}

// versionedClient answers with events of the given versions, from the one after ResumeAfter on. The first names the engine's version at the
// start of the answer.
type versionedClient struct {
	targets.Client
	versions []int64
	next     int64
	atEnd    func() // called before the end of the answer; may be nil
}

func (c *versionedClient) Do(_ context.Context, call *targets.Call) (*targets.Response, error) {
	c.next = call.ResumeAfter
	return &targets.Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("")), Version: c.versions[0]}, nil
}

func (c *versionedClient) Events(io.Reader) targets.EventReader { return c }

func (c *versionedClient) Next() (targets.Event, error) {
	if len(c.versions) == 0 {
		if c.atEnd != nil {
			c.atEnd()
		}
		return targets.Event{}, io.EOF
	}
	c.next++
	ev := targets.Event{ID: c.next, Data: "text", Version: c.versions[0]}
	c.versions = c.versions[1:]
	return ev, nil
}

// TestSingleVersionTextGetsNoEventOfAnotherVersion guards against a text of two weight versions on a route that allows one: the engine has
// loaded another version than this VM knows of, or loads one during the run, or the route allowed several when the text began.
func TestSingleVersionTextGetsNoEventOfAnotherVersion(t *testing.T) {
	for _, tc := range []struct {
		name          string
		singleVersion bool
		text, run     []int64 // versions of the events before and in the run
		want          []int64 // versions of the text after the run
		listed        bool
	}{
		{"same version", true, []int64{1, 1}, []int64{1, 1}, []int64{1, 1, 1, 1}, true},
		{"newer version at the start", true, []int64{1, 1}, []int64{2, 2}, []int64{1, 1}, false},
		{"older version at the start", true, []int64{2, 2}, []int64{1, 1}, []int64{2, 2}, false},
		{"newer version during the run", true, nil, []int64{1, 1, 2}, []int64{1, 1}, false},
		{"complete text of two versions", true, []int64{1, 2}, []int64{1}, nil, false},
		{"route that allows several", false, []int64{1, 1}, []int64{2, 2}, []int64{1, 1, 2, 2}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			runCtx, cancel := context.WithCancel(t.Context())
			log, metrics := slog.New(slog.DiscardHandler), process.NewMetrics()
			route := itemRoute(3)
			route.SingleVersion = tc.singleVersion
			r := newRunner(Options{
				View: newTestView(route), Client: &versionedClient{versions: tc.run}, Forwarder: scorer{}, Log: log, Metrics: metrics,
				Crashes: crashes.New(crashes.Options{Log: log, Metrics: metrics}),
			})
			var listed []resultMeta
			r.appendResult = func(_ *partition, _ string, result resultMeta, _ string) { listed = append(listed, result) }
			j := &job{head: &Head{ID: "b", Host: "h", Path: "/b"}, item: &Item{ID: "i"}, state: jobRunning, versions: tc.text, events: make([]string, len(tc.text))}
			r.jobs["b"] = map[string]*job{"i": j}
			instance := &fleet.Instance{}
			j.instance = instance
			r.attempt(t.Context(), runCtx, cancel, j, &targets.Call{Instance: instance, ResumeAfter: int64(len(tc.text))})
			is.Equal(j.versions, tc.want)
			is.Equal(len(j.events), len(tc.want))
			is.Equal(len(listed) == 1, tc.listed)
			if !tc.listed {
				is.Equal(j.state, jobWaiting) // it runs again
			}
		})
	}
}
