package wire

import (
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/trial"
)

// WatchParams asks for a State with a Seq above Since, waiting up to WaitMs.
type WatchParams struct {
	GateID string `json:"gate_id"`
	// GateIncarnation is the gate's process incarnation, which tickets and claims name.
	GateIncarnation string `json:"gate_incarnation"`
	Since           uint64 `json:"since"`
	WaitMs          int64  `json:"wait_ms"`
	// Revision is the configuration that the gate has in force.
	Revision trial.Offset `json:"revision"`
	// Draining is true while the gate performs a planned stop.
	Draining bool `json:"draining"`
}

// State is what a gate needs to know of the rest of the system. It is sent whole to the gate of
// the same VM, over loopback.
type State struct {
	Seq uint64 `json:"seq"`
	// Ready is false until the steward knows the configuration in force.
	Ready bool `json:"ready"`
	// Revision is the log offset of the configuration; Tables is nil when it equals the watcher's.
	Revision trial.Offset   `json:"revision"`
	Tables   *config.Tables `json:"tables,omitempty"`
	// Draining are targets that get no new work, by address, with the reason.
	Draining map[string]string `json:"draining"`
	// Quarantined are request fingerprints that get a final answer at once.
	Quarantined []Quarantine `json:"quarantined"`
	// Suspects are request fingerprints that were running when an engine died; they run alone
	// until they are cleared.
	Suspects []string `json:"suspects,omitempty"`
	// Versions are the newest known weight versions by model.
	Versions map[string]int64 `json:"versions"`
	// EngineVersions are what engines were last seen to run, by target address.
	EngineVersions map[string]int64 `json:"engine_versions"`
	// Peers are live gates of other VMs.
	Peers []Node `json:"peers"`
}

// Quarantine bars a request by its fingerprint until a time.
type Quarantine struct {
	// Fingerprint is the hex SHA-256 over route and body.
	Fingerprint string    `json:"fingerprint"`
	Until       time.Time `json:"until"`
	// Deaths counts engines that died while running it.
	Deaths int `json:"deaths"`
}

// ReportParams tells what a gate has seen.
type ReportParams struct {
	// Leaving are targets that said themselves that they are draining, by address.
	Leaving []string `json:"leaving"`
	// Deaths are fingerprints that were running, alone or not, when an engine died.
	Deaths []Death `json:"deaths"`
	// Cleared are fingerprints that proved harmless.
	Cleared []string `json:"cleared"`
	// Versions are versions that trainers stated in pulls, by model.
	Versions map[string]int64 `json:"versions"`
}

// Death is one engine death with a suspect on it.
type Death struct {
	Fingerprint string `json:"fingerprint"`
	Target      string `json:"target"`
	Boot        string `json:"boot"`
	Alone       bool   `json:"alone"`
}

// QuarantineNotice tells peers of requests whose runs ended with dead engines, ahead of the rumor.
type QuarantineNotice struct {
	// Deaths make their fingerprints suspects.
	Deaths []Death `json:"deaths"`
	// Quarantined get a final answer at once.
	Quarantined []Quarantine `json:"quarantined"`
	// Cleared are fingerprints that proved harmless.
	Cleared []string `json:"cleared"`
}

// TrialParams begins or ends the run of a suspect that is alone on its target.
type TrialParams struct {
	Pool        string `json:"pool"`
	Fingerprint string `json:"fingerprint"`
	Target      string `json:"target"`
	GateID      string `json:"gate_id"`
	End         bool   `json:"end,omitempty"`
}

// TrialResult tells whether the trial may begin.
type TrialResult struct {
	Granted bool `json:"granted"`
}
