package batch

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
)

// TestOpenWorkOfAPool guards against ordering targets for items that need none: those that only wait for their score, are held back, or
// belong to another pool.
func TestOpenWorkOfAPool(t *testing.T) {
	is := is.New(t)
	tables := &fleet.Tables{
		Routes: []fleet.Route{
			{Route: config.Route{PathPrefix: "/a", Pool: "a"}, Host: "h", Batch: true, RunDeadline: 7500 * time.Millisecond},
			{Route: config.Route{PathPrefix: "/b", Pool: "b"}, Host: "h", Batch: true},
		},
		Pools: []fleet.Pool{{Pool: config.Pool{Name: "a"}, Engine: &fleet.Engine{TokensPerEvent: 10}}, {Pool: config.Pool{Name: "b"}, Engine: &fleet.Engine{TokensPerEvent: 10}}},
	}
	now := time.Now()
	r := newRunner(Options{View: fleet.NewView(), Log: slog.New(slog.DiscardHandler), Metrics: process.NewMetrics()})
	a := &Head{ID: "a", Host: "h", Path: "/a/1", AcceptedMs: now.Add(-time.Second).UnixMilli(), ExpectedTokens: 600}
	item := &Item{ExpectedTokens: 100}
	r.jobs["a"] = map[string]*job{
		"waiting": {head: a, item: item, state: jobWaiting},
		"running": {head: a, item: item, state: jobRunning, events: make([]string, 4)},
		"scoring": {head: a, item: item, state: jobScoring},
		"listed":  {head: a, item: item, state: jobResultQueued},
		"held":    {head: a, item: item, state: jobWaiting, heldLogged: true},
		"whole":   {head: a, item: item, state: jobWaiting, textComplete: true},
	}
	r.jobs["b"] = map[string]*job{"other": {head: &Head{ID: "b", Host: "h", Path: "/b/1"}, item: item, state: jobWaiting}}
	load := r.openWork(now, &fleet.Snapshot{Tables: tables}, "a")
	is.Equal(load.Waiting, 1)
	is.Equal(len(load.Open), 2)
	is.Equal(load.EventInterval, initialInterval)
	sum := time.Duration(0)
	for _, w := range load.Open {
		sum += w.Remaining
		is.True((w.Due - 6500*time.Millisecond).Abs() < 2*time.Millisecond)
	}
	is.Equal(sum, 16*initialInterval) // ten events and six

	ix := newIndexState()
	for id, h := range map[string]*Head{"a": a, "old": {ID: "old", Host: "h", Path: "/a/1", AcceptedMs: now.Add(-time.Minute).UnixMilli(), ExpectedTokens: 6000}} {
		ix.submissions[id] = &submissionState{head: h, itemCount: 6}
	}
	ix.order = []string{"old", "a"}
	is.Equal(arrivingSlots(now, ix, time.Second, tables, "a"), 5.0) // 60 s of work in 12 s
	is.Equal(arrivingSlots(now, ix, time.Second, tables, "b"), 0.0)
}
