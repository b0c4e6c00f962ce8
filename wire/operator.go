package wire

import (
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/trial"
)

// OperatorParams authenticates an operator.
type OperatorParams struct {
	Token string `json:"token"`
}

// ApplyParams publishes a change.
type ApplyParams struct {
	OperatorParams
	Change    config.Change `json:"change"`
	TimeoutMs int64         `json:"timeout_ms"`
}

// ApplyResult tells how the change was decided at read-back.
type ApplyResult struct {
	Decision config.Decision `json:"decision"`
}

// GetResult is the tables in force.
type GetResult struct {
	Snapshot config.Snapshot `json:"snapshot"`
}

// HistoryParams asks for the last Limit decisions.
type HistoryParams struct {
	OperatorParams
	Limit int `json:"limit"`
}

// HistoryResult carries decisions, the newest last.
type HistoryResult struct {
	Decisions []config.Decision `json:"decisions"`
}

// NodesResult lists the known nodes.
type NodesResult struct {
	// Latest is the newest decided revision that the answering steward knows.
	Latest  trial.Offset `json:"latest"`
	Members []Member     `json:"members"`
}

// ExplainParams names a request by its HeaderRequestID or its step ID.
type ExplainParams struct {
	OperatorParams
	RequestID string `json:"request_id"`
}

// ExplainResult is the recorded events of a request, oldest first.
type ExplainResult struct {
	Gate   string  `json:"gate"`
	Events []Event `json:"events"`
}

// Event is one decision about a request.
type Event struct {
	Time   time.Time `json:"time"`
	Name   string    `json:"name"`
	Detail string    `json:"detail"`
}
