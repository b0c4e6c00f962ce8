package entry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/entry"
	"github.com/ibistrail/ibistrail/fake/errata"
)

// TestHolderThatStopsGoesOnWhileTheStoreIsAway guards against a planned stop that ends all runs while no other VM can continue them: the
// store is away, so neither texts nor the tenure can be handed over.
func TestHolderThatStopsGoesOnWhileTheStoreIsAway(t *testing.T) {
	const events = 50
	d := newDeployment(t, 2, 1, 0)
	d.adjust = func(s *entry.Settings) { s.StopGrace = 8 * time.Second }
	d.startVM("vm-0")
	d.startVM("vm-1")
	for _, e := range d.engines {
		e.Set(func(e *errata.Target) { e.EventsPerStream, e.EventInterval = events, 20*time.Millisecond })
	}
	items := itemNames(4)
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, items...)).status, http.StatusAccepted)
	d.eventually(3*time.Second, "the items run", func() bool { return len(runsByID(d.engines)) == len(items) })
	holder, reader := d.vms[0], d.vms[1]
	if reader.process.HoldsPool("drafting") {
		holder, reader = reader, holder
	}
	d.store.Set(func(s *errata.Store) { s.Down = true })
	close(holder.stop)
	time.Sleep(1300 * time.Millisecond) // the runs end meanwhile
	d.store.Set(func(s *errata.Store) { s.Down = false })
	d.checkResults(d.readAll(reader, "b1", len(items), 5*time.Second), events, items...)
	for id, runs := range runsByID(d.engines) {
		if len(runs) > 1 && runs[0].URI == "/notes/"+id {
			t.Errorf("item %s ran %d times, want once", id, len(runs))
		}
	}
	d.is.Equal(<-holder.done, nil)
	holder.done <- nil
}
