package process

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

const keepAlive = 5 * time.Second

// Dialer opens TCP connections, except to addresses that are set to be unreachable: tests cut the
// network with it. Connections that are open to such an address are closed.
type Dialer struct {
	mu          sync.Mutex
	unreachable map[string]bool
	open        map[*trackedConn]string
}

// NewDialer returns a dialer that refuses the unreachable addresses.
func NewDialer(unreachable []string) *Dialer {
	d := &Dialer{open: map[*trackedConn]string{}}
	d.SetUnreachable(unreachable)
	return d
}

// SetUnreachable replaces the set of unreachable addresses and closes connections to them.
func (d *Dialer) SetUnreachable(addresses []string) {
	set := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		set[a] = true
	}
	d.mu.Lock()
	d.unreachable = set
	var cut []*trackedConn
	for c, a := range d.open {
		if set[a] {
			cut = append(cut, c)
		}
	}
	d.mu.Unlock()
	for _, c := range cut {
		c.Close()
	}
}

// Dial opens a TCP connection to address.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if d.blocked(address) {
		return nil, fmt.Errorf("dial %s: unreachable by setting", address)
	}
	nd := net.Dialer{KeepAlive: keepAlive}
	c, err := nd.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	t := &trackedConn{Conn: c, d: d}
	d.mu.Lock()
	d.open[t] = address
	d.mu.Unlock()
	if d.blocked(address) {
		t.Close()
		return nil, fmt.Errorf("dial %s: unreachable by setting", address)
	}
	return t, nil
}

// DialContext is Dial in the form that http.Transport takes.
func (d *Dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	return d.Dial(ctx, address)
}

func (d *Dialer) blocked(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unreachable[address]
}

// Routes adds POST /debug/unreachable, whose body is a JSON list of addresses.
func (d *Dialer) Routes(r *mux.Router) {
	r.HandleFunc("/debug/unreachable", func(w http.ResponseWriter, req *http.Request) {
		var addresses []string
		if err := ReadJSON(w, req, &addresses, maxDebugBody); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		d.SetUnreachable(addresses)
	}).Methods(http.MethodPost)
}

// trackedConn is a connection that its dialer can close.
type trackedConn struct {
	net.Conn
	d *Dialer
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.d.mu.Lock()
	delete(c.d.open, c)
	c.d.mu.Unlock()
	return c.Conn.Close()
}
