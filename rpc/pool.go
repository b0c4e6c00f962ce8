package rpc

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// Pool keeps one connection to each address, opened when first needed.
type Pool struct {
	opts  Options
	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// NewPool returns a pool without connections.
func NewPool(opts Options) *Pool {
	if opts.Dial == nil {
		opts.Dial = dialTCP
	}
	return &Pool{opts: opts, conns: map[string]*jsonrpc2.Conn{}}
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.conns {
		c.Close()
		delete(p.conns, a)
	}
}

// Forget ends the connections to addresses that keep does not name.
func (p *Pool) Forget(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.conns {
		if !keep(a) {
			c.Close()
			delete(p.conns, a)
		}
	}
}

// Call sends params to method at address and decodes the result into result. An error after the
// request was sent does not mean that it was not handled.
func (p *Pool) Call(ctx context.Context, address, method string, params, result any) error {
	c, err := p.conn(ctx, address)
	if err != nil {
		return err
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return fmt.Errorf("rpc: encode %s: %w", method, err)
	}
	var res json.RawMessage
	err = c.Call(ctx, method, json.RawMessage(raw), &res)
	if p.opts.Bytes != nil {
		p.opts.Bytes.Add("tx."+method, int64(len(raw)))
		p.opts.Bytes.Add("rx."+method, int64(len(res)))
	}
	if err != nil {
		if Code(err) == 0 {
			p.drop(address, c)
		}
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

// drop closes a connection that failed or timed out: a cut link must not be trusted again.
func (p *Pool) drop(address string, c *jsonrpc2.Conn) {
	p.mu.Lock()
	if p.conns[address] == c {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	c.Close()
}

func (p *Pool) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	p.mu.Lock()
	c := p.conns[address]
	p.mu.Unlock()
	if c != nil {
		select {
		case <-c.DisconnectNotify():
			p.drop(address, c)
		default:
			return c, nil
		}
	}
	return p.dial(ctx, address)
}

func (p *Pool) dial(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	dctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	nc, err := p.opts.Dial(dctx, address)
	if err != nil {
		return nil, fmt.Errorf("rpc: dial %s: %w", address, err)
	}
	c := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(newLimitedConn(nc), jsonrpc2.VarintObjectCodec{}), noRequests{}, quiet)
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
		return old, nil
	}
	p.conns[address] = c
	return c, nil
}

// noRequests refuses requests that a server sends to a client.
type noRequests struct{}

// Handle implements jsonrpc2.Handler.
func (noRequests) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	reply(ctx, conn, req, nil, Errorf(jsonrpc2.CodeMethodNotFound, "a client serves no methods"))
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: DialTimeout, KeepAlive: 5 * time.Second}
	return d.DialContext(ctx, "tcp", address)
}
