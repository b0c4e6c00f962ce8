package wire

import (
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/trial"
)

// WatchParams requests a State with a Seq above Since, waiting up to WaitMs milliseconds.
type WatchParams struct {
	GateID string `json:"gate_id"`
	// GateIncarnation identifies the gate process; tickets and claims carry it.
	GateIncarnation string `json:"gate_incarnation"`
	Since           uint64 `json:"since"`
	WaitMs          int64  `json:"wait_ms"`
	// Revision is the log offset of the configuration that the gate applies.
	Revision trial.Offset `json:"revision"`
	// Draining is true while the gate shuts down in a planned stop.
	Draining bool `json:"draining"`
}

// State is the state of the rest of the system as a gate needs it. A steward always sends the whole
// State, to the gate of its own VM over loopback.
type State struct {
	Seq uint64 `json:"seq"`
	// Ready is false until the steward has read the current configuration.
	Ready bool `json:"ready"`
	// Revision is the log offset of the configuration; Tables is nil if it equals WatchParams.Revision.
	Revision trial.Offset   `json:"revision"`
	Tables   *config.Tables `json:"tables,omitempty"`
	// Draining holds the targets that get no new requests: the reason by address.
	Draining map[string]string `json:"draining"`
	// Quarantined lists requests that are refused at once with a final error.
	Quarantined []Quarantine `json:"quarantined"`
	// Suspects lists the fingerprints of requests that were running when an engine died; each runs alone
	// on its target until it is cleared.
	Suspects []string `json:"suspects,omitempty"`
	// Versions holds the latest known weight version by model.
	Versions map[string]int64 `json:"versions"`
	// EngineVersions holds the weight version that each engine last reported, by target address.
	EngineVersions map[string]int64 `json:"engine_versions"`
	// Peers lists the live gates of other VMs.
	Peers []Node `json:"peers"`
}

// Quarantine blocks a request, given by its fingerprint, up to the time Until.
type Quarantine struct {
	// Fingerprint is the hex SHA-256 of route and body.
	Fingerprint string    `json:"fingerprint"`
	Until       time.Time `json:"until"`
	// Deaths is the number of engines that died while they ran the request.
	Deaths int `json:"deaths"`
}

// ReportParams holds a gate's observations of targets, requests and weight versions.
type ReportParams struct {
	// Leaving lists the addresses of targets whose responses say that they are draining.
	Leaving []string `json:"leaving"`
	// Deaths lists engine deaths, one entry for each request that was running on the engine, alone or not.
	Deaths []Death `json:"deaths"`
	// Cleared lists the fingerprints of suspects that were found not to be the cause of a death.
	Cleared []string `json:"cleared"`
	// Versions holds the latest trainer version in a pull, by model.
	Versions map[string]int64 `json:"versions"`
}

// Death reports that an engine died while it ran a request, which becomes a suspect.
type Death struct {
	Fingerprint string `json:"fingerprint"`
	Target      string `json:"target"`
	// Boot is the incarnation of the engine that died.
	Boot string `json:"boot"`
	// Alone is true if the request ran alone on the engine, in a trial that the arbiter granted.
	Alone bool `json:"alone"`
}

// Key identifies the death by fingerprint, target and boot, for records that have a key.
func (d Death) Key() string { return d.Fingerprint + "|" + d.Target + "|" + d.Boot }

// QuarantineNotice notifies peers directly of suspect and quarantined requests, ahead of the slower rumors.
type QuarantineNotice struct {
	// Deaths lists engine deaths; their requests become suspects.
	Deaths []Death `json:"deaths"`
	// Quarantined lists requests that are refused at once with a final error.
	Quarantined []Quarantine `json:"quarantined"`
	// Cleared lists the fingerprints of suspects that were found not to be the cause of a death.
	Cleared []string `json:"cleared"`
}

// TrialParams requests permission to run a suspect alone on a target, or reports the end of that run.
type TrialParams struct {
	Pool        string `json:"pool"`
	Fingerprint string `json:"fingerprint"`
	Target      string `json:"target"`
	GateID      string `json:"gate_id"`
	End         bool   `json:"end,omitempty"`
}

// TrialResult reports whether the run may start.
type TrialResult struct {
	Granted bool `json:"granted"`
}
