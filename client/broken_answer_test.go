package client

import (
	"net"
	"net/http"
	"testing"

	"github.com/ibistrail/ibistrail/fake/faults"
)

// TestBrokenAnswersOfGatesAreErrors sends broken heads to a call whose answer has no content, such as the release of a step.
func TestBrokenAnswersOfGatesAreErrors(t *testing.T) {
	for _, a := range faults.BrokenHeads {
		t.Run(a.Name, func(t *testing.T) {
			l, err := faults.ServeRaw(func(c net.Conn, req *http.Request) { a.Send(c, req, "", "") })
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
