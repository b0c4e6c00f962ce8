package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/fake/errata"
)

// cutModes are the ways in which a VM loses its paths to the targets.
var cutModes = map[string]pathMode{"silent": pathSilent, "reset": pathReset, "refused": pathRefuse, "rejected": pathReject}

// vmsKnowEachOther is the time after which all VMs have read each other's announcements.
const vmsKnowEachOther = 4 * time.Second

// newStrandedDeployment starts four VMs and cuts the first three of them off from all targets.
func newStrandedDeployment(t *testing.T, mode pathMode) (d *deployment, cut []*vm, other *vm) {
	d = newDeployment(t, 2, 3, 4)
	time.Sleep(vmsKnowEachOther)
	for i, v := range d.vms {
		for n := range 4 { // leaves connections open
			d.is.Equal(d.call(v, http.MethodPost, "/desk/open", fmt.Sprintf("open-%d-%d", i, n), "x").status, http.StatusOK)
		}
	}
	cut, other = d.vms[:3], d.vms[3]
	for _, v := range cut {
		v.targetPath.set(mode)
	}
	return d, cut, other
}

// servedFirstTries sends requests to a VM one after the other and returns how many are served.
func (d *deployment) servedFirstTries(v *vm, path string, n int) (served int) {
	for i := range n {
		id := fmt.Sprintf("%s-%s-%d", v.name, path[1:5], i)
		if d.call(v, http.MethodPost, path, id, "x", "Deadline-Ms", "800").status == http.StatusOK {
			served++
		}
	}
	return served
}

// TestCallersOfStrandedVMsAreServed replays the day stranded: most VMs lose their paths to all targets, while clients, the store and
// the other VMs reach them. Callers of such VMs were answered 503 or 504.
func TestCallersOfStrandedVMsAreServed(t *testing.T) {
	const (
		tries     = 6
		settledIn = 3 * time.Second // the rule's time for noticing a cut
	)
	for name, mode := range cutModes {
		for kind, path := range map[string]string{"idempotent": "/desk/a", "at-most-once": "/file/a"} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				d, cut, other := newStrandedDeployment(t, mode)
				time.Sleep(settledIn)
				d.is.Equal(d.servedFirstTries(other, path, tries), tries)
				served := 0
				for _, v := range cut {
					served += d.servedFirstTries(v, path, tries)
				}
				d.is.True(3*served >= 2*tries*len(cut)) // at least two thirds as often as at the other VM
				d.checkRunsOnce("/file/a")
			})
		}
	}
}

// checkRunsOnce checks that no request with this path ran twice.
func (d *deployment) checkRunsOnce(path string) {
	d.t.Helper()
	runs := map[string]int{}
	for _, s := range d.services {
		for _, r := range s.ExecutedRequests() {
			if r.URI == path {
				runs[r.ID]++
			}
		}
	}
	for id, n := range runs {
		if n > 1 {
			d.t.Errorf("request %s ran %d times", id, n)
		}
	}
}

// TestFirstRequestsAfterACutAreServed sends one request to each VM right after it has lost its paths: nothing has told it of the cut
// yet.
func TestFirstRequestsAfterACutAreServed(t *testing.T) {
	for name, mode := range cutModes {
		t.Run(name, func(t *testing.T) {
			d, cut, _ := newStrandedDeployment(t, mode)
			for i, v := range cut {
				d.is.Equal(d.call(v, http.MethodPost, "/desk/a", fmt.Sprintf("first-%d", i), "x", "Deadline-Ms", "1500").status, http.StatusOK)
			}
		})
	}
}

// TestCutPathIsNotTakenForACrashOfTheTarget cuts a VM off while it has a request at a target: the connection is reset and a new one refused, as if
// the target had crashed. The request was then counted as one that crashes its targets, and refused at all VMs after three cuts.
func TestCutPathIsNotTakenForACrashOfTheTarget(t *testing.T) {
	d := newDeployment(t, 1, 3, 2)
	time.Sleep(vmsKnowEachOther)
	for _, s := range d.services {
		s.Set(func(x *errata.Target) { x.RequestDuration = 150 * time.Millisecond })
	}
	for i := range 4 {
		answer := make(chan response, 1)
		go func() {
			answer <- d.call(d.vms[0], http.MethodPost, "/desk/a", fmt.Sprint("cut-", i), "the same content")
		}()
		time.Sleep(60 * time.Millisecond) // before a second copy is sent
		d.vms[0].targetPath.set(pathReject)
		d.is.Equal((<-answer).status, http.StatusOK) // through the other VM
		d.vms[0].targetPath.set(pathOpen)
		d.eventually(3*time.Second, "the direct path is used again", func() bool { return !d.vms[0].process.State().TargetPaths.Stranded })
	}
	d.is.True(!strings.Contains(d.log.String(), "msg=target_died"))
}

// TestWorkGoesOnWhenTheHolderLosesItsPaths cuts the VM that runs a pool's items and orders its engines off from all targets. It kept the tenure, as it
// reached the store, and steps that needed a newer weight version waited until the cut ended.
func TestWorkGoesOnWhenTheHolderLosesItsPaths(t *testing.T) {
	for name, mode := range cutModes {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 2, 1, 3)
			time.Sleep(vmsKnowEachOther)
			for _, e := range d.engines {
				e.Set(func(e *errata.Target) { e.EventsPerStream, e.EventInterval = 60, 25*time.Millisecond })
			}
			d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, "i1", "i2", "i3")).status, http.StatusAccepted)
			d.eventually(3*time.Second, "the items run", func() bool { return d.runs("i1") > 0 && d.runs("i2") > 0 && d.runs("i3") > 0 })
			holder, other := d.holder()
			holder.targetPath.set(mode)
			d.nameVersion(2)
			d.is.Equal(d.call(other, http.MethodPost, "/notes/b2", "b2", submission(2, 2, "i4", "i5")).status, http.StatusAccepted)
			d.checkResults(d.readAll(other, "b1", 3, 8*time.Second), 60, "i1", "i2", "i3")
			d.checkResults(d.readAll(other, "b2", 2, 8*time.Second), 60, "i4", "i5") // at version 2, which only a holder orders
		})
	}
}

// runs returns the number of runs of an item.
func (d *deployment) runs(item string) (n int) {
	for _, e := range d.engines {
		for _, r := range e.ExecutedRequests() {
			if r.ID == item {
				n++
			}
		}
	}
	return n
}

// TestStrandedVMsDoNotPassCallsAround cuts all VMs off: their calls must neither wander from VM to VM nor wait until their time is up.
func TestStrandedVMsDoNotPassCallsAround(t *testing.T) {
	d := newDeployment(t, 0, 3, 3)
	time.Sleep(vmsKnowEachOther)
	for _, v := range d.vms {
		v.targetPath.set(pathReject)
	}
	for i := range 3 {
		begin := time.Now()
		a := d.call(d.vms[0], http.MethodPost, "/desk/a", fmt.Sprint("r", i), "x", "Deadline-Ms", "1500")
		d.is.Equal(a.status, http.StatusServiceUnavailable) // not run, and known at once
		d.is.True(a.header.Get("Retry-After") != "")
		d.is.True(time.Since(begin) < time.Second)
	}
	for _, v := range d.vms[1:] {
		d.is.Equal(len(v.process.State().TargetPaths.Through), 0)
		d.is.True(!strings.Contains(d.log.String(), "msg=detour_unanswered process=entry node="+v.name)) // it has asked no one
	}
}
