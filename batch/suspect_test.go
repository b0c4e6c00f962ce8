package batch

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/crashes"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
)

// allGone takes each target whose answer breaks off for dead.
type allGone struct{}

func (allGone) Gone(context.Context, *fleet.Instance) bool { return true }

// TestItemsThatHadBegunRunBesideOthers replays the loss of an availability zone with many running items: their engines seem dead, and if each
// item ran apart from the others until its first event, the step would be late.
func TestItemsThatHadBegunRunBesideOthers(t *testing.T) {
	for _, begins := range []bool{true, false} {
		t.Run(fmt.Sprintf("begins=%v", begins), func(t *testing.T) {
			const items = 6
			is := is.New(t)
			log, metrics := slog.New(slog.DiscardHandler), process.NewMetrics()
			register := crashes.New(crashes.Options{Targets: allGone{}, Log: log, Metrics: metrics})
			r := newRunner(Options{View: fleet.NewView(), Client: silentClient{}, Log: log, Metrics: metrics, Crashes: register})
			var in []*fleet.Instance
			r.engines, in = newTestEngines(2, items, 1)
			snap := &fleet.Snapshot{Instances: in, Tables: &fleet.Tables{
				Routes: []fleet.Route{{Route: config.Route{PathPrefix: "/", Pool: "p"}, Host: "h", Batch: true, RunDeadline: time.Minute}},
				Pools:  []fleet.Pool{{Pool: config.Pool{Name: "p"}}},
			}}
			jobs := map[string]*job{}
			head := &Head{ID: "b", Host: "h", Path: "/b", Model: "m", AcceptedMs: time.Now().UnixMilli()}
			for i := range items {
				id := fmt.Sprintf("i%d", i)
				jobs[id] = &job{head: head, item: &Item{ID: id}, fingerprint: id, begins: begins}
				register.RunBroken(id, &fleet.Instance{Target: config.Target{Name: "lost"}})
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.jobs["b"] = jobs
			r.startWaiting(t.Context(), snap)
			running := 0
			for _, j := range jobs {
				if j.state == jobRunning {
					running++
				}
			}
			if begins {
				is.Equal(running, items)
			} else {
				is.Equal(running, len(in)) // each alone on its engine until its first event
			}
		})
	}
}
