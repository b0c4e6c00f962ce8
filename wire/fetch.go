package wire

import (
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/trial"
)

// FetchParams reads records of a stream through a peer, which may wait for new ones.
type FetchParams struct {
	Stream string       `json:"stream"`
	From   trial.Offset `json:"from"`
	WaitMs int64        `json:"wait_ms"`
}

// FetchResult carries records that the peer has read from the log, or a snapshot where it no
// longer keeps the records.
type FetchResult struct {
	Records  []trial.Record   `json:"records"`
	Snapshot *config.Snapshot `json:"snapshot,omitempty"`
	Next     trial.Offset     `json:"next"`
	// First is the oldest offset that the log retains; a peer that kept what was asked for sends 0.
	First trial.Offset `json:"first,omitempty"`
	// RetentionMs is how long the log keeps a record, in milliseconds; 0 means for ever.
	RetentionMs int64 `json:"retention_ms"`
	// AgeMs is how long ago the peer last knew that Next was the end of the log, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// Lateral is true where the peer's records do not come from the log along its zone's tree but
	// from another peer: it is cut from the log, or the one above it is.
	Lateral bool `json:"lateral,omitempty"`
}
