package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleSlack is how much longer than the limit an idle connection is kept, so that a caller that
// stays within the limit never meets the close.
const idleSlack = 2 * time.Second

// idleConns closes connections that stay idle beyond the limit in force, which may change meanwhile.
type idleConns struct {
	limit func() time.Duration
	mu    sync.Mutex
	since map[net.Conn]*time.Timer
}

func newIdleConns(limit func() time.Duration) *idleConns {
	return &idleConns{limit: limit, since: map[net.Conn]*time.Timer{}}
}

// state is the server's hook for changes of a connection.
func (i *idleConns) state(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.since[c]; t != nil {
		t.Stop()
		delete(i.since, c)
	}
	if s == http.StateIdle {
		began := time.Now()
		if d := i.limit(); d > 0 {
			i.since[c] = time.AfterFunc(d+idleSlack, func() { i.check(c, began) })
		}
	}
}

// check closes a connection that was idle for longer than the limit, or waits on if that was raised.
func (i *idleConns) check(c net.Conn, began time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	t := i.since[c]
	if t == nil {
		return
	}
	if left := i.limit() + idleSlack - time.Since(began); left > 0 {
		t.Reset(left)
		return
	}
	delete(i.since, c)
	c.Close()
}
