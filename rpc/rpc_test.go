package rpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/wire"
	"github.com/matryer/is"
)

// startServer serves handlers on a loopback port until the test ends and returns its address.
func startServer(t *testing.T, o Options, handlers map[string]Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- NewServer(o, handlers).Serve(ctx, l) }()
	t.Cleanup(func() { cancel(); <-done })
	return l.Addr().String()
}

func double(_ context.Context, n int) (int, error) { return 2 * n, nil }

func TestCallReturnsResult(t *testing.T) {
	is := is.New(t)
	addr := startServer(t, Options{Token: "s"}, map[string]Handler{"double": NewHandler(double)})
	p := NewPool(Options{Token: "s"})
	defer p.Close()
	var got int
	is.NoErr(p.Call(context.Background(), addr, "double", 21, &got))
	is.Equal(got, 42)
}

func TestCallWithoutValidTokenIsRejected(t *testing.T) {
	is := is.New(t)
	addr := startServer(t, Options{Token: "s", PublicMethods: map[string]bool{"open": true}},
		map[string]Handler{"double": NewHandler(double), "open": NewHandler(double)})
	withoutToken := NewPool(Options{})
	defer withoutToken.Close()
	err := withoutToken.Call(context.Background(), addr, "double", 1, nil)
	is.Equal(Code(err), int64(wire.CodeUnauthorized)) // sent no token
	is.NoErr(withoutToken.Call(context.Background(), addr, "open", 1, nil))
	withWrongToken := NewPool(Options{Token: "other"})
	defer withWrongToken.Close()
	err = withWrongToken.Call(context.Background(), addr, "double", 1, nil)
	is.Equal(Code(err), int64(wire.CodeUnauthorized)) // sent a wrong token
}

func TestLongPollDoesNotBlockOtherCalls(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	wait := func(ctx context.Context, _ int) (int, error) { <-release; return 1, nil }
	addr := startServer(t, Options{Token: "s"}, map[string]Handler{"wait": NewHandler(wait), "double": NewHandler(double)})
	p := NewPool(Options{Token: "s"})
	defer p.Close()
	is.NoErr(p.Call(context.Background(), addr, "double", 1, nil)) // opens the connection
	slow := make(chan error, 1)
	go func() { slow <- p.Call(context.Background(), addr, "wait", 1, nil) }()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(p.Call(ctx, addr, "double", 2, nil))
	close(release)
	is.NoErr(<-slow)
}

func TestReadObjectRejectsOversizedAndTruncatedFrames(t *testing.T) {
	is := is.New(t)
	var limit atomic.Int64
	limit.Store(MaxMessageBytes)
	read := func(data []byte) error {
		var v any
		return codec{limit: &limit}.ReadObject(bufio.NewReader(bytes.NewReader(data)), &v)
	}
	is.NoErr(read(frame(`{"a":1}`)))
	is.NoErr(read(frame(`"` + strings.Repeat("a", 129) + `"`))) // length takes two bytes
	is.True(errors.Is(read(frame(`{"a":1}`)[:4]), io.ErrUnexpectedEOF))
	err := read(binary.AppendUvarint(nil, MaxMessageBytes+1))
	is.True(err != nil && strings.Contains(err.Error(), "send less")) // rejected before its data arrives
	is.True(read(bytes.Repeat([]byte{0xff}, 20)) != nil)              // invalid length
}

func TestCanceledCallDoesNotFailOtherCalls(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	started := make(chan struct{}, 3)
	wait := func(context.Context, int) (int, error) { started <- struct{}{}; <-release; return 1, nil }
	addr := startServer(t, Options{Token: "s"}, map[string]Handler{"wait": NewHandler(wait)})
	p := NewPool(Options{Token: "s"})
	defer p.Close()
	other := make(chan error, 1)
	go func() { other <- p.Call(context.Background(), addr, "wait", 1, nil) }()
	<-started
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	is.True(p.Call(ctx, addr, "wait", 1, nil) != nil) // canceled
	ctx, cancel = context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	is.True(p.Call(ctx, addr, "wait", 1, nil) != nil) // timed out
	close(release)
	is.NoErr(<-other)
}
