package dispatch

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/fake/faults"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/trial"
)

// TestBrokenAnswersOfEnginesAreErrors has an engine send broken heads, with the body of a sound report.
func TestBrokenAnswersOfEnginesAreErrors(t *testing.T) {
	for _, a := range faults.BrokenHeads {
		t.Run(a.Name, func(t *testing.T) {
			l, err := faults.ServeRaw(func(c net.Conn, req *http.Request) { a.Send(c, req, "", "{}") })
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			d := New(Options{Dial: process.NewDialer(nil).Dial, Now: time.Now})
			var load trial.Load
			if _, err := d.getJSON(t.Context(), l.Addr().String(), trial.PathLoad, &load); err == nil {
				t.Error("a broken answer was taken for a sound one")
			}
		})
	}
}
