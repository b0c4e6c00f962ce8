// Package rpc carries the messages of package wire between the system's processes with jsonrpc2
// over TCP. A Server answers methods by name; a Pool keeps one connection to each peer.
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

// Bounds of connections.
const (
	// DialTimeout bounds the set-up of a connection.
	DialTimeout = 2 * time.Second
	// WriteTimeout bounds the sending of one message.
	WriteTimeout = 30 * time.Second
	// MaxMessageBytes bounds one message; a longer one ends the connection.
	MaxMessageBytes = 32 << 20
	// MaxInFlightPerConn bounds the requests that one connection has open at a server.
	MaxInFlightPerConn = 1024
	methodHello        = "hello"
)

// Bounds of strangers: connections whose peer has not shown the token, such as ibisctl's.
const (
	// MaxUnauthenticatedConns bounds them at a server; one more is closed at once.
	MaxUnauthenticatedConns = 64
	// MaxStrangerMessageBytes bounds one message of theirs.
	MaxStrangerMessageBytes = 1 << 20
	// MaxUnauthenticatedTime is how long they stay open.
	MaxUnauthenticatedTime = 2 * time.Minute
)

// Handler answers one method. It returns the result, or an error; an *jsonrpc2.Error is sent as it is.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Errorf returns an error that reaches the other side with code.
func Errorf(code int64, format string, args ...any) error {
	return &jsonrpc2.Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// retryData is the data of an error that names when to come back.
type retryData struct {
	RetryAfterMs int64 `json:"retry_after_ms"`
}

// Unavailable returns an error with wire.CodeUnavailable that tells when to come back.
func Unavailable(retryAfter time.Duration, format string, args ...any) error {
	e := &jsonrpc2.Error{Code: wire.CodeUnavailable, Message: fmt.Sprintf(format, args...)}
	e.SetError(retryData{RetryAfterMs: retryAfter.Milliseconds()})
	return e
}

// RetryAfter returns when to come back after err, or 0 if it does not tell.
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

// Code returns the jsonrpc2 code of err, or 0.
func Code(err error) int64 {
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}

// Handle adapts a typed function to a Handler.
func Handle[P, R any](f func(ctx context.Context, params P) (R, error)) Handler {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, Errorf(jsonrpc2.CodeInvalidParams, "params do not decode: %v; send the message of package wire", err)
		}
		return f(ctx, p)
	}
}

// Counter counts bytes by kind; expvar.Map satisfies it.
type Counter interface {
	Add(key string, delta int64)
}

// Options configure a Server or a Pool.
type Options struct {
	// Token is the secret that both sides of a connection know. Methods of a Server that are not
	// in Open need it.
	Token string
	// Open names methods that authenticate by themselves (ibisctl).
	Open map[string]bool
	// Bytes counts bytes as "rx.METHOD" and "tx.METHOD"; nil counts nothing.
	Bytes Counter
	Log   *slog.Logger
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Server answers methods on a listener.
type Server struct {
	opts                 Options
	handlers             map[string]Handler
	unauthenticatedTime  time.Duration
	unauthenticatedConns atomic.Int64
}

// NewServer returns a server of handlers by method.
func NewServer(opts Options, handlers map[string]Handler) *Server {
	return &Server{opts: opts, handlers: handlers, unauthenticatedTime: MaxUnauthenticatedTime}
}

// Serve accepts connections on l until ctx ends.
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
	sc := &serverConn{s: s, conn: c, slots: make(chan struct{}, MaxInFlightPerConn)}
	defer sc.markClosed()
	if s.unauthenticatedConns.Add(1) > MaxUnauthenticatedConns {
		c.Close()
		return
	}
	sc.limit.Store(MaxStrangerMessageBytes)
	_ = c.SetReadDeadline(time.Now().Add(s.unauthenticatedTime)) // an ended connection fails at the first read
	conn := jsonrpc2.NewConn(ctx, newStream(c, &sc.limit), sc, discardLogs())
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
	limit         atomic.Int64 // of one message, in bytes
	slots         chan struct{}
	mu            sync.Mutex
	authenticated bool
	closed        bool
}

// markAuthenticated lifts the bounds of strangers.
func (sc *serverConn) markAuthenticated() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.authenticated || sc.closed {
		return
	}
	sc.authenticated = true
	sc.s.unauthenticatedConns.Add(-1)
	sc.limit.Store(MaxMessageBytes)
	_ = sc.conn.SetReadDeadline(time.Time{}) // an ended connection fails at the next read
}

// markClosed counts a stranger out.
func (sc *serverConn) markClosed() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if !sc.authenticated {
		sc.s.unauthenticatedConns.Add(-1)
	}
	sc.closed = true
}

// Handle answers one request on its own goroutine, so that a long poll holds up no other.
func (sc *serverConn) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	select {
	case sc.slots <- struct{}{}:
	default:
		reply(ctx, conn, req, nil, Errorf(wire.CodeUnavailable, "more than %d requests open on one connection; wait for answers", MaxInFlightPerConn))
		return
	}
	if req.Method == methodHello {
		// In order: what follows on the connection relies on it.
		sc.handleHello(ctx, conn, req)
		<-sc.slots
		return
	}
	go func() {
		defer func() { <-sc.slots }()
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
	if !authenticated && !sc.s.opts.Open[req.Method] {
		return nil, Errorf(wire.CodeUnauthorized, "method %s is for nodes of the deployment; callers use HTTP, operators use ibisctl", req.Method)
	}
	h, ok := sc.s.handlers[req.Method]
	if !ok {
		return nil, Errorf(jsonrpc2.CodeMethodNotFound, "method %s is not served here; check the address and the versions of both programs", req.Method)
	}
	p := params(req)
	res, err := h(ctx, p)
	if c := sc.s.opts.Bytes; c != nil {
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
		_ = conn.Reply(ctx, req.ID, res) // a lost connection is seen by the reader
		return
	}
	var e *jsonrpc2.Error
	if !errors.As(err, &e) {
		e = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	_ = conn.ReplyWithError(ctx, req.ID, e)
}
