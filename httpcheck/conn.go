package httpcheck

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// Conn is the client's end of a connection. Reads fail where the head of a response breaks the protocol, and after a reset instead of
// returning io.EOF.
//
// The kernel reports a reset to one system call only. If that is a write, reads return io.EOF as after an orderly close, and a body that
// ends with its connection would look whole.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// writeEnded signals that a write has ended or the connection was closed.
	writeEnded sync.Cond
	writing    int // writes in progress
	closed     bool
	reset      error // why the connection failed, as a write reported it
	// head checks the head that is being received; nil while none is expected.
	head *headScanner
	// asked is set once a response was expected, early if bytes came before that.
	asked, early bool
	broken       error // why no more can be read
}

// NewConn returns a checked connection on c, which has just been opened.
func NewConn(c net.Conn) *Conn {
	out := &Conn{Conn: c}
	out.writeEnded.L = &out.mu
	return out
}

// ExpectResponse has the head of the next response checked. Call it before a request is sent.
func (c *Conn) ExpectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.early && !c.asked && c.broken == nil {
		c.broken = &BrokenError{Reason: "the server sent it before the request"}
	}
	c.asked, c.head = true, &headScanner{}
}

// Broken returns why the connection's last response is broken, as far as it has been read; nil if it is sound.
func (c *Conn) Broken() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// Read implements net.Conn. It returns a *BrokenError if a head breaks the protocol, and instead of io.EOF if the connection was not closed
// in order.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.Broken(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if reset := c.awaitReset(); reset != nil {
			err = &BrokenError{Reason: "the connection was reset before its end", Err: reset}
		}
	}
	if sound, broken := c.checkHead(p[:n]); broken != nil {
		return sound, broken
	}
	return n, err
}

// checkHead checks bytes that were received. If they are broken, it returns how many of them may be read: none that ends the broken line, so
// that the reader waits for more.
func (c *Conn) checkHead(received []byte) (sound int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.early = c.early || len(received) > 0 && !c.asked
	if c.head == nil {
		return len(received), nil
	}
	for i, b := range received {
		ended, reason := c.head.scan(b)
		if reason != "" {
			c.broken = &BrokenError{Reason: reason}
			return i, c.broken
		}
		if ended {
			c.head = nil
			break
		}
	}
	return len(received), nil
}

// awaitReset returns the error that a write got for a reset of the connection, which has ended; nil if it was closed in order.
func (c *Conn) awaitReset() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing > 0 && !receivedEnd(c.Conn) {
		for c.writing > 0 && !c.closed {
			c.writeEnded.Wait() // a write on a connection that was reset fails at once
		}
	}
	if c.closed && c.reset == nil {
		return net.ErrClosed
	}
	return c.reset
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	if err != nil && c.reset == nil && !errors.Is(err, syscall.EPIPE) {
		c.reset = err // EPIPE is reported if the peer had closed its end in order before
	}
	c.writeEnded.Broadcast()
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.writeEnded.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}
