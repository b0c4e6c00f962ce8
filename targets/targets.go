// Package targets defines requests to targets and their responses, as exchanged with the platform's adapter.
package targets

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
)

// NoPriority sends a request without a priority; the engine chooses it.
const NoPriority = -1

// Call is a request to a target.
type Call struct {
	Instance *fleet.Instance
	Method   string
	// Host and URI are those of the caller's request.
	Host, URI string
	Header    http.Header
	Body      []byte
	RequestID string
	// Organisation is the name of the organisation that the target is told; empty if it is told none.
	Organisation string
	// Budget is the time that the target may take; 0 sends no limit.
	Budget time.Duration
	// Priority is the request's rank from 0 (first) to 9 in the engine's queue, or NoPriority.
	Priority int
	// ResumeAfter is the ID of the last event received, after which the stream resumes; 0 starts with the first event.
	ResumeAfter int64
	// NewConnection sends the request on a new connection, so that the transport cannot send it twice.
	NewConnection bool
	// UnansweredSince is when an earlier send of the request began that has no answer yet; zero for the first. A later send takes
	// another path if the path of the earlier one is in doubt.
	UnansweredSince time.Time
	// Connected, if set, is called when the call has a connection to the target, with whether an earlier call used it.
	Connected func(reused bool)
}

// Load is the load that a target reported with a response, in requests.
type Load struct {
	Running, Waiting, Slots int
	// WorkPercent is how long work takes on the target's machine now, in percent of the usual time; 0 if the target does not tell.
	WorkPercent int `json:",omitempty"`
}

// Response is a target's response, with a body that is read by the caller.
type Response struct {
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Body must be closed. Reads return io.ErrUnexpectedEOF or another error if the response was truncated.
	Body io.ReadCloser
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// NotExecuted is set if the target did not execute the request and never will.
	NotExecuted bool
	// WrongInstance is set if another instance has the address. The request was not executed then.
	WrongInstance bool
	// Proof is the target's signature that confirms a successful execution.
	Proof string
	// Version is the weight version of the first event; 0 if the target reported none.
	Version int64
	Load    *Load
	// RateLimit is the number of requests a second that the target accepts from all VMs together, for as long as its answers
	// name it; nil if this one names none.
	RateLimit *float64
	// Draining is set if the target says that it leaves and takes no new requests.
	Draining bool
	// Via is the VM through which the call went; empty for a direct call.
	Via string
}

// Success reports whether the request was executed successfully: a 2xx status with a proof.
func (r *Response) Success() bool { return r.Status >= 200 && r.Status < 300 && r.Proof != "" }

// ErrNotSent is wrapped by the error of a call if no byte of it can have reached the target.
var ErrNotSent = errors.New("nothing was sent")

// Sent reports whether a call that failed with err may have reached the target.
func Sent(err error) bool { return !errors.Is(err, ErrNotSent) }

// Refused reports whether err says that a connection was refused, and not only that nothing responded.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// ErrPathLost is wrapped by the error of a call that was sent and not answered before the path to its target was lost. The target may have
// run it, and may be sent it again by another path.
var ErrPathLost = errors.New("the path to the target was lost")

// NotSent wraps err with ErrNotSent.
func NotSent(err error) error { return fmt.Errorf("%w: %w", ErrNotSent, err) }

// Client sends requests to targets.
type Client interface {
	Do(ctx context.Context, c *Call) (*Response, error)
	// Events returns a reader of the events in a response body.
	Events(body io.Reader) EventReader
	// WholeEvents returns a reader of an event stream that returns whole events only. It fails where the stream is no event stream or an event
	// is too long.
	WholeEvents(body io.ReadCloser) io.ReadCloser
	// Connect opens a connection to the target and closes it. The error satisfies Refused if nothing listens at the target's address.
	Connect(ctx context.Context, instance *fleet.Instance) error
}

// Event is one event of a stream.
type Event struct {
	ID   int64
	Data string
	// Version is the weight version from this event on; 0 means unchanged.
	Version int64
}

// EventReader reads the events of a stream. Next returns io.EOF after the last event of a complete stream, and another
// error if the stream was truncated.
type EventReader interface {
	Next() (Event, error)
}
