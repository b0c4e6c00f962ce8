package weightstore

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/trial"
	"github.com/matryer/is"
)

func TestConcurrentFetchesAreLimited(t *testing.T) {
	is := is.New(t)
	s := New(Options{LoadRate: 1, FetchMs: 60_000, Versions: map[string]int64{"m": 1}})
	hs := httptest.NewServer(s.Handler())
	defer hs.Close()
	c := trial.NewStoreClient(hs.URL, &http.Client{Transport: &http.Transport{}})
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan error, 1)
	go func() { first <- c.Fetch(ctx, "m", 1) }()
	for s.Journal().MaxConcurrentFetches == 0 {
		time.Sleep(time.Millisecond)
	}
	err := c.Fetch(context.Background(), "m", 1)
	var limited *trial.RateLimitedError
	is.True(errors.As(err, &limited))
	is.Equal(limited.RetryAfter, time.Minute)
	cancel()
	is.True(<-first != nil)
}

func TestPublishedVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	s := New(Options{})
	hs := httptest.NewServer(s.Handler())
	defer hs.Close()
	c := trial.NewStoreClient(hs.URL, nil)
	ctx := context.Background()
	_, err := c.Latest(ctx, "m")
	var refused *trial.RefusedError
	is.True(errors.As(err, &refused)) // nothing published yet
	is.NoErr(c.Publish(ctx, "m", 3))
	is.NoErr(c.Publish(ctx, "m", 2))
	v, err := c.Latest(ctx, "m")
	is.NoErr(err)
	is.Equal(v.Version, int64(3))
	is.True(errors.As(c.Fetch(ctx, "m", 4), &refused)) // not published
}
