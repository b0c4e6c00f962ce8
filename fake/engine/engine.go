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

// Engine is the stand-in. Run must run while it serves.
type Engine struct {
	opts   Options
	store  *trial.StoreClient
	wake   chan struct{}
	orders chan struct{} // holds one token: one order at a time

	mu        sync.Mutex
	server    *faults.Server
	model     *model
	sequences map[string]*sequence
	kv        map[string]*trial.KV
	kvOrder   []string
	boot      string
	modelName string
	adapters  []string
	role      string
	loading   bool
	fencing   int64
	faults    Faults
	journal   Journal
	load      trial.Load
	loadTime  time.Time
}

// New returns an engine that has just started.
func New(opts Options) *Engine {
	opts = opts.withDefaults()
	e := &Engine{
		opts: opts, store: trial.NewStoreClient(opts.StoreURL, opts.HTTP), wake: make(chan struct{}, 1),
		orders: make(chan struct{}, 1), modelName: opts.Model, adapters: opts.Adapters, role: opts.Role,
		journal: Journal{Name: opts.Name, Runs: []*Run{}, Orders: []OrderEntry{}},
	}
	e.reset(opts.Version)
	return e
}

// reset gives the engine the state of a fresh process with a weight version; e.mu is held or e is new.
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
	e.loadTime = time.Time{}
	e.journal.Boots++
	e.noteVersion(time.Now(), version)
}

// Attach lets crashes act on server.
func (e *Engine) Attach(server *faults.Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server = server
}

// Run steps the model until ctx ends.
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
		e.model.last = now
		e.mu.Unlock()
		return
	}
	started := e.model.step(now, e.faults.SlowFactor)
	e.sweep(now)
	poisoned := e.poisoned(started)
	e.mu.Unlock()
	if poisoned {
		e.die()
	}
}

// poisoned tells whether a sequence that started kills the engine.
func (e *Engine) poisoned(started []*sequence) bool {
	p := e.faults.PoisonSubstring
	return p != "" && slices.ContainsFunc(started, func(s *sequence) bool { return strings.Contains(s.prompt, p) })
}

// sweep aborts streams without a reader and forgets those that can no longer be resumed.
func (e *Engine) sweep(now time.Time) {
	for id, s := range e.sequences {
		if !s.done() && !s.detached.IsZero() && now.Sub(s.detached) > detachWindow {
			e.model.abort(now, s)
		}
		if s.done() && now.Sub(s.ended) > resumeWindow {
			delete(e.sequences, id)
		}
	}
}

// die crashes the engine as a request does: it comes back by itself if the options say so.
func (e *Engine) die() {
	e.crash()
	if e.opts.RestartMs > 0 {
		time.AfterFunc(time.Duration(e.opts.RestartMs)*time.Millisecond, func() { _ = e.restart() }) // a taken address shows as an engine that stays down
	}
}

// crash drops all connections and all state.
func (e *Engine) crash() {
	e.mu.Lock()
	now := time.Now()
	e.journal.Crashes++
	version := e.model.version
	if e.faults.RestartVersion > 0 {
		version = e.faults.RestartVersion
	}
	server, old := e.server, e.sequences
	e.reset(version)
	for _, s := range old {
		if !s.done() {
			s.end(now, finishCrash)
		}
	}
	e.mu.Unlock()
	if server != nil {
		server.Crash()
	}
}

// finishCrash marks a sequence that died with the engine; its answer ends with the connection.
const finishCrash = "crash"

func (e *Engine) restart() error {
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	return faults.SetCrashed(server, false)
}

// Faults returns the switches.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the switches.
func (e *Engine) SetFaults(f Faults) error {
	e.mu.Lock()
	was := e.faults
	e.faults = f
	e.mu.Unlock()
	if !f.Crash {
		return e.restart()
	}
	if !was.Crash {
		e.crash()
	}
	return nil
}

// take uses up one count of a fault and tells whether it holds.
func (e *Engine) take(count func(*Faults) *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := count(&e.faults)
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// dies uses up one count of the fault at point p; the caller ends its connection if it holds.
func (e *Engine) dies(p Point) bool {
	if e.Faults().DieAt != p || !e.take(func(f *Faults) *int { return &f.DieCalls }) {
		return false
	}
	if e.Faults().DieWhole {
		e.die()
	}
	return true
}

// Status returns what the engine runs.
func (e *Engine) Status() trial.EngineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status()
}

func (e *Engine) status() trial.EngineStatus {
	return trial.EngineStatus{
		Boot: e.boot, Model: e.modelName, Version: e.model.version, Adapters: append([]string{}, e.adapters...),
		Role: e.role, Draining: e.faults.Draining, Loading: e.loading, FencingToken: e.fencing,
	}
}

// Load returns the lagging report of the load.
func (e *Engine) Load() trial.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.loadTime) >= time.Duration(e.opts.LoadLagMs)*time.Millisecond {
		e.load = trial.Load{
			Running: len(e.model.running), Waiting: len(e.model.waiting), BatchLimit: e.opts.Rates.BatchLimit,
			TokensPerSecond: e.model.decoded,
		}
		e.loadTime = now
	}
	l := e.load
	l.AgeMs = now.Sub(e.loadTime).Milliseconds()
	return l
}

// Errors of a submit.
var (
	errNoModel  = errors.New("model or adapter is not loaded here; ask /v1/status")
	errNoWeight = errors.New("no weights are loaded; order a version first")
	errTwice    = errors.New("request_id is in use on this engine; choose a unique one")
	errFull     = errors.New("queue is full; use another engine")
)

// submit queues a request.
func (e *Engine) submit(now time.Time, req *trial.CompletionRequest) (*sequence, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admit(req); err != nil {
		return nil, err
	}
	s := newSequence(req)
	s.kv = e.hasKV(req)
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

func (e *Engine) admit(req *trial.CompletionRequest) error {
	switch {
	case req.Model != e.modelName || req.Adapter != "" && !slices.Contains(e.adapters, req.Adapter):
		return errNoModel
	case e.model.version == 0:
		return errNoWeight
	case e.sequences[req.RequestID] != nil:
		return errTwice
	case len(e.model.waiting) >= maxWaiting || len(e.sequences) >= maxSequences:
		return errFull
	case len(req.PrefixTokens) > req.MaxTokens:
		return fmt.Errorf("%d prefix_tokens exceed max_tokens %d; send fewer", len(req.PrefixTokens), req.MaxTokens)
	}
	return nil
}
