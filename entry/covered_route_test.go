package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/fake/errata"
)

// nestedPath is a path under sparePath.
const nestedPath = sparePath + "7c/"

// plainRouteRow returns JSON of a plain route to the desk service in the configuration, with a leading comma.
func plainRouteRow(name, prefix string) string {
	return fmt.Sprintf(`,{"Name":%q,"Host":%q,"PathPrefix":%q,"Kind":"idempotent","TimeoutMs":1500,"TargetLatencyMs":150,"Priority":2,"Service":"desk","MaxAttempts":2}`, name, host, prefix)
}

// awaitTables waits until each VM has the current configuration in force.
func (d *deployment) awaitTables() {
	d.t.Helper()
	d.eventually(5*time.Second, "the tables are in force", func() bool {
		for _, v := range d.vms {
			if t := v.process.View.Get().Tables; t == nil || t.Version != int64(d.version) {
				return false
			}
		}
		return true
	})
}

// TestOpenBatchKeepsItsRoute guards against open batches whose items wait for good, or run on the targets of another route: a route that is
// added takes their path, or theirs is removed and leaves it to another.
func TestOpenBatchKeepsItsRoute(t *testing.T) {
	const drafting = "drafting"
	for _, tc := range []struct {
		name string
		// first are the routes when the batch is accepted, then those that follow one another.
		first string
		then  []string
		want  string // the service that runs the items
	}{
		{"a plain route covers it", spareRoute(drafting), []string{spareRoute(drafting) + plainRouteRow("r-new", nestedPath)}, drafting},
		{"another route of batches covers it", spareRoute(drafting), []string{spareRoute(drafting) + batchRouteRow("r-new", nestedPath, spareService)}, drafting},
		{"it moves while a plain route covers it", spareRoute(drafting), []string{spareRoute(spareService) + plainRouteRow("r-new", nestedPath)}, spareService},
		{"it is gone while a plain route covers it, and comes back", spareRoute(drafting),
			[]string{plainRouteRow("r-new", nestedPath), spareRoute(drafting) + plainRouteRow("r-new", nestedPath)}, drafting},
		{"it is gone and a shorter route of batches has its path", spareRoute(spareService) + batchRouteRow("r-old", nestedPath, spareService), []string{spareRoute(drafting)}, drafting},
		{"it comes back from a shorter route of batches", spareRoute(drafting) + batchRouteRow("r-old", nestedPath, spareService),
			[]string{spareRoute(drafting), spareRoute(drafting) + batchRouteRow("r-old", nestedPath, spareService)}, spareService},
	} {
		for restartName, restart := range map[string]func(d *deployment){
			"no VM restarts": func(*deployment) {}, "all VMs restart in turn": func(d *deployment) { d.replaceInTurn(d.vms...) }, "all VMs restart at once": (*deployment).replaceVMs,
		} {
			t.Run(tc.name+"/"+restartName, func(t *testing.T) {
				d := newDeployment(t, 2, 1, 0)
				spare := d.startTarget("spare-0", spareService, 4, model)
				engines := append(d.engines, spare)
				setFull := func(full bool) {
					for _, e := range engines {
						e.Set(func(e *errata.Target) { e.Full = full })
					}
				}
				setFull(true)
				d.moreServices = spareServiceRow()
				d.configure(tc.first)
				for i := range 3 {
					d.startVM(fmt.Sprintf("vm-%d", i))
				}
				items := []string{"i1", "i2", "i3", "i4"}
				d.is.Equal(d.call(d.vms[0], http.MethodPost, nestedPath+"b1", "b1", submission(1, 0, items...)).status, http.StatusAccepted)
				for _, routes := range tc.then {
					d.configure(routes)
					d.awaitTables()
				}
				restart(d)
				setFull(false)
				d.checkResults(d.readAll(d.vms[0], "b1", len(items), 10*time.Second), 4, items...)
				for _, x := range append(engines, d.services...) {
					for _, r := range x.ExecutedRequests() {
						if r.ID[0] == 'i' && x.Service != tc.want {
							t.Errorf("%s runs item %s, want %s", x.Service, r.ID, tc.want)
						}
					}
				}
			})
		}
	}
}
