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
// a time to come back.
func (d *deployment) callSteadily(interval time.Duration, stop <-chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		v := d.vms[i%len(d.vms)]
		wg.Go(func() {
			id := fmt.Sprintf("limited-%d", i)
			a := d.call(v, http.MethodPost, "/desk/x", id, "hello")
			refused := a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != ""
			if a.err != nil || a.status != http.StatusOK && !refused {
				d.t.Errorf("%s: status %d, body %q, error %v", id, a.status, a.body, a.err)
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
	d.callSteadily(25*time.Millisecond, stop)
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

// TestLiftedLimitIsForgotten checks that a target which names no limit any more gets as much as others within two seconds.
func TestLiftedLimitIsForgotten(t *testing.T) {
	const perSecond, interval = 2, 25 * time.Millisecond
	d := newDeployment(t, 0, 2, 3)
	nameLimits(d.services, perSecond)
	time.AfterFunc(5*time.Second, func() { nameLimits(d.services, 0) })
	stop := make(chan struct{})
	time.AfterFunc(9*time.Second, func() { close(stop) })
	start := time.Now()
	d.callSteadily(interval, stop)
	n := 0
	for _, x := range d.services {
		for _, at := range x.Arrivals() {
			if at.Sub(start) > 7*time.Second {
				n++
			}
		}
	}
	if want := int(minLimitUse * float64(2*time.Second/interval)); n < want {
		t.Errorf("got %d requests in the 2 s that begin 2 s after the limits were lifted, want at least %d", n, want)
	}
}
