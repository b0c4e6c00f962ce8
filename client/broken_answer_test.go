package client

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"

	"github.com/ibistrail/ibistrail/fake/faults"
	"github.com/ibistrail/ibistrail/internal/loopback"
)

// TestBrokenAnswersOfGatesAreErrors sends broken heads to a call whose answer has no content, such as the release of a step.
func TestBrokenAnswersOfGatesAreErrors(t *testing.T) {
	for _, a := range slices.Concat(faults.BrokenStatusLines, faults.BrokenFields) {
		t.Run(a.Name, func(t *testing.T) {
			l, err := loopback.ServeConns(func(c net.Conn) {
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body) // unread bytes would make the close a reset
				_, _ = io.WriteString(c, a.Bytes("", ""))
			})
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			c := New(Options{Gates: []string{l.Addr().String()}})
			if c.sendOnce(t.Context(), http.MethodDelete, c.currentGate()+"/v1/steps/s", 0, nil, nil) == nil {
				t.Error("a broken answer was taken for a sound one")
			}
		})
	}
}
