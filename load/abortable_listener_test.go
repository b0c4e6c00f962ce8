package load

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/internal/loopback"
)

// closeHookListener calls onClose before it closes the listener.
type closeHookListener struct {
	net.Listener
	onClose func()
}

func (l closeHookListener) Close() error {
	l.onClose()
	return l.Listener.Close()
}

// A server whose listener is closed ends its requests with a response. After a simulated power loss that response must
// not reach the client, so the connections have to be closed before the listener.
func TestAbortClosesConnectionsBeforeListener(t *testing.T) {
	is := is.New(t)
	ln, err := listenAbortable(net.JoinHostPort(loopback.Host(), "0"))
	is.NoErr(err)
	client, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer client.Close()
	server, err := ln.Accept()
	is.NoErr(err)
	var writeErr error
	ln.Listener = closeHookListener{ln.Listener, func() { _, writeErr = server.Write([]byte("HTTP/1.1 499\r\n\r\n")) }}
	ln.abort()
	is.True(writeErr != nil) // a write during the listener's Close fails
	n, err := client.Read(make([]byte, 1))
	is.True(n == 0 && err != nil)
}
