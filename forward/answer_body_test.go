package forward

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/crashes"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/targets"
)

// allGone takes each target whose answer breaks off for dead.
type allGone struct{}

func (allGone) Gone(context.Context, *fleet.Instance) bool { return true }

// brokenClient answers each call with bytes and then an error.
type brokenClient struct {
	targets.Client
	err error
}

func (c *brokenClient) Do(context.Context, *targets.Call) (*targets.Response, error) {
	body := io.NopCloser(io.MultiReader(strings.NewReader("begin"), &errorReader{c.err}))
	return &targets.Response{Status: http.StatusOK, Proof: "p", Body: body, Length: maxBufferedBytes + 1}, nil
}

func (c *brokenClient) WholeEvents(body io.ReadCloser) io.ReadCloser { return body }

type errorReader struct{ err error }

func (r *errorReader) Read([]byte) (int, error) { return 0, r.err }

// TestAnswersThatBreakOffMidwayAreDeaths guards against a request that is never recognised, as it crashes its target after the first bytes of
// an answer that is forwarded while it is read: a stream, or an answer too large to buffer.
func TestAnswersThatBreakOffMidwayAreDeaths(t *testing.T) {
	for _, tc := range []struct {
		name    string
		route   fleet.Route
		err     error
		suspect bool
	}{
		{"stream", fleet.Route{Streaming: true, MaxAttempts: 1}, io.ErrUnexpectedEOF, true},
		{"large answer", fleet.Route{MaxAttempts: 1}, io.ErrUnexpectedEOF, true},
		{"whole stream", fleet.Route{Streaming: true, MaxAttempts: 1}, io.EOF, false},
		{"caller has gone", fleet.Route{Streaming: true, MaxAttempts: 1}, context.Canceled, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestForwarder(&brokenClient{err: tc.err}, tc.route)
			f.crashes = crashes.New(crashes.Options{Targets: allGone{}, Log: slog.New(slog.DiscardHandler), Metrics: process.NewMetrics()})
			reply := f.Serve(t.Context(), &Request{ID: "r", Method: http.MethodPost, Host: "h", Path: "/x", URI: "/x", Header: http.Header{}, Budget: time.Minute})
			is.Equal(reply.Status, http.StatusOK)
			data, err := io.ReadAll(reply.Body)
			is.Equal(string(data), "begin")
			is.True(tc.err == io.EOF && err == nil || errors.Is(err, tc.err))
			is.NoErr(reply.Body.Close())
			suspects := func() int { return len(f.crashes.State().Suspects) }
			for deadline := time.Now().Add(time.Second); tc.suspect && suspects() == 0 && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			is.Equal(suspects() == 1, tc.suspect)
		})
	}
}
