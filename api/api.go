// Package api defines the HTTP headers and JSON messages that callers and trainers exchange with a gate.
//
// docs/openapi.json describes the trainer messages for clients in other languages.
package api

import "time"

// Headers that a gate sets on responses or reads from requests.
const (
	// HeaderOutcome carries the Outcome of the request.
	HeaderOutcome = "Ibistrail-Outcome"
	// HeaderRequestID carries the ID of the request in logs and for `ibisctl explain`.
	HeaderRequestID = "Ibistrail-Request-Id"
	// HeaderRevision carries the configuration revision that served the request.
	HeaderRevision = "Ibistrail-Revision"
	// HeaderDeadline carries the caller's timeout for the request, in milliseconds.
	HeaderDeadline = "Ibistrail-Deadline-Ms"
	// HeaderTicket carries an idempotency key that a gate issued (POST /v1/tickets).
	HeaderTicket = "Ibistrail-Ticket"
	// HeaderIdempotencyKey carries an idempotency key that the caller chose.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderSpans carries the Spans of a completion as a JSON array; a streamed completion sends it as a trailer.
	HeaderSpans = "Ibistrail-Spans"
	// HeaderReplayed is "true" on a response that was stored when an earlier request with the same key or ticket ran.
	HeaderReplayed = "Ibistrail-Replayed"
)

// Outcome reports whether a target ran a request.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeDone means that the target ran the request and the response is complete.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that no byte of the request can have reached a target.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that a target may have run the request.
	OutcomeUnknown Outcome = "unknown"
)

// Span is a run of consecutive tokens that one weight version produced.
type Span struct {
	Version int64 `json:"version"`
	Tokens  int   `json:"tokens"`
}

// Group requests Samples completions of one prompt.
type Group struct {
	ID      string `json:"id"`
	Prompt  string `json:"prompt"`
	Samples int    `json:"samples"`
}

// StepSpec is a trainer's request for the samples of one training step. Each sample fills one slot. Slots are
// numbered over the groups in order: group 0 has slots 0..Samples-1, group 1 the next ones, and so on.
type StepSpec struct {
	// ID is chosen by the trainer; a spec that is submitted again under the same ID must be equal, except for Held
	// and TrainerVersion.
	ID string `json:"id"`
	// Route is the name of the row in the routes table that admits the trainer.
	Route string `json:"route"`
	// Groups are the prompts of the step.
	Groups []Group `json:"groups"`
	// MaxTokens limits the length of each sample, in tokens.
	MaxTokens int `json:"max_tokens"`
	// Seed makes the samples differ between steps; slot s is sampled with SlotSeed(s).
	Seed int64 `json:"seed"`
	// StalenessBound is the largest allowed difference between the trainer's version and the oldest
	// version of a sample, in versions.
	StalenessBound int64 `json:"staleness_bound"`
	// TrainerVersion is the trainer's weight version when it submits the step.
	TrainerVersion int64 `json:"trainer_version"`
	// Scorer is the name of the route to the HTTP service that scores each sample; empty means no score.
	Scorer string `json:"scorer,omitempty"`
	// TimeoutMs limits the duration of the step, in milliseconds from its arrival; 0 means the route's timeout.
	TimeoutMs int64 `json:"timeout_ms,omitempty"`
	// Held is the trainer's cursor when it submits a step again: the slots that it already has.
	Held Cursor `json:"held,omitempty"`
}

// Slots returns the number of slots of the step.
func (s *StepSpec) Slots() int {
	n := 0
	for _, g := range s.Groups {
		n += g.Samples
	}
	return n
}

// SlotSeed returns the sampling seed of a slot, a hash of Seed and the slot number.
func (s *StepSpec) SlotSeed(slot int) int64 {
	x := uint64(s.Seed)*0x9e3779b97f4a7c15 + uint64(slot) + 1
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return int64((x ^ x>>31) >> 1)
}

// Cursor is a bitmap of the slots that a trainer has received: slot s is bit s%8 of byte s/8. In JSON it is base64.
type Cursor []byte

// Has reports whether slot s is set in the cursor.
func (c Cursor) Has(s int) bool {
	return s >= 0 && s/8 < len(c) && c[s/8]&(1<<(s%8)) != 0
}

// With returns the cursor with slot s set; like append, it may modify c and share its memory.
func (c Cursor) With(s int) Cursor {
	for len(c) <= s/8 {
		c = append(c, 0)
	}
	c[s/8] |= 1 << (s % 8)
	return c
}

// Count returns the number of slots that are set.
func (c Cursor) Count() int {
	n := 0
	for _, b := range c {
		for ; b != 0; b &= b - 1 {
			n++
		}
	}
	return n
}

// StepAccepted is the response to a StepSpec (POST /v1/steps).
type StepAccepted struct {
	ID string `json:"id"`
	// Owner is the ID of the gate that runs the step; the trainer copies it into each PullRequest.
	Owner string `json:"owner"`
	Slots int    `json:"slots"`
}

// PullRequest requests complete groups of a step (POST /v1/steps/{id}/pull).
type PullRequest struct {
	// Owner is StepAccepted.Owner, or a later PullResponse.Owner.
	Owner string `json:"owner"`
	// Cursor has the slots that the trainer has received; the response contains none of them.
	Cursor Cursor `json:"cursor"`
	// TrainerVersion is the trainer's current weight version; the staleness bound is relative to it.
	TrainerVersion int64 `json:"trainer_version"`
	// WaitMs is the maximum time that the gate waits for a first group, in milliseconds.
	WaitMs int64 `json:"wait_ms"`
	// MaxSamples limits the number of samples in the response; 0 means no limit. Only a group that exceeds the limit
	// is split.
	MaxSamples int `json:"max_samples,omitempty"`
}

// Sample is one delivered completion.
type Sample struct {
	Slot   int     `json:"slot"`
	Group  string  `json:"group"`
	Text   string  `json:"text"`
	Tokens []int   `json:"tokens"`
	Spans  []Span  `json:"spans"`
	Score  float64 `json:"score"`
	// Attempt is the ID of the attempt that filled the slot, for `ibisctl explain`.
	Attempt string `json:"attempt"`
	Engine  string `json:"engine"`
}

// PullResponse is the response to a PullRequest.
type PullResponse struct {
	Samples []Sample `json:"samples"`
	// Remaining is the number of slots that are neither in the cursor nor in this response.
	Remaining int `json:"remaining"`
	// Done is true when the cursor of the request has every slot.
	Done bool `json:"done"`
	// Owner is the ID of the gate that now runs the step, if it changed; the next pull must carry it.
	Owner string `json:"owner,omitempty"`
	// Failed lists slots that no attempt can fill; the trainer releases the step or submits another one.
	Failed []FailedSlot `json:"failed,omitempty"`
}

// FailedSlot is a slot that no attempt can fill, with the reason.
type FailedSlot struct {
	Slot    int    `json:"slot"`
	Group   string `json:"group"`
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// TicketResponse is the response to POST /v1/tickets.
type TicketResponse struct {
	// Ticket is the value of HeaderTicket for one non-idempotent request.
	Ticket string `json:"ticket"`
	// ExpiresMs is the ticket's time to live, in milliseconds.
	ExpiresMs int64 `json:"expires_ms"`
}

// Code is the machine-readable code of an Error.
type Code string

// Error codes that callers and trainers receive.
const (
	CodeBadRequest       Code = "bad_request"
	CodeUnauthorized     Code = "unauthorized"
	CodeForbidden        Code = "forbidden"
	CodeNoRoute          Code = "no_route"
	CodeNotReady         Code = "not_ready"
	CodeOverloaded       Code = "overloaded"
	CodeDeadline         Code = "deadline_exceeded"
	CodeNoTarget         Code = "no_target"
	CodeTargetFailed     Code = "target_failed"
	CodeQuarantined      Code = "quarantined"
	CodeKeyReused        Code = "idempotency_key_reused"
	CodeKeyInProgress    Code = "idempotency_key_in_progress"
	CodeClaimUnavailable Code = "claim_unavailable"
	CodeStepUnknown      Code = "step_unknown"
	CodeStepConflict     Code = "step_conflict"
	CodeDraining         Code = "draining"
	CodeTooLarge         Code = "too_large"
	CodeAnswerGone       Code = "answer_gone"
	CodeTicketInvalid    Code = "ticket_invalid"
)

// Error describes why a request was refused or failed. It is sent as the member "error" of an ErrorBody, the form
// that OpenAI's clients parse.
type Error struct {
	Code    Code    `json:"code"`
	Type    string  `json:"type"`
	Message string  `json:"message"`
	Outcome Outcome `json:"outcome"`
	// Status is the HTTP status code.
	Status int `json:"-"`
	// RetryAfter is sent as the Retry-After header, rounded up to whole seconds; 0 means do not retry.
	RetryAfter time.Duration `json:"-"`
	// RetryAfterMs repeats RetryAfter in milliseconds.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// Error returns the code and the message; the message says what the caller can do.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error *Error `json:"error"`
}
