package wire

import (
	"github.com/ibistrail/ibistrail/api"
)

// KeyOutcomeParams requests the outcome of a ticket or of a claimed key from its holder.
type KeyOutcomeParams struct {
	// GateIncarnation is the holder's incarnation; the gate's other incarnations have no record of the key.
	GateIncarnation string `json:"gate_incarnation"`
	// Revoke requests that the key is revoked, so that its request never runs, unless it has run already.
	Revoke bool `json:"revoke,omitempty"`
	// NewHolderID and NewHolderIncarnation, if set, request that the key is transferred to that gate, if its
	// request has not run.
	NewHolderID          string `json:"new_holder_id,omitempty"`
	NewHolderIncarnation string `json:"new_holder_incarnation,omitempty"`
	// Key and Fingerprint are hashes as in ClaimParams; a ticket takes the place of the caller's key.
	Key         string `json:"key"`
	Fingerprint string `json:"fingerprint"`
	// WaitMs limits the wait for a running request, in milliseconds.
	WaitMs int64 `json:"wait_ms"`
}

// KeyOutcomeResult is the state of a key at its holder, with the response if the request has run.
type KeyOutcomeResult struct {
	// Known is false if the gate has no record of the key.
	Known bool `json:"known"`
	// Done is false while the request is running and after the key was transferred.
	Done bool `json:"done"`
	// Reused is true if the key was used for a request with another fingerprint.
	Reused bool `json:"reused,omitempty"`
	// ClaimID is set if the claim was transferred to the new holder, which may now run the request.
	ClaimID string `json:"claim_id,omitempty"`
	// TransferredTo and TransferredToIncarnation identify the gate that the key was transferred to earlier;
	// the caller asks that gate instead.
	TransferredTo            string              `json:"transferred_to,omitempty"`
	TransferredToIncarnation string              `json:"transferred_to_incarnation,omitempty"`
	Outcome                  api.Outcome         `json:"outcome"`
	Status                   int                 `json:"status"`
	Header                   map[string][]string `json:"header,omitempty"`
	Body                     []byte              `json:"body,omitempty"`
}
