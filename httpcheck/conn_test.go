package httpcheck

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/fake/faults"
	"github.com/ibistrail/ibistrail/internal/loopback"
)

// uploadBytes is more than the socket buffers hold while the server does not read.
const uploadBytes = 16 << 20

// dial opens a connection to a server and begins to send uploadBytes. The server begins after the first byte.
func dial(t *testing.T, hidden bool, serve func(net.Conn)) (c net.Conn, written <-chan error) {
	t.Helper()
	l, err := loopback.ServeConns(func(c net.Conn) {
		if _, err := c.Read(make([]byte, 1)); err == nil {
			serve(c)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if hidden {
		raw = struct{ net.Conn }{raw} // its TCP state can't be asked for
	}
	c = NewConn(raw)
	t.Cleanup(func() { c.Close() })
	ended := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, uploadBytes))
		ended <- err
	}()
	return c, ended
}

// TestResetDuringAWriteIsNoOrderlyEnd repeats the case, as it is open whether the read or the write learns of the reset first.
func TestResetDuringAWriteIsNoOrderlyEnd(t *testing.T) {
	for name, hidden := range map[string]bool{"TCP": false, "wrapped": true} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				is := is.New(t)
				c, _ := dial(t, hidden, func(c net.Conn) { faults.SendAndReset(c, "part") })
				data, err := io.ReadAll(c)
				is.Equal(string(data), "part")
				is.True(err != nil)
			}
		})
	}
}

// TestResetIsReportedToAReadAfterAWriteFailed has the write learn of the reset first.
func TestResetIsReportedToAReadAfterAWriteFailed(t *testing.T) {
	is := is.New(t)
	c, written := dial(t, false, func(c net.Conn) { faults.SendAndReset(c, "part") })
	is.True(<-written != nil)
	data, err := io.ReadAll(c)
	is.Equal(string(data), "part")
	var broken *BrokenError
	is.True(errors.As(err, &broken))
}

// resetConn is a connection after a reset, whose one write in progress has not returned yet.
type resetConn struct {
	net.Conn
	begun, fails chan struct{}
}

func (c *resetConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *resetConn) Write([]byte) (int, error) {
	close(c.begun)
	<-c.fails
	return 0, syscall.ECONNRESET
}

// TestReadWaitsForTheWriteThatLearnsOfTheReset guards against a read that ends before the write has returned its error.
func TestReadWaitsForTheWriteThatLearnsOfTheReset(t *testing.T) {
	is := is.New(t)
	raw := &resetConn{begun: make(chan struct{}), fails: make(chan struct{})}
	c := NewConn(raw)
	go func() { _, _ = c.Write([]byte("x")) }()
	<-raw.begun
	time.AfterFunc(20*time.Millisecond, func() { close(raw.fails) })
	_, err := c.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// TestOrderlyCloseDuringAWriteIsAnEnd covers servers that close their end before they have read the request.
func TestOrderlyCloseDuringAWriteIsAnEnd(t *testing.T) {
	for name, afterwards := range map[string]func(net.Conn){
		"the server reads on":    func(c net.Conn) { _, _ = io.Copy(io.Discard, c) },
		"the server never reads": func(net.Conn) { time.Sleep(time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answered := make(chan struct{})
			c, _ := dial(t, false, func(c net.Conn) {
				_, _ = io.WriteString(c, "whole")
				_ = c.(*net.TCPConn).CloseWrite()
				<-answered
				afterwards(c)
			})
			watchdog := time.AfterFunc(5*time.Second, func() { c.Close() })
			data, err := io.ReadAll(c) // while the write goes on
			close(answered)
			is.NoErr(err)
			is.True(watchdog.Stop())
			is.Equal(string(data), "whole")
		})
	}
}

// TestResetAfterAnOrderlyCloseIsAnEnd has the server close its end and then reset the connection before the client reads.
func TestResetAfterAnOrderlyCloseIsAnEnd(t *testing.T) {
	for name, hidden := range map[string]bool{"TCP": false, "wrapped": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, written := dial(t, hidden, func(c net.Conn) {
				_, _ = io.WriteString(c, "whole")
				_ = c.(*net.TCPConn).CloseWrite()
				time.Sleep(20 * time.Millisecond) // its end arrives
				faults.Reset(c)
			})
			is.True(<-written != nil)
			data, err := io.ReadAll(c)
			is.NoErr(err)
			is.Equal(string(data), "whole")
		})
	}
}

// TestReadEndsWhenItsOwnEndIsClosed guards against a read that waits for a write which nobody ends.
func TestReadEndsWhenItsOwnEndIsClosed(t *testing.T) {
	is := is.New(t)
	done := make(chan struct{})
	defer close(done)
	c, _ := dial(t, true, func(c net.Conn) {
		_ = c.(*net.TCPConn).CloseWrite()
		<-done
	})
	time.AfterFunc(50*time.Millisecond, func() { c.Close() })
	_, err := c.Read(make([]byte, 1))
	is.True(err != nil)
}
