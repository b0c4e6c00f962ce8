package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/ibistrail/ibistrail/api"
	"github.com/matryer/is"
)

// fakeGate serves the trainers' API: it accepts each step and sends the given responses to the pulls in order. The
// last response repeats.
type fakeGate struct {
	mu        sync.Mutex
	specs     []api.StepSpec
	pulls     []api.PullRequest
	responses []func(http.ResponseWriter)
}

func (g *fakeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Method == http.MethodPost && r.URL.Path == "/v1/steps" {
		var spec api.StepSpec
		_ = json.NewDecoder(r.Body).Decode(&spec)
		g.specs = append(g.specs, spec)
		writeJSON(w, http.StatusAccepted, api.StepAccepted{ID: spec.ID, Owner: "g1", Slots: spec.Slots()})
		return
	}
	var req api.PullRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	g.pulls = append(g.pulls, req)
	respond := g.responses[0]
	if len(g.responses) > 1 {
		g.responses = g.responses[1:]
	}
	respond(w)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func respondError(status int, code api.Code, retryMs int64) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		writeJSON(w, status, api.ErrorBody{Error: &api.Error{Code: code, RetryAfterMs: retryMs}})
	}
}

func respondSamples(version int64, slots ...int) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		resp := api.PullResponse{}
		for _, s := range slots {
			resp.Samples = append(resp.Samples, api.Sample{Slot: s, Group: string(rune('a' + s/2)), Tokens: []int{1}, Spans: []api.Span{{Version: version, Tokens: 1}}})
		}
		writeJSON(w, http.StatusOK, resp)
	}
}

func abortConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func testSpec() api.StepSpec {
	return api.StepSpec{ID: "s", Route: "train", Groups: []api.Group{{ID: "a", Prompt: "p", Samples: 2}, {ID: "b", Prompt: "p", Samples: 2}}, StalenessBound: 1}
}

func startFakeGate(t *testing.T, responses ...func(http.ResponseWriter)) (*fakeGate, *Client) {
	g := &fakeGate{responses: responses}
	srv := httptest.NewServer(g)
	t.Cleanup(srv.Close)
	return g, New(Options{Gates: []string{srv.URL}, Token: "t"})
}

func TestNextHidesLostAnswersRepeatsAndUnknownSteps(t *testing.T) {
	is := is.New(t)
	g, c := startFakeGate(t, abortConnection, respondError(503, api.CodeNotReady, 1), respondSamples(5, 0, 1),
		respondError(404, api.CodeStepUnknown, 0), respondSamples(5, 0, 1, 2, 3), respondSamples(5))
	step, err := c.Step(context.Background(), testSpec(), func() int64 { return 5 })
	is.NoErr(err)
	first, err := step.Next(context.Background())
	is.NoErr(err)
	is.Equal(len(first), 2)
	second, err := step.Next(context.Background())
	is.NoErr(err)
	is.Equal(len(second), 2) // slots 0 and 1 were delivered a second time and are dropped
	_, err = step.Next(context.Background())
	is.Equal(err, io.EOF)
	is.Equal(len(g.specs), 2)
	is.Equal(g.specs[1].Held, api.Cursor{3}) // resubmitted with the cursor of the received slots
	is.Equal(g.pulls[len(g.pulls)-1].Cursor.Count(), 4)
}

func TestNextDropsStaleSamples(t *testing.T) {
	is := is.New(t)
	version := int64(5)
	g, c := startFakeGate(t, func(w http.ResponseWriter) {
		version = 7 // the trainer's version advances while the response is in transit
		respondSamples(5, 0, 1)(w)
	}, respondSamples(6, 0, 1))
	step, err := c.Step(context.Background(), testSpec(), func() int64 { return version })
	is.NoErr(err)
	got, err := step.Next(context.Background())
	is.NoErr(err)
	is.Equal(got[0].Spans[0].Version, int64(6))
	is.Equal(g.pulls[1].TrainerVersion, int64(7))
}

func TestNextReturnsIncompleteErrorForFailedSlots(t *testing.T) {
	is := is.New(t)
	_, c := startFakeGate(t, func(w http.ResponseWriter) {
		writeJSON(w, http.StatusOK, api.PullResponse{Remaining: 4, Failed: make([]api.FailedSlot, 4)})
	})
	step, err := c.Step(context.Background(), testSpec(), func() int64 { return 5 })
	is.NoErr(err)
	_, err = step.Next(context.Background())
	e, ok := err.(*IncompleteError)
	is.True(ok)
	is.Equal(len(e.Failed), 4)
}

func TestNextReturnsFinalError(t *testing.T) {
	is := is.New(t)
	_, c := startFakeGate(t, respondError(403, api.CodeForbidden, 0))
	step, err := c.Step(context.Background(), testSpec(), func() int64 { return 5 })
	is.NoErr(err)
	_, err = step.Next(context.Background())
	e, ok := err.(*api.Error)
	is.True(ok)
	is.Equal(e.Code, api.CodeForbidden)
}
