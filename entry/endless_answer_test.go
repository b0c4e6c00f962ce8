package entry_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/internal/loopback"
)

// startEndlessTarget registers a target that answers each request with a head and bytes without end, until the caller closes.
func (d *deployment) startEndlessTarget(id, service, models string) {
	chunk := bytes.Repeat([]byte("x"), 32<<10)
	l, err := loopback.ServeConns(func(c net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nWeight-Versions: 1\r\n\r\n", req.Header.Get("Request-Id"))
		for ; err == nil; _, err = c.Write(chunk) {
		}
	})
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { l.Close() })
	d.store.Put("keyed.servers", id, fmt.Appendf(nil, `{"Service":%q,"Address":%q,"Zone":"a","Version":"v1","Slots":4,"State":"ready","Models":%s}`, service, l.Addr().String(), models))
}

// TestBytesWithoutEndFromOneTargetHarmNoOtherRequests has a target of each pool that sends without end.
func TestBytesWithoutEndFromOneTargetHarmNoOtherRequests(t *testing.T) {
	d := newDeployment(t, 2, 2, 1)
	d.startEndlessTarget("endless-desk", "desk", "[]")
	d.startEndlessTarget("endless-engine", "drafting", `[{"Name":"drafts","Version":1}]`)
	time.Sleep(1500 * time.Millisecond) // the registrations are read
	items := itemNames(12)
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, items...)).status, http.StatusAccepted)
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() {
			if a := d.call(d.vms[0], http.MethodPost, "/desk/x", fmt.Sprintf("e%d", i), "hello"); a.status != http.StatusOK {
				t.Errorf("request %d: status %d, body %q, error %v", i, a.status, a.body, a.err)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	d.checkResults(d.readAll(d.vms[0], "b1", len(items), 10*time.Second), 4, items...)
}
