package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleGrace is added to the idle limit, so that a caller that reuses its connection within the limit
// never races with the close.
const idleGrace = 2 * time.Second

// idleConns closes connections that are idle for longer than the configured limit. The limit may change while
// a connection is idle; 0 disables it for connections that become idle.
type idleConns struct {
	limit  func() time.Duration
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleConns(limit func() time.Duration) *idleConns {
	return &idleConns{limit: limit, timers: map[net.Conn]*time.Timer{}}
}

// onStateChange is the http.Server.ConnState hook.
func (i *idleConns) onStateChange(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
		delete(i.timers, c)
	}
	if s == http.StateIdle {
		idleSince := time.Now()
		if d := i.limit(); d > 0 {
			i.timers[c] = time.AfterFunc(d+idleGrace, func() { i.closeIfExpired(c, idleSince) })
		}
	}
}

// closeIfExpired closes a connection that has been idle for longer than the limit. If the limit was raised
// meanwhile, it restarts the timer for the remaining time.
func (i *idleConns) closeIfExpired(c net.Conn, idleSince time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	t := i.timers[c]
	if t == nil {
		return
	}
	if remaining := i.limit() + idleGrace - time.Since(idleSince); remaining > 0 {
		t.Reset(remaining)
		return
	}
	delete(i.timers, c)
	c.Close()
}
