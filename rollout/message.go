package rollout

import (
	"time"

	"github.com/ibistrail/ibistrail/api"
)

// AttemptID names one run of a slot; it is unique over gates and restarts.
type AttemptID string

// Message is an input of Step.
type Message interface{ message() }

// Pulled tells that a trainer's pull has arrived. Its cursor and version are the newest known.
type Pulled struct {
	Cursor         api.Cursor
	TrainerVersion int64
}

// Ticked tells the state around the step.
type Ticked struct {
	// Newest is the newest known version of the step's model; 0 means unknown.
	Newest int64
	// Capacity is the step's share of the pool, in attempts in flight.
	Capacity int
	// Progress tells how far the running attempts are.
	Progress []Progress
}

// Progress tells how far an attempt is.
type Progress struct {
	ID     AttemptID
	Tokens int
	// Oldest is the oldest version among the tokens; 0 means none yet.
	Oldest int64
	// First and Last are when the first and the last token arrived.
	First time.Time
	Last  time.Time
}

// Answered tells that an attempt has ended; with Err set, Tokens, Text and Spans hold what arrived before.
type Answered struct {
	ID     AttemptID
	Text   string
	Tokens []int
	Spans  []api.Span
	Engine string
	// First is when the first token arrived; zero if unknown.
	First time.Time
	Err   *api.Error
}

// Scored tells how a score call ended.
type Scored struct {
	ID    AttemptID
	Score float64
	Err   *api.Error
}

// Imported carries samples that a peer handed over, and others to go on with from their tokens.
type Imported struct {
	Samples  []api.Sample
	Partials []api.Sample
}

func (Pulled) message()   {}
func (Ticked) message()   {}
func (Answered) message() {}
func (Scored) message()   {}
func (Imported) message() {}

// Effect is an order of Step to its shell.
type Effect interface{ effect() }

// StartAttempt runs a slot on an engine.
type StartAttempt struct {
	ID         AttemptID
	Slot       int
	Group      string
	Prompt     string
	Seed       int64
	MinVersion int64
	// Tokens, Text and Spans are what an earlier attempt has left.
	Tokens []int
	Text   string
	Spans  []api.Span
	// From names the running attempt whose tokens so far are to be continued elsewhere.
	From AttemptID
}

// CancelAttempt gives an attempt or its score call up.
type CancelAttempt struct{ ID AttemptID }

// StartScore has a sample scored.
type StartScore struct {
	ID     AttemptID
	Prompt string
	Sample api.Sample
}

func (StartAttempt) effect()  {}
func (CancelAttempt) effect() {}
func (StartScore) effect()    {}
