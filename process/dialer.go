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

const keepAlivePeriod = 5 * time.Second

// Dialer opens TCP connections, except to addresses that are set to be unreachable, so that tests can simulate
// network partitions. It closes the connections that are open to such an address.
type Dialer struct {
	mu          sync.Mutex
	unreachable map[string]bool
	open        map[*trackedConn]string
}

// NewDialer returns a dialer for which the given addresses are unreachable.
func NewDialer(unreachable []string) *Dialer {
	d := &Dialer{open: map[*trackedConn]string{}}
	d.SetUnreachable(unreachable)
	return d
}

// SetUnreachable replaces the set of unreachable addresses and closes the connections to them.
func (d *Dialer) SetUnreachable(addresses []string) {
	set := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		set[a] = true
	}
	d.mu.Lock()
	d.unreachable = set
	var toClose []*trackedConn
	for c, a := range d.open {
		if set[a] {
			toClose = append(toClose, c)
		}
	}
	d.mu.Unlock()
	for _, c := range toClose {
		c.Close()
	}
}

// Dial opens a TCP connection to address, or returns an error if the address is set to be unreachable.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if d.blocked(address) {
		return nil, fmt.Errorf("dial %s: unreachable by setting", address)
	}
	dialer := net.Dialer{KeepAlive: keepAlivePeriod}
	c, err := dialer.DialContext(ctx, "tcp", address)
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

// DialContext is Dial with the signature of http.Transport.DialContext; the network is always TCP.
func (d *Dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	return d.Dial(ctx, address)
}

func (d *Dialer) blocked(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unreachable[address]
}

// Routes adds POST /debug/unreachable, which calls SetUnreachable with the JSON list of addresses in the body.
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

// trackedConn is an open connection of a Dialer.
type trackedConn struct {
	net.Conn
	d *Dialer
}

// Close closes the connection and removes it from the dialer.
func (c *trackedConn) Close() error {
	c.d.mu.Lock()
	delete(c.d.open, c)
	c.d.mu.Unlock()
	return c.Conn.Close()
}
