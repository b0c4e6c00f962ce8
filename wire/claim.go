package wire

import (
	"github.com/ibistrail/ibistrail/trial"
)

// ClaimParams claims an idempotency key that a caller chose, for one incarnation of a gate.
type ClaimParams struct {
	// Key is the hex SHA-256 of caller, route and the caller's key.
	Key string `json:"key"`
	// Fingerprint is the hex SHA-256 of the request's method, path and body.
	Fingerprint     string `json:"fingerprint"`
	GateID          string `json:"gate_id"`
	GateIncarnation string `json:"gate_incarnation"`
	// ClaimID is the unique ID of this claim; its log record has the same ID.
	ClaimID string `json:"claim_id"`
	// TimeoutMs limits the wait until the claim is read back from the log, in milliseconds.
	TimeoutMs int64 `json:"timeout_ms"`
}

// ClaimResult identifies the holder of a key. The caller of MethodClaim may run the request only if
// ClaimID equals the one that it sent.
type ClaimResult struct {
	ClaimID         string       `json:"claim_id"`
	Fingerprint     string       `json:"fingerprint"`
	GateID          string       `json:"gate_id"`
	GateIncarnation string       `json:"gate_incarnation"`
	Offset          trial.Offset `json:"offset"`
}

// RelayClaimsParams holds claims of several gates for the zone's relay, which appends them to the log in one batch.
type RelayClaimsParams struct {
	Claims []ClaimParams `json:"claims"`
}

// RelayClaimsResult holds the result of each claim, in order; nil means that the claim was not decided in time.
type RelayClaimsResult struct {
	Results []*ClaimResult `json:"results"`
}
