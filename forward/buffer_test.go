package forward

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

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
