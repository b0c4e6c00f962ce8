package engine

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/ibistrail/ibistrail/fake/faults"
	"github.com/ibistrail/ibistrail/trial"
)

// Engine is a simulated model engine. It generates tokens only while Run is running.
type Engine struct {
	opts      Options
	store     *trial.StoreClient
	wake      chan struct{}
	orderSlot chan struct{} // semaphore of one order at a time

	mu                 sync.Mutex
	server             *faults.Server
	model              *model
	sequences          map[string]*sequence
	kv                 map[string]*trial.KV
	kvOrder            []string
	boot               string
	modelName          string
	adapters           []string
	role               string
	loading            bool
	newestFencingToken int64
	faults             Faults
	journal            Journal
	loadReport         trial.Load
	loadReportTime     time.Time
}

// New returns an engine in the state of a freshly started process.
func New(opts Options) *Engine {
	opts = opts.withDefaults()
	e := &Engine{
		opts: opts, store: trial.NewStoreClient(opts.StoreURL, opts.HTTP), wake: make(chan struct{}, 1),
		orderSlot: make(chan struct{}, 1), modelName: opts.Model, adapters: opts.Adapters, role: opts.Role,
		journal: Journal{Name: opts.Name, Runs: []*Run{}, Orders: []OrderEntry{}},
	}
	e.reset(opts.Version)
	return e
}

// reset restores the state of a fresh process with a weight version. The caller holds e.mu unless e is new.
func (e *Engine) reset(version int64) {
	e.boot = uuid.NewString()
	if e.model != nil {
		e.journal.Totals = addTotals(e.journal.Totals, e.model.totals)
	}
	e.model = newModel(e.opts.Rates, version)
	e.sequences = map[string]*sequence{}
	e.kv = map[string]*trial.KV{}
	e.kvOrder = nil
	e.loading = false
	e.loadReportTime = time.Time{}
	e.journal.Boots++
	e.recordVersion(time.Now(), version)
}

// Attach sets the server that crashes and restarts act on.
func (e *Engine) Attach(server *faults.Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server = server
}

// Run advances the model every TickMs while there are requests, until ctx is done. It always returns nil.
func (e *Engine) Run(ctx context.Context) error {
	tick := time.NewTicker(time.Duration(e.opts.TickMs) * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.wake:
		}
		for !e.idle() {
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
				e.step(time.Now())
			}
		}
	}
}

func (e *Engine) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.idle()
}

func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	if e.faults.Stall {
		e.model.lastStep = now
		e.mu.Unlock()
		return
	}
	started := e.model.step(now, e.faults.SlowFactor)
	e.evictSequences(now)
	poisoned := e.containsPoison(started)
	e.mu.Unlock()
	if poisoned {
		e.crashAndRestart()
	}
}

// containsPoison reports whether a started sequence contains the PoisonSubstring and so crashes the engine.
func (e *Engine) containsPoison(started []*sequence) bool {
	p := e.faults.PoisonSubstring
	return p != "" && slices.ContainsFunc(started, func(s *sequence) bool { return strings.Contains(s.prompt, p) })
}

// evictSequences aborts sequences that have had no reader for detachWindow and evicts those that finished more than
// resumeWindow ago.
func (e *Engine) evictSequences(now time.Time) {
	for id, s := range e.sequences {
		if !s.done() && !s.detachedAt.IsZero() && now.Sub(s.detachedAt) > detachWindow {
			e.model.abort(now, s)
		}
		if s.done() && now.Sub(s.endedAt) > resumeWindow {
			delete(e.sequences, id)
		}
	}
}

// crashAndRestart crashes the engine on behalf of a request and restarts it after RestartMs, if that is set.
func (e *Engine) crashAndRestart() {
	e.crash()
	if e.opts.RestartMs > 0 {
		time.AfterFunc(time.Duration(e.opts.RestartMs)*time.Millisecond, func() { _ = e.restart() }) // on an error the engine stays down
	}
}

// crash resets all connections and discards all state.
func (e *Engine) crash() {
	e.mu.Lock()
	now := time.Now()
	e.journal.Crashes++
	version := e.model.version
	if e.faults.RestartVersion > 0 {
		version = e.faults.RestartVersion
	}
	server, oldSequences := e.server, e.sequences
	e.reset(version)
	e.mu.Unlock()
	if server != nil {
		server.Crash()
	}
	// The handlers abort their connections, so the listener must be closed before.
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range oldSequences {
		if !s.done() {
			s.end(now, finishCrash)
		}
	}
}

// finishCrash is the finish reason of a sequence that a crash ended; its answer ends with the connection.
const finishCrash = "crash"

func (e *Engine) restart() error {
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	return faults.SetCrashed(server, false)
}

// Faults returns the fault switches.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces all fault switches. Setting Crash crashes the engine; without Crash a crashed engine restarts,
// which fails if its address is taken.
func (e *Engine) SetFaults(f Faults) error {
	e.mu.Lock()
	previous := e.faults
	e.faults = f
	e.mu.Unlock()
	if !f.Crash {
		return e.restart()
	}
	if !previous.Crash {
		e.crash()
	}
	return nil
}

// takeFault uses up one count of a fault and reports whether the fault applies; a negative count applies without limit.
func (e *Engine) takeFault(count func(*Faults) *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := count(&e.faults)
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// takeDieFault uses up one count of DieCalls if DieAt is p, and reports whether the caller must abort its connection.
func (e *Engine) takeDieFault(p Point) bool {
	if e.Faults().DieAt != p || !e.takeFault(func(f *Faults) *int { return &f.DieCalls }) {
		return false
	}
	if e.Faults().DieCrashesEngine {
		e.crashAndRestart()
	}
	return true
}

// Status returns the engine's model, weight version, adapters, role and state.
func (e *Engine) Status() trial.EngineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.statusLocked()
}

// statusLocked is Status for callers that hold e.mu.
func (e *Engine) statusLocked() trial.EngineStatus {
	return trial.EngineStatus{
		Boot: e.boot, Model: e.modelName, Version: e.model.version, Adapters: append([]string{}, e.adapters...),
		Role: e.role, Draining: e.faults.Draining, Loading: e.loading, FencingToken: e.newestFencingToken,
	}
}

// Load returns the load report, which is refreshed only once it is LoadLagMs old.
func (e *Engine) Load() trial.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.loadReportTime) >= time.Duration(e.opts.LoadLagMs)*time.Millisecond {
		e.loadReport = trial.Load{
			Running: len(e.model.running), Waiting: len(e.model.waiting), BatchLimit: e.opts.Rates.BatchLimit,
			TokensPerSecond: e.model.decodeRate,
		}
		e.loadReportTime = now
	}
	l := e.loadReport
	l.AgeMs = now.Sub(e.loadReportTime).Milliseconds()
	return l
}

// Errors of submit; their texts reach clients.
var (
	errModelNotLoaded = errors.New("model or adapter is not loaded here; ask /v1/status")
	errNoWeights      = errors.New("no weights are loaded; order a version first")
	errDuplicateID    = errors.New("request_id is in use on this engine; choose a unique one")
	errQueueFull      = errors.New("queue is full; use another engine")
)

// submit queues a request, or returns why the engine rejects it.
func (e *Engine) submit(now time.Time, req *trial.CompletionRequest) (*sequence, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admit(req); err != nil {
		return nil, err
	}
	s := newSequence(req)
	s.kvImported = e.hasKV(req)
	s.run = &Run{RequestID: s.id, Prompt: s.prompt[:min(len(s.prompt), journalPromptBytes)], Seed: s.seed,
		Priority: s.priority, Arrived: now, Draining: e.faults.Draining}
	if len(e.journal.Runs) < maxJournalRuns {
		e.journal.Runs = append(e.journal.Runs, s.run)
	}
	e.sequences[s.id] = s
	e.model.submit(now, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s, nil
}

// admit checks whether the engine can queue req. The caller holds e.mu.
func (e *Engine) admit(req *trial.CompletionRequest) error {
	switch {
	case req.Model != e.modelName || req.Adapter != "" && !slices.Contains(e.adapters, req.Adapter):
		return errModelNotLoaded
	case e.model.version == 0:
		return errNoWeights
	case e.sequences[req.RequestID] != nil:
		return errDuplicateID
	case len(e.model.waiting) >= maxWaiting || len(e.sequences) >= maxSequences:
		return errQueueFull
	case len(req.PrefixTokens) > req.MaxTokens:
		return fmt.Errorf("%d prefix_tokens exceed max_tokens %d; send fewer", len(req.PrefixTokens), req.MaxTokens)
	}
	return nil
}
