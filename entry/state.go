package entry

import (
	"github.com/ibistrail/ibistrail/batch"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/routing"
	"github.com/ibistrail/ibistrail/tenure"
)

// State is what the state dump shows, and what ibisctl reads.
type State struct {
	VM               string `json:"vm"`
	AvailabilityZone string `json:"az"`
	Ready            bool   `json:"ready"`
	Stopping         bool   `json:"stopping"`
	// TablesVersion is the version of the tables in force; 0 before the first ones.
	TablesVersion int64             `json:"tables_version"`
	Tables        *fleet.Tables     `json:"tables"`
	Targets       []*fleet.Instance `json:"targets"`
	// NamedVersions are the newest weight versions that trainers have named, by model.
	NamedVersions map[string]int64 `json:"named_versions"`
	// Tenures are by partition.
	Tenures map[int]tenure.State `json:"tenures"`
	Batches batch.State          `json:"batches"`
	// Requests shows the targets of single requests, by pool.
	Requests map[string][]routing.TargetState `json:"requests"`
}

// State returns what the state dump shows.
func (p *Process) State() State {
	snap := p.View.Get()
	s := State{
		VM: p.parts.Settings.VM, AvailabilityZone: p.parts.Settings.AvailabilityZone, Ready: p.Ready(), Stopping: p.Closing(),
		Tables: snap.Tables, Targets: snap.Instances, NamedVersions: snap.Named,
		Tenures: p.work.state(), Batches: p.Batches.State(), Requests: p.Forward.State(),
	}
	if snap.Tables != nil {
		s.TablesVersion = snap.Tables.Version
	}
	return s
}
