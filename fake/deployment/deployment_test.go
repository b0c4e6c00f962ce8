package deployment

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/settings"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/matryer/is"
)

func TestWrittenPlanOfEachPresetIsValid(t *testing.T) {
	for _, name := range PresetNames() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, err := Plan(Options{Preset: Preset(name)})
			is.NoErr(err)
			dir := t.TempDir()
			is.NoErr(d.Write(dir))
			procs, err := os.ReadFile(filepath.Join(dir, FileProcesses))
			is.NoErr(err)
			is.Equal(len(strings.Split(strings.TrimSpace(string(procs)), "\n")), 3+2*len(d.Gates))
			addresses := map[string]bool{}
			for _, p := range d.Tables.Pools {
				for _, target := range p.Targets {
					is.True(!addresses[target.Address])
					addresses[target.Address] = true
				}
			}
			for _, r := range d.Tables.Routes {
				is.True(d.Tables.Pool(r.Pool) != nil)
				is.True(len(r.Callers) > 0)
			}
			raw, err := os.ReadFile(filepath.Join(dir, FileTables))
			is.NoErr(err)
			_, problems := config.ParseTables(raw)
			is.Equal(problems, nil)
			for _, g := range d.Gates {
				_, err := settings.LoadGate(filepath.Join(dir, "gate-"+g.ID+".json"))
				is.NoErr(err)
				s, err := settings.LoadSteward(filepath.Join(dir, "steward-"+g.ID+".json"))
				is.NoErr(err)
				_, err = s.PeerToken()
				is.NoErr(err)
			}
			engines, err := Load[EnginesSettings](filepath.Join(dir, FileEngines))
			is.NoErr(err)
			is.Equal(len(engines.Engines), len(d.Endpoints.Engines))
		})
	}
	_, err := Plan(Options{Preset: "none"})
	if err == nil {
		t.Fatal("Plan succeeded with the unknown preset none; want an error")
	}
}

func TestStandinsServeAndCrash(t *testing.T) {
	is := is.New(t)
	d, err := Plan(Options{Preset: PresetSmall, Host: "127.7.7.1", FetchMs: 1})
	is.NoErr(err)
	p, err := StartPlatform(d.Platform)
	is.NoErr(err)
	defer p.Close()
	e, err := StartEngines(d.Engines)
	is.NoErr(err)
	defer e.Close()
	s, err := StartServices(d.Services)
	is.NoErr(err)
	defer s.Close()
	ctx := context.Background()
	ec := trial.NewEngineClient(nil)
	target := d.Endpoints.Engines[0]
	_, err = ec.Status(ctx, target.Address)
	is.NoErr(err)
	vms, err := trial.NewVMListClient(d.Endpoints.VMs, nil).VMs(ctx)
	is.NoErr(err)
	is.Equal(len(vms.VMs), len(d.Gates)+len(d.Endpoints.Engines)+len(d.Endpoints.Services))
	f := e.Engines[target.Name].Faults()
	f.Crash = true
	is.NoErr(e.Engines[target.Name].SetFaults(f))
	_, err = ec.Status(ctx, target.Address)
	is.True(err != nil)
	is.Equal(d.Tables.Pool("drafting-models").Kind, config.PoolEngines)
}
