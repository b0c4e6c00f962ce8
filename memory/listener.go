package memory

import (
	"errors"
	"net"
	"time"
)

// sendBuffer is the kernel's buffer of a connection, in bytes. The kernel reports progress only after a third of it was read, so that with
// its usual size of megabytes a slow reader could not be told from a stalled one.
const sendBuffer = 128 << 10

// Listener ends connections whose peer reads nothing for a time while an answer waits for it. A peer that reads slowly is kept.
type Listener struct {
	net.Listener
	// StallTimeout is how long a peer may read nothing.
	StallTimeout time.Duration
	// Stalled is called with the address of a peer whose connection was ended.
	Stalled func(peer string)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBuffer) // with a larger one, only slower readers count as stalled
	}
	return &stallConn{Conn: c, listener: l}, nil
}

// stallConn is a connection of a Listener.
type stallConn struct {
	net.Conn
	listener *Listener
}

// Write implements net.Conn. It has as many time limits as the peer reads parts of p.
func (c *stallConn) Write(p []byte) (int, error) {
	written := 0
	for {
		if err := c.SetWriteDeadline(time.Now().Add(c.listener.StallTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		var netErr net.Error
		if err == nil || !errors.As(err, &netErr) || !netErr.Timeout() {
			return written, err
		}
		if n == 0 {
			c.listener.Stalled(c.RemoteAddr().String())
			return written, err
		}
	}
}
