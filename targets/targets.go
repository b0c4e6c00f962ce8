// Package targets describes a request to one target and its answer, as the duties of a VM exchange
// them with the platform's adapter.
package targets

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
)

// NoPriority leaves the priority of a request to the engine.
const NoPriority = -1

// Call is one request to one target.
type Call struct {
	Instance *fleet.Instance
	Method   string
	// Host and URI are as the caller sent them.
	Host, URI string
	Header    http.Header
	Body      []byte
	RequestID string
	// Budget is how long the target may work; 0 sends none.
	Budget time.Duration
	// Priority is a rank from 0 (first) to 9 among an engine's requests, or NoPriority.
	Priority int
	// ResumeAfter is the last event that was received; 0 starts from the first.
	ResumeAfter int64
	// Once asks for a new connection, so that nothing can be sent twice by the transport.
	Once bool
}

// Load is what a target told of its load with an answer.
type Load struct{ Running, Waiting, Slots int }

// Answer is a target's answer up to its body.
type Answer struct {
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Body must be closed. It returns io.ErrUnexpectedEOF or another error if the answer was cut.
	Body io.ReadCloser
	// Length is the length of the body, or -1.
	Length int64
	// NotRun tells that the target did not run the request and never will.
	NotRun bool
	// WrongInstance tells that another instance has the address; NotRun is set too.
	WrongInstance bool
	// Proof is the target's signature of a successful run.
	Proof string
	// Version is the weight version of the first event; 0 if the target named none.
	Version int64
	Load    *Load
}

// Success tells whether the request ran and succeeded.
func (a *Answer) Success() bool { return a.Status >= 200 && a.Status < 300 && a.Proof != "" }

// ErrNotSent marks errors of calls of which no byte can have reached the target.
var ErrNotSent = errors.New("nothing was sent")

// Sent tells whether a call that failed with err may have reached the target.
func Sent(err error) bool { return !errors.Is(err, ErrNotSent) }

// NotSent marks err as one of a call that did not reach the target.
func NotSent(err error) error { return fmt.Errorf("%w: %w", ErrNotSent, err) }

// Client sends requests to targets.
type Client interface {
	Do(ctx context.Context, c *Call) (*Answer, error)
	// Events reads the events in an answer's body.
	Events(body io.Reader) EventReader
}

// Event is one event of a stream.
type Event struct {
	ID   int64
	Data string
	// Version is the weight version from this event on; 0 means as before.
	Version int64
}

// EventReader reads the events of a stream. Next returns io.EOF after the last event of a stream
// that ended cleanly, and another error for one that was cut.
type EventReader interface {
	Next() (Event, error)
}
