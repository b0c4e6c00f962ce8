package ctl

import (
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/batch"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/detour"
	"github.com/ibistrail/ibistrail/entry"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/quarantine"
	"github.com/ibistrail/ibistrail/scaling"
	"github.com/ibistrail/ibistrail/tenure"
	"github.com/ibistrail/ibistrail/wire"
)

// serveVMState serves the state of an entry VM at its metrics address, as ibisentry does.
func serveVMState(t *testing.T, name string, version int64) string {
	t.Helper()
	priority := config.Priority(3)
	ordered := int(version)
	s := entry.State{
		VM: name, AvailabilityZone: "dixie-east-a", Ready: true, TablesVersion: version,
		Tables: &fleet.Tables{Version: version,
			Organisations: []fleet.Organisation{{Name: "hule", Keys: []fleet.KeyDigest{fleet.DigestOf("k1"), fleet.DigestOf("k2")}, Priority: &priority}, {Name: "ludo"}},
			Routes:        []fleet.Route{{Route: config.Route{Name: "desk", Pool: "desk", PathPrefix: "/desk", TimeoutMs: 1000, NonIdempotent: true}, Host: "magnolia.example", MaxAttempts: 3}},
			Pools:         []fleet.Pool{{Pool: config.Pool{Name: "models", Kind: config.PoolEngines}, Engine: &fleet.Engine{Slots: 8, Models: []string{"draft"}}}}},
		Targets: []*fleet.Instance{
			{Target: config.Target{Name: "m1", Address: "10.0.0.1:8000", AvailabilityZone: "dixie-east-a"}, Pool: "models", SoftwareVersion: "v1.1", Versions: map[string]int64{"draft": 7}},
			{Target: config.Target{Name: "m2", Address: "10.0.0.2:8000", AvailabilityZone: "dixie-east-b", Draining: true}, Pool: "models", Versions: map[string]int64{"draft": 6}},
		},
		NamedVersions: map[string]int64{"draft": 7},
		RateLimits:    map[string]float64{"m1": 2.5},
		TargetPaths:   detour.State{Lost: []string{"m2"}, Through: []string{"vm-7"}},
		Quarantine:    quarantine.State{Suspects: []string{"fp-a"}, Quarantined: []wire.Quarantine{{Fingerprint: "fp-b", Deaths: 3, Until: time.Unix(1_800_000_000, 0)}}},
		Tenures:       map[int]tenure.State{3: {Held: true, Token: 41, Holder: name}},
		Scaling: map[string]scaling.State{"models": {Reason: "steady", Subjects: []scaling.SubjectState{
			{Zone: "dixie-east-b", Spot: true, Observed: 2, Wanted: 5, Ordered: &ordered, LastOutcome: scaling.NoneAvailable, Reason: "120 slots needed"},
		}}},
		Batches: batch.State{
			Partitions: map[int]batch.PartitionState{3: {Owned: true, Batches: []batch.BatchState{{ID: "b1", Step: 4, Total: 64, Listed: 60}}}},
			Runner:     batch.RunnerState{Jobs: map[string]int{"running": 4}, Engines: map[string]batch.EngineState{"m1": {Running: 4}}},
		},
	}
	d := process.DebugServer{Metrics: process.NewMetrics(), State: func() any { return s }, Ready: func() error { return nil }}
	srv := httptest.NewServer(d.Handler())
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func TestVMGetShowsEachPartOfState(t *testing.T) {
	address := serveVMState(t, "vm-1", 17)
	for what, want := range map[string][]string{
		"organisations": {"hule", "2", "3", "ludo", "0", "-"},
		"routes":        {"desk", "magnolia.example", "/desk", "single, once"},
		"pools":         {"models", "engines", "8"},
		"targets":       {"m1", "10.0.0.1:8000", "draft=7", "true", "2.5", "v1.1", "direct", "through vm-7"},
		"versions":      {"draft", "7:1 6:1"},
		"batches":       {"b1", "64", "60"},
		"tenures":       {"vm-1", "41"},
		"quarantine":    {"fp-a", "suspect", "fp-b", "quarantined", "2027-01-15T08:00:00Z"},
		"scaling":       {"models", "dixie-east-b", "spot", "17", "none_available", "120 slots needed"},
	} {
		t.Run(what, func(t *testing.T) {
			is := is.New(t)
			code, out, stderr := run(t, nil, "vm", "get", what, "--vm", address)
			is.Equal(stderr, "")
			is.Equal(code, ExitOK)
			is.True(strings.Contains(out, "tables version 17"))
			for _, w := range want {
				is.True(strings.Contains(out, w))
			}
		})
	}
}

func TestVMListNamesUnreachableVMs(t *testing.T) {
	is := is.New(t)
	code, out, stderr := run(t, nil, "vm", "list", "--vm", serveVMState(t, "vm-1", 17)+",127.0.0.1:1")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "vm-1"))
	is.True(strings.Contains(out, "4/0"))
	is.True(strings.Contains(stderr, "127.0.0.1:1 did not answer"))
	code, _, stderr = run(t, nil, "vm", "list", "--vm", "127.0.0.1:1")
	is.Equal(code, ExitUnavailable)
	is.True(strings.Contains(stderr, "check that --vm names metrics addresses"))
}

func TestVMWatchWaitsForEachVM(t *testing.T) {
	is := is.New(t)
	addresses := serveVMState(t, "vm-1", 17) + "," + serveVMState(t, "vm-2", 16)
	code, _, stderr := run(t, nil, "vm", "watch", "--vm", addresses, "--timeout", "600ms")
	is.Equal(code, ExitTimeout)
	is.True(strings.Contains(stderr, "17 is not in force"))
	code, out, _ := run(t, nil, "vm", "watch", "--vm", addresses, "--version", "16")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "in force on 2 VMs"))
}

func TestCheckPlatformSettingsFile(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "boot.toml")
	is.NoErr(os.WriteFile(file, []byte("NodeName = \"vm-1\"\n"), 0o600))
	code, out, _ := run(t, nil, "check", file)
	is.Equal(code, ExitUsage)
	is.True(strings.Contains(out, "Listen.FrontendAddr"))
	is.NoErr(os.WriteFile(file, []byte("NodeName = "), 0o600))
	code, out, _ = run(t, nil, "check", file)
	is.Equal(code, ExitUsage)
	is.True(strings.Contains(out, "boot.toml"))
}
