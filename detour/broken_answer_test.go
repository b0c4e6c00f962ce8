package detour

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/fake/faults"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/targets"
)

// startBrokenPeer makes a raw server the only other VM that vms[0] knows, which reaches no target itself.
func startBrokenPeer(t *testing.T, v *testVM, serve func(c net.Conn, req *http.Request)) {
	t.Helper()
	l, err := faults.ServeRaw(serve)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	v.targets.set(func(f *fakeTargets) { f.unreached = true })
	v.client.SetVMs([]fleet.VM{v.VM, {Name: "broken", AvailabilityZone: "a", RelayAddress: l.Addr().String()}})
}

// message returns the message of a VM that passes a target's answer on.
func message(t *testing.T, h *answerHead, body string) string {
	t.Helper()
	head, err := encodeHead(h)
	if err != nil {
		t.Fatal(err)
	}
	return string(head) + body
}

// send sends a call and reads the answer whole.
func send(v *testVM, call *targets.Call) error {
	resp, err := v.client.Do(context.Background(), call)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}

// TestAnswerOfAVMCutByAResetDuringTheUploadIsAnError covers a VM that fails while it passes an answer on and the call is still being sent.
func TestAnswerOfAVMCutByAResetDuringTheUploadIsAnError(t *testing.T) {
	is := is.New(t)
	vms, in := newTestVMs(t, 1)
	part := message(t, &answerHead{RequestID: "r1", Status: http.StatusOK, Length: -1, Proof: "p"}, "part")
	startBrokenPeer(t, vms[0], func(c net.Conn, _ *http.Request) { faults.SendAndReset(c, "HTTP/1.1 200 OK\r\n\r\n"+part) })
	for range 10 { // which end of the connection learns of the reset first is open
		call := newCall(in)
		call.Body = make([]byte, 16<<20) // more than the socket buffers hold
		err := send(vms[0], call)
		is.True(err != nil)
		is.True(targets.Sent(err))
	}
}

// TestBrokenHeadsOfAVMAreErrors sends each broken head, with the message of a sound one. The VM may have passed the call on.
func TestBrokenHeadsOfAVMAreErrors(t *testing.T) {
	for _, a := range faults.BrokenHeads {
		t.Run(a.Name, func(t *testing.T) {
			is := is.New(t)
			vms, in := newTestVMs(t, 1)
			body := message(t, &answerHead{RequestID: "r1", Status: http.StatusOK, Length: 2, Proof: "p"}, "ok")
			startBrokenPeer(t, vms[0], func(c net.Conn, req *http.Request) { a.Send(c, req, "", body) })
			err := send(vms[0], newCall(in))
			is.True(err != nil)
			is.True(targets.Sent(err))
		})
	}
}

// TestBrokenAnswersPassedOnAreErrors has a VM of an earlier build pass on answers that its own client took for sound ones.
func TestBrokenAnswersPassedOnAreErrors(t *testing.T) {
	for name, h := range map[string]*answerHead{
		"no status":       {},
		"status 600":      {Status: 600},
		"interim status":  {Status: http.StatusEarlyHints},
		"blank in a name": {Status: http.StatusOK, Header: http.Header{"X Trouble": {"1"}}},
		"blank after it":  {Status: http.StatusOK, Header: http.Header{"Content-Length ": {"2"}}},
		"empty name":      {Status: http.StatusOK, Header: http.Header{"": {"1"}}},
		"line end":        {Status: http.StatusOK, Header: http.Header{"X": {"1\r\nY: 2"}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			vms, in := newTestVMs(t, 1)
			h.RequestID, h.Length, h.Proof = "r1", 2, "p"
			body := message(t, h, "ok")
			startBrokenPeer(t, vms[0], func(c net.Conn, req *http.Request) {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			})
			err := send(vms[0], newCall(in))
			is.True(err != nil)
			is.True(targets.Sent(err))
		})
	}
}
