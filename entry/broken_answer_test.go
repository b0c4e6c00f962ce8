package entry_test

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/fake/errata"
	"github.com/ibistrail/ibistrail/fake/faults"
)

// brokenPart is in the body of each broken answer, as an event, and in no sound one.
const brokenPart = "id: 1\ndata: broken\n\n"

// uploadBytes is more than the socket buffers hold between a VM and a target that does not read.
const uploadBytes = 16 << 20

// brokenTarget is a target that answers all requests with one broken answer.
type brokenTarget struct {
	// answer has a broken head; nil sends a part of an answer without a length, leaves the request's body unread and resets the connection.
	answer   atomic.Pointer[faults.BrokenAnswer]
	requests atomic.Int64
}

// startBrokenTarget registers a broken target.
func (d *deployment) startBrokenTarget(id, service, models string) *brokenTarget {
	x := &brokenTarget{}
	l, err := faults.ServeRaw(func(c net.Conn, req *http.Request) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10) // a part of what the caller sends stays with it
		x.requests.Add(1)
		fields := fmt.Sprintf("Request-Id: %s\r\nServer-Stamp: broken\r\nWeight-Versions: 1\r\n", req.Header.Get("Request-Id"))
		if a := x.answer.Load(); a != nil {
			a.Send(c, req, fields, brokenPart)
		} else {
			faults.SendAndReset(c, "HTTP/1.1 200 OK\r\n"+fields+"\r\n"+brokenPart)
		}
	})
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { l.Close() })
	d.store.Put("keyed.servers", id, fmt.Appendf(nil, `{"Service":%q,"Address":%q,"Zone":"a","Version":"v1","Slots":4,"State":"ready","Models":%s}`, service, l.Addr().String(), models))
	return x
}

// configureBroken adds routes of streams, and routes to a pool of broken targets only.
func (d *deployment) configureBroken() {
	route := `,{"Name":"r-%[1]s","Host":"` + host + `","PathPrefix":"/%[1]s/","Kind":%[2]q,"Resumable":%[4]t,"TimeoutMs":1500,"TargetLatencyMs":150,"Service":%[3]q,"MaxAttempts":2}`
	d.configure(fmt.Sprintf(route, "live", "streaming", "broken", false) + fmt.Sprintf(route, "again", "streaming", "broken", true) +
		fmt.Sprintf(route, "safe", "idempotent", "broken", false) + fmt.Sprintf(route, "once", "non_idempotent", "broken", false))
	d.eventually(3*time.Second, "the routes and targets are known", func() bool {
		for _, path := range brokenRoutes {
			if status := d.call(d.vms[0], http.MethodPost, path+"x", "probe", "").status; status == http.StatusNotFound || status == http.StatusServiceUnavailable {
				return false
			}
		}
		return true
	})
}

// rawCall sends a request from a socket and returns all bytes that come back.
func (d *deployment) rawCall(v *vm, path, id string, body []byte) []byte {
	d.t.Helper()
	c, err := net.Dial("tcp", v.address)
	if err != nil {
		d.t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second)) // the connection was just opened
	go func() {
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", path, host, id, len(body))
		_, _ = c.Write(body) // the answer tells what became of it
	}()
	data, _ := io.ReadAll(c) // a reset ends the answer like a close
	return data
}

// checkNoBrokenAnswer checks that the bytes of an answer are none that came from a broken target: neither a success, nor a body that looks
// complete, nor a head that breaks the protocol.
func checkNoBrokenAnswer(t *testing.T, raw []byte) {
	t.Helper()
	head, _, _ := bytes.Cut(raw, []byte("\r\n\r\n"))
	if bytes.Contains(head, []byte("rouble")) {
		t.Errorf("a broken head was passed on: %q", raw)
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
	if err != nil {
		if len(raw) > 0 {
			t.Errorf("the answer breaks the protocol: %v: %q", err, raw)
		}
		return // closed without an answer
	}
	body, err := io.ReadAll(resp.Body)
	switch {
	case resp.StatusCode < 200 || resp.StatusCode > 599:
		t.Errorf("status %d: %q", resp.StatusCode, raw)
	case err == nil && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		t.Errorf("the end of the answer does not tell whether it is whole: %q", raw)
	case err == nil && (resp.StatusCode < 300 || bytes.Contains(body, []byte("broken\n"))):
		t.Errorf("a broken answer looks whole: %q", raw)
	case resp.StatusCode >= 300 && resp.Header.Get("Server-Stamp") != "":
		t.Errorf("a failure of the VM carries a target's proof: %q", raw)
	}
}

// brokenRoutes are routes whose pool has broken targets only.
var brokenRoutes = []string{"/safe/", "/once/", "/live/", "/again/"}

// TestAnswerCutByAResetIsNotWhole covers an answer without a length to requests that are still being sent, and to requests that were sent whole.
func TestAnswerCutByAResetIsNotWhole(t *testing.T) {
	d := newDeployment(t, 1, 1, 1)
	d.maxBodyBytes = uploadBytes
	x := d.startBrokenTarget("broken-0", "broken", "[]")
	d.configureBroken()
	for name, body := range map[string][]byte{"during the upload": bytes.Repeat([]byte("x"), uploadBytes), "after the upload": []byte("x")} {
		for _, path := range brokenRoutes {
			t.Run(name+path, func(t *testing.T) {
				for i := range 10 { // which end of the connection learns of the reset first is open
					before := x.requests.Load()
					checkNoBrokenAnswer(t, d.rawCall(d.vms[0], path+"x", fmt.Sprintf("r%d", i), body))
					if n := x.requests.Load() - before; path == "/once/" && n != 1 || path == "/live/" && n != 1 {
						t.Errorf("a request that may run once was sent %d times", n)
					}
				}
			})
		}
	}
}

// TestItemsAndRewardCallsCutByAResetDuringTheUploadRunAgain has a broken target beside a sound one in the pools of items and of their reward calls.
func TestItemsAndRewardCallsCutByAResetDuringTheUploadRunAgain(t *testing.T) {
	const bodyBytes = 600 << 10 // of an item and of its reward call; the socket buffers are made smaller
	d := newDeployment(t, 1, 1, 1)
	d.maxBodyBytes = uploadBytes
	targets := []*brokenTarget{d.startBrokenTarget("broken-desk", "desk", "[]"), d.startBrokenTarget("broken-engine", "drafting", `[{"Name":"drafts","Version":1}]`)}
	d.configure("")
	d.vms[0].targetPath.writeBuffer = 4 << 10
	time.Sleep(1500 * time.Millisecond) // the registrations are read
	for i := range 4 {
		batch := fmt.Sprintf("b%d", i)
		items := []string{batch + "-1", batch + "-2", batch + "-3", batch + "-4"}
		body := submission(i, 0, items...)
		for _, id := range items {
			for _, content := range []string{"prompt of " + id, "score of " + id} {
				long := content + strings.Repeat("x", bodyBytes)
				body = strings.ReplaceAll(body, base64.StdEncoding.EncodeToString([]byte(content)), base64.StdEncoding.EncodeToString([]byte(long)))
			}
		}
		d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/"+batch, batch, body).status, http.StatusAccepted)
		results := d.readAll(d.vms[0], batch, len(items), 15*time.Second)
		for n := range results {
			r := &results[n]
			if rest, ok := strings.CutPrefix(r.Text, "broken\n"); ok { // the first event was whole, and a sound engine went on after it
				first, _, _ := strings.Cut(errata.Text(r.Id, 4), "\n")
				r.Text = first + "\n" + rest
			}
		}
		d.checkResults(results, 4, items...)
	}
	for _, x := range targets {
		d.is.True(x.requests.Load() > 0)
	}
}

// TestBrokenStreamOfAnHTTP10CallerIsReset covers answers that end with the caller's connection, as HTTP/1.0 has no chunks.
func TestBrokenStreamOfAnHTTP10CallerIsReset(t *testing.T) {
	d := newDeployment(t, 1, 1, 1)
	d.startBrokenTarget("broken-0", "broken", "[]")
	d.configureBroken()
	for _, path := range []string{"/live/", "/again/"} {
		c, err := net.Dial("tcp", d.vms[0].address)
		d.is.NoErr(err)
		defer c.Close()
		d.is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
		fmt.Fprintf(c, "POST %sx HTTP/1.0\r\nHost: %s\r\nRequest-Id: r\r\nContent-Length: 1\r\n\r\nx", path, host)
		raw, err := io.ReadAll(c)
		d.is.True(bytes.Contains(raw, []byte("200 OK")))
		d.is.True(errors.Is(err, syscall.ECONNRESET))
	}
}

// TestBrokenHeadsReachNoCaller sends each broken head in answer to requests of each kind.
func TestBrokenHeadsReachNoCaller(t *testing.T) {
	d := newDeployment(t, 1, 1, 1)
	x := d.startBrokenTarget("broken-0", "broken", "[]")
	x.answer.Store(&faults.BrokenHeads[0])
	d.configureBroken()
	for i := range faults.BrokenHeads {
		a := &faults.BrokenHeads[i]
		x.answer.Store(a)
		for _, path := range brokenRoutes {
			t.Run(a.Name+path, func(t *testing.T) {
				before := x.requests.Load()
				raw := d.rawCall(d.vms[0], path+"x", fmt.Sprintf("r%d", i), []byte("x"))
				checkNoBrokenAnswer(t, raw)
				if !bytes.HasPrefix(raw, []byte("HTTP/1.1 502 ")) {
					t.Errorf("want status 502, as the request may have run: %q", raw)
				}
				if n := x.requests.Load() - before; path == "/once/" && n != 1 || path == "/live/" && n != 1 {
					t.Errorf("a request that may run once was sent %d times", n)
				}
			})
		}
	}
}

// TestBrokenAnswersAreReplacedBySoundOnes has a broken target beside a sound one in the pools of items and of their reward calls. A target that
// failed gets few requests, so each head has a deployment of its own.
func TestBrokenAnswersAreReplacedBySoundOnes(t *testing.T) {
	for _, name := range []string{"status 000", "blank after the name of the length", "blank before the name of the length", "blank in a name", "tab before a name"} {
		i := slices.IndexFunc(faults.BrokenHeads, func(a faults.BrokenAnswer) bool { return a.Name == name })
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 1, 1, 1)
			targets := []*brokenTarget{d.startBrokenTarget("broken-desk", "desk", "[]"), d.startBrokenTarget("broken-engine", "drafting", `[{"Name":"drafts","Version":1}]`)}
			for _, x := range targets {
				x.answer.Store(&faults.BrokenHeads[i])
			}
			time.Sleep(1500 * time.Millisecond) // the registrations are read
			items := []string{"i1", "i2", "i3", "i4", "i5", "i6"}
			d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, items...)).status, http.StatusAccepted)
			for n := range 4 {
				id := fmt.Sprintf("r%d", n)
				a := d.call(d.vms[0], http.MethodPost, "/desk/x", id, id)
				d.is.Equal(a.status, http.StatusOK)
				d.is.Equal(a.header.Get("Server-Stamp"), "stamp."+id)
			}
			d.checkResults(d.readAll(d.vms[0], "b1", len(items), 15*time.Second), 4, items...) // with texts and proofs of the sound targets
			for _, x := range targets {
				d.is.True(x.requests.Load() > 0)
			}
		})
	}
}

// TestRewardCallCutMidwayIsSentAgain has a target answer reward calls with more than is read before it is forwarded, and close within the body.
func TestRewardCallCutMidwayIsSentAgain(t *testing.T) {
	d := newDeployment(t, 1, 1, 1)
	x := d.startBrokenTarget("broken-desk", "desk", "[]")
	x.answer.Store(&faults.CutAnswer)
	time.Sleep(1500 * time.Millisecond) // the registration is read
	items := []string{"i1", "i2", "i3", "i4", "i5", "i6"}
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, items...)).status, http.StatusAccepted)
	d.checkResults(d.readAll(d.vms[0], "b1", len(items), 15*time.Second), 4, items...)
	d.is.True(x.requests.Load() > 0)
}

// TestBrokenAnswersThroughAnotherVMReachNoCaller cuts the VM that the caller asks off from the targets, so that another VM reads their answers.
func TestBrokenAnswersThroughAnotherVMReachNoCaller(t *testing.T) {
	d := newDeployment(t, 1, 1, 2)
	d.maxBodyBytes = uploadBytes
	x := d.startBrokenTarget("broken-0", "broken", "[]")
	d.configureBroken()
	time.Sleep(vmsKnowEachOther)
	d.vms[0].targetPath.set(pathRefuse)
	check := func(t *testing.T, path, id string, body []byte) {
		before := x.requests.Load()
		checkNoBrokenAnswer(t, d.rawCall(d.vms[0], path+"x", id, body))
		if n := x.requests.Load() - before; n == 0 || n > 1 && (path == "/once/" || path == "/live/") {
			t.Errorf("the request was sent %d times", n)
		}
	}
	body := bytes.Repeat([]byte("x"), uploadBytes)
	for _, path := range brokenRoutes {
		for i := range faults.BrokenHeads {
			x.answer.Store(&faults.BrokenHeads[i])
			t.Run(faults.BrokenHeads[i].Name+path, func(t *testing.T) { check(t, path, fmt.Sprintf("r%d", i), []byte("x")) })
		}
		x.answer.Store(nil)
		t.Run("reset"+path, func(t *testing.T) {
			for i := range 3 {
				check(t, path, fmt.Sprintf("reset-%d", i), body)
			}
		})
	}
}
