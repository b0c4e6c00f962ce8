package wire

import (
	"github.com/ibistrail/ibistrail/api"
)

// StepPullParams forwards a trainer's pull to the step's owner.
type StepPullParams struct {
	Route   string          `json:"route"`
	Trainer string          `json:"trainer"`
	StepID  string          `json:"step_id"`
	Pull    api.PullRequest `json:"pull"`
	// Release releases the step instead of pulling; the response is then empty.
	Release bool `json:"release,omitempty"`
}

// HandoverParams transfers a step with its undelivered samples to a peer in a planned stop.
type HandoverParams struct {
	Trainer string       `json:"trainer"`
	Spec    api.StepSpec `json:"spec"`
	Samples []api.Sample `json:"samples"`
	// Partials lists incomplete samples; the peer continues generation after their tokens.
	Partials []api.Sample `json:"partials,omitempty"`
	// RemainingMs is the time left until the step's deadline, in milliseconds.
	RemainingMs int64 `json:"remaining_ms,omitempty"`
}

// HandoverResult confirms that the gate Owner now runs the step.
type HandoverResult struct {
	Owner string `json:"owner"`
}
