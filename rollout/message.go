package rollout

import (
	"time"

	"github.com/ibistrail/ibistrail/api"
)

// AttemptID identifies one attempt on a slot; it is unique across gates and restarts.
type AttemptID string

// Message is an input of Step.Handle.
type Message interface{ message() }

// PullReceived is a pull by the trainer, with its current cursor and version.
type PullReceived struct {
	Cursor         api.Cursor
	TrainerVersion int64
}

// Tick is the periodic message with the state of the model, the pool and the running attempts.
type Tick struct {
	// NewestVersion is the newest known version of the step's model; 0 means unknown.
	NewestVersion int64
	// Capacity is the step's share of the pool, in attempts in flight.
	Capacity int
	// Progress holds the progress of the running attempts that have produced tokens.
	Progress []Progress
}

// Progress is the progress of an attempt.
type Progress struct {
	ID     AttemptID
	Tokens int
	// OldestVersion is the oldest weight version among the tokens; 0 means none yet.
	OldestVersion int64
	// FirstTokenAt and LastTokenAt are when the first and the last token arrived.
	FirstTokenAt time.Time
	LastTokenAt  time.Time
}

// AttemptEnded is the result of an attempt. If Err is set, Text, Tokens and Spans hold the output up to the error.
type AttemptEnded struct {
	ID     AttemptID
	Text   string
	Tokens []int
	Spans  []api.Span
	Engine string
	// FirstTokenAt is when the first token arrived; zero if unknown.
	FirstTokenAt time.Time
	Err          *api.Error
}

// ScoreEnded is the result of a score call; ID is the attempt that made the sample.
type ScoreEnded struct {
	ID    AttemptID
	Score float64
	Err   *api.Error
}

// SamplesImported carries the output that a peer handed over: finished samples, and partial ones to continue.
type SamplesImported struct {
	Samples  []api.Sample
	Partials []api.Sample
}

func (PullReceived) message()    {}
func (Tick) message()            {}
func (AttemptEnded) message()    {}
func (ScoreEnded) message()      {}
func (SamplesImported) message() {}

// Effect is an action that Step requests from its runner.
type Effect interface{ effect() }

// StartAttempt starts an attempt on a slot.
type StartAttempt struct {
	ID         AttemptID
	Slot       int
	Group      string
	Prompt     string
	Seed       int64
	MinVersion int64
	// Tokens, Text and Spans are the output of an earlier attempt to continue from, if any.
	Tokens []int
	Text   string
	Spans  []api.Span
	// ContinueFrom is the running attempt whose output so far is continued on another engine; empty if none.
	ContinueFrom AttemptID
}

// CancelAttempt cancels an attempt or its score call.
type CancelAttempt struct{ ID AttemptID }

// StartScore starts a score call for a sample.
type StartScore struct {
	ID     AttemptID
	Prompt string
	Sample api.Sample
}

func (StartAttempt) effect()  {}
func (CancelAttempt) effect() {}
func (StartScore) effect()    {}
