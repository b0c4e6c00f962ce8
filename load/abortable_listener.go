package load

import (
	"fmt"
	"net"
	"sync"
)

// abortableListener is a listener that can close all its accepted connections at once, as a power loss does.
type abortableListener struct {
	net.Listener
	mu      sync.Mutex
	conns   map[*trackedConn]bool
	aborted bool
}

func listenAbortable(address string) (*abortableListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("load: %w; the planned address is in use, create a new plan", err)
	}
	return &abortableListener{Listener: l, conns: map[*trackedConn]bool{}}, nil
}

// Accept accepts a connection and tracks it until it is closed.
func (ln *abortableListener) Accept() (net.Conn, error) {
	c, err := ln.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: c, owner: ln}
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.aborted {
		c.Close() // the server gets an error at its first read
		return tracked, nil
	}
	ln.conns[tracked] = true
	return tracked, nil
}

// abort closes the connections and then the listener, in this order: a server whose Accept fails ends its requests
// with a response, which must not reach the clients.
func (ln *abortableListener) abort() {
	ln.breakConns()
	ln.Listener.Close()
}

// breakConns closes all open connections and each connection that is accepted later.
func (ln *abortableListener) breakConns() {
	ln.mu.Lock()
	ln.aborted = true
	open := ln.conns
	ln.conns = map[*trackedConn]bool{}
	ln.mu.Unlock()
	for c := range open {
		c.Conn.Close()
	}
}

// trackedConn is a connection that removes itself from its listener when it is closed.
type trackedConn struct {
	net.Conn
	owner *abortableListener
}

// Close closes the connection and stops tracking it.
func (c *trackedConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
