package rpc

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"
)

func frame(body string) []byte {
	return append(binary.AppendUvarint(nil, uint64(len(body))), body...)
}

// exchangeRaw sends data on a new connection and returns the messages received until the server closes it.
func exchangeRaw(t *testing.T, addr string, data []byte) []string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go func() { _, _ = c.Write(data) }() // the server may close the connection first
	if err := c.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	var out []string
	r := bufio.NewReader(c)
	for {
		n, err := binary.ReadUvarint(r)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("connection still open 20 s after it was made; responses: %q", out)
		}
		if err != nil {
			return out
		}
		body, err := io.ReadAll(io.LimitReader(r, int64(n)))
		if err != nil {
			return out
		}
		out = append(out, string(body))
	}
}

func startPublicServer(t *testing.T) string {
	return startServer(t, Options{Token: "s", PublicMethods: map[string]bool{"double": true}}, map[string]Handler{"double": NewHandler(double)})
}

// TestTrailingBytesInFrameAreNotParsedAsFrame guards against reading the bytes that follow a message in its frame
// as another frame, whose length would not have been checked.
func TestTrailingBytesInFrameAreNotParsedAsFrame(t *testing.T) {
	is := is.New(t)
	first := `{"jsonrpc":"2.0","id":1,"method":"double","params":1}`
	inner := string(frame(`{"jsonrpc":"2.0","id":2,"method":"double","params":2}`))
	// A json.Decoder on the stream would read 512 bytes ahead and leave the rest in the stream.
	padding := strings.Repeat(" ", 512-len(first))
	for _, a := range exchangeRaw(t, startPublicServer(t), frame(first+padding+inner)) {
		is.True(!strings.Contains(a, `"id":2`)) // no response to the embedded message
	}
}

func TestMessageSizeLimitBeforeAuthentication(t *testing.T) {
	is := is.New(t)
	addr := startPublicServer(t)
	params := strings.Repeat("1", MaxUnauthenticatedMessageBytes)
	long := frame(fmt.Sprintf(`{"jsonrpc":"2.0","id":1,"method":"double","params":%s}`, params))
	is.Equal(len(exchangeRaw(t, addr, long)), 0)
	p := NewPool(Options{Token: "s"})
	defer p.Close()
	var got any
	err := p.Call(context.Background(), addr, "double", json.RawMessage(params), &got) // authenticated: only the handler rejects it
	is.Equal(Code(err), int64(jsonrpc2.CodeInvalidParams))
}

func TestUnauthenticatedConnClosesAfterTimeout(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	s := NewServer(Options{Token: "s"}, map[string]Handler{"double": NewHandler(double)})
	s.unauthenticatedTime = 20 * time.Millisecond
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	defer func() { cancel(); <-done }()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = c.Read(make([]byte, 1))
	is.True(errors.Is(err, io.EOF)) // closed by the server
	p := NewPool(Options{Token: "s"})
	defer p.Close()
	is.NoErr(p.Call(ctx, l.Addr().String(), "double", 1, nil))
	time.Sleep(3 * s.unauthenticatedTime) // an authenticated connection may be idle for longer
	p.mu.Lock()
	conn := p.conns[l.Addr().String()]
	p.mu.Unlock()
	is.NoErr(conn.Call(ctx, "double", 1, nil))
}

func TestUnauthenticatedConnLimit(t *testing.T) {
	is := is.New(t)
	addr := startPublicServer(t)
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for range MaxUnauthenticatedConns {
		c, err := net.Dial("tcp", addr)
		is.NoErr(err)
		conns = append(conns, c)
		_, err = c.Write(frame(`{"jsonrpc":"2.0","id":1,"method":"double","params":1}`))
		is.NoErr(err)
		_, err = c.Read(make([]byte, 1)) // the server has accepted it
		is.NoErr(err)
	}
	c, err := net.Dial("tcp", addr)
	is.NoErr(err)
	conns = append(conns, c)
	_, err = c.Read(make([]byte, 1))
	is.True(err != nil) // closed at once
}

// FuzzMessage sends arbitrary bytes to a server, on unauthenticated and authenticated connections, and checks that
// the connection ends and that the server still serves others.
func FuzzMessage(f *testing.F) {
	for _, s := range []string{`{"jsonrpc":"2.0","id":1,"method":"double","params":1}`, `{"jsonrpc":"2.0","id":1,"result":1}`, `null`, `[]`, `{"method":"hello","id":1,"params":"s"}`} {
		f.Add(frame(s), true)
	}
	s := NewServer(Options{Token: "s", PublicMethods: map[string]bool{"double": true}}, map[string]Handler{"double": NewHandler(double), "echo": NewHandler(echo)})
	f.Fuzz(func(t *testing.T, data []byte, authenticated bool) {
		if authenticated {
			data = append(frame(`{"jsonrpc":"2.0","id":1,"method":"hello","params":"s"}`), data...)
		}
		client, server := net.Pipe()
		ended := make(chan struct{})
		go func() { s.serveConn(context.Background(), server); close(ended) }()
		drained := make(chan struct{})
		go func() { _, _ = io.Copy(io.Discard, client); close(drained) }()
		_, _ = client.Write(data) // the server may close the connection first
		client.Close()
		<-ended
		<-drained
		checkServes(t, s)
	})
}

func echo(_ context.Context, v any) (any, error) { return v, nil }

// checkServes checks that s answers a call over a new connection.
func checkServes(t *testing.T, s *Server) {
	client, server := net.Pipe()
	ended := make(chan struct{})
	go func() { s.serveConn(context.Background(), server); close(ended) }()
	p := NewPool(Options{Token: "s", Dial: func(context.Context, string) (net.Conn, error) { return client, nil }})
	var got int
	if err := p.Call(context.Background(), "pipe", "double", 21, &got); err != nil || got != 42 {
		t.Fatalf("valid call after the fuzzed connection: got %d, %v; want 42", got, err)
	}
	p.Close()
	<-ended
}
