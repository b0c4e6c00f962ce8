package load

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/internal/loopback"
)

// closeFunc is a listener that tells when it is closed.
type closeFunc struct {
	net.Listener
	closed func()
}

func (l closeFunc) Close() error {
	l.closed()
	return l.Listener.Close()
}

// A server whose listener is closed ends its requests and answers them; after a loss of power such
// an answer must find its connection broken.
func TestAbortBreaksConnectionsBeforeTheListenerCloses(t *testing.T) {
	is := is.New(t)
	d, err := openDoor(net.JoinHostPort(loopback.Host(), "0"))
	is.NoErr(err)
	client, err := net.Dial("tcp", d.Addr().String())
	is.NoErr(err)
	defer client.Close()
	server, err := d.Accept()
	is.NoErr(err)
	var late error
	d.Listener = closeFunc{d.Listener, func() { _, late = server.Write([]byte("HTTP/1.1 499\r\n\r\n")) }}
	d.abort()
	is.True(late != nil) // nothing is answered any more
	n, err := client.Read(make([]byte, 1))
	is.True(n == 0 && err != nil)
}
