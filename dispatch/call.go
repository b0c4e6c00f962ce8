// Package dispatch runs one request on the targets of a pool: it picks targets, sends, reads the
// answer whole, retries what may be repeated and tells the outcome.
package dispatch

import (
	"time"

	"github.com/ibistrail/ibistrail/api"
)

// Call is one completion to be run on a pool of engines. It may be repeated.
type Call struct {
	// RequestID names the request; attempts on engines derive their own IDs from it.
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
	// Tokens and Spans are what was generated before; the run continues from there.
	Tokens []int
	Text   string
	Spans  []api.Span
	// Avoid are target addresses not to be used while another one can serve.
	Avoid []string
	// MinVersion keeps the call off engines whose known weight version is lower; 0 means any.
	MinVersion int64
	// Trainer is true for rollouts, which admission shares against callers.
	Trainer bool
	// OnTokens, if set, is called in order with each piece of the answer as it arrives. It must not block.
	OnTokens func(Piece)
}

// Piece is a part of an answer.
type Piece struct {
	Text    string
	Tokens  []int
	Version int64
	Engine  string
}

// Result is a whole answer.
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
