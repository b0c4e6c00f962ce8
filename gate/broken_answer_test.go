package gate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fake/faults"
)

// TestBrokenAnswersOfServicesReachNoCaller has a plain service send broken heads, and a part of an answer before a reset, to calls that may run
// once and to calls that may be repeated.
func TestBrokenAnswersOfServicesReachNoCaller(t *testing.T) {
	var current atomic.Pointer[faults.BrokenAnswer]
	var requests atomic.Int64
	l, err := faults.ServeRaw(func(c net.Conn, req *http.Request) {
		requests.Add(1)
		if a := current.Load(); a != nil {
			a.Send(c, req, "", "half a page")
		} else {
			faults.SendAndReset(c, "HTTP/1.1 200 OK\r\n\r\nhalf a page")
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	f := newFleet(t, fleetOptions{gates: 1, tables: func(tb *config.Tables) {
		tb.Pools[1].Targets = []config.Target{{Name: "s", Address: l.Addr().String(), AvailabilityZone: zone}}
	}})
	check := func(t *testing.T, id, body string) {
		is := is.New(t)
		before := requests.Load()
		r := f.send(0, http.MethodPost, "/corrections/1", body, api.HeaderIdempotencyKey, id)
		data, err := io.ReadAll(r.Body)
		is.NoErr(err)
		is.True(r.StatusCode >= 500 && r.StatusCode < 600)
		is.True(!strings.Contains(string(data), "half a page"))
		is.Equal(outcome(r), api.OutcomeUnknown)
		is.Equal(requests.Load()-before, int64(1))
	}
	for i := range faults.BrokenHeads {
		current.Store(&faults.BrokenHeads[i])
		t.Run(faults.BrokenHeads[i].Name, func(t *testing.T) { check(t, fmt.Sprint("head-", i), "x") })
	}
	current.Store(nil)
	t.Run("reset", func(t *testing.T) {
		for i := range 5 {
			check(t, fmt.Sprint("reset-", i), strings.Repeat("x", 900<<10))
		}
	})
}
