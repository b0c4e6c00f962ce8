package batch

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

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
		View: fleet.NewView(), Client: client, Forwarder: scorer{}, Log: log, Metrics: metrics,
		Crashes: crashes.New(crashes.Options{Log: log, Metrics: metrics}),
	})
	var listed []resultMeta
	r.appendResult = func(_ *partition, _ string, result resultMeta, _ string) { listed = append(listed, result) }
	j := &job{head: &Head{ID: "b"}, item: &Item{ID: "i", Scorer: &Scorer{ID: "s"}}, state: jobRunning}
	r.jobs["b"] = map[string]*job{"i": j}
	instance := &fleet.Instance{}
	j.instance = instance
	r.attempt(t.Context(), runCtx, cancel, j, &fleet.Route{MaxAttempts: 3}, &targets.Call{Instance: instance})
	is.Equal(len(listed), 1)
	is.Equal(listed[0].Score, "score")
}
