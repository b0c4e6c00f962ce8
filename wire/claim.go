package wire

import (
	"github.com/ibistrail/ibistrail/trial"
)

// ClaimParams claims a caller's own idempotency key for a gate's incarnation.
type ClaimParams struct {
	// Key is the hex SHA-256 over caller, route and the caller's key.
	Key string `json:"key"`
	// Fingerprint is the hex SHA-256 over the request's method, path and body.
	Fingerprint     string `json:"fingerprint"`
	GateID          string `json:"gate_id"`
	GateIncarnation string `json:"gate_incarnation"`
	// ClaimID is the unique ID of this attempt to claim; it is the log record's ID too.
	ClaimID string `json:"claim_id"`
	// TimeoutMs bounds the wait for the read-back.
	TimeoutMs int64 `json:"timeout_ms"`
}

// ClaimResult tells who holds a key. The caller of MethodClaim may run the request only if
// ClaimID equals its own.
type ClaimResult struct {
	ClaimID         string       `json:"claim_id"`
	Fingerprint     string       `json:"fingerprint"`
	GateID          string       `json:"gate_id"`
	GateIncarnation string       `json:"gate_incarnation"`
	Offset          trial.Offset `json:"offset"`
}

// RelayClaimsParams carries claims of several gates to the zone's relay, which appends them together.
type RelayClaimsParams struct {
	Claims []ClaimParams `json:"claims"`
}

// RelayClaimsResult answers each claim; an entry is nil where the claim was not decided in time.
type RelayClaimsResult struct {
	Results []*ClaimResult `json:"results"`
}
