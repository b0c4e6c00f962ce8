package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// Pool keeps one connection per address and opens it with the first call. It is safe for concurrent use.
type Pool struct {
	opts         Options
	messageLimit atomic.Int64 // in bytes
	mu           sync.Mutex
	conns        map[string]*pooledConn
}

// pooledConn is a connection with the number of its pending calls.
type pooledConn struct {
	*jsonrpc2.Conn
	pendingCalls int
	retired      bool // receives no new calls and is closed after the last pending one
}

func NewPool(opts Options) *Pool {
	if opts.Dial == nil {
		opts.Dial = dialTCP
	}
	p := &Pool{opts: opts, conns: map[string]*pooledConn{}}
	p.messageLimit.Store(MaxMessageBytes)
	return p
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.conns {
		c.Close()
		delete(p.conns, a)
	}
}

// CloseExcept closes the connections to the addresses for which keep returns false.
func (p *Pool) CloseExcept(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.conns {
		if !keep(a) {
			c.Close()
			delete(p.conns, a)
		}
	}
}

// Call calls method at address and decodes its result into result, unless that is nil. The server may have handled
// the request even if Call returns an error.
func (p *Pool) Call(ctx context.Context, address, method string, params, result any) error {
	c, err := p.conn(ctx, address)
	if err != nil {
		return err
	}
	defer p.release(c)
	raw, err := json.Marshal(params)
	if err != nil {
		return fmt.Errorf("rpc: encode %s: %w", method, err)
	}
	var res json.RawMessage
	err = c.Call(ctx, method, json.RawMessage(raw), &res)
	if p.opts.ByteCounter != nil {
		p.opts.ByteCounter.Add("tx."+method, int64(len(raw)))
		p.opts.ByteCounter.Add("rx."+method, int64(len(res)))
	}
	if err != nil {
		p.handleCallError(address, c, err)
		return fmt.Errorf("rpc: call %s at %s: %w", method, address, err)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(res, result); err != nil {
		return fmt.Errorf("rpc: decode result of %s: %w", method, err)
	}
	return nil
}

// handleCallError keeps, retires or closes a connection after a failed call. Error responses and canceled calls keep
// it. A timeout retires it: new calls use another connection, pending ones continue. Other errors close it.
func (p *Pool) handleCallError(address string, c *pooledConn, err error) {
	switch {
	case Code(err) != 0 || errors.Is(err, context.Canceled):
	case errors.Is(err, context.DeadlineExceeded):
		p.mu.Lock()
		p.remove(address, c)
		c.retired = true
		p.mu.Unlock()
	default:
		p.closeFailed(address, c)
	}
}

// release ends a call and closes the connection if it is retired and has no other pending call.
func (p *Pool) release(c *pooledConn) {
	p.mu.Lock()
	c.pendingCalls--
	closeConn := c.retired && c.pendingCalls == 0
	p.mu.Unlock()
	if closeConn {
		c.Close()
	}
}

// remove removes c from the pool. The caller holds p.mu.
func (p *Pool) remove(address string, c *pooledConn) {
	if p.conns[address] == c {
		delete(p.conns, address)
	}
}

// closeFailed removes a failed connection from the pool and closes it.
func (p *Pool) closeFailed(address string, c *pooledConn) {
	p.mu.Lock()
	p.remove(address, c)
	p.mu.Unlock()
	c.Close()
}

// conn returns a connection to address and adds 1 to its pending calls; release subtracts it.
func (p *Pool) conn(ctx context.Context, address string) (*pooledConn, error) {
	p.mu.Lock()
	c := p.conns[address]
	if c != nil {
		select {
		case <-c.DisconnectNotify():
			p.remove(address, c)
			c = nil
		default:
			c.pendingCalls++
		}
	}
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	return p.dial(ctx, address)
}

func (p *Pool) dial(ctx context.Context, address string) (*pooledConn, error) {
	dctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	nc, err := p.opts.Dial(dctx, address)
	if err != nil {
		return nil, fmt.Errorf("rpc: dial %s: %w", address, err)
	}
	c := jsonrpc2.NewConn(context.Background(), newStream(nc, &p.messageLimit), noRequests{}, discardLogs())
	if p.opts.Token != "" {
		if err := c.Call(dctx, methodHello, p.opts.Token, nil); err != nil {
			c.Close()
			return nil, fmt.Errorf("rpc: hello to %s: %w", address, err)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.conns[address]; old != nil {
		c.Close()
		old.pendingCalls++
		return old, nil
	}
	n := &pooledConn{Conn: c, pendingCalls: 1}
	p.conns[address] = n
	return n, nil
}

// noRequests rejects requests that a server sends to a client.
type noRequests struct{}

// Handle implements jsonrpc2.Handler.
func (noRequests) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	reply(ctx, conn, req, nil, Errorf(jsonrpc2.CodeMethodNotFound, "a client serves no methods"))
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: DialTimeout, KeepAlive: 5 * time.Second}
	return d.DialContext(ctx, "tcp", address)
}
