package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/explain"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/settings"
	"github.com/ibistrail/ibistrail/wire"
)

// Completer runs completions; Dispatcher implements it.
type Completer interface {
	// Complete runs c and returns its whole answer, or an error whose Outcome tells what became of it.
	Complete(ctx context.Context, c Call) (*Result, *api.Error)
}

// ServiceCall is one HTTP call to a pool of plain services.
type ServiceCall struct {
	RequestID string
	// Route names the row of the routes table.
	Route    string
	Customer string
	Caller   string
	// Path is the path and query that the target gets.
	Path   string
	Method string
	Header http.Header
	Body   []byte
	// Deadline bounds the call; zero means the route's timeout.
	Deadline time.Time
	// Idempotent calls may be repeated.
	Idempotent bool
	// IdempotencyKey is passed on to the target as a header; empty sends none.
	IdempotencyKey string
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Outcome api.Outcome
	Target  string
}

// Options configure a Dispatcher.
type Options struct {
	GateID           string
	AvailabilityZone string
	Policy           settings.Policy
	// Dial opens connections to targets.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	Log  *slog.Logger
	// Metrics gets the counters of requests, refusals, retries and wasted tokens.
	Metrics *process.Metrics
	// Explain records the decisions on each request; nil records nothing.
	Explain *explain.Recorder
	// Report tells the steward what was seen of targets; it must not block.
	Report func(wire.ReportParams)
	// Notify tells peers of suspects and quarantines before their final answer; nil tells nobody.
	Notify func(ctx context.Context, n wire.QuarantineNotice)
	Now    func() time.Time
	// Rand draws choices and jitter.
	Rand *rand.Rand
}

// Dispatcher runs requests on the targets of pools.
type Dispatcher struct {
	opts Options
}

// New returns a dispatcher without a configuration.
func New(opts Options) *Dispatcher {
	return &Dispatcher{opts: opts}
}

// Run polls load and sends reports until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// SetState puts the tables and the rest of the steward's state in force.
func (d *Dispatcher) SetState(t *config.Tables, s *wire.State) {}

// Complete runs c on the engines of its pool.
func (d *Dispatcher) Complete(ctx context.Context, c Call) (*Result, *api.Error) {
	return nil, &api.Error{Code: api.CodeNotReady, Outcome: api.OutcomeNotRun, Status: http.StatusServiceUnavailable, Message: "no configuration is known yet; send again shortly"}
}

// CallService runs c on the targets of its route's pool.
func (d *Dispatcher) CallService(ctx context.Context, c ServiceCall) (*ServiceAnswer, *api.Error) {
	return nil, &api.Error{Code: api.CodeNotReady, Outcome: api.OutcomeNotRun, Status: http.StatusServiceUnavailable, Message: "no configuration is known yet; send again shortly"}
}

// State returns what /debug/state shows of the dispatcher.
func (d *Dispatcher) State() any { return nil }
