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

// drainPoll is how often a swap in drain mode polls whether the batch is empty.
const drainPoll = 2 * time.Millisecond

// Errors of orders; their texts reach the sender.
var (
	errOutdatedToken  = errors.New("fencing token is older than the newest seen; the lease has a new holder")
	errSwapFault      = errors.New("swap failed by fault switch; order it again")
	errUnknownKind    = errors.New("unknown kind; use load_version, load_model, set_adapters or set_role")
	errCrashed        = errors.New("engine restarted during the order; ask for its status")
	errInvalidVersion = errors.New("version must be above 0")
	errSenderCanceled = errors.New("the order's sender gave up while another order ran")
)

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o trial.Order
	if err := process.ReadJSON(w, r, &o, maxBodyBytes); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	done := make(chan error, 1)
	// An order continues after its sender disconnects, so that its answer can be lost although it takes effect.
	go func() { done <- e.Order(context.WithoutCancel(r.Context()), o) }()
	var err error
	select {
	case err = <-done:
	case <-r.Context().Done():
		return
	}
	if e.takeFault(func(f *Faults) *int { return &f.LoseOrderAnswers }) {
		faults.Abort()
	}
	if !faults.Pause(r.Context(), time.Duration(e.Faults().OrderAnswerDelayMs)*time.Millisecond) {
		return
	}
	e.answerOrder(w, err)
}

// answerOrder writes the result of an order.
func (e *Engine) answerOrder(w http.ResponseWriter, err error) {
	var limited *trial.RateLimitedError
	status, message := http.StatusOK, ""
	switch {
	case err == nil:
	case errors.As(err, &limited):
		faults.RespondRateLimited(w, limited.RetryAfter, err.Error())
		return
	case errors.Is(err, errOutdatedToken):
		status = http.StatusConflict
	case errors.Is(err, errUnknownKind), errors.Is(err, errInvalidVersion):
		status = http.StatusBadRequest
	default:
		status = http.StatusInternalServerError
	}
	if err != nil {
		message = err.Error()
	}
	process.WriteJSON(w, status, trial.OrderResponse{Status: e.Status(), Error: message})
}

// Order executes an order, one at a time, and returns once it has taken effect or failed.
func (e *Engine) Order(ctx context.Context, o trial.Order) error {
	err := e.order(ctx, o)
	result := "ok"
	if err != nil {
		result = err.Error()
	}
	e.recordOrder(o, result)
	return err
}

func (e *Engine) order(ctx context.Context, o trial.Order) error {
	if err := e.checkFencing(o); err != nil {
		return err
	}
	select {
	case e.orderSlot <- struct{}{}:
	case <-ctx.Done():
		return errSenderCanceled
	}
	defer func() { <-e.orderSlot }()
	switch o.Kind {
	case trial.OrderLoadVersion, trial.OrderLoadModel:
		return e.loadWeights(ctx, o)
	case trial.OrderSetAdapters:
		return e.applyOrder(o, func() { e.adapters = append([]string{}, o.Adapters...) })
	case trial.OrderSetRole:
		return e.applyOrder(o, func() { e.role = o.Role })
	}
	return errUnknownKind
}

// checkFencing returns errOutdatedToken for an order with an outdated fencing token if FencingChecked is set, and records the
// newest token.
func (e *Engine) checkFencing(o trial.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.checkFencingLocked(o)
}

// checkFencingLocked is checkFencing for callers that hold e.mu.
func (e *Engine) checkFencingLocked(o trial.Order) error {
	if e.opts.FencingChecked && o.FencingToken < e.newestFencingToken {
		return errOutdatedToken
	}
	e.newestFencingToken = max(e.newestFencingToken, o.FencingToken)
	return nil
}

// applyOrder calls f with e.mu held, unless an order with a newer fencing token has arrived in the meantime.
func (e *Engine) applyOrder(o trial.Order, f func()) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFencingLocked(o); err != nil {
		return err
	}
	f()
	return nil
}

// loadWeights fetches a weight version from the store and swaps it in.
func (e *Engine) loadWeights(ctx context.Context, o trial.Order) error {
	if o.Version <= 0 {
		return errInvalidVersion
	}
	name, boot, loaded := e.beginLoad(o)
	if loaded {
		return nil
	}
	defer e.setLoading(boot, false)
	fctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := e.store.Fetch(fctx, name, o.Version); err != nil {
		return fmt.Errorf("fetch version %d: %w", o.Version, err)
	}
	if e.takeFault(func(f *Faults) *int { return &f.SwapFails }) {
		return errSwapFault
	}
	return e.swap(o, name, boot)
}

// beginLoad returns the model to load and the current boot; loaded reports whether the ordered weights are loaded already.
func (e *Engine) beginLoad(o trial.Order) (name, boot string, loaded bool) {
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

// setLoading sets the loading state, unless the engine has restarted since boot.
func (e *Engine) setLoading(boot string, loading bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot == boot {
		e.loading = loading
	}
}

// swap replaces the weights by the fetched ones, in the order's mode.
func (e *Engine) swap(o trial.Order, name, boot string) error {
	if err := e.pauseBatch(o, boot); err != nil {
		return err
	}
	defer e.resumeBatch(boot)
	faults.Pause(context.Background(), time.Duration(e.opts.SwapMs)*time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != boot {
		return errCrashed
	}
	if err := e.checkFencingLocked(o); err != nil {
		return err
	}
	now := time.Now()
	e.modelName = name
	e.model.swap(now, o.Version)
	e.recordVersion(now, o.Version)
	return nil
}

// pauseBatch stops the start of sequences, aborts or drains the running ones as the order's mode requires, and pauses
// the batch.
func (e *Engine) pauseBatch(o trial.Order, boot string) error {
	for {
		e.mu.Lock()
		if e.boot != boot {
			e.mu.Unlock()
			return errCrashed
		}
		e.model.startsHeld = true
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

// resumeBatch resumes the batch, unless the engine has restarted since boot.
func (e *Engine) resumeBatch(boot string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot == boot {
		e.model.startsHeld, e.model.paused = false, false
	}
}
