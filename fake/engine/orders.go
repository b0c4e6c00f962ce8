package engine

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ibistrail/ibistrail/fake/faults"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/trial"
)

// drainPoll is how often a draining swap looks whether the batch is empty.
const drainPoll = 2 * time.Millisecond

// Errors of an order.
var (
	errFenced   = errors.New("fencing token is older than the newest seen; the lease has a new holder")
	errSwap     = errors.New("swap failed by fault switch; order it again")
	errKind     = errors.New("unknown kind; use load_version, load_model, set_adapters or set_role")
	errCrashed  = errors.New("engine restarted during the order; ask for its status")
	errVersion  = errors.New("version must be above 0")
	errBusyGone = errors.New("the order's sender gave up while another order ran")
)

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o trial.Order
	if err := process.ReadJSON(w, r, &o, maxBodyBytes); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	done := make(chan error, 1)
	// An order runs on when its sender has gone: its answer may be lost after it took effect.
	go func() { done <- e.Order(context.WithoutCancel(r.Context()), o) }()
	var err error
	select {
	case err = <-done:
	case <-r.Context().Done():
		return
	}
	if e.take(func(f *Faults) *int { return &f.LoseOrderAnswers }) {
		faults.Abort()
	}
	if !faults.Pause(r.Context(), time.Duration(e.Faults().OrderAnswerDelayMs)*time.Millisecond) {
		return
	}
	e.answerOrder(w, err)
}

// answerOrder tells how an order ended.
func (e *Engine) answerOrder(w http.ResponseWriter, err error) {
	var limited *trial.ErrRateLimited
	status, message := http.StatusOK, ""
	switch {
	case err == nil:
	case errors.As(err, &limited):
		faults.Refuse(w, limited.RetryAfter, err.Error())
		return
	case errors.Is(err, errFenced):
		status = http.StatusConflict
	case errors.Is(err, errKind), errors.Is(err, errVersion):
		status = http.StatusBadRequest
	default:
		status = http.StatusInternalServerError
	}
	if err != nil {
		message = err.Error()
	}
	process.WriteJSON(w, status, trial.OrderResponse{Status: e.Status(), Error: message})
}

// Order carries out an order, one at a time, and returns once it has taken effect.
func (e *Engine) Order(ctx context.Context, o trial.Order) error {
	err := e.order(ctx, o)
	result := "ok"
	if err != nil {
		result = err.Error()
	}
	e.noteOrder(o, result)
	return err
}

func (e *Engine) order(ctx context.Context, o trial.Order) error {
	if err := e.fence(o); err != nil {
		return err
	}
	select {
	case e.orders <- struct{}{}:
	case <-ctx.Done():
		return errBusyGone
	}
	defer func() { <-e.orders }()
	switch o.Kind {
	case trial.OrderLoadVersion, trial.OrderLoadModel:
		return e.loadWeights(ctx, o)
	case trial.OrderSetAdapters:
		return e.change(o, func() { e.adapters = append([]string{}, o.Adapters...) })
	case trial.OrderSetRole:
		return e.change(o, func() { e.role = o.Role })
	}
	return errKind
}

// fence refuses an order that is older than the newest seen, if the engine checks.
func (e *Engine) fence(o trial.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fenceLocked(o)
}

func (e *Engine) fenceLocked(o trial.Order) error {
	if e.opts.FencingChecked && o.FencingToken < e.fencing {
		return errFenced
	}
	e.fencing = max(e.fencing, o.FencingToken)
	return nil
}

// change applies f unless a newer order has come since.
func (e *Engine) change(o trial.Order, f func()) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.fenceLocked(o); err != nil {
		return err
	}
	f()
	return nil
}

// loadWeights fetches weights and swaps to them.
func (e *Engine) loadWeights(ctx context.Context, o trial.Order) error {
	if o.Version <= 0 {
		return errVersion
	}
	name, boot, same := e.beginLoad(o)
	if same {
		return nil
	}
	defer e.setLoading(boot, false)
	fctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := e.store.Fetch(fctx, name, o.Version); err != nil {
		return fmt.Errorf("fetch version %d: %w", o.Version, err)
	}
	if e.take(func(f *Faults) *int { return &f.SwapFails }) {
		return errSwap
	}
	return e.swap(o, name, boot)
}

// beginLoad returns the model to load, and whether it runs already.
func (e *Engine) beginLoad(o trial.Order) (name, boot string, same bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	name = e.modelName
	if o.Model != "" {
		name = o.Model
	}
	if name == e.modelName && o.Version == e.model.version {
		return name, e.boot, true
	}
	e.loading = true
	return name, e.boot, false
}

func (e *Engine) setLoading(boot string, loading bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot == boot {
		e.loading = loading
	}
}

// swap puts fetched weights in place, in the order's mode.
func (e *Engine) swap(o trial.Order, name, boot string) error {
	if err := e.clearBatch(o, boot); err != nil {
		return err
	}
	defer e.release(boot)
	faults.Pause(context.Background(), time.Duration(e.opts.SwapMs)*time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != boot {
		return errCrashed
	}
	if err := e.fenceLocked(o); err != nil {
		return err
	}
	now := time.Now()
	e.modelName = name
	e.model.swap(now, o.Version)
	e.noteVersion(now, o.Version)
	return nil
}

// clearBatch does to running requests what the mode says, then stops the batch.
func (e *Engine) clearBatch(o trial.Order, boot string) error {
	for {
		e.mu.Lock()
		if e.boot != boot {
			e.mu.Unlock()
			return errCrashed
		}
		e.model.held = true
		if o.Mode == trial.SwapCut {
			for _, s := range append([]*sequence{}, e.model.running...) {
				e.model.abort(time.Now(), s)
			}
		}
		if o.Mode != trial.SwapDrain || len(e.model.running) == 0 {
			e.model.paused = true
			e.mu.Unlock()
			return nil
		}
		e.mu.Unlock()
		time.Sleep(drainPoll)
	}
}

// release lets the batch go on.
func (e *Engine) release(boot string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot == boot {
		e.model.held, e.model.paused = false, false
	}
}
