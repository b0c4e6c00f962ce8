// Package loopback gives each test its own addresses on the loopback network. On a shared address, a
// port that a test has picked but not opened yet can be taken by a connection of another test.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// hostCount is the number of addresses that this process has handed out.
var hostCount atomic.Int64

// Host returns a loopback IP address that differs from those of other tests on this machine. It is derived
// from the process ID and a counter.
func Host() string {
	n := hostCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, 1+(os.Getpid()/200+int(n/200))%250, 1+n%200)
}

// ServeConns listens at an address of its own and calls handle for each connection, on its own goroutine. The connection is closed
// afterwards. Closing the listener ends the accepting.
func ServeConns(handle func(net.Conn)) (net.Listener, error) {
	l, err := net.Listen("tcp", Host()+":0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c)
			}()
		}
	}()
	return l, nil
}
