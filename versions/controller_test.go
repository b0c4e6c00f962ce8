package versions

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fleet"
)

// partitionedEngines are engines of which some answer no call until its context ends.
type partitionedEngines struct {
	silent map[string]bool

	mu       sync.Mutex
	versions map[string]int64
}

func (e *partitionedEngines) Report(ctx context.Context, _, id string) (Report, error) {
	if e.silent[id] {
		<-ctx.Done()
		return Report{}, ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return Report{Versions: map[string]int64{"m": e.versions[id]}}, nil
}

func (e *partitionedEngines) Order(_ context.Context, o Order) (Verdict, error) {
	if e.silent[o.InstanceID] {
		return "", errors.New("no answer")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions[o.InstanceID] = o.Version
	return Accepted, nil
}

// loaded returns the number of engines with at least the version.
func (e *partitionedEngines) loaded(version int64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, v := range e.versions {
		if v >= version {
			n++
		}
	}
	return n
}

// heldTenure is a tenure that is always held.
type heldTenure struct{}

func (heldTenure) OrderDelay() (time.Duration, bool) { return 0, true }
func (heldTenure) BeginWave(context.Context) error   { return nil }
func (heldTenure) MaySend() bool                     { return true }
func (heldTenure) Held() (int64, bool)               { return 1, true }

type noObserver struct{}

func (noObserver) LoadStarted(Intent)                 {}
func (noObserver) LoadFinished(Intent, time.Duration) {}
func (noObserver) LoadFailed(Intent)                  {}

// TestEnginesBehindAPartitionDoNotDelayOtherLoads replays the loss of a zone on the large deployment: each wave waited a second for
// the reports of unreachable engines, which were chosen first as they were idle, and loads stopped for half of the time.
func TestEnginesBehindAPartitionDoNotDelayOtherLoads(t *testing.T) {
	is := is.New(t)
	engines := &partitionedEngines{silent: map[string]bool{}, versions: map[string]int64{}}
	list := instances(20, map[string]int64{"m": 1})
	for n, in := range list {
		engines.versions[in.Name] = 1
		engines.silent[in.Name] = n < 4 // these come first in each plan
	}
	view := fleet.NewView()
	view.Set(&fleet.Snapshot{
		Tables:    &fleet.Tables{Pools: []fleet.Pool{{Pool: config.Pool{Name: "p"}, Engine: &fleet.Engine{Slots: 8, Models: []string{"m"}}}}},
		Instances: list, NamedVersions: map[string]int64{"m": 2},
	})
	c := &Controller{
		Pool: "p", View: view, Engines: engines, Tenure: heldTenure{}, Log: slog.New(slog.DiscardHandler), Demand: lagDemand(0), LoadObserver: noObserver{},
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go c.Run(ctx)
	deadline := time.Now().Add(8 * time.Second) // four waves of four loads, each seen after 0.9 s
	for engines.loaded(2) < 16 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(engines.loaded(2), 16)
}
