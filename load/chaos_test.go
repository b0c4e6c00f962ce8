package load

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/fake/deployment"
	"github.com/ibistrail/ibistrail/internal/loopback"
	"github.com/matryer/is"
)

// TestGuaranteesHoldDuringZoneLossAndPlatformOutage checks that no guarantee is violated under overlapping faults:
// a slow engine, a platform outage, a failing scorer and a zone whose VMs lose power.
func TestGuaranteesHoldDuringZoneLossAndPlatformOutage(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	quiet := slog.New(slog.DiscardHandler)
	d, err := StartLocalDeployment(ctx, deployment.Options{Preset: deployment.PresetMagnolia, VMsPerZone: 1, DrainTimeoutMs: 1000, Host: loopback.Host()}, quiet)
	is.NoErr(err)
	defer d.Close()
	faults := []FaultEvent{
		{AtMs: 300, ForMs: 1500, Kind: "engine", Names: []string{"drafting-models-1"}, Set: json.RawMessage(`{"slow_factor":10}`)},
		{AtMs: 500, ForMs: 1500, Kind: "platform"},
		{AtMs: 800, ForMs: 700, Kind: "service", Names: []string{"scoring-1"}, Set: json.RawMessage(`{"fail":-1}`)},
		{AtMs: 1200, Kind: "zone", Names: []string{"dixie-east-b"}},
	}
	injected := make(chan error, 1)
	go func() { injected <- d.injectFaults(ctx, faults, time.Now()) }()
	tally, err := Demo(ctx, DemoOptions{Site: d.Site, Duration: 3 * time.Second, Seed: 2, InitialVersion: 1, Log: quiet})
	is.NoErr(err)
	is.NoErr(<-injected)
	for _, p := range tally.Problems {
		t.Log(p)
	}
	t.Log(tally.Line())
	is.True(tally.Passed())
}
