// Package faults provides fault injection for stand-ins: a server that can crash and restart at the
// same address, answers that break the protocol, and an admin server with the fault switches of each stand-in.
package faults

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/trial"
)

// Bounds of a server.
const (
	readHeaderTimeout = 10 * time.Second
	// relistenTimeout bounds the retries of Restart while the address is in use.
	relistenTimeout  = 5 * time.Second
	relistenInterval = 20 * time.Millisecond
)

// Server serves a handler at one address, which it keeps across crashes and restarts.
type Server struct {
	handler    http.Handler
	address    string
	mu         sync.Mutex
	httpServer *http.Server
	listener   net.Listener
	openConns  map[net.Conn]bool
	closed     bool
}

// Listen starts a server of h at address; port 0 means a free port.
func Listen(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w; choose a free address", address, err)
	}
	s := &Server{handler: h, address: l.Addr().String(), openConns: map[net.Conn]bool{}}
	s.serveListener(l)
	return s, nil
}

// Addr returns the host:port at which the server listens.
func (s *Server) Addr() string { return s.address }

func (s *Server) serveListener(l net.Listener) {
	hs := &http.Server{ReadHeaderTimeout: readHeaderTimeout, ConnState: s.trackConn}
	hs.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.serves(hs) {
			Abort() // Crash has not come to this connection yet
		}
		s.handler.ServeHTTP(w, r)
	})
	s.httpServer, s.listener = hs, l
	go hs.Serve(l) // returns after hs.Close
}

// serves reports whether hs has not crashed.
func (s *Server) serves(hs *http.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.httpServer == hs
}

// trackConn maintains the set of open connections.
func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.openConns, c)
		return
	}
	s.openConns[c] = true
}

// Crash resets all connections and refuses new ones until Restart. A peer that sees one of its connections end gets no
// answer on another one and is refused if it connects again.
func (s *Server) Crash() {
	s.mu.Lock()
	hs := s.httpServer
	s.httpServer = nil
	if hs != nil {
		_ = s.listener.Close() // hs.Close would report the same error
	}
	open := make([]net.Conn, 0, len(s.openConns))
	for c := range s.openConns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		Reset(c)
	}
	if hs != nil {
		hs.Close()
	}
}

// Down reports whether the server has crashed or is closed.
func (s *Server) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.httpServer == nil
}

// Restart listens at the same address again. It retries for relistenTimeout while the address is in use, and does
// nothing if the server runs or is closed.
func (s *Server) Restart() error {
	deadline := time.Now().Add(relistenTimeout)
	for {
		err := s.relisten()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(relistenInterval)
	}
}

func (s *Server) relisten() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.httpServer != nil || s.closed {
		return nil
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("restart at %s: %w", s.address, err)
	}
	s.serveListener(l)
	return nil
}

// Close stops the server; it can't be restarted.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Crash()
}

// Reset closes c so that the peer receives a TCP reset.
func Reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // the connection may be closed already
	}
	c.Close()
}

// RespondRateLimited answers with status 429 and message as the body. The headers carry the delay after which to retry,
// in seconds, rounded up, and in milliseconds.
func RespondRateLimited(w http.ResponseWriter, after time.Duration, message string) {
	seconds := int64((after + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(max(1, seconds), 10))
	w.Header().Set(trial.HeaderRetryAfterMs, strconv.FormatInt(max(1, after.Milliseconds()), 10))
	http.Error(w, message, http.StatusTooManyRequests)
}

// Abort closes the connection of the current request without completing the answer. It panics with
// http.ErrAbortHandler, which the server recovers, so it must be called in the handler's goroutine.
func Abort() { panic(http.ErrAbortHandler) }

// Pause waits for d or until ctx is done, and reports whether d has passed.
func Pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ErrDown is the response text of a stand-in in an outage.
var ErrDown = errors.New("outage by fault switch; post {} to /faults to end it")

// SetCrashed crashes s if crashed is true, and otherwise restarts it if it is down. It does nothing if s is nil.
func SetCrashed(s *Server, crashed bool) error {
	if s == nil {
		return nil
	}
	if crashed {
		s.Crash()
		return nil
	}
	return s.Restart()
}
