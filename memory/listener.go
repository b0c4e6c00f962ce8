package memory

import (
	"errors"
	"net"
	"time"
)

// Sizes of writes, in bytes.
const (
	// writeStep is the size of the pieces in which an answer is written, each with a time limit of its own.
	writeStep = 16 << 10
	// sendBuffer is the kernel's buffer of a connection. The kernel reports progress only after a third of it was read, so that with its
	// usual size of megabytes a slow reader could not be told from a stalled one.
	sendBuffer = 128 << 10
)

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

// Write implements net.Conn.
func (c *stallConn) Write(p []byte) (int, error) {
	written := 0
	for {
		step := p[written:min(len(p), written+writeStep)]
		n, err := c.writeStep(step)
		written += n
		if err != nil || written >= len(p) {
			return written, err
		}
	}
}

// writeStep writes p, with as many time limits as the peer reads parts of it.
func (c *stallConn) writeStep(p []byte) (int, error) {
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
