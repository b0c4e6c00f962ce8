package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/targets"
)

// endlessBody counts what is read of it.
type endlessBody struct {
	read   *atomic.Int64
	closed *atomic.Int64
}

func (b endlessBody) Read(p []byte) (int, error) {
	b.read.Add(int64(len(p)))
	return len(p), nil
}

func (b endlessBody) Close() error {
	b.closed.Add(1)
	return nil
}

// TestBodiesWithoutEndAreReadWithinLimits reads many at a time, as when all targets of a pool are faulty.
func TestBodiesWithoutEndAreReadWithinLimits(t *testing.T) {
	const readers = 64
	is := is.New(t)
	var b bodyBuffer
	var read, closed atomic.Int64
	var wg sync.WaitGroup
	errs := make([]error, readers)
	for i := range readers {
		wg.Go(func() { errs[i] = b.read(&targets.Response{Body: endlessBody{&read, &closed}, Length: -1}) })
	}
	wg.Wait()
	for _, err := range errs {
		is.True(errors.Is(err, errBodyTooLong))
	}
	is.Equal(closed.Load(), int64(readers))
	is.Equal(b.large.Load(), int64(0)) // all is given back
	is.True(read.Load() <= readers*(maxBufferedBytes+3*smallBodyBytes))
}

func TestSmallBodiesAreReadBesideLongOnes(t *testing.T) {
	is := is.New(t)
	var b bodyBuffer
	b.large.Store(maxLargeBodyBytes)
	for _, size := range []int{0, 800, smallBodyBytes - 1} {
		data := bytes.Repeat([]byte("x"), size)
		for _, length := range []int64{int64(size), -1} {
			answer := &targets.Response{Body: io.NopCloser(bytes.NewReader(data)), Length: length}
			is.NoErr(b.read(answer))
			got, err := io.ReadAll(answer.Body)
			is.NoErr(err)
			is.Equal(len(got), size)
			is.Equal(answer.Length, int64(size))
		}
	}
	long := &targets.Response{Body: io.NopCloser(bytes.NewReader(make([]byte, 3*smallBodyBytes))), Length: -1}
	is.True(errors.Is(b.read(long), errBodyTooLong))
	b.large.Store(0)
	long.Body = io.NopCloser(bytes.NewReader(make([]byte, 3*smallBodyBytes)))
	is.NoErr(b.read(long))
	is.Equal(long.Length, int64(3*smallBodyBytes))
}

// TestAnswersCountUntilTheyAreRead guards against answers that are held for callers which don't read them, beyond any limit.
func TestAnswersCountUntilTheyAreRead(t *testing.T) {
	is := is.New(t)
	var b bodyBuffer
	answer := func(length int64) *targets.Response {
		return &targets.Response{Body: io.NopCloser(bytes.NewReader(make([]byte, maxBufferedBytes))), Length: length}
	}
	var held []*targets.Response
	for _, length := range []int64{maxBufferedBytes, -1, maxBufferedBytes} {
		a := answer(length)
		is.True(b.reserve(length))
		is.NoErr(b.read(a))
		held = append(held, a)
	}
	is.True(!b.reserve(maxBufferedBytes + 1))
	is.True(b.reserve(maxBufferedBytes - 3*smallBodyBytes)) // of the first ones, the one without a length has less
	b.large.Add(3*smallBodyBytes - maxBufferedBytes)
	for _, a := range held {
		is.NoErr(a.Body.Close())
		is.NoErr(a.Body.Close()) // counts once
	}
	is.Equal(b.large.Load(), int64(0))
}

// largeClient answers each call with an answer of a size.
type largeClient struct {
	targets.Client
	size int
}

func (c *largeClient) Do(context.Context, *targets.Call) (*targets.Response, error) {
	return &targets.Response{Status: http.StatusOK, Proof: "p", Body: io.NopCloser(bytes.NewReader(make([]byte, c.size))), Length: int64(c.size)}, nil
}

// TestAnswerWithoutRoomIsForwardedWhileItIsRead guards against answers that fail because callers don't read others, and against memory that is not given
// back.
func TestAnswerWithoutRoomIsForwardedWhileItIsRead(t *testing.T) {
	is := is.New(t)
	f := newTestForwarder(&largeClient{size: maxBufferedBytes}, fleet.Route{MaxAttempts: 1})
	var replies []*Reply
	for range 10 {
		reply := f.Serve(t.Context(), &Request{ID: "r", Method: http.MethodPost, Host: "h", Path: "/x", URI: "/x", Header: http.Header{}, Budget: time.Minute})
		is.Equal(reply.Status, http.StatusOK)
		is.True(f.buffer.large.Load() <= maxLargeBodyBytes)
		replies = append(replies, reply)
	}
	is.Equal(f.buffer.large.Load(), int64(maxLargeBodyBytes))
	for _, reply := range replies {
		data, err := io.ReadAll(reply.Body)
		is.NoErr(err)
		is.Equal(len(data), maxBufferedBytes)
		is.NoErr(reply.Body.Close())
	}
	is.Equal(f.buffer.large.Load(), int64(0))
}

// TestDiscardedAnswersMustBeWhole covers the answers of which only the head is used.
func TestDiscardedAnswersMustBeWhole(t *testing.T) {
	errCut := errors.New("cut")
	for name, tc := range map[string]struct {
		length int64
		body   io.Reader
		err    error
	}{
		"whole":              {3, strings.NewReader("abc"), nil},
		"without a length":   {-1, strings.NewReader("abc"), nil},
		"empty":              {0, strings.NewReader(""), nil},
		"short":              {math.MaxInt64, strings.NewReader("abc"), io.ErrUnexpectedEOF},
		"cut":                {-1, io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(errCut)), errCut},
		"long":               {-1, io.LimitReader(endlessBody{new(atomic.Int64), new(atomic.Int64)}, maxBufferedBytes+1), errBodyTooLong},
		"long with a length": {maxBufferedBytes + 1, io.LimitReader(endlessBody{new(atomic.Int64), new(atomic.Int64)}, maxBufferedBytes+1), nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := discardBody(&targets.Response{Length: tc.length, Body: io.NopCloser(tc.body)})
			is.True(errors.Is(err, tc.err))
		})
	}
}
