package entry

import (
	"github.com/ibistrail/ibistrail/batch"
	"github.com/ibistrail/ibistrail/detour"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/quarantine"
	"github.com/ibistrail/ibistrail/routing"
	"github.com/ibistrail/ibistrail/scaling"
	"github.com/ibistrail/ibistrail/shedding"
	"github.com/ibistrail/ibistrail/tenure"
	"github.com/ibistrail/ibistrail/usage"
)

// State is the state dump of a process, which ibisctl reads.
type State struct {
	VM               string `json:"vm"`
	AvailabilityZone string `json:"az"`
	Ready            bool   `json:"ready"`
	Stopping         bool   `json:"stopping"`
	// TablesVersion is the version of the current tables; 0 before the first ones.
	TablesVersion int64 `json:"tables_version"`
	// TablesAgeMs is the time since the last complete read of the operator's topic began, in milliseconds.
	TablesAgeMs int64             `json:"tables_age_ms"`
	Tables      *fleet.Tables     `json:"tables"`
	Targets     []*fleet.Instance `json:"targets"`
	// NamedVersions are the newest weight versions that trainers have named, by model.
	NamedVersions map[string]int64 `json:"named_versions"`
	// Tenures holds the tenures by partition.
	Tenures map[int]tenure.State `json:"tenures"`
	Batches batch.State          `json:"batches"`
	// Scaling holds the pools whose targets this VM orders, by pool.
	Scaling map[string]scaling.State `json:"scaling,omitempty"`
	// Requests holds the routing state of the targets of single requests, by pool.
	Requests map[string][]routing.TargetState `json:"requests"`
	// Waiting holds the requests that wait for room in pools of plain services, by pool.
	Waiting map[string]shedding.State `json:"waiting,omitempty"`
	// Quarantine holds the requests that were running when targets crashed, by the fingerprint of their content.
	Quarantine quarantine.State `json:"quarantine"`
	// RateLimits holds the limits that targets have named, in requests a second, by target.
	RateLimits map[string]float64 `json:"target_limits,omitempty"`
	// DrainingTargets holds the targets that said in an answer that they leave.
	DrainingTargets []string `json:"draining_targets,omitempty"`
	// TargetPaths tells which targets this VM reaches itself.
	TargetPaths detour.State `json:"target_paths"`
	// Usage is the state of usage reports; nil without this duty.
	Usage *usage.State `json:"usage,omitempty"`
}

// State returns the current state for the state dump.
func (p *Process) State() State {
	snap := p.View.Get()
	s := State{
		VM: p.opts.Settings.VM, AvailabilityZone: p.opts.Settings.AvailabilityZone, Ready: p.Ready(), Stopping: p.ShuttingDown(),
		Tables: snap.Tables, Targets: snap.Instances, NamedVersions: snap.NamedVersions,
		Tenures: p.tenures.states(), Batches: p.Batches.State(), Scaling: p.tenures.scalingStates(), Requests: p.Forwarder.State(), Waiting: p.Forwarder.Waiting(),
		Quarantine: p.crashes.State(), RateLimits: p.targets.RateLimits(), DrainingTargets: p.targets.DrainingTargets(), TargetPaths: p.detour.State(), Usage: p.usage.state(),
	}
	if snap.Tables != nil {
		s.TablesVersion, s.TablesAgeMs = snap.Tables.Version, p.follower.tablesAge().Milliseconds()
	}
	return s
}
