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
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/store"
	"github.com/ibistrail/ibistrail/targets"
)

// failingClient answers each call with status 500, after it has replaced the routes.
type failingClient struct {
	targets.Client
	view   *fleet.View
	routes []fleet.Route
}

func (c *failingClient) Do(context.Context, *targets.Call) (*targets.Response, error) {
	setRoutes(c.view, c.routes...)
	return &targets.Response{Status: http.StatusInternalServerError, Body: io.NopCloser(strings.NewReader(""))}, nil
}

// runnerOnRoutes is a runner of one item under the given routes, and the results that it lists.
type runnerOnRoutes struct {
	*runner
	view   *fleet.View
	job    *job
	listed []resultMeta
}

func newRunnerOnRoutes(client targets.Client, routes ...fleet.Route) *runnerOnRoutes {
	log, metrics := slog.New(slog.DiscardHandler), process.NewMetrics()
	x := &runnerOnRoutes{view: newTestView(routes...)}
	x.runner = newRunner(Options{View: x.view, Client: client, Log: log, Metrics: metrics, Crashes: crashes.New(crashes.Options{Log: log, Metrics: metrics})})
	x.appendResult = func(_ *partition, _ string, result resultMeta, _ string) { x.listed = append(x.listed, result) }
	x.appendProgress = func(*partition, string, []*Progress) {}
	x.job = &job{head: &Head{ID: "b", Host: "h", Path: "/b", Route: &AcceptedRoute{PathPrefix: "/b"}}, item: &Item{ID: "i"}}
	x.jobs["b"] = map[string]*job{"i": x.job}
	return x
}

// attemptOnce runs the item.
func (x *runnerOnRoutes) attemptOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	x.job.state, x.job.instance = jobRunning, &fleet.Instance{}
	x.attempt(t.Context(), ctx, cancel, x.job, &targets.Call{Instance: x.job.instance})
}

// TestItemIsGivenUpByItsRouteAfterTheRun guards against items that are given up before engines have failed as often as their route allows, or run
// again after that: the route changes, or is gone, while the item runs.
func TestItemIsGivenUpByItsRouteAfterTheRun(t *testing.T) {
	for _, tc := range []struct {
		name               string
		routes             []fleet.Route // from the last answer on
		failed, failsLater bool          // whether the item is given up at once, or when its route is back with a limit of two failures
	}{
		{"fails as often as allowed", []fleet.Route{itemRoute(2)}, true, true},
		{"the limit is raised", []fleet.Route{itemRoute(3)}, false, true},
		{"the limit is lowered", []fleet.Route{itemRoute(1)}, true, true},
		{"the route is gone", nil, false, true},
		{"a plain route takes its place", []fleet.Route{{Route: config.Route{PathPrefix: "/b"}, MaxAttempts: 1}}, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			client := &failingClient{routes: tc.routes}
			x := newRunnerOnRoutes(client, itemRoute(2))
			client.view = x.view
			x.job.engineErrors = 1
			x.attemptOnce(t)
			is.Equal(len(x.listed) == 1, tc.failed)
			is.Equal(x.job.state == jobWaiting, !tc.failed)
			setRoutes(x.view, itemRoute(2))
			snap := x.view.Get()
			snap.Tables.Pools = []fleet.Pool{{}}
			x.mu.Lock()
			defer x.mu.Unlock()
			x.job.notBefore = time.Time{}
			x.startWaiting(t.Context(), snap)
			is.Equal(len(x.listed) == 1, tc.failsLater)
		})
	}
}

// TestTextFollowsItsRouteAfterTheRun guards against texts of several weight versions on a route that allows one only since the text has begun, and
// against texts of one that are dropped.
func TestTextFollowsItsRouteAfterTheRun(t *testing.T) {
	single, several := itemRoute(3), itemRoute(3)
	single.SingleVersion = true
	for _, tc := range []struct {
		name     string
		accepted bool // whether the route allowed a single version when the submission was accepted
		before   fleet.Route
		after    []fleet.Route
		versions []int64
		listed   bool
	}{
		{"allows one since", false, several, []fleet.Route{single}, []int64{1, 2}, false},
		{"allows one since, and that is what the text has", false, several, []fleet.Route{single}, []int64{2, 2}, true},
		{"is gone, and allowed one", true, several, nil, []int64{1, 2}, false},
		{"is gone, and allowed several", false, several, nil, []int64{1, 2}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			client := &versionedClient{versions: tc.versions}
			x := newRunnerOnRoutes(client, tc.before)
			client.atEnd = func() { setRoutes(x.view, tc.after...) }
			x.job.head.Route.SingleVersion = tc.accepted
			x.attemptOnce(t)
			is.Equal(len(x.listed) == 1, tc.listed)
		})
	}
}

// TestItemsOfAGoneRouteAreGivenUpAfterTheirRetention guards against open batches that stay for good, with their items in the memory of the VM that
// runs them, since their route never comes back.
func TestItemsOfAGoneRouteAreGivenUpAfterTheirRetention(t *testing.T) {
	accepted := itemRoute(3)
	accepted.Retention = 40 * time.Second
	longer := itemRoute(3)
	longer.Retention = time.Minute
	for _, tc := range []struct {
		name     string
		routes   []fleet.Route
		recorded bool
		age      time.Duration
		expired  bool
	}{
		{"before it is over", nil, true, 39 * time.Second, false},
		{"after it is over", nil, true, 41 * time.Second, true},
		{"the route is there with a longer one", []fleet.Route{longer}, true, 41 * time.Second, false},
		{"an earlier build has accepted it", nil, false, time.Hour, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			head := &Head{ID: "b", Host: "h", Path: "/b", AcceptedMs: time.Now().Add(-tc.age).UnixMilli()}
			if tc.recorded {
				head.Route = newAcceptedRoute(&accepted)
			}
			is.Equal(expired(newTestView(tc.routes...).Get(), head, time.Now()), tc.expired)
		})
	}
}

// TestResultsAreReusedByTheRouteThatIsGone guards against results of several weight versions in a batch whose route allows one, but is gone as the
// batch is opened.
func TestResultsAreReusedByTheRouteThatIsGone(t *testing.T) {
	for _, tc := range []struct {
		name     string
		route    *AcceptedRoute
		versions []int64
		reused   bool
	}{
		{"one version, one allowed", &AcceptedRoute{PathPrefix: "/b", SingleVersion: true}, []int64{1}, true},
		{"two versions, one allowed", &AcceptedRoute{PathPrefix: "/b", SingleVersion: true}, []int64{1, 2}, false},
		{"two versions, several allowed", &AcceptedRoute{PathPrefix: "/b"}, []int64{1, 2}, true},
		{"two versions, not known", nil, []int64{1, 2}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			x := newRunnerOnRoutes(nil)
			p := &partition{index: newIndexState()}
			p.index.resultsByItem[ownedItem{id: "i"}] = itemResult{resultMeta: resultMeta{ItemID: "i", Versions: tc.versions}, submissionID: "a"}
			sub := &submissionState{head: &Head{ID: "b", Host: "h", Path: "/b", Route: tc.route}, itemCount: 1, hasResult: map[string]bool{}}
			sub.setItems([]Item{{ID: "i"}})
			x.openSubmission(x.view.Get(), p, sub, nil)
			is.Equal(len(x.listed) == 1, tc.reused)
		})
	}
}

// TestCompleteTextIsScoredWithoutARoute guards against texts that a successor has read whole, and that wait for a route although they need no engine.
func TestCompleteTextIsScoredWithoutARoute(t *testing.T) {
	is := is.New(t)
	x := newRunnerOnRoutes(nil)
	x.job.textComplete, x.job.events, x.job.versions = true, []string{"text"}, []int64{1}
	done := make(chan resultMeta, 1)
	x.appendResult = func(_ *partition, _ string, result resultMeta, _ string) { done <- result }
	x.mu.Lock()
	x.startWaiting(t.Context(), x.view.Get())
	x.mu.Unlock()
	select {
	case result := <-done:
		is.Equal(result.Versions, []int64{1})
	case <-time.After(5 * time.Second):
		t.Fatal("the text is not listed")
	}
}

// TestAcceptedBatchStaysAcceptedWithoutItsRoute guards against a refusal of a batch that was accepted before: its route goes just as it is sent again.
func TestAcceptedBatchStaysAcceptedWithoutItsRoute(t *testing.T) {
	is := is.New(t)
	v := newRouteVM(t, &memoryLog{partitions: map[store.Partition][][]byte{}}, 1, "pool")
	is.NoErr(v.submit(t, "b"))
	is.NoErr(v.partitionOf("pool").sync(t.Context()))
	setRoutes(v.opts.View)
	is.NoErr(v.submit(t, "b"))
	isUnavailable(is, v.submit(t, "c"))
}
