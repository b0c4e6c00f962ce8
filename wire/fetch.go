package wire

import (
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/trial"
)

// FetchParams requests records of a stream from a peer. The peer waits up to WaitMs milliseconds for new ones.
type FetchParams struct {
	Stream string       `json:"stream"`
	From   trial.Offset `json:"from"`
	WaitMs int64        `json:"wait_ms"`
}

// FetchResult holds records that the peer has read from the log, or a snapshot if the peer no longer
// keeps the requested records.
type FetchResult struct {
	Records  []trial.Record   `json:"records"`
	Snapshot *config.Snapshot `json:"snapshot,omitempty"`
	Next     trial.Offset     `json:"next"`
	// First is the oldest offset that the log retains, or 0 if the peer still has the requested records.
	First trial.Offset `json:"first,omitempty"`
	// RetentionMs is the retention period of the log, in milliseconds; 0 means unlimited.
	RetentionMs int64 `json:"retention_ms"`
	// AgeMs is the time since Next was last known to be the end of the log, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// Lateral is true if the peer's records do not come from the log down its zone's tree but from another
	// peer, because the peer or its parent in the tree cannot reach the log.
	Lateral bool `json:"lateral,omitempty"`
}
