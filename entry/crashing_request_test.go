package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/fake/errata"
)

// poison is part of the bodies that crash the targets in these tests.
const poison = "crash"

// A request that has crashed three targets may reach targets maxLateRuns more times; after settleTime it may not.
const (
	maxLateRuns = 3
	settleTime  = 3 * time.Second
)

func crashOnPoison(targets []*errata.Target) {
	for _, x := range targets {
		x.Set(func(x *errata.Target) { x.CrashOn = poison })
	}
}

// checkPoisonContained checks that the targets crashed at least wantCrashes times, but no more often than is allowed, and
// that no request has crashed one later than settleTime after start.
func (d *deployment) checkPoisonContained(targets []*errata.Target, start time.Time, wantCrashes int) {
	d.t.Helper()
	crashes := 0
	for _, x := range targets {
		crashes += x.Crashes()
		for _, r := range x.ExecutedRequests() {
			if strings.Contains(string(r.Body), poison) && r.At.Sub(start) > settleTime {
				d.t.Errorf("%s ran %s %s after the start", x.ID, r.ID, r.At.Sub(start))
			}
		}
	}
	if crashes < wantCrashes || crashes > 3+maxLateRuns {
		d.t.Errorf("targets crashed %d times, want %d to %d", crashes, wantCrashes, 3+maxLateRuns)
	}
}

// The caller comes again at each VM in turn under new IDs.
func TestCrashingRequestIsNotResentFromOtherVMs(t *testing.T) {
	d := newDeployment(t, 0, 6, 3)
	crashOnPoison(d.services)
	start := time.Now()
	for i := 0; time.Since(start) < 5*time.Second; i++ {
		a := d.call(d.vms[i%len(d.vms)], http.MethodPost, "/desk/x", fmt.Sprintf("p%d", i), poison)
		d.is.True(a.status >= http.StatusInternalServerError)
		time.Sleep(200 * time.Millisecond)
	}
	d.checkPoisonContained(d.services, start, 3)
}

func TestCrashingScoringCallIsNotResentForever(t *testing.T) {
	d := newDeployment(t, 2, 6, 2)
	crashOnPoison(d.services)
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b", "b1", submission(0, 1, "x-"+poison)).status, http.StatusAccepted)
	start := time.Now()
	time.Sleep(5 * time.Second)
	d.checkPoisonContained(d.services, start, 3)
}

func TestCrashingItemIsNotResentForever(t *testing.T) {
	d := newDeployment(t, 6, 1, 2)
	crashOnPoison(d.engines)
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b", "b1", submission(0, 1, "x-"+poison, "i1", "i2")).status, http.StatusAccepted)
	start := time.Now()
	time.Sleep(5 * time.Second)
	d.checkPoisonContained(d.engines, start, 3)
	p, _ := d.readPage(d.vms[0], "b1", 0)
	d.checkResults(p.Results, 4, "i1", "i2")
}
