package capacity

import (
	"net"
	"sync"
	"time"
)

// freezer holds up what a frozen node would read.
type freezer struct {
	mu   sync.Mutex
	gate chan struct{} // closed while the node runs
}

func newFreezer() *freezer {
	f := &freezer{gate: make(chan struct{})}
	close(f.gate)
	return f
}

// freeze holds all reads up for d.
func (f *freezer) freeze(d time.Duration) {
	gate := make(chan struct{})
	f.mu.Lock()
	f.gate = gate
	f.mu.Unlock()
	time.AfterFunc(d, func() { close(gate) })
}

func (f *freezer) wait() {
	f.mu.Lock()
	gate := f.gate
	f.mu.Unlock()
	<-gate
}

// freezingListener accepts connections that a freezer holds up.
type freezingListener struct {
	net.Listener
	f *freezer
}

// Accept accepts a connection.
func (l *freezingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &freezingConn{Conn: c, f: l.f}, nil
}

// freezingConn hands nothing on while the node is frozen.
type freezingConn struct {
	net.Conn
	f *freezer
}

// Read reads, and hands the bytes on once the node runs.
func (c *freezingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.f.wait()
	return n, err
}
