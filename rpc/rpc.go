// Package rpc implements the JSON-RPC 2.0 client and server that exchange the messages of package wire over TCP.
// A Server dispatches requests to handlers by method; a Pool keeps one client connection per address.
package rpc

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ibistrail/ibistrail/wire"
	"github.com/sourcegraph/jsonrpc2"
)

// Limits of a connection.
const (
	// DialTimeout bounds the setup of a connection, including the hello request.
	DialTimeout = 2 * time.Second
	// WriteTimeout bounds one write to a connection.
	WriteTimeout = 30 * time.Second
	// MaxMessageBytes is the size limit of one message; a larger one closes the connection.
	MaxMessageBytes = 32 << 20
	// MaxInFlightPerConn bounds the requests that a server processes at a time for one connection.
	MaxInFlightPerConn = 1024
	methodHello        = "hello"
)

// Limits of unauthenticated connections, whose peer has not sent the peer token. Connections of ibisctl are among them.
const (
	// MaxUnauthenticatedConns bounds their number at a server; further connections are closed at once.
	MaxUnauthenticatedConns = 64
	// MaxUnauthenticatedMessageBytes is the size limit of one message that they send to a server.
	MaxUnauthenticatedMessageBytes = 1 << 20
	// MaxUnauthenticatedTime is how long a server keeps them open.
	MaxUnauthenticatedTime = 2 * time.Minute
)

// Handler handles the requests of one method. It returns the result or an error. A *jsonrpc2.Error is sent unchanged,
// any other error with jsonrpc2.CodeInternalError.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Errorf returns an error that a Handler can return to send code and the formatted message to the client.
func Errorf(code int64, format string, args ...any) error {
	return &jsonrpc2.Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// retryData is the data member of an error with a retry delay.
type retryData struct {
	RetryAfterMs int64 `json:"retry_after_ms"`
}

// UnavailableErrorf returns an error with wire.CodeUnavailable and a delay after which the client should retry.
func UnavailableErrorf(retryAfter time.Duration, format string, args ...any) error {
	e := &jsonrpc2.Error{Code: wire.CodeUnavailable, Message: fmt.Sprintf(format, args...)}
	e.SetError(retryData{RetryAfterMs: retryAfter.Milliseconds()})
	return e
}

// RetryAfter returns the retry delay of err, or 0 if it has none.
func RetryAfter(err error) time.Duration {
	var e *jsonrpc2.Error
	if !errors.As(err, &e) || e.Data == nil {
		return 0
	}
	var d retryData
	if json.Unmarshal(*e.Data, &d) != nil {
		return 0
	}
	return time.Duration(d.RetryAfterMs) * time.Millisecond
}

// Code returns the JSON-RPC error code of err, or 0 if err is no *jsonrpc2.Error.
func Code(err error) int64 {
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}

// NewHandler returns a Handler that decodes the params and calls f.
func NewHandler[P, R any](f func(ctx context.Context, params P) (R, error)) Handler {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, Errorf(jsonrpc2.CodeInvalidParams, "params do not decode: %v; send the message of package wire", err)
		}
		return f(ctx, p)
	}
}

// Counter is a set of counters by key; *expvar.Map implements it.
type Counter interface {
	Add(key string, delta int64)
}

// Options configure a Server or a Pool.
type Options struct {
	// Token is the shared secret of both sides. A Server requires it for all methods that are not in
	// PublicMethods; a Pool sends it on each new connection unless it is empty.
	Token string
	// PublicMethods lists the methods that do not require the peer token, because they authenticate the caller
	// themselves (those that ibisctl uses).
	PublicMethods map[string]bool
	// TrustPeers makes a Server treat all connections as authenticated, where the network admits only the deployment's VMs.
	TrustPeers bool
	// ByteCounter counts the bytes of params and results under "rx.METHOD" and "tx.METHOD"; nil disables it.
	ByteCounter Counter
	Log         *slog.Logger
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Server serves the methods of its handlers.
type Server struct {
	opts                 Options
	handlers             map[string]Handler
	unauthenticatedTime  time.Duration
	unauthenticatedConns atomic.Int64
}

// NewServer returns a server for handlers, which are keyed by method.
func NewServer(opts Options, handlers map[string]Handler) *Server {
	return &Server{opts: opts, handlers: handlers, unauthenticatedTime: MaxUnauthenticatedTime}
}

// Serve accepts connections on l until ctx ends, then closes l and all connections and returns nil. It returns an
// error if accepting fails.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("rpc: accept on %s: %w", l.Addr(), err)
		}
		wg.Go(func() { s.serveConn(ctx, c) })
	}
}

func (s *Server) serveConn(ctx context.Context, c net.Conn) {
	sc := &serverConn{s: s, conn: c, requestSlots: make(chan struct{}, MaxInFlightPerConn)}
	defer sc.markClosed()
	sc.messageLimit.Store(MaxUnauthenticatedMessageBytes)
	if n := s.unauthenticatedConns.Add(1); s.opts.TrustPeers {
		sc.markAuthenticated()
	} else if n > MaxUnauthenticatedConns {
		c.Close()
		return
	} else {
		_ = c.SetReadDeadline(time.Now().Add(s.unauthenticatedTime)) // if this fails, so does the first read
	}
	conn := jsonrpc2.NewConn(ctx, newStream(c, &sc.messageLimit), sc, discardLogs())
	defer conn.Close()
	select {
	case <-ctx.Done():
	case <-conn.DisconnectNotify():
	}
}

// serverConn is the state of one accepted connection.
type serverConn struct {
	s             *Server
	conn          net.Conn
	messageLimit  atomic.Int64 // in bytes
	requestSlots  chan struct{}
	mu            sync.Mutex
	authenticated bool
	closed        bool
}

// markAuthenticated removes the limits of unauthenticated connections.
func (sc *serverConn) markAuthenticated() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.authenticated || sc.closed {
		return
	}
	sc.authenticated = true
	sc.s.unauthenticatedConns.Add(-1)
	sc.messageLimit.Store(MaxMessageBytes)
	_ = sc.conn.SetReadDeadline(time.Time{}) // if this fails, so does the next read
}

// markClosed subtracts an unauthenticated connection from the server's count.
func (sc *serverConn) markClosed() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if !sc.authenticated {
		sc.s.unauthenticatedConns.Add(-1)
	}
	sc.closed = true
}

// Handle handles each request on its own goroutine, so that a long poll does not block other requests.
func (sc *serverConn) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	select {
	case sc.requestSlots <- struct{}{}:
	default:
		reply(ctx, conn, req, nil, Errorf(wire.CodeUnavailable, "more than %d requests open on one connection; wait for answers", MaxInFlightPerConn))
		return
	}
	if req.Method == methodHello {
		// Synchronous, since the requests that follow on the connection depend on it.
		sc.handleHello(ctx, conn, req)
		<-sc.requestSlots
		return
	}
	go func() {
		defer func() { <-sc.requestSlots }()
		res, err := sc.dispatch(ctx, req)
		reply(ctx, conn, req, res, err)
	}()
}

func (sc *serverConn) handleHello(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var token string
	err := json.Unmarshal(params(req), &token)
	if err != nil || subtle.ConstantTimeCompare([]byte(token), []byte(sc.s.opts.Token)) != 1 {
		reply(ctx, conn, req, nil, Errorf(wire.CodeUnauthorized, "peer token differs; give all nodes of a deployment the same peer_token_file"))
		return
	}
	sc.markAuthenticated()
	reply(ctx, conn, req, wire.Empty{}, nil)
}

func (sc *serverConn) dispatch(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	sc.mu.Lock()
	authenticated := sc.authenticated
	sc.mu.Unlock()
	if !authenticated && !sc.s.opts.PublicMethods[req.Method] {
		return nil, Errorf(wire.CodeUnauthorized, "method %s is for nodes of the deployment; callers use HTTP, operators use ibisctl", req.Method)
	}
	h, ok := sc.s.handlers[req.Method]
	if !ok {
		return nil, Errorf(jsonrpc2.CodeMethodNotFound, "method %s is not served here; check the address and the versions of both programs", req.Method)
	}
	p := params(req)
	res, err := h(ctx, p)
	if c := sc.s.opts.ByteCounter; c != nil {
		c.Add("rx."+req.Method, int64(len(p)))
		if raw, merr := json.Marshal(res); merr == nil && err == nil {
			c.Add("tx."+req.Method, int64(len(raw)))
			return json.RawMessage(raw), nil
		}
	}
	return res, err
}

func params(req *jsonrpc2.Request) json.RawMessage {
	if req.Params == nil {
		return json.RawMessage("null")
	}
	return *req.Params
}

func reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, res any, err error) {
	if req.Notif {
		return
	}
	if err == nil {
		_ = conn.Reply(ctx, req.ID, res) // the reader detects a lost connection
		return
	}
	var e *jsonrpc2.Error
	if !errors.As(err, &e) {
		e = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	_ = conn.ReplyWithError(ctx, req.ID, e)
}
