package entry_test

import (
	"fmt"
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

// TestStoppingVMAnswersRequestsThatEndLate guards against answers that are cut at a planned stop although they are due well before the end of the grace
// period.
func TestStoppingVMAnswersRequestsThatEndLate(t *testing.T) {
	const grace, work, lead = 3 * time.Second, 2500 * time.Millisecond, 100 * time.Millisecond // due four fifths into the grace period
	d := newDeployment(t, 0, 3, 0)
	d.adjust = func(s *entry.Settings) { s.StopGrace = grace }
	d.startVM("vm-0")
	d.configure(`,{"Name":"r-slow","Host":"desk.example","PathPrefix":"/slow/","Kind":"idempotent","TimeoutMs":9000,"TargetLatencyMs":5000,"Service":"desk","MaxAttempts":1}`)
	d.eventually(3*time.Second, "the route is known", func() bool {
		return d.call(d.vms[0], http.MethodPost, "/slow/x", "first", "").status == http.StatusOK
	})
	for _, x := range d.services {
		x.Set(func(x *errata.Target) { x.RequestDuration = work })
	}
	answers := make(chan response, 6)
	for i := range cap(answers) {
		go func() {
			answers <- d.call(d.vms[0], http.MethodPost, "/slow/x", fmt.Sprintf("r%d", i), "", "Deadline-Ms", "9000")
		}()
	}
	time.Sleep(lead)
	close(d.vms[0].stop)
	ended := make(chan time.Time, 1)
	go func() {
		err := <-d.vms[0].done
		ended <- time.Now()
		d.vms[0].done <- err
	}()
	var last time.Time
	for range cap(answers) {
		a := <-answers
		d.is.NoErr(a.err)
		d.is.Equal(a.status, http.StatusOK)
		last = time.Now()
	}
	const slack = 200 * time.Millisecond         // an answer is read a moment after it was written
	d.is.True((<-ended).After(last.Add(-slack))) // the end of the process would have cut it
}
