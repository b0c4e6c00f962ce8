package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/fake/errata"
)

// TestLeavingTargetsReceiveNoNewRequests guards against sending to targets that say in their answers that they leave, while the store is
// silent and their registrations still say that they are ready.
func TestLeavingTargetsReceiveNoNewRequests(t *testing.T) {
	const drainTime = 2 * time.Second
	d := newDeployment(t, 2, 2, 2)
	for _, e := range d.engines {
		e.Set(func(e *errata.Target) { e.EventInterval = 40 * time.Millisecond })
	}
	items := itemNames(120)
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, items...)).status, http.StatusAccepted)
	d.eventually(3*time.Second, "items run", func() bool { return len(d.engines[0].ExecutedRequests()) > 0 })
	d.store.Set(func(s *errata.Store) { s.Down = true })
	leaving := []*errata.Target{d.engines[0], d.services[0]}
	for _, x := range leaving {
		x.Set(func(x *errata.Target) { x.Leaving = true })
	}
	since := time.Now()
	stop := make(chan struct{})
	time.AfterFunc(2*drainTime, func() { close(stop) })
	d.callSteadily(20*time.Millisecond, stop, since)
	for _, x := range leaving {
		for _, at := range x.Arrivals() {
			if at.Sub(since) > drainTime {
				t.Errorf("%s got a request %s after it began to leave", x.ID, at.Sub(since))
			}
		}
	}
	for _, x := range []*errata.Target{d.engines[1], d.services[1]} {
		arrivals := x.Arrivals()
		d.is.True(arrivals[len(arrivals)-1].Sub(since) > drainTime) // the others are used
	}
	d.store.Set(func(s *errata.Store) { s.Down = false })
	d.checkResults(d.readAll(d.vms[0], "b1", len(items), 15*time.Second), 4, items...)
	// A new process is used again.
	d.services[0].Crash()
	before := len(d.services[0].Arrivals())
	for i := 0; i < 100 && len(d.services[0].Arrivals()) == before; i++ {
		d.call(d.vms[i%2], http.MethodPost, "/desk/x", fmt.Sprintf("again%d", i), "hello")
		time.Sleep(50 * time.Millisecond)
	}
	d.is.True(len(d.services[0].Arrivals()) > before)
}
