package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/ibistrail/ibistrail/api"
)

// Completer runs one completion until its whole answer or an error with the outcome.
type Completer interface {
	Complete(ctx context.Context, c Call) (*Result, *api.Error)
}

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	// Route names the row of the routes table whose pool serves the call.
	Route    string
	Customer string
	Path     string
	Method   string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	// Idempotent calls may be repeated.
	Idempotent     bool
	IdempotencyKey string
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}
