package entry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/fake/errata"
)

// The users' bound for a target that names a limit of requests a second: from limitSettleTime after it first did, at most
// limitFactor times what the limit allows in limitWindow, and limitSlack requests more.
const (
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitSlack      = 5
	// minLimitUse is the share of the limit that must be used while more requests wait than it allows.
	minLimitUse = 0.8
)

// nameLimits makes targets name a limit in all their answers.
func nameLimits(targets []*errata.Target, perSecond float64) {
	for _, x := range targets {
		x.Set(func(x *errata.Target) { x.RateLimit = perSecond })
	}
}

// checkLimit checks the requests that a target got since it named its limit. Unless minUse is 0, it must also have got that
// share of what the limit allows until end.
func checkLimit(t *testing.T, x *errata.Target, perSecond float64, since, end time.Time, minUse float64) {
	t.Helper()
	from := since.Add(limitSettleTime)
	var arrivals []time.Time
	for _, at := range x.Arrivals() {
		if at.After(from) && at.Before(end) {
			arrivals = append(arrivals, at)
		}
	}
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	if allowed := int(limitFactor*perSecond*limitWindow.Seconds()) + limitSlack; most > allowed {
		t.Errorf("%s named a limit of %g a second and got %d requests in %s, allowed %d", x.ID, perSecond, most, limitWindow, allowed)
	}
	if want := minUse * perSecond * end.Sub(from).Seconds(); float64(len(arrivals)) < want {
		t.Errorf("%s named a limit of %g a second and got %d requests in %s, want at least %.0f", x.ID, perSecond, len(arrivals), end.Sub(from).Round(time.Second), want)
	}
}

// callSteadily sends single requests to the VMs in turn, one every interval, until stop is closed. Each must be answered, or refused with
// a time to come back. It returns the numbers of requests sent and answered since the given time.
func (d *deployment) callSteadily(interval time.Duration, stop <-chan struct{}, since time.Time) (sent, answered int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := 0; ; i++ {
		select {
		case <-stop:
			wg.Wait()
			return sent, answered
		case <-time.After(interval):
		}
		v := d.vms[i%len(d.vms)]
		counts := time.Now().After(since)
		wg.Go(func() {
			id := fmt.Sprintf("limited-%d", i)
			a := d.call(v, http.MethodPost, "/desk/x", id, "hello")
			refused := a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != ""
			if a.err != nil || a.status != http.StatusOK && !refused {
				d.t.Errorf("%s: status %d, body %q, error %v", id, a.status, a.body, a.err)
			}
			mu.Lock()
			defer mu.Unlock()
			if counts {
				sent++
			}
			if counts && a.status == http.StatusOK {
				answered++
			}
		})
	}
}

// TestVMsTogetherKeepTheLimitOfATarget guards against requests above the limit that a target names, whichever VMs send them.
func TestVMsTogetherKeepTheLimitOfATarget(t *testing.T) {
	const perSecond = 3
	d := newDeployment(t, 0, 3, 4)
	since := time.Now()
	nameLimits(d.services, perSecond)
	stop := make(chan struct{})
	time.AfterFunc(14*time.Second, func() { close(stop) })
	d.callSteadily(25*time.Millisecond, stop, since)
	for _, x := range d.services {
		checkLimit(t, x, perSecond, since, since.Add(14*time.Second), minLimitUse)
	}
}

// TestItemsAndScoringCallsKeepTheLimitsOfTargets covers the requests of a batch, which come from the VM that holds its pool.
func TestItemsAndScoringCallsKeepTheLimitsOfTargets(t *testing.T) {
	const perSecond, itemCount = 4, 150
	d := newDeployment(t, 2, 2, 3)
	for _, e := range d.engines {
		e.Set(func(e *errata.Target) { e.EventInterval = 100 * time.Millisecond }) // without a limit, an engine runs 10 items a second
	}
	since := time.Now()
	targets := append(append([]*errata.Target{}, d.engines...), d.services...)
	nameLimits(targets, perSecond)
	var items []string
	for i := range itemCount {
		items = append(items, fmt.Sprintf("i%d", i))
	}
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, items...)).status, http.StatusAccepted)
	d.checkResults(d.readAll(d.vms[1], "b1", itemCount, 35*time.Second), 4, items...)
	for _, x := range targets {
		checkLimit(t, x, perSecond, since, time.Now(), 0)
	}
}

// TestLiftedLimitIsForgotten checks that requests are answered as before two seconds after targets name no limit any more.
func TestLiftedLimitIsForgotten(t *testing.T) {
	const perSecond, limited, recovery = 2, 5 * time.Second, 2 * time.Second
	d := newDeployment(t, 0, 2, 3)
	nameLimits(d.services, perSecond)
	time.AfterFunc(limited, func() { nameLimits(d.services, 0) })
	stop := make(chan struct{})
	time.AfterFunc(limited+2*recovery, func() { close(stop) })
	sent, answered := d.callSteadily(25*time.Millisecond, stop, time.Now().Add(limited+recovery))
	if sent == 0 || answered < sent {
		t.Errorf("%d of %d requests were answered later than %s after the limits were lifted", answered, sent, recovery)
	}
}
