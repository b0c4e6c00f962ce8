package hostile

import (
	"net"
	"net/http"
	"testing"
)

// manyConnections is more than the process may have descriptors.
const manyConnections = 600

// TestConnectionsWithoutARequest guards against clients that take up all descriptors, so that neither callers nor targets can be connected.
func TestConnectionsWithoutARequest(t *testing.T) {
	for _, c := range []struct {
		name, start string
	}{
		{"silent", ""},
		{"within a head", requestStart},
		{"within a body", "POST /desk/x HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: x\r\nDeadline-Ms: 3000\r\nContent-Length: 10\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := startVM(t)
			v.crowd(manyConnections, func(conn net.Conn) {
				send(conn, len(c.start), func(int) string { return c.start })
			})
			v.checkHealthy()
		})
	}
}

// TestIdleConnections guards against clients that keep more connections than the process may have, each after an answer.
func TestIdleConnections(t *testing.T) {
	v := startVM(t)
	for range manyConnections / crowd {
		v.crowd(crowd, func(c net.Conn) {
			if err := v.exchange(c, http.StatusOK); err != nil {
				t.Log(err) // refusing one of the crowd is allowed
			}
		})
	}
	v.checkHealthy()
}

// TestConnectionsToOtherPorts guards against clients that take up descriptors and memory at the ports for readiness checks and metrics.
func TestConnectionsToOtherPorts(t *testing.T) {
	for _, c := range []struct {
		name    string
		address func(v *entryVM) string
	}{
		{"readiness", func(v *entryVM) string { return v.ready }},
		{"metrics", func(*entryVM) string { return "127.0.0.1:9464" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := startVM(t)
			v.crowdAt(c.address(v), crowd, func(conn net.Conn) {
				send(conn, overLimit, func(i int) string {
					if i == 0 {
						return "GET / HTTP/1.1\r\nHost: x\r\n"
					}
					return shortHeader(i)
				})
				readToEnd(t, conn)
			})
			v.crowdAt(c.address(v), manyConnections, func(net.Conn) {})
			if !v.isReady() {
				t.Error("the process does not answer a readiness check")
			}
			v.checkHealthy()
		})
	}
}
