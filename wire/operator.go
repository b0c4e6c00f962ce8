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

// ApplyParams publishes a configuration change. TimeoutMs limits the wait until it is read back, in milliseconds.
type ApplyParams struct {
	OperatorParams
	Change    config.Change `json:"change"`
	TimeoutMs int64         `json:"timeout_ms"`
}

// ApplyResult holds the decision on the change, made when it was read back from the log.
type ApplyResult struct {
	Decision config.Decision `json:"decision"`
}

// GetResult holds the current configuration tables.
type GetResult struct {
	Snapshot config.Snapshot `json:"snapshot"`
}

// HistoryParams requests the last Limit decisions.
type HistoryParams struct {
	OperatorParams
	Limit int `json:"limit"`
}

// HistoryResult holds decisions, oldest first.
type HistoryResult struct {
	Decisions []config.Decision `json:"decisions"`
}

// NodesResult lists the known nodes.
type NodesResult struct {
	// Latest is the latest configuration revision that the answering steward has read from the log.
	Latest  trial.Offset `json:"latest"`
	Members []Member     `json:"members"`
}

// ExplainParams requests the events of a request, given its api.HeaderRequestID or its step ID.
type ExplainParams struct {
	OperatorParams
	RequestID string `json:"request_id"`
}

// ExplainResult holds the recorded events of a request, oldest first.
type ExplainResult struct {
	Gate   string  `json:"gate"`
	Events []Event `json:"events"`
}

// Event is a recorded decision about a request.
type Event struct {
	Time   time.Time `json:"time"`
	Name   string    `json:"name"`
	Detail string    `json:"detail"`
}
