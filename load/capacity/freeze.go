package capacity

import (
	"net"
	"sync"
	"time"
)

// freezer delays all reads on the inbound connections of a node.
type freezer struct {
	mu     sync.Mutex
	thawed chan struct{} // closed while the node is not frozen
}

func newFreezer() *freezer {
	f := &freezer{thawed: make(chan struct{})}
	close(f.thawed)
	return f
}

// freeze delays all reads for d.
func (f *freezer) freeze(d time.Duration) {
	thawed := make(chan struct{})
	f.mu.Lock()
	f.thawed = thawed
	f.mu.Unlock()
	time.AfterFunc(d, func() { close(thawed) })
}

// wait blocks while the node is frozen.
func (f *freezer) wait() {
	f.mu.Lock()
	thawed := f.thawed
	f.mu.Unlock()
	<-thawed
}

// freezingListener wraps accepted connections so that the freezer delays their reads.
type freezingListener struct {
	net.Listener
	f *freezer
}

// Accept accepts and wraps a connection.
func (l *freezingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &freezingConn{Conn: c, f: l.f}, nil
}

// freezingConn is a connection whose reads block while the node is frozen.
type freezingConn struct {
	net.Conn
	f *freezer
}

// Read reads from the connection and returns the bytes once the node is not frozen.
func (c *freezingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.f.wait()
	return n, err
}
