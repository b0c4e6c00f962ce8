package wire

import (
	"github.com/ibistrail/ibistrail/api"
)

// StepPullParams forwards a pull.
type StepPullParams struct {
	Route   string          `json:"route"`
	Trainer string          `json:"trainer"`
	StepID  string          `json:"step_id"`
	Pull    api.PullRequest `json:"pull"`
	// Release gives the step up instead; the answer is empty.
	Release bool `json:"release,omitempty"`
}

// HandoverParams gives a step with its undelivered samples to a peer on a planned stop.
type HandoverParams struct {
	Trainer string       `json:"trainer"`
	Spec    api.StepSpec `json:"spec"`
	Samples []api.Sample `json:"samples"`
	// Partials are samples that are not whole yet; the peer goes on from their tokens.
	Partials []api.Sample `json:"partials,omitempty"`
	// RemainingMs is the time left until the step's deadline, in milliseconds.
	RemainingMs int64 `json:"remaining_ms,omitempty"`
}

// HandoverResult tells that the peer runs the step now.
type HandoverResult struct {
	Owner string `json:"owner"`
}
