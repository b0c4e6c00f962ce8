// Package faults serves stand-ins so that they can be made to fail: a server that crashes and
// comes back under its address, and an admin server with each stand-in's fault switches.
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
	// relistenTimeout bounds the wait for the address at a restart.
	relistenTimeout  = 5 * time.Second
	relistenInterval = 20 * time.Millisecond
)

// Server serves a handler at one address, over crashes and restarts.
type Server struct {
	handler http.Handler
	address string
	mu      sync.Mutex
	current *http.Server
	conns   map[net.Conn]bool
	closed  bool
}

// Listen serves h at address, where port 0 means a free one.
func Listen(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w; choose a free address", address, err)
	}
	s := &Server{handler: h, address: l.Addr().String(), conns: map[net.Conn]bool{}}
	s.serve(l)
	return s, nil
}

// Addr returns the address, host:port.
func (s *Server) Addr() string { return s.address }

func (s *Server) serve(l net.Listener) {
	hs := &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout, ConnState: s.track}
	s.current = hs
	go hs.Serve(l) // ends with hs.Close
}

// track keeps the set of open connections.
func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = true
}

// Crash resets all connections and refuses new ones until Restart.
func (s *Server) Crash() {
	s.mu.Lock()
	hs := s.current
	s.current = nil
	open := make([]net.Conn, 0, len(s.conns))
	for c := range s.conns {
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

// Down tells whether the server is crashed.
func (s *Server) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current == nil
}

// Restart listens at the same address again; it does nothing on a server that runs.
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
	if s.current != nil || s.closed {
		return nil
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("restart at %s: %w", s.address, err)
	}
	s.serve(l)
	return nil
}

// Close ends the server.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Crash()
}

// Reset closes c so that the other side sees a reset.
func Reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // the connection may be closed already
	}
	c.Close()
}

// Refuse answers 429 with the time to come back.
func Refuse(w http.ResponseWriter, after time.Duration, message string) {
	seconds := int64((after + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(max(1, seconds), 10))
	w.Header().Set(trial.HeaderRetryAfterMs, strconv.FormatInt(max(1, after.Milliseconds()), 10))
	http.Error(w, message, http.StatusTooManyRequests)
}

// Abort ends the request's connection without an answer.
func Abort() { panic(http.ErrAbortHandler) }

// Pause waits for d or the end of ctx, and tells whether the whole wait passed.
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

// ErrDown is the answer of a stand-in in an outage.
var ErrDown = errors.New("outage by fault switch; post {} to /faults to end it")

// SetCrashed crashes or restarts s to match crashed; a nil server ignores it.
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
