package entry_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/fake/errata"
)

// Streams of a test in which all VMs are lost.
const (
	streamsOverRestart = 24
	minContinued       = 20 // where each version that began a stream still has targets
)

// replaceVMs kills all VMs at once and starts as many.
func (d *deployment) replaceVMs() {
	d.t.Helper()
	lost := d.vms
	d.vms, d.restarted = nil, true
	var wg sync.WaitGroup
	for _, v := range lost {
		wg.Go(func() { d.kill(v) })
	}
	wg.Wait()
	for i := range lost {
		d.launchVM(fmt.Sprintf("vm-%d", i))
	}
	for _, v := range d.vms {
		d.eventually(5*time.Second, v.name+" is ready", v.process.Ready)
	}
}

// awaitSoftware waits until each VM knows exactly the targets of the pool that are given, with their software versions.
func (d *deployment) awaitSoftware(targets []*errata.Target) {
	d.t.Helper()
	d.eventually(5*time.Second, "the VMs know the software versions", func() bool {
		for _, v := range d.vms {
			known := map[string]string{}
			for _, in := range v.process.View.Get().Pool(targets[0].Service) {
				known[in.Name] = in.SoftwareVersion
			}
			for _, x := range targets {
				if known[x.ID] != x.Software {
					return false
				}
			}
			if len(known) != len(targets) {
				return false
			}
		}
		return true
	})
}

// beginStreams begins streams at all VMs that break off after streamBreak events, and returns the IDs of their attempts.
func (d *deployment) beginStreams(n int) []string {
	d.t.Helper()
	ids := make([]string, n)
	var wg sync.WaitGroup
	for i := range n {
		ids[i] = fmt.Sprintf("s%d", i)
		wg.Go(func() {
			if last, _, status := d.readStream(d.vms[i%len(d.vms)], ids[i], 0, ""); last != streamBreak {
				d.t.Errorf("stream %s got events up to %d with status %d, want %d", ids[i], last, status, streamBreak)
			}
		})
	}
	wg.Wait()
	return ids
}

// resumptions is what became of streams that were taken up once.
type resumptions struct{ continued, refused, joined int }

// resumeStreams takes each stream up once, at another VM than the one at which it began.
func (d *deployment) resumeStreams(ids []string) resumptions {
	d.t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out resumptions
	for i, id := range ids {
		wg.Go(func() {
			start := time.Now()
			last, _, status := d.readStream(d.vms[(i+1)%len(d.vms)], id+"-r", streamBreak, id)
			mu.Lock()
			defer mu.Unlock()
			if last > streamBreak {
				out.continued++
				return
			}
			out.refused++
			if status != 503 || time.Since(start) > time.Second {
				d.t.Errorf("taking up %s ended with status %d after %s, want 503 at once", id, status, time.Since(start))
			}
		})
	}
	wg.Wait()
	runs := runsByID(d.engines)
	for _, id := range ids {
		if again := runs[id+"-r"]; len(again) > 0 && again[len(again)-1].Software != runs[id][len(runs[id])-1].Software {
			out.joined++
		}
	}
	return out
}

// newMixedDeployment starts three VMs and four engines with the given software versions.
func newMixedDeployment(t *testing.T, software ...string) *deployment {
	t.Helper()
	d := newStreamDeployment(t, len(software), 0)
	for i, e := range d.engines {
		e.Set(func(e *errata.Target) { e.Software = software[i] })
		e.Register(d.store, "ready")
	}
	for i := range 3 {
		d.startVM(fmt.Sprintf("vm-%d", i))
	}
	d.awaitSoftware(d.engines)
	return d
}

// TestStreamsAreNotJoinedAfterAllVMsAreLost guards against streams whose first part comes from one software version and whose rest from
// another: the clients take them up after all VMs were lost, as a version has just left the pool.
func TestStreamsAreNotJoinedAfterAllVMsAreLost(t *testing.T) {
	for _, tc := range []struct {
		name     string
		software []string
		leaves   int // the engine that leaves while no VM runs
	}{
		{"the only newer target has left", []string{"v2", "v1", "v1", "v1"}, 0},
		{"the last older target has left", []string{"v1", "v2", "v2", "v2"}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newMixedDeployment(t, tc.software...)
			ids := d.beginStreams(streamsOverRestart)
			d.store.Put("keyed.servers", d.engines[tc.leaves].ID, nil)
			d.replaceVMs()
			left := d.engines[1:]
			d.awaitSoftware(left)
			got := d.resumeStreams(ids)
			t.Logf("%+v", got)
			if got.joined > 0 {
				t.Errorf("%d of %d streams were joined from two software versions", got.joined, len(ids))
			}
		})
	}
}

// TestStreamsGoOnInAMixedPoolAfterAllVMsAreLost guards against refusing streams that could go on: each version that began one still
// has targets.
func TestStreamsGoOnInAMixedPoolAfterAllVMsAreLost(t *testing.T) {
	d := newMixedDeployment(t, "v1", "v2", "v1", "v2")
	ids := d.beginStreams(streamsOverRestart)
	d.replaceVMs()
	d.awaitSoftware(d.engines)
	got := d.resumeStreams(ids)
	t.Logf("%+v", got)
	if got.joined > 0 {
		t.Errorf("%d of %d streams were joined from two software versions", got.joined, len(ids))
	}
	if got.continued < minContinued {
		t.Errorf("%d of %d streams went on, want at least %d", got.continued, len(ids), minContinued)
	}
}
