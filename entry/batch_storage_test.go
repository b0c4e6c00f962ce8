package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/entry"
	"github.com/ibistrail/ibistrail/fake/errata"
)

// TestResultsStayReadableBeyondThePartitionBound guards against results that were read and come no more: the texts of a pool exceeded
// what the store keeps of one partition.
func TestResultsStayReadableBeyondThePartitionBound(t *testing.T) {
	const partitionBytes, batches, itemsPerBatch, events = 256 << 10, 15, 10, 20
	d := newDeployment(t, 2, 1, 0)
	d.store.Set(func(s *errata.Store) { s.PartitionBytes = partitionBytes })
	for _, e := range d.engines {
		e.Set(func(x *errata.Target) { x.EventsPerStream, x.EventInterval = events, time.Millisecond })
	}
	d.adjust = func(s *entry.Settings) { s.PartitionBytes = partitionBytes }
	for i := range 2 {
		d.startVM(fmt.Sprintf("vm-%d", i))
	}
	read, bytes := map[string][]result{}, 0
	for n := range batches {
		batch := fmt.Sprintf("b%d", n)
		var items []string
		for i := range itemsPerBatch {
			items = append(items, fmt.Sprintf("%s-%d-%s", batch, i, strings.Repeat("x", 200)))
		}
		d.is.Equal(d.call(d.vms[n%2], http.MethodPost, "/notes/"+batch, batch, submission(n, 0, items...)).status, http.StatusAccepted)
		read[batch] = d.readAll(d.vms[n%2], batch, itemsPerBatch, 10*time.Second)
		d.checkResults(read[batch], events, items...)
		for _, r := range read[batch] {
			bytes += len(r.Text)
		}
		d.is.Equal(d.call(d.vms[n%2], http.MethodDelete, "/v1/lots/"+batch, "", "").status, http.StatusOK)
	}
	d.is.True(bytes > 2*partitionBytes) // one partition can't hold the texts
	for batch, results := range read {
		for _, v := range d.vms {
			d.is.Equal(d.readAll(v, batch, itemsPerBatch, 3*time.Second), results) // the same at each VM
		}
	}
}
