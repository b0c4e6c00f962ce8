package batch

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/targets"
)

// silentClient answers no call.
type silentClient struct{ targets.Client }

func (silentClient) Do(ctx context.Context, _ *targets.Call) (*targets.Response, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestTextOfOneVersionWaitsOnlyIfThatIsSooner replays the crash of an engine on a route that allows one version, while the other engines with the version of
// the texts are full and one with a newer version is free: a long wait would make the step late, and a restart loses the text.
func TestTextOfOneVersionWaitsOnlyIfThatIsSooner(t *testing.T) {
	const left = 40 // events that the running items are to make
	for _, tc := range []struct {
		name   string
		texts  []int // events of the waiting items
		waited int   // for how many events' time they have waited
		waits  []bool
	}{
		{"short text", []int{left / 2}, 0, []bool{false}},
		{"long text", []int{left + 10}, 0, []bool{true}},
		{"long text that has waited", []int{left + 10}, left, []bool{true}},
		{"long text that has waited in vain", []int{left + 10}, left + 10, []bool{false}},
		{"more long texts than slots", []int{left + 10, left + 10, left + 10}, 0, []bool{true, true, false}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			log := slog.New(slog.DiscardHandler)
			r := newRunner(Options{View: fleet.NewView(), Client: silentClient{}, Log: log, Metrics: process.NewMetrics()})
			var in []*fleet.Instance
			r.engines, in = newTestEngines(2, 2, 1)
			r.engines.observeVersion(in[1], "m", 2)
			route := &fleet.Route{Route: config.Route{Pool: "p"}, SingleVersion: true, RunDeadline: time.Minute}
			now, head := time.Now(), &Head{ID: "b", Model: "m", MinVersion: 1, AcceptedMs: time.Now().UnixMilli()}
			jobs := map[string]*job{}
			r.jobs["b"] = jobs
			newJob := func(id string, events, expected int) *job {
				j := &job{head: head, item: &Item{ID: id, ExpectedTokens: expected}, events: make([]string, events), versions: make([]int64, events)}
				for i := range j.versions {
					j.versions[i] = 1
				}
				jobs[id] = j
				return j
			}
			for i := range 2 {
				j := newJob(fmt.Sprintf("running-%d", i), 0, left)
				j.state, j.instance = jobRunning, in[0]
				r.engines.requestStarted(in[0])
			}
			interval := r.engines.meanInterval("p")
			var tasks []*task
			for i, n := range tc.texts {
				j := newJob(fmt.Sprintf("waiting-%d", i), n, 2*n)
				if tc.waited > 0 {
					j.versionWaitSince = now.Add(-time.Duration(tc.waited) * interval)
				}
				tasks = append(tasks, &task{
					job: j, route: route, deadline: now.Add(time.Minute), repeatTime: time.Duration(n) * interval, tokensPerEvent: 1,
				})
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.placeTasks(t.Context(), now, tasks, map[string]*candidates{"p": r.candidates(now, "p")}, map[string]map[string]int{}, map[string]bool{})
			for i, task := range tasks {
				is.Equal(task.job.state == jobWaiting, tc.waits[i])
				is.Equal(len(task.job.events) > 0, tc.waits[i]) // the text is kept, or the item starts over
				is.Equal(task.job.instance == in[1], !tc.waits[i])
			}
		})
	}
}
