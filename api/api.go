// Package api holds the messages that callers and trainers exchange with a gate over HTTP.
//
// The trainer messages are described for other languages in docs/openapi.json.
package api

import "time"

// Headers that a gate sets on each answer or reads from each request.
const (
	// HeaderOutcome carries the Outcome of the request.
	HeaderOutcome = "Ibistrail-Outcome"
	// HeaderRequestID names the request in logs and for `ibisctl explain`.
	HeaderRequestID = "Ibistrail-Request-Id"
	// HeaderRevision carries the configuration revision that served the request.
	HeaderRevision = "Ibistrail-Revision"
	// HeaderDeadline carries the time that the caller is willing to wait, in milliseconds.
	HeaderDeadline = "Ibistrail-Deadline-Ms"
	// HeaderTicket carries an idempotency key that a gate minted (POST /v1/tickets).
	HeaderTicket = "Ibistrail-Ticket"
	// HeaderIdempotencyKey carries the caller's own idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderSpans carries the weight version spans of a completion, as JSON, as a trailer when streamed.
	HeaderSpans = "Ibistrail-Spans"
	// HeaderReplayed is "true" on an answer that was kept from an earlier run of the same key or ticket.
	HeaderReplayed = "Ibistrail-Replayed"
)

// Outcome tells what became of a request.
type Outcome string

// The three outcomes of a request.
const (
	// OutcomeDone means that the target ran the request and the answer is whole.
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

// Group asks for Samples completions of one prompt.
type Group struct {
	ID      string `json:"id"`
	Prompt  string `json:"prompt"`
	Samples int    `json:"samples"`
}

// StepSpec is a trainer's order of one step. Slots are numbered over the groups in order: group 0
// holds slots 0..Samples-1, group 1 the next ones, and so on.
type StepSpec struct {
	// ID is the trainer's own name of the step; a spec handed in again under the same ID must be equal.
	ID string `json:"id"`
	// Route names the row of the routes table that admits the trainer.
	Route string `json:"route"`
	// Groups are the prompts of the step.
	Groups []Group `json:"groups"`
	// MaxTokens bounds each sample.
	MaxTokens int `json:"max_tokens"`
	// Seed makes the samples differ between steps; slot s is sampled with a seed derived from Seed and s.
	Seed int64 `json:"seed"`
	// StalenessBound is the largest allowed difference between the trainer's version and the oldest
	// version of a sample, in versions.
	StalenessBound int64 `json:"staleness_bound"`
	// TrainerVersion is the trainer's version when it handed the step in.
	TrainerVersion int64 `json:"trainer_version"`
	// Scorer names the route of the plain service that scores each sample; empty means no score.
	Scorer string `json:"scorer,omitempty"`
	// TimeoutMs bounds the step, in milliseconds from its arrival; 0 means the route's timeout.
	TimeoutMs int64 `json:"timeout_ms,omitempty"`
	// Held is the cursor of a step that is handed in again: slots that the trainer already holds.
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

// SlotSeed returns the seed that slot s is sampled with.
func (s *StepSpec) SlotSeed(slot int) int64 {
	x := uint64(s.Seed)*0x9e3779b97f4a7c15 + uint64(slot) + 1
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return int64((x ^ x>>31) >> 1)
}

// Cursor is a bitmap of the slots that a trainer holds, bit s%8 of byte s/8; JSON carries it in base64.
type Cursor []byte

// Has tells whether the cursor names slot s.
func (c Cursor) Has(s int) bool {
	return s >= 0 && s/8 < len(c) && c[s/8]&(1<<(s%8)) != 0
}

// With returns the cursor with slot s added; it may share memory with c.
func (c Cursor) With(s int) Cursor {
	for len(c) <= s/8 {
		c = append(c, 0)
	}
	c[s/8] |= 1 << (s % 8)
	return c
}

// Count returns the number of slots that the cursor names.
func (c Cursor) Count() int {
	n := 0
	for _, b := range c {
		for ; b != 0; b &= b - 1 {
			n++
		}
	}
	return n
}

// StepAccepted answers a StepSpec (POST /v1/steps).
type StepAccepted struct {
	ID string `json:"id"`
	// Owner is the ID of the gate that runs the step; a pull passes it back.
	Owner string `json:"owner"`
	Slots int    `json:"slots"`
}

// PullRequest asks for whole groups of a step (POST /v1/steps/{id}/pull).
type PullRequest struct {
	// Owner is StepAccepted.Owner.
	Owner string `json:"owner"`
	// Cursor names the slots that the trainer holds; no answer ever contains one of them.
	Cursor Cursor `json:"cursor"`
	// TrainerVersion is the trainer's version now; staleness is judged against it.
	TrainerVersion int64 `json:"trainer_version"`
	// WaitMs bounds how long the gate may wait for a first group, in milliseconds.
	WaitMs int64 `json:"wait_ms"`
	// MaxSamples bounds the answer; 0 means no bound. A group is never split unless it is larger.
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
	// Attempt names the attempt that filled the slot, for explain.
	Attempt string `json:"attempt"`
	Engine  string `json:"engine"`
}

// PullResponse answers a PullRequest.
type PullResponse struct {
	Samples []Sample `json:"samples"`
	// Remaining counts the slots that neither the cursor nor this answer holds.
	Remaining int `json:"remaining"`
	// Done is true when the cursor names each slot.
	Done bool `json:"done"`
	// Owner is the gate that runs the step now, if it has moved; the next pull passes it back.
	Owner string `json:"owner,omitempty"`
	// Failed are slots that no attempt can fill; the trainer releases the step or hands in another.
	Failed []FailedSlot `json:"failed,omitempty"`
}

// FailedSlot is a slot that no attempt can fill, with the reason.
type FailedSlot struct {
	Slot    int    `json:"slot"`
	Group   string `json:"group"`
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// TicketResponse answers POST /v1/tickets.
type TicketResponse struct {
	// Ticket is sent as HeaderTicket with one non-idempotent request.
	Ticket string `json:"ticket"`
	// ExpiresMs is how long the ticket may be used, in milliseconds.
	ExpiresMs int64 `json:"expires_ms"`
}

// Code is the machine-readable kind of an Error.
type Code string

// The kinds of errors that callers and trainers see.
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

// Error is the body of each refused request, inside {"error": ...} as OpenAI's clients read it.
type Error struct {
	Code    Code    `json:"code"`
	Type    string  `json:"type"`
	Message string  `json:"message"`
	Outcome Outcome `json:"outcome"`
	// Status is the HTTP status.
	Status int `json:"-"`
	// RetryAfter is sent as the Retry-After header, rounded up to whole seconds; 0 means do not retry.
	RetryAfter time.Duration `json:"-"`
	// RetryAfterMs repeats RetryAfter in milliseconds.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// Error returns the kind and the message, which names the remedy.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// ErrorBody is the JSON envelope of an Error.
type ErrorBody struct {
	Error *Error `json:"error"`
}
