package entry_test

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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

// poisonRuns returns the runs of requests that crash targets.
func poisonRuns(targets []*errata.Target) []errata.ExecutedRequest {
	var runs []errata.ExecutedRequest
	for _, x := range targets {
		for _, r := range x.ExecutedRequests() {
			if strings.Contains(string(r.Body), poison) {
				runs = append(runs, r)
			}
		}
	}
	return runs
}

// crashCount returns how often the targets have crashed.
func crashCount(targets []*errata.Target) int {
	n := 0
	for _, x := range targets {
		n += x.Crashes()
	}
	return n
}

// checkPoisonContained checks that the targets crashed at least wantCrashes times, but no more often than is allowed, and
// that no request has crashed one later than settleTime after start.
func (d *deployment) checkPoisonContained(targets []*errata.Target, start time.Time, wantCrashes int) {
	d.t.Helper()
	for _, r := range poisonRuns(targets) {
		if r.At.Sub(start) > settleTime {
			d.t.Errorf("%s ran %s after the start", r.ID, r.At.Sub(start))
		}
	}
	crashes := crashCount(targets)
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

// TestStreamThatCrashesTargetsAfterItsFirstEventIsNotResent guards against a stream that is never recognised: it crashes its target only after
// it has sent events.
func TestStreamThatCrashesTargetsAfterItsFirstEventIsNotResent(t *testing.T) {
	for _, events := range []int{1, 3} {
		t.Run(fmt.Sprintf("after %d events", events), func(t *testing.T) {
			d := newDeployment(t, 6, 1, 3)
			d.configure(streamRoute)
			crashOnPoison(d.engines)
			for _, x := range d.engines {
				x.Set(func(x *errata.Target) { x.CrashAfterEvents = events })
			}
			d.eventually(3*time.Second, "the route is known", func() bool {
				return d.call(d.vms[0], http.MethodPost, "/stream/x", "sound", "prompt", "Model", model).status == http.StatusOK
			})
			start := time.Now()
			for i := 0; time.Since(start) < 5*time.Second; i++ {
				d.call(d.vms[i%len(d.vms)], http.MethodPost, "/stream/x", fmt.Sprintf("p%d", i), poison, "Model", model)
				time.Sleep(200 * time.Millisecond)
			}
			d.checkPoisonContained(d.engines, start, 3)
			a := d.call(d.vms[0], http.MethodPost, "/stream/x", "p", poison, "Model", model)
			d.is.Equal(a.status, http.StatusServiceUnavailable)
			d.is.True(a.header.Get("Retry-After") != "")
			a = d.call(d.vms[0], http.MethodPost, "/stream/x", "sound2", "prompt", "Model", model)
			d.is.Equal(a.status, http.StatusOK) // other streams are served
		})
	}
}

// TestSoundStreamIsServedAfterTargetsCrashedUnderIt guards against refusing a stream during which targets crashed by themselves.
func TestSoundStreamIsServedAfterTargetsCrashedUnderIt(t *testing.T) {
	d := newDeployment(t, 4, 1, 2)
	d.configure(streamRoute)
	for _, x := range d.engines {
		x.Set(func(x *errata.Target) { x.CrashOn, x.CrashAfterEvents = poison, 1 })
	}
	send := func(n int) response {
		return d.call(d.vms[n%2], http.MethodPost, "/stream/x", fmt.Sprintf("s%d", n), poison, "Model", model)
	}
	d.eventually(3*time.Second, "the route is known", func() bool {
		return d.call(d.vms[0], http.MethodPost, "/stream/x", "other", "prompt", "Model", model).status == http.StatusOK
	})
	crashing := func(on bool) {
		for _, x := range d.engines {
			x.Set(func(x *errata.Target) {
				if x.CrashOn = ""; on {
					x.CrashOn = poison
				}
			})
		}
	}
	for n := range 6 { // two crashes in turn, then a whole stream, which clears it
		crashing(n%3 != 2)
		a := send(n)
		d.is.True(a.status == http.StatusOK || a.err != nil)
		d.is.Equal(n%3 == 2, a.err == nil)
		time.Sleep(time.Second)
	}
	crashing(false)
	a := send(6)
	d.is.NoErr(a.err)
	d.is.Equal(a.status, http.StatusOK)
}

// Each VM goes by what it has seen itself, and all share it once the store is back.
func TestCrashingRequestIsContainedDuringStoreOutage(t *testing.T) {
	d := newDeployment(t, 0, 6, 2)
	crashOnPoison(d.services)
	d.store.Set(func(s *errata.Store) { s.Down = true })
	send := func(v *vm, id string) response { return d.call(v, http.MethodPost, "/desk/x", id, poison) }
	for i := range 10 {
		send(d.vms[0], fmt.Sprintf("p%d", i))
		time.Sleep(100 * time.Millisecond)
	}
	crashes := crashCount(d.services)
	d.is.True(crashes >= 3 && crashes <= 4) // one VM has seen them all
	d.store.Set(func(s *errata.Store) { s.Down = false })
	time.Sleep(settleTime)
	a := send(d.vms[1], "other")
	d.is.Equal(a.status, http.StatusServiceUnavailable)
	d.is.True(a.header.Get("Retry-After") != "")
	d.is.Equal(crashCount(d.services), crashes) // it was not sent
}

// Callers send other requests all the while, some of them again and again with an equal body.
func TestInnocentRequestsBesideCrashesAreServed(t *testing.T) {
	d := newDeployment(t, 0, 6, 2)
	crashOnPoison(d.services)
	for _, x := range d.services {
		x.Set(func(x *errata.Target) { x.RequestDuration = 30 * time.Millisecond })
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var served, failed, quarantined atomic.Int64
	for c := range 8 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				body := "equal body"
				if c%2 == 0 {
					body = fmt.Sprintf("body %d of %d", n, c)
				}
				a := d.call(d.vms[n%2], http.MethodPost, "/desk/y", fmt.Sprintf("c%d-%d", c, n), body)
				switch {
				case a.status == http.StatusOK:
					served.Add(1)
				case strings.Contains(a.body, "crashed while running"):
					quarantined.Add(1)
				default:
					failed.Add(1)
				}
			}
		}()
	}
	for i := range 15 {
		d.call(d.vms[i%2], http.MethodPost, "/desk/x", fmt.Sprintf("p%d", i), poison)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second) // the crashed targets are back
	close(stop)
	callers.Wait()
	t.Logf("served=%d failed=%d quarantined=%d", served.Load(), failed.Load(), quarantined.Load())
	d.is.Equal(quarantined.Load(), int64(0))
	crashes := crashCount(d.services)
	d.is.True(crashes >= 3)
	d.is.True(served.Load() > 0)
	d.is.True(int(failed.Load()) <= crashes) // a request fails only if it meets two crashes in turn
}

func TestCrashingScoringCallIsNotResentForever(t *testing.T) {
	d := newDeployment(t, 2, 6, 2)
	crashOnPoison(d.services)
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b", "b1", submission(0, 1, "x-"+poison)).status, http.StatusAccepted)
	start := time.Now()
	time.Sleep(5 * time.Second)
	d.checkPoisonContained(d.services, start, 3)
}

// checkPoisonPaced checks that crashing items were run again, but with growing pauses: so they are still owed, and don't take the engines from
// other items. What started them is at start.
func (d *deployment) checkPoisonPaced(targets []*errata.Target, start time.Time) {
	d.t.Helper()
	const maxRuns, settled, minGap = 9, 3 * time.Second, time.Second
	runs := poisonRuns(targets)
	slices.SortFunc(runs, func(a, b errata.ExecutedRequest) int { return a.At.Compare(b.At) })
	if len(runs) < 4 || len(runs) > maxRuns {
		d.t.Errorf("crashing items ran %d times, want 4 to %d", len(runs), maxRuns)
	}
	for i := 1; i < len(runs); i++ {
		if gap := runs[i].At.Sub(runs[i-1].At); runs[i].At.Sub(start) > settled && gap < minGap {
			d.t.Errorf("a run of crashing items came %s after the one before, want %s at least", gap, minGap)
		}
	}
}

func TestCrashingItemRunsOnlyAfterGrowingPauses(t *testing.T) {
	d := newDeployment(t, 6, 1, 2)
	crashOnPoison(d.engines)
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b", "b1", submission(0, 1, "x-"+poison, "i1", "i2")).status, http.StatusAccepted)
	start := time.Now()
	time.Sleep(5 * time.Second)
	d.checkPoisonPaced(d.engines, start)
	p, _ := d.readPage(d.vms[0], "b1", 0)
	d.checkResults(p.Results, 4, "i1", "i2")
}

// TestItemThatCrashesEnginesAfterItsFirstEventRunsAfterPauses guards against an item that crashes one engine after the other without
// a pause, as each run brings it an event.
func TestItemThatCrashesEnginesAfterItsFirstEventRunsAfterPauses(t *testing.T) {
	d := newDeployment(t, 6, 1, 2)
	crashOnPoison(d.engines)
	for _, x := range d.engines {
		x.Set(func(x *errata.Target) { x.EventsPerStream, x.CrashAfterEvents = 30, 1 })
	}
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b", "b1", submission(0, 1, "x-"+poison, "i1", "i2")).status, http.StatusAccepted)
	start := time.Now()
	time.Sleep(5 * time.Second)
	d.checkPoisonPaced(d.engines, start)
	p, _ := d.readPage(d.vms[0], "b1", 0)
	d.checkResults(p.Results, 30, "i1", "i2")
}

// The items of a group may have one prompt: each of them crashes the engine that runs it.
func TestCrashingItemsWithEqualContentAreTriedOneByOne(t *testing.T) {
	d := newDeployment(t, 6, 1, 2)
	crashOnPoison(d.engines)
	ids := []string{"x1-" + poison, "x2-" + poison, "x3-" + poison, "x4-" + poison}
	doc := submission(0, 1, append(ids, "i1")...)
	for _, id := range ids {
		doc = strings.ReplaceAll(doc, "/notes/"+id, "/notes/same")
		doc = strings.ReplaceAll(doc, base64.StdEncoding.EncodeToString([]byte("prompt of "+id)), base64.StdEncoding.EncodeToString([]byte(poison)))
	}
	d.is.Equal(strings.Count(doc, "/notes/same"), len(ids))
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b", "b1", doc).status, http.StatusAccepted)
	start := time.Now()
	time.Sleep(4 * time.Second)
	d.checkPoisonPaced(d.engines, start)
	p, _ := d.readPage(d.vms[0], "b1", 0)
	d.checkResults(p.Results, 4, "i1")
}

// crashWhileRunning crashes the targets that have begun to run a request with an ID, one after the other, until n have crashed.
func (d *deployment) crashWhileRunning(targets []*errata.Target, id string, n int) {
	d.t.Helper()
	crashed := map[string]int{}
	d.eventually(10*time.Second, fmt.Sprintf("%d targets crash while they run %s", n, id), func() bool {
		for i, x := range targets {
			runs := 0
			for _, r := range x.ExecutedRequests() {
				if r.ID == id {
					runs++
				}
			}
			if key := fmt.Sprint(i); runs > crashed[key] && n > 0 {
				crashed[key] = runs
				x.Crash()
				n--
			}
		}
		return n == 0
	})
}

// TestSoundItemIsPlacedAgainAfterEnginesCrashedUnderIt guards against holding back an item during which engines crashed by themselves.
func TestSoundItemIsPlacedAgainAfterEnginesCrashedUnderIt(t *testing.T) {
	d := newDeployment(t, 6, 1, 2)
	for _, e := range d.engines {
		e.Set(func(e *errata.Target) { e.EventInterval = 300 * time.Millisecond }) // a crash comes before the first event
	}
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b", "b1", submission(0, 1, "i1")).status, http.StatusAccepted)
	d.crashWhileRunning(d.engines, "i1", 5)
	for _, e := range d.engines {
		e.Set(func(e *errata.Target) { e.EventInterval = 5 * time.Millisecond })
	}
	d.checkResults(d.readAll(d.vms[0], "b1", 1, 5*time.Second), 4, "i1")
}

// TestSoundScoringCallIsSentAgainAfterServicesCrashedUnderIt is the same for the call that scores an item.
func TestSoundScoringCallIsSentAgainAfterServicesCrashedUnderIt(t *testing.T) {
	d := newDeployment(t, 1, 6, 2)
	for _, x := range d.services {
		x.Set(func(x *errata.Target) { x.RequestDuration = 300 * time.Millisecond })
	}
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b", "b1", submission(0, 1, "i1")).status, http.StatusAccepted)
	d.crashWhileRunning(d.services, "score-i1", 4)
	d.checkResults(d.readAll(d.vms[0], "b1", 1, 5*time.Second), 4, "i1")
}
