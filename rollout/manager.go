package rollout

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/dispatch"
	"github.com/ibistrail/ibistrail/explain"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
)

// Directory tells what the gate knows of the rest of the system.
type Directory interface {
	// Tables returns the tables in force and their revision; nil before the first.
	Tables() (*config.Tables, trial.Offset)
	// Version returns the newest known weight version of model; 0 if unknown.
	Version(model string) int64
	// Peers returns the live gates of other VMs.
	Peers() []wire.Node
}

// ServiceCaller calls plain services.
type ServiceCaller interface {
	CallService(ctx context.Context, c dispatch.ServiceCall) (*dispatch.ServiceAnswer, *api.Error)
}

// Options configure a Manager.
type Options struct {
	GateID           string
	AvailabilityZone string
	Completer        dispatch.Completer
	Services         ServiceCaller
	Directory        Directory
	// Call sends params to method of the peer at address and decodes its result.
	Call    func(ctx context.Context, address, method string, params, result any) error
	Log     *slog.Logger
	Metrics *process.Metrics
	// Explain keeps the events of a step under its ID; nil keeps none.
	Explain *explain.Recorder
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Hedging lets stragglers run a second time.
	Hedging bool
}

// stepKey names a step; steps are private to their trainer.
type stepKey struct{ trainer, id string }

// pastKey names the steps that learn from each other.
type pastKey struct{ trainer, route string }

// moved tells where a step has been handed over to.
type moved struct{ owner, address string }

// Manager keeps the steps of a gate.
type Manager struct {
	opts Options

	mu       sync.Mutex
	ctx      context.Context
	draining bool
	steps    map[stepKey]*runner
	moved    map[stepKey]moved
	finished map[stepKey]int
	// forgotten are the keys of moved and finished, oldest first.
	forgotten []stepKey
	stated    map[string]int64
	// past is what steps have learned, by trainer and route.
	past map[pastKey]*Past
	wg   sync.WaitGroup
}

// NewManager returns a manager without steps.
func NewManager(opts Options) *Manager {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	if opts.Metrics == nil {
		opts.Metrics = process.NewMetrics()
	}
	return &Manager{
		opts: opts, ctx: context.Background(), steps: map[stepKey]*runner{}, moved: map[stepKey]moved{},
		finished: map[stepKey]int{}, stated: map[string]int64{}, past: map[pastKey]*Past{},
	}
}

// Run keeps the steps until ctx ends, then gives up what runs.
func (m *Manager) Run(ctx context.Context) error {
	<-ctx.Done()
	m.mu.Lock()
	m.draining = true
	for _, r := range m.steps {
		r.cancel()
	}
	m.mu.Unlock()
	m.wg.Wait()
	return nil
}

// Submit takes a step of trainer that route admits. An equal spec under the same ID is idempotent.
func (m *Manager) Submit(_ context.Context, trainer string, route *config.Route, spec api.StepSpec) (*api.StepAccepted, *api.Error) {
	if err := Validate(&spec, route); err != nil {
		return nil, err
	}
	if err := m.checkScorer(spec.Scorer); err != nil {
		return nil, err
	}
	timeout := time.Duration(route.TimeoutMs) * time.Millisecond
	if spec.TimeoutMs > 0 {
		timeout = time.Duration(spec.TimeoutMs) * time.Millisecond
	}
	spec.Held = slices.Clone(spec.Held)
	var first []Message
	if len(spec.Held) > 0 {
		first = append(first, Pulled{Cursor: spec.Held, TrainerVersion: spec.TrainerVersion})
	}
	if _, err := m.open(trainer, route, spec, m.opts.Now().Add(timeout), first...); err != nil {
		return nil, err
	}
	return &api.StepAccepted{ID: spec.ID, Owner: m.opts.GateID, Slots: spec.Slots()}, nil
}

func (m *Manager) checkScorer(scorer string) *api.Error {
	if scorer == "" {
		return nil
	}
	tables, _ := m.opts.Directory.Tables()
	if tables == nil {
		return notReady()
	}
	if row := tables.Route(scorer); row == nil || row.Kind != config.RouteHTTP {
		return badRequest("scorer %q names no route of kind http; see ibisctl get", scorer)
	}
	return nil
}

func notReady() *api.Error {
	return errorf(api.CodeNotReady, http.StatusServiceUnavailable, time.Second, "no configuration is known yet; come back in a second")
}

// open returns the runner of a step, started if the step is new, and has it take the messages first.
func (m *Manager) open(trainer string, route *config.Route, spec api.StepSpec, deadline time.Time, first ...Message) (*runner, *api.Error) {
	r, isNew, err := m.openLocked(trainer, route, spec, deadline, first)
	if err != nil {
		return nil, err
	}
	if !isNew {
		for _, msg := range first {
			r.tell(msg)
		}
	}
	return r, nil
}

func (m *Manager) openLocked(trainer string, route *config.Route, spec api.StepSpec, deadline time.Time, first []Message) (*runner, bool, *api.Error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := stepKey{trainer, spec.ID}
	if r := m.steps[key]; r != nil {
		if !SameSpec(r.spec, spec) {
			return nil, false, errorf(api.CodeStepConflict, http.StatusConflict, 0, "step %q runs with another specification; release it first or choose another id", spec.ID)
		}
		return r, false, nil
	}
	if m.draining {
		return nil, false, errorf(api.CodeDraining, http.StatusServiceUnavailable, time.Second, "the gate is stopping; hand the step in at another gate")
	}
	if err := m.checkRoom(trainer); err != nil {
		return nil, false, err
	}
	m.forgetLocked(key)
	r := newRunner(m, key, route, spec, deadline)
	r.first = first
	m.steps[key] = r
	m.wg.Go(r.run)
	m.opts.Metrics.Add("rollout_steps_accepted", 1)
	m.note("step_accepted", spec.ID, "trainer", trainer, "route", route.Name, "groups", len(spec.Groups), "slots", spec.Slots(), "held", spec.Held.Count())
	return r, true, nil
}

// note logs an event of a step and keeps it for explain; args are keys and values.
func (m *Manager) note(event, step string, args ...any) {
	m.opts.Log.Info(event, append([]any{"step", step}, args...)...)
	m.explain(event, step, args...)
}

// explain keeps an event that is too frequent for the log.
func (m *Manager) explain(event, step string, args ...any) {
	var b strings.Builder
	for i := 0; i+1 < len(args); i += 2 {
		fmt.Fprintf(&b, "%v=%v ", args[i], args[i+1])
	}
	m.opts.Explain.Add(step, event, "%s", strings.TrimSpace(b.String()))
}

func (m *Manager) checkRoom(trainer string) *api.Error {
	own := 0
	for k := range m.steps {
		if k.trainer == trainer {
			own++
		}
	}
	if own >= MaxStepsPerTrainer || len(m.steps) >= MaxSteps {
		return errorf(api.CodeOverloaded, http.StatusTooManyRequests, time.Second,
			"%d steps of trainer %s and %d in all are live here, of at most %d and %d; finish or release steps first", own, trainer, len(m.steps), MaxStepsPerTrainer, MaxSteps)
	}
	return nil
}

func stepUnknown(id string) *api.Error {
	return errorf(api.CodeStepUnknown, http.StatusNotFound, 0, "step %q is not known here; hand its specification in again with the slots held", id)
}

func (m *Manager) lookup(key stepKey) *runner {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.steps[key]
}

// closed removes an ended runner and remembers why, if a later pull needs it.
func (m *Manager) closed(r *runner, end stepEnd) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.steps[r.key] == r {
		delete(m.steps, r.key)
	}
	if len(m.past) >= MaxFinished {
		clear(m.past)
	}
	m.past[pastKey{r.key.trainer, r.route.Name}] = r.step.Past()
	switch {
	case end.to.owner != "":
		m.moved[r.key] = end.to
	case end.finished:
		m.finished[r.key] = r.spec.Slots()
	default:
		return
	}
	m.forgotten = append(m.forgotten, r.key)
	if len(m.forgotten) > MaxFinished {
		m.forgetLocked(m.forgotten[0])
		m.forgotten = m.forgotten[1:]
	}
}

func (m *Manager) forgetLocked(key stepKey) {
	delete(m.moved, key)
	delete(m.finished, key)
}

// state records the version that a trainer stated for a model.
func (m *Manager) state(model string, version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stated[model] = max(m.stated[model], version)
}

// TrainerVersions returns the newest versions that trainers stated, by model.
func (m *Manager) TrainerVersions() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]int64, len(m.stated))
	for k, v := range m.stated {
		out[k] = v
	}
	return out
}

// State returns the steps for the dump.
func (m *Manager) State() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	steps := make([]StepState, 0, len(m.steps))
	for _, r := range m.steps {
		steps = append(steps, r.state())
	}
	return struct {
		Draining bool        `json:"draining"`
		Steps    []StepState `json:"steps"`
		Finished int         `json:"finished"`
		Moved    int         `json:"moved"`
	}{m.draining, steps, len(m.finished), len(m.moved)}
}
