package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/fake/errata"
)

// sparePath is the path of batches that are accepted for the spare service.
const sparePath = "/spare/"

// spareRoute returns JSON of the route of sparePath to a service, with a leading comma.
func spareRoute(service string) string { return batchRouteRow("r-spare", sparePath, service) }

// replaceInTurn kills each VM and starts another one in its place before it goes on to the next.
func (d *deployment) replaceInTurn(vms ...*vm) {
	d.t.Helper()
	d.restarted = true
	for _, v := range vms {
		d.kill(v)
		d.startVM(v.name)
		d.vms = d.vms[1:]
	}
}

// TestOpenBatchOfADroppedServiceIsRun guards against open batches that no VM runs, nor gives up: their route has moved and their service has left
// the tables, so that a VM that starts does not know of their partition from its tables.
func TestOpenBatchOfADroppedServiceIsRun(t *testing.T) {
	restarts := map[string]func(d *deployment){
		"one VM restarts":                func(d *deployment) { d.replaceInTurn(d.vms[0]) },
		"all VMs restart in turn":        func(d *deployment) { d.replaceInTurn(d.vms...) },
		"all VMs restart at once":        (*deployment).replaceVMs,
		"all VMs restart at once, twice": func(d *deployment) { d.replaceVMs(); d.replaceVMs() },
	}
	changes := map[string]func(d *deployment, spare *errata.Target, restart func(d *deployment)){
		"its route moves": func(d *deployment, spare *errata.Target, restart func(d *deployment)) {
			d.moreServices = ""
			d.configure(spareRoute("drafting"))
			restart(d)
		},
		"its route is gone and comes back": func(d *deployment, spare *errata.Target, restart func(d *deployment)) {
			d.moreServices = ""
			d.configure("")
			restart(d)
			d.configure(spareRoute("drafting"))
		},
		"its route moves and moves back": func(d *deployment, spare *errata.Target, restart func(d *deployment)) {
			d.moreServices = ""
			d.configure(spareRoute("drafting"))
			for _, e := range d.engines {
				e.Set(func(e *errata.Target) { e.Full = true })
			}
			restart(d)
			d.moreServices = spareServiceRow()
			d.configure(spareRoute(spareService))
			spare.Set(func(e *errata.Target) { e.Full = false })
		},
	}
	for changeName, change := range changes {
		for restartName, restart := range restarts {
			t.Run(changeName+"/"+restartName, func(t *testing.T) {
				d := newDeployment(t, 2, 1, 0)
				spare := d.startTarget("spare-0", spareService, 4, model)
				spare.Set(func(e *errata.Target) { e.Full = true })
				d.moreServices = spareServiceRow()
				d.configure(spareRoute(spareService))
				for i := range 3 {
					d.startVM(fmt.Sprintf("vm-%d", i))
				}
				items := []string{"i1", "i2", "i3", "i4"}
				d.is.Equal(d.call(d.vms[0], http.MethodPost, sparePath+"b1", "b1", submission(1, 0, items...)).status, http.StatusAccepted)
				change(d, spare, restart)
				// Nobody reads the results meanwhile: a VM that is asked for them would learn of the batch.
				d.eventually(10*time.Second, "the items run", func() bool { return len(runsByID(append(d.engines, spare))) == len(items) })
				d.checkResults(d.readAll(d.vms[0], "b1", len(items), 5*time.Second), 4, items...)
			})
		}
	}
}
