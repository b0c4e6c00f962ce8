package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fake/faults"
	"github.com/ibistrail/ibistrail/internal/loopback"
)

// brokenHeads are the answers with a broken head.
var brokenHeads = slices.Concat(faults.BrokenStatusLines, faults.BrokenFields)

// TestBrokenAnswersOfServicesReachNoCaller has a plain service send broken heads, and a part of an answer before a reset, to calls that may run
// once and to calls that may be repeated.
func TestBrokenAnswersOfServicesReachNoCaller(t *testing.T) {
	var current atomic.Pointer[faults.BrokenAnswer]
	var requests atomic.Int64
	l, err := loopback.ServeConns(func(c net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		requests.Add(1)
		if a := current.Load(); a != nil {
			_, _ = io.Copy(io.Discard, req.Body) // unread bytes would make the close a reset
			_, _ = io.WriteString(c, a.Bytes("", "half a page"))
			return
		}
		faults.SendAndReset(c, "HTTP/1.1 200 OK\r\n\r\nhalf a page")
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
	for i := range brokenHeads {
		current.Store(&brokenHeads[i])
		t.Run(brokenHeads[i].Name, func(t *testing.T) { check(t, fmt.Sprint("head-", i), "x") })
	}
	current.Store(nil)
	t.Run("reset", func(t *testing.T) {
		for i := range 5 {
			check(t, fmt.Sprint("reset-", i), strings.Repeat("x", 900<<10))
		}
	})
}
