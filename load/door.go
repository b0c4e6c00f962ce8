package load

import (
	"fmt"
	"net"
	"sync"
)

// door is a listener whose accepted connections can all be broken.
type door struct {
	net.Listener
	mu     sync.Mutex
	conns  map[*doorConn]bool
	closed bool
}

func openDoor(address string) (*door, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("load: %w; the address of the plan is taken, plan again", err)
	}
	return &door{Listener: l, conns: map[*doorConn]bool{}}, nil
}

// Accept accepts a connection and remembers it.
func (d *door) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	dc := &doorConn{Conn: c, d: d}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		c.Close() // the server reads it as broken
		return dc, nil
	}
	d.conns[dc] = true
	return dc, nil
}

// abort breaks the connections and closes the listener. The listener comes last: a server whose
// Accept fails ends its requests, and what it would answer them must not get out.
func (d *door) abort() {
	d.cut()
	d.Listener.Close()
}

// cut breaks the connections, and those that are accepted from now on.
func (d *door) cut() {
	d.mu.Lock()
	d.closed = true
	open := d.conns
	d.conns = map[*doorConn]bool{}
	d.mu.Unlock()
	for c := range open {
		c.Conn.Close()
	}
}

type doorConn struct {
	net.Conn
	d *door
}

// Close closes the connection.
func (c *doorConn) Close() error {
	c.d.mu.Lock()
	delete(c.d.conns, c)
	c.d.mu.Unlock()
	return c.Conn.Close()
}
