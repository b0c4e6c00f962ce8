package entry_test

import (
	"context"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/platform"
)

// pathMode is the state of the path from one VM to targets.
type pathMode int

const (
	pathOpen   pathMode = iota
	pathSilent          // open connections go silent, and new ones are not established
	pathReset           // open connections are reset, and new ones are not established
	pathRefuse          // open connections live on, and new ones are refused
	pathReject          // open connections are reset, and new ones are refused
)

// Times of a cut path, as the kernel has them with the options of the platform's dialer.
const (
	pathDialTimeout = 300 * time.Millisecond
	// pathUserTimeout is the time after which a silent connection fails if something was sent, pathKeepAlive if not.
	pathUserTimeout = 1500 * time.Millisecond
	pathKeepAlive   = 2500 * time.Millisecond
)

// targetPath is the path from one VM to all targets. It opens connections and can cut them, which targets don't notice.
type targetPath struct {
	// writeBuffer is the size of the send buffers of new connections in bytes; 0 leaves it to the kernel.
	writeBuffer int

	mu    sync.Mutex
	mode  pathMode
	cut   []string // addresses that are cut off; nil means all
	conns []*pathConn
}

func newTargetPath(t *testing.T) *targetPath {
	p := &targetPath{}
	t.Cleanup(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range p.conns {
			c.Conn.Close()
		}
	})
	return p
}

// set changes the state of the path to the given addresses, or to all. The path to other addresses is open.
func (p *targetPath) set(mode pathMode, addresses ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.cut = mode, addresses
	for _, c := range p.conns {
		if !p.cuts(c.address) {
			continue
		}
		switch mode {
		case pathSilent:
			c.silence()
		case pathReset, pathReject:
			c.reset()
		}
	}
}

// cuts reports whether an address is cut off. The caller holds the lock.
func (p *targetPath) cuts(address string) bool {
	return p.mode != pathOpen && (p.cut == nil || slices.Contains(p.cut, address))
}

// dial opens a connection to a target.
func (p *targetPath) dial(ctx context.Context, address string) (net.Conn, error) {
	p.mu.Lock()
	mode, cut := p.mode, p.cuts(address)
	p.mu.Unlock()
	switch {
	case cut && (mode == pathRefuse || mode == pathReject):
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case cut:
		ctx, cancel := context.WithTimeout(ctx, pathDialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	c, err := platform.DialTarget(ctx, address)
	if err != nil {
		return nil, err
	}
	if p.writeBuffer > 0 {
		if err := c.(*net.TCPConn).SetWriteBuffer(p.writeBuffer); err != nil {
			return nil, err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	pc := &pathConn{Conn: c, address: address, ended: make(chan struct{})}
	p.conns = append(p.conns, pc)
	return pc, nil
}

// pathConn is a connection that can be silenced or reset at the VM's end only.
type pathConn struct {
	net.Conn
	address string

	mu      sync.Mutex
	cut     bool
	cause   error
	ended   chan struct{} // closed when the VM's end has failed or was closed
	timeout *time.Timer
}

// silence makes the connection silent until the kernel gives it up.
func (c *pathConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut {
		return
	}
	c.cut, c.cause = true, syscall.ETIMEDOUT
	c.timeout = time.AfterFunc(pathKeepAlive, c.end)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // wakes a pending read, which then waits for ended
}

func (c *pathConn) reset() {
	c.silence()
	c.mu.Lock()
	c.cause = syscall.ECONNRESET
	c.mu.Unlock()
	c.end()
}

// end ends the connection at the VM's end.
func (c *pathConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.ended:
	default:
		close(c.ended)
	}
}

func (c *pathConn) isCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

func (c *pathConn) failure(op string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &net.OpError{Op: op, Net: "tcp", Err: c.cause}
}

// Read implements net.Conn.
func (c *pathConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isCut() {
		<-c.ended
		return 0, c.failure("read")
	}
	return n, err
}

// Write implements net.Conn.
func (c *pathConn) Write(b []byte) (int, error) {
	if !c.isCut() {
		return c.Conn.Write(b)
	}
	select {
	case <-c.ended:
		return 0, c.failure("write")
	default:
	}
	c.mu.Lock()
	c.timeout.Reset(pathUserTimeout)
	c.mu.Unlock()
	return len(b), nil
}

// Close implements net.Conn. The target does not learn of the close while the path is cut.
func (c *pathConn) Close() error {
	c.end()
	if c.isCut() {
		return nil
	}
	return c.Conn.Close()
}
