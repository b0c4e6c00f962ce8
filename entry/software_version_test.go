package entry_test

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/fake/errata"
)

// setSoftware makes each second target run another software version, registers all again and waits until the VMs know it.
func (d *deployment) setSoftware(targets []*errata.Target) {
	for i, x := range targets {
		x.Set(func(x *errata.Target) { x.Software = fmt.Sprintf("v%d", i%2+1) })
		x.Register(d.store, "ready")
	}
	d.awaitSoftware(targets)
}

// runsByID returns the runs of requests at targets by ID, the oldest first.
func runsByID(targets []*errata.Target) map[string][]errata.ExecutedRequest {
	runs := map[string][]errata.ExecutedRequest{}
	for _, x := range targets {
		for _, r := range x.ExecutedRequests() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	for _, rs := range runs {
		slices.SortFunc(rs, func(a, b errata.ExecutedRequest) int { return a.At.Compare(b.At) })
	}
	return runs
}

// checkTextsOfOneSoftware checks that no run continues a text that another software version began, and returns the number of runs
// that continue one.
func checkTextsOfOneSoftware(t *testing.T, targets []*errata.Target) int {
	t.Helper()
	resumed := 0
	for id, runs := range runsByID(targets) {
		for i, r := range runs {
			if r.Header.Get("Last-Event-Id") == "" {
				continue
			}
			resumed++
			if previous := runs[max(0, i-1)].Software; r.Software != previous {
				t.Errorf("%s: a run at software %s continues after event %s of software %s", id, r.Software, r.Header.Get("Last-Event-Id"), previous)
			}
		}
	}
	return resumed
}

func itemNames(n int) []string {
	var items []string
	for i := range n {
		items = append(items, fmt.Sprintf("i%d", i))
	}
	return items
}

// TestTextsAreNotContinuedAtAnotherSoftwareVersion guards against texts with events from engines of two software versions. The holder
// is lost in the middle.
func TestTextsAreNotContinuedAtAnotherSoftwareVersion(t *testing.T) {
	d := newDeployment(t, 4, 1, 3)
	for _, e := range d.engines {
		e.Set(func(e *errata.Target) {
			e.EventsPerStream, e.ResetStreamAfter, e.EventInterval = 30, 12, 30*time.Millisecond
		})
	}
	d.setSoftware(d.engines)
	items := itemNames(12)
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, items...)).status, http.StatusAccepted)
	time.Sleep(1500 * time.Millisecond) // texts are saved after a second
	reader := d.vms[0]
	for i, v := range d.vms {
		if v.process.HoldsPool("drafting") {
			d.kill(v)
			reader = d.vms[(i+1)%len(d.vms)]
		}
	}
	d.checkResults(d.readAll(reader, "b1", len(items), 20*time.Second), 30, items...)
	if resumed := checkTextsOfOneSoftware(t, d.engines); resumed < len(items) {
		t.Errorf("%d runs continued a text, want at least %d", resumed, len(items))
	}
}

// TestTextBeginsAnewIfItsSoftwareVersionIsGone checks that an item does not wait for a version that no engine runs any more.
func TestTextBeginsAnewIfItsSoftwareVersionIsGone(t *testing.T) {
	d := newDeployment(t, 2, 1, 1)
	for _, e := range d.engines {
		e.Set(func(e *errata.Target) { e.EventsPerStream, e.EventInterval = 40, 20*time.Millisecond })
	}
	d.setSoftware(d.engines)
	items := itemNames(6)
	d.is.Equal(d.call(d.vms[0], http.MethodPost, "/notes/b1", "b1", submission(1, 0, items...)).status, http.StatusAccepted)
	begun := func() bool { return len(d.engines[0].ExecutedRequests()) > 0 }
	d.eventually(3*time.Second, "the first engine runs items", begun)
	time.Sleep(300 * time.Millisecond)
	d.engines[0].Register(d.store, "draining")
	time.Sleep(300 * time.Millisecond)
	d.engines[0].Close() // in the middle of its texts
	d.checkResults(d.readAll(d.vms[0], "b1", len(items), 10*time.Second), 40, items...)
	checkTextsOfOneSoftware(t, d.engines)
}

// streamRoute is a route for resumable streams.
const streamRoute = `,{"Name":"r-stream","Host":"desk.example","PathPrefix":"/stream/","Kind":"streaming","Resumable":true,"TimeoutMs":8000,"TargetLatencyMs":500,"Priority":1,"Service":"drafting","MaxAttempts":3}`

// Streams of a deployment for streams have streamEvents events and are reset after each streamBreak.
const (
	streamEvents = 20
	streamBreak  = 7
)

// newStreamDeployment starts a deployment with a route for streams that break.
func newStreamDeployment(t *testing.T, engines, vms int) *deployment {
	t.Helper()
	d := newDeployment(t, engines, 0, vms)
	d.configure(streamRoute)
	for _, e := range d.engines {
		e.Set(func(e *errata.Target) {
			e.Slots, e.EventsPerStream, e.ResetStreamAfter, e.EventInterval = 20, streamEvents, streamBreak, 10*time.Millisecond
		})
	}
	return d
}

// readStream sends a request for a stream and returns the ID of the last event received, whether the stream was complete, and the status; 0
// without an answer.
func (d *deployment) readStream(v *vm, id string, after int, origin string) (last int, complete bool, status int) {
	req, err := http.NewRequest(http.MethodPost, "http://"+v.address+"/stream/x", strings.NewReader("prompt"))
	if err != nil {
		d.t.Fatal(err)
	}
	req.Host = host
	for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "8000", "Model": model} {
		req.Header.Set(name, value)
	}
	if after > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(after))
		req.Header.Set("Resumes", origin)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 8 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return after, false, 0
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for last = after; lines.Scan(); {
		if n, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			if last, err = strconv.Atoi(n); err != nil {
				d.t.Fatal(err)
			}
		}
	}
	return last, resp.StatusCode == http.StatusOK && lines.Err() == nil, resp.StatusCode
}

// readStreams reads n streams at a time whose connections break several times, and takes each up at another VM. It returns the IDs of
// the attempts of each stream that got events, and the numbers of attempts to take a stream up and of those that went on.
func (d *deployment) readStreams(n, events int) (attempts [][]string, resumed, wentOn int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			origin, last := "", 0
			var ids []string
			for try := 0; try < 10 && last < events; try++ {
				id := fmt.Sprintf("s%d-%d", i, try)
				next, _, status := d.readStream(d.vms[(i+try)%len(d.vms)], id, last, origin)
				mu.Lock()
				if last > 0 {
					resumed++
					if next > last {
						wentOn++
					}
				}
				mu.Unlock()
				if next > last {
					ids = append(ids, id)
					if origin == "" {
						origin = id
					}
				}
				if last = next; status == http.StatusServiceUnavailable {
					time.Sleep(100 * time.Millisecond)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			attempts = append(attempts, ids)
		})
	}
	wg.Wait()
	return attempts, resumed, wentOn
}

// checkStreamsOfOneSoftware checks that all attempts of a stream that got events ran at one software version, and returns the number of
// streams that took more than one attempt.
func (d *deployment) checkStreamsOfOneSoftware(attempts [][]string) int {
	d.t.Helper()
	runs, several := runsByID(d.engines), 0
	for _, ids := range attempts {
		if len(ids) > 1 {
			several++
		}
		for i, id := range ids {
			if r := runs[id]; i > 0 && len(r) > 0 && r[len(r)-1].Software != runs[ids[0]][len(runs[ids[0]])-1].Software {
				d.t.Errorf("%s went on at software %s, %s had begun the stream at %s", id, r[len(r)-1].Software, ids[0], runs[ids[0]][len(runs[ids[0]])-1].Software)
			}
		}
	}
	return several
}

// TestStreamsGoOnAtTheSoftwareVersionThatBeganThem guards against streams with events from targets of two software versions, over a
// client's tries at different VMs.
func TestStreamsGoOnAtTheSoftwareVersionThatBeganThem(t *testing.T) {
	d := newStreamDeployment(t, 4, 3)
	d.setSoftware(d.engines)
	attempts, resumed, wentOn := d.readStreams(24, streamEvents)
	d.is.True(d.checkStreamsOfOneSoftware(attempts) >= 12)
	if wentOn < resumed*9/10 {
		t.Errorf("%d of %d attempts to take a stream up went on, want nearly all", wentOn, resumed)
	}
}

// TestStreamIsRefusedIfItsSoftwareVersionIsGone checks that a stream which no target can continue is refused at once with the reason, and that its
// client can begin it anew.
func TestStreamIsRefusedIfItsSoftwareVersionIsGone(t *testing.T) {
	d := newStreamDeployment(t, 2, 2)
	d.setSoftware(d.engines)
	last, _, _ := d.readStream(d.vms[0], "s-0", 0, "")
	d.is.Equal(last, streamBreak)
	began := runsByID(d.engines)["s-0"][0].Software
	for _, e := range d.engines {
		if e.Software == began {
			e.Register(d.store, "draining")
		}
		e.Set(func(e *errata.Target) { e.ResetStreamAfter = 0 })
	}
	time.Sleep(1500 * time.Millisecond)
	for i, v := range d.vms {
		start := time.Now()
		_, _, status := d.readStream(v, fmt.Sprintf("s-r%d", i), last, "s-0")
		d.is.Equal(status, http.StatusServiceUnavailable)
		d.is.True(time.Since(start) < time.Second)
	}
	anew, complete, _ := d.readStream(d.vms[0], "s-anew", 0, "")
	d.is.True(complete)
	d.is.Equal(anew, streamEvents)
}

// TestStreamsGoOnAfterAllVMsRestart covers a pool whose targets all run one version: no VM needs to know where a stream began.
func TestStreamsGoOnAfterAllVMsRestart(t *testing.T) {
	d := newStreamDeployment(t, 2, 1)
	time.Sleep(time.Second)
	last, _, _ := d.readStream(d.vms[0], "s-0", 0, "")
	d.is.Equal(last, streamBreak)
	d.kill(d.vms[0])
	v := d.startVM("vm-1")
	next, _, _ := d.readStream(v, "s-1", last, "s-0")
	d.is.Equal(next, 2*streamBreak)
}
