package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/entry"
)

// TestBodiesThatDoNotFitAreRefusedUnread guards against a VM that is killed at its memory limit by large bodies: one that does not fit is
// refused before it is sent, has not run, and smaller requests are served meanwhile.
func TestBodiesThatDoNotFitAreRefusedUnread(t *testing.T) {
	d := newDeployment(t, 0, 1, 0)
	d.adjust = func(s *entry.Settings) { s.MemoryBytes = 4 << 20 } // a quarter of it for bodies
	d.startVM("vm-small")
	v := d.vms[0]
	d.is.Equal(d.call(v, http.MethodPost, "/desk/x", "small", "body").status, http.StatusOK)

	begin := func(id string, length int) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", v.address)
		d.is.NoErr(err)
		t.Cleanup(func() { c.Close() })
		_, err = fmt.Fprintf(c, "POST /desk/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n", host, id, length)
		d.is.NoErr(err)
		d.is.NoErr(c.SetReadDeadline(time.Now().Add(3 * time.Second)))
		return c, bufio.NewReader(c)
	}
	slow, slowReader := begin("slow", 800<<10) // takes most of the budget while its body arrives
	d.eventually(time.Second, "the body is held", func() bool { return v.process.Memory.State().Held >= 800<<10 })
	_, reader := begin("large", 500<<10)
	resp, err := http.ReadResponse(reader, nil)
	d.is.NoErr(err) // answered although the body has not been sent
	d.is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	d.is.True(resp.Header.Get("Retry-After") != "")
	d.is.Equal(d.call(v, http.MethodPost, "/desk/x", "small-2", "body").status, http.StatusOK)

	for range 8 {
		_, err = slow.Write(make([]byte, 100<<10))
		d.is.NoErr(err)
		time.Sleep(20 * time.Millisecond)
	}
	resp, err = http.ReadResponse(slowReader, nil)
	d.is.NoErr(err)
	d.is.Equal(resp.StatusCode, http.StatusOK) // a caller that sends slowly is served
	_, err = io.Copy(io.Discard, resp.Body)
	d.is.NoErr(err)
	d.is.Equal(len(d.services[0].ExecutedRequests()), 3)
	d.eventually(time.Second, "nothing stays reserved", func() bool { return v.process.Memory.State().Held == 0 })
}
