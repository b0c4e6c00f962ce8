package wire

import (
	"github.com/ibistrail/ibistrail/api"
)

// KeyOutcomeParams names a ticket or a claim.
type KeyOutcomeParams struct {
	// GateIncarnation is the owner; another incarnation knows nothing of the key.
	GateIncarnation string `json:"gate_incarnation"`
	// Revoke asks that a key that has not run never will.
	Revoke bool `json:"revoke,omitempty"`
	// NewHolderID and NewHolderIncarnation, if set, ask for the right to run a claimed key that has not run.
	NewHolderID          string `json:"new_holder_id,omitempty"`
	NewHolderIncarnation string `json:"new_holder_incarnation,omitempty"`
	Key                  string `json:"key"`
	Fingerprint          string `json:"fingerprint"`
	WaitMs               int64  `json:"wait_ms"`
}

// KeyOutcomeResult carries the answer of a request that its owner ran.
type KeyOutcomeResult struct {
	Known bool `json:"known"`
	Done  bool `json:"done"`
	// Reused is true if the key belongs to a request with another fingerprint.
	Reused bool `json:"reused,omitempty"`
	// ClaimID is set where the asker has become the holder of the claim and may run the request.
	ClaimID string `json:"claim_id,omitempty"`
	// TransferredTo and TransferredToIncarnation name the holder to ask instead.
	TransferredTo            string              `json:"transferred_to,omitempty"`
	TransferredToIncarnation string              `json:"transferred_to_incarnation,omitempty"`
	Outcome                  api.Outcome         `json:"outcome"`
	Status                   int                 `json:"status"`
	Header                   map[string][]string `json:"header,omitempty"`
	Body                     []byte              `json:"body,omitempty"`
}
