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

// Directory provides the gate's view of the rest of the system.
type Directory interface {
	// Tables returns the tables in force and their revision; the tables are nil until the first arrive.
	Tables() (*config.Tables, trial.Offset)
	// Version returns the newest known weight version of model; 0 if unknown.
	Version(model string) int64
	// Peers returns the live gates of other VMs.
	Peers() []wire.Node
}

// ServiceCaller calls HTTP services such as scorers.
type ServiceCaller interface {
	CallService(ctx context.Context, c dispatch.ServiceCall) (*dispatch.ServiceAnswer, *api.Error)
}

// Options configures a Manager.
type Options struct {
	GateID           string
	AvailabilityZone string
	Completer        dispatch.Completer
	Services         ServiceCaller
	Directory        Directory
	// CallPeer calls a JSON-RPC method of the peer at address and decodes the response into result.
	CallPeer func(ctx context.Context, address, method string, params, result any) error
	Log      *slog.Logger
	Metrics  *process.Metrics
	// Explain records the events of a step under its ID; nil disables recording.
	Explain *explain.Recorder
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Hedging enables a second attempt for stragglers.
	Hedging bool
}

// stepKey identifies a step; step IDs are scoped to their trainer.
type stepKey struct{ trainer, id string }

// historyKey identifies the steps that share a History.
type historyKey struct{ trainer, route string }

// ownerGate is the ID and the RPC address of the gate that runs a step; empty if there is none.
type ownerGate struct{ owner, address string }

// Manager runs the steps of a gate.
type Manager struct {
	opts Options

	mu       sync.Mutex
	ctx      context.Context
	draining bool
	steps    map[stepKey]*runner
	// ownerGate holds the new owners of handed-over steps; finishedSlots the number of slots of finished steps.
	ownerGate     map[stepKey]ownerGate
	finishedSlots map[stepKey]int
	// endedOrder holds the keys of ownerGate and finishedSlots, oldest first.
	endedOrder []stepKey
	// trainerVersions holds the newest version that trainers have reported for each model.
	trainerVersions map[string]int64
	// histories holds the estimates of the last ended step of each trainer and route.
	histories map[historyKey]*History
	wg        sync.WaitGroup
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
		opts: opts, ctx: context.Background(), steps: map[stepKey]*runner{}, ownerGate: map[stepKey]ownerGate{},
		finishedSlots: map[stepKey]int{}, trainerVersions: map[string]int64{}, histories: map[historyKey]*History{},
	}
}

// Run waits until ctx is cancelled, then cancels all steps and waits for their runners. It returns nil.
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

// Submit validates and starts a step for trainer. Resubmitting an equal specification under the same ID is
// idempotent; a different specification returns CodeStepConflict.
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
	var initial []Message
	if len(spec.Held) > 0 {
		initial = append(initial, PullReceived{Cursor: spec.Held, TrainerVersion: spec.TrainerVersion})
	}
	if _, err := m.open(trainer, route, spec, m.opts.Now().Add(timeout), initial...); err != nil {
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
		return notReadyError()
	}
	if row := tables.Route(scorer); row == nil || row.Kind != config.RouteHTTP {
		return badRequest("scorer %q names no route of kind http; see ibisctl get", scorer)
	}
	return nil
}

func notReadyError() *api.Error {
	return errorf(api.CodeNotReady, http.StatusServiceUnavailable, time.Second, "no configuration is known yet; come back in a second")
}

// open returns the runner of a step and starts it if the step is new. A new runner handles the initial messages
// before it starts attempts; a running one receives them through its inbox.
func (m *Manager) open(trainer string, route *config.Route, spec api.StepSpec, deadline time.Time, initial ...Message) (*runner, *api.Error) {
	r, isNew, err := m.openLocked(trainer, route, spec, deadline, initial)
	if err != nil {
		return nil, err
	}
	if !isNew {
		for _, msg := range initial {
			r.send(msg)
		}
	}
	return r, nil
}

// openLocked returns the runner of a step and whether it is new. It acquires m.mu.
func (m *Manager) openLocked(trainer string, route *config.Route, spec api.StepSpec, deadline time.Time, initial []Message) (*runner, bool, *api.Error) {
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
	if err := m.checkStepLimits(trainer); err != nil {
		return nil, false, err
	}
	m.removeEndedLocked(key)
	r := newRunner(m, key, route, spec, deadline)
	r.initial = initial
	m.steps[key] = r
	m.wg.Go(r.run)
	m.opts.Metrics.Add("rollout_steps_accepted", 1)
	m.logEvent("step_accepted", spec.ID, "trainer", trainer, "route", route.Name, "groups", len(spec.Groups), "slots", spec.Slots(), "held", spec.Held.Count())
	return r, true, nil
}

// logEvent logs an event of a step and records it for explain; args are alternating keys and values.
func (m *Manager) logEvent(event, step string, args ...any) {
	m.opts.Log.Info(event, append([]any{"step", step}, args...)...)
	m.recordEvent(event, step, args...)
}

// recordEvent records an event for explain without logging it, for events that are too frequent for the log.
func (m *Manager) recordEvent(event, step string, args ...any) {
	var b strings.Builder
	for i := 0; i+1 < len(args); i += 2 {
		fmt.Fprintf(&b, "%v=%v ", args[i], args[i+1])
	}
	m.opts.Explain.Add(step, event, "%s", strings.TrimSpace(b.String()))
}

// checkStepLimits returns an error if the gate cannot accept another step of trainer. m.mu must be held.
func (m *Manager) checkStepLimits(trainer string) *api.Error {
	trainerSteps := 0
	for k := range m.steps {
		if k.trainer == trainer {
			trainerSteps++
		}
	}
	if trainerSteps >= MaxStepsPerTrainer || len(m.steps) >= MaxSteps {
		return errorf(api.CodeOverloaded, http.StatusTooManyRequests, time.Second,
			"%d steps of trainer %s and %d in all are live here, of at most %d and %d; finish or release steps first", trainerSteps, trainer, len(m.steps), MaxStepsPerTrainer, MaxSteps)
	}
	return nil
}

func stepUnknownError(id string) *api.Error {
	return errorf(api.CodeStepUnknown, http.StatusNotFound, 0, "step %q is not known here; hand its specification in again with the slots held", id)
}

func (m *Manager) lookup(key stepKey) *runner {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.steps[key]
}

// removeRunner removes an ended runner, and records a finished or handed-over step to answer later pulls.
func (m *Manager) removeRunner(r *runner, end stepEnd) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.steps[r.key] == r {
		delete(m.steps, r.key)
	}
	if len(m.histories) >= MaxEndedSteps {
		clear(m.histories)
	}
	m.histories[historyKey{r.key.trainer, r.route.Name}] = r.step.History()
	switch {
	case end.newOwner.owner != "":
		m.ownerGate[r.key] = end.newOwner
	case end.finished:
		m.finishedSlots[r.key] = r.spec.Slots()
	default:
		return
	}
	m.endedOrder = append(m.endedOrder, r.key)
	if len(m.endedOrder) > MaxEndedSteps {
		m.removeEndedLocked(m.endedOrder[0])
		m.endedOrder = m.endedOrder[1:]
	}
}

// removeEndedLocked deletes the record of an ended step. m.mu must be held.
func (m *Manager) removeEndedLocked(key stepKey) {
	delete(m.ownerGate, key)
	delete(m.finishedSlots, key)
}

// recordTrainerVersion records the newest trainer version reported for a model.
func (m *Manager) recordTrainerVersion(model string, version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.trainerVersions[model] = max(m.trainerVersions[model], version)
}

// TrainerVersions returns the newest versions that trainers have reported, by model.
func (m *Manager) TrainerVersions() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]int64, len(m.trainerVersions))
	for k, v := range m.trainerVersions {
		out[k] = v
	}
	return out
}

// State returns the state of all steps for the gate's state dump, encoded as JSON.
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
	}{m.draining, steps, len(m.finishedSlots), len(m.ownerGate)}
}
