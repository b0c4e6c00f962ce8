// Package dispatch runs requests on the targets of a pool. It selects targets, sends requests, reads
// complete answers, retries where repetition is safe, and reports the outcome.
package dispatch

import (
	"time"

	"github.com/ibistrail/ibistrail/api"
)

// Call is a completion request for a pool of engines. It may be sent to engines more than once.
type Call struct {
	// RequestID identifies the request; the IDs of attempts are derived from it.
	RequestID string
	Customer  string
	Route     string
	Caller    string
	Pool      string
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	Seed      int64
	Priority  int
	Deadline  time.Time
	// Fingerprint identifies the request's content for quarantine.
	Fingerprint string
	// Tokens, Text and Spans are the part of the answer that was generated before; the run continues from there.
	Tokens []int
	Text   string
	Spans  []api.Span
	// Avoid lists addresses of targets that are used only if no other target can serve the call.
	Avoid []string
	// MinVersion excludes engines whose known weight version is lower; 0 means any version.
	MinVersion int64
	// Rollout is true for rollout requests. They may queue longer and rank behind callers of the same class.
	Rollout bool
	// OnTokens, if set, is called in order with each part of the answer as it arrives. It must not block.
	OnTokens func(Piece)
}

// Piece is a part of an answer, as received from an engine in one chunk.
type Piece struct {
	Text    string
	Tokens  []int
	Version int64
	Engine  string
}

// Result is a complete answer.
type Result struct {
	Text         string
	Tokens       []int
	Spans        []api.Span
	FinishReason string
	PromptTokens int
	CachedTokens int
	// Engine is the address of the last engine that produced tokens.
	Engine   string
	Attempts int
}
