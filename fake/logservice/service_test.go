package logservice

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/trial"
	"github.com/matryer/is"
)

func record(id string) []trial.NewRecord {
	return []trial.NewRecord{{ID: id, Data: json.RawMessage(`{"a":1}`)}}
}

// start serves s until the test ends and returns a client.
func start(t *testing.T, s *Service) *trial.LogClient {
	t.Helper()
	hs := httptest.NewServer(s.Handler())
	t.Cleanup(hs.Close)
	return trial.NewLogClient(hs.URL, &http.Client{Transport: &http.Transport{}})
}

func TestOffsetsStartAtOneAndLongPollReturnsNextRecord(t *testing.T) {
	is := is.New(t)
	c := start(t, New(Options{}))
	ctx := context.Background()
	first, err := c.Append(ctx, "config", append(record("a"), record("b")...))
	is.NoErr(err)
	is.Equal(first, trial.Offset(1))
	res, err := c.Read(ctx, "config", 2, 10, 0)
	is.NoErr(err)
	is.Equal(len(res.Records), 1)
	is.Equal(res.Records[0].ID, "b")
	is.Equal(res.Next, trial.Offset(3))

	got := make(chan *trial.ReadResponse, 1)
	go func() {
		r, _ := c.Read(ctx, "config", 3, 10, 10_000)
		got <- r
	}()
	_, err = c.Append(ctx, "config", record("c"))
	is.NoErr(err)
	is.Equal((<-got).Records[0].ID, "c")
}

func TestAppendWithLostAnswerTakesEffect(t *testing.T) {
	is := is.New(t)
	s := New(Options{})
	c := start(t, s)
	ctx := context.Background()
	is.NoErr(s.SetFaults(Faults{LoseAppendAnswers: 1, Stream: "claims"}))
	_, err := c.Append(ctx, "config", record("x")) // the fault applies to another stream
	is.NoErr(err)
	_, err = c.Append(ctx, "claims", record("a"))
	var unavailable *trial.UnavailableError
	is.True(errors.As(err, &unavailable))
	res, err := c.Read(ctx, "claims", 1, 10, 0)
	is.NoErr(err)
	is.Equal(len(res.Records), 1) // exactly once: the client does not retry by itself
	is.NoErr(s.SetFaults(Faults{FailAppends: 1}))
	_, err = c.Append(ctx, "claims", record("b"))
	is.True(errors.As(err, &unavailable))
	res, err = c.Read(ctx, "claims", 1, 10, 0)
	is.NoErr(err)
	is.Equal(len(res.Records), 1)
}

func TestRateLimitAndOutageAreReported(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := New(Options{AppendsPerSecond: 2, Now: func() time.Time { return now }})
	c := start(t, s)
	ctx := context.Background()
	for range 2 {
		_, err := c.Append(ctx, "s", record("a"))
		is.NoErr(err)
	}
	_, err := c.Append(ctx, "s", record("a"))
	var limited *trial.RateLimitedError
	is.True(errors.As(err, &limited))
	is.Equal(limited.RetryAfter, 500*time.Millisecond)
	is.NoErr(s.SetFaults(Faults{Outage: true}))
	_, err = c.Read(ctx, "s", 1, 1, 0)
	var unavailable *trial.UnavailableError
	is.True(errors.As(err, &unavailable))
	is.Equal(unavailable.Status, http.StatusServiceUnavailable)
}

func TestRetentionAdvancesFirstOffset(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := New(Options{RetentionMs: 1000, Now: func() time.Time { return now }})
	c := start(t, s)
	ctx := context.Background()
	s.Append("s", record("old"))
	now = now.Add(900 * time.Millisecond)
	s.Append("s", record("new"))
	now = now.Add(200 * time.Millisecond)
	res, err := c.Read(ctx, "s", 1, 10, 0)
	is.NoErr(err)
	is.Equal(res.First, trial.Offset(2))
	is.Equal(res.Records[0].ID, "new")
	s.Expire("s")
	res, err = c.Read(ctx, "s", 1, 10, 10_000) // a read of expired records returns at once
	is.NoErr(err)
	is.Equal(res.First, trial.Offset(3))
	is.Equal(len(res.Records), 0)
}
