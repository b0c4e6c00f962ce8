package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/rpc"
	"github.com/ibistrail/ibistrail/wire"
	"github.com/sourcegraph/jsonrpc2"
)

// forwardMargin is what a forwarded pull may take beyond its wait.
const forwardMargin = 2 * time.Second

// Pull hands whole, fresh groups over that the cursor does not name; where another gate runs the
// step, it asks that gate.
func (m *Manager) Pull(ctx context.Context, trainer, stepID string, req api.PullRequest) (*api.PullResponse, *api.Error) {
	key := stepKey{trainer, stepID}
	deadline := m.opts.Now().Add(min(time.Duration(max(0, req.WaitMs))*time.Millisecond, MaxPullWait))
	for {
		if r := m.lookup(key); r != nil {
			resp, err, ended := r.pull(ctx, req, deadline)
			if !ended {
				return resp, err
			}
			continue
		}
		return m.pullElsewhere(ctx, key, req, deadline)
	}
}

// pullElsewhere answers a pull for a step that does not run here.
func (m *Manager) pullElsewhere(ctx context.Context, key stepKey, req api.PullRequest, deadline time.Time) (*api.PullResponse, *api.Error) {
	m.mu.Lock()
	to, handed := m.moved[key]
	slots, finished := m.finished[key]
	m.mu.Unlock()
	switch {
	case finished && req.Cursor.Count() >= slots:
		return &api.PullResponse{Samples: []api.Sample{}, Done: true}, nil
	case handed:
		return m.forward(ctx, key, req, to, deadline)
	}
	if to = m.gate(req.Owner); to.address == "" {
		return nil, stepUnknown(key.id)
	}
	return m.forward(ctx, key, req, to, deadline)
}

func (m *Manager) forward(ctx context.Context, key stepKey, req api.PullRequest, to moved, deadline time.Time) (*api.PullResponse, *api.Error) {
	left := deadline.Sub(m.opts.Now())
	req.WaitMs = max(0, left.Milliseconds())
	req.Owner = to.owner
	ctx, cancel := context.WithTimeout(ctx, max(0, left)+forwardMargin)
	defer cancel()
	var resp api.PullResponse
	err := m.opts.Call(ctx, to.address, wire.MethodStepPull, wire.StepPullParams{Trainer: key.trainer, StepID: key.id, Pull: req}, &resp)
	m.opts.Metrics.Add("rollout_pulls_forwarded", 1)
	if err != nil {
		m.opts.Log.Warn("pull_forward_failed", "step", key.id, "owner", to.owner, "err", err)
		if e := remoteError(err); e != nil {
			return nil, e
		}
		return nil, stepUnknown(key.id)
	}
	if resp.Owner == "" {
		resp.Owner = to.owner
	}
	return &resp, nil
}

// pull hands a pull to the runner; ended tells that the runner has ended without an answer.
func (r *runner) pull(ctx context.Context, req api.PullRequest, deadline time.Time) (*api.PullResponse, *api.Error, bool) {
	if err := ValidCursor(req.Cursor, r.step.Slots()); err != nil {
		return nil, err, false
	}
	if req.TrainerVersion < 0 || req.MaxSamples < 0 {
		return nil, badRequest("trainer_version and max_samples may not be negative"), false
	}
	req.Cursor = slices.Clone(req.Cursor) // the caller may add to its own
	p := &pullCall{req: req, deadline: deadline, reply: make(chan pullAnswer, 1)}
	select {
	case r.pulls <- p:
	case <-r.done:
		return nil, nil, true
	default:
		return nil, errorf(api.CodeOverloaded, http.StatusTooManyRequests, time.Second, "%d pulls of step %q wait already; pull one at a time", MaxWaitingPulls, r.key.id), false
	}
	select {
	case a := <-p.reply:
		return a.resp, a.err, false
	case <-r.done:
	case <-ctx.Done():
		return nil, errorf(api.CodeDeadline, http.StatusGatewayTimeout, 0, "the pull was given up; pull again with the same cursor"), false
	}
	select {
	case a := <-p.reply:
		return a.resp, a.err, false
	default:
		return nil, nil, true
	}
}

// Handlers returns the methods that the gate serves to peers for this package.
func (m *Manager) Handlers() map[string]rpc.Handler {
	return map[string]rpc.Handler{
		wire.MethodStepPull: rpc.Handle(m.handlePull),
		wire.MethodHandover: rpc.Handle(m.handleHandover),
	}
}

func (m *Manager) handlePull(ctx context.Context, p wire.StepPullParams) (*api.PullResponse, error) {
	if p.Release {
		if err := m.Release(ctx, p.Trainer, p.StepID); err != nil {
			return nil, rpcError(err)
		}
		return &api.PullResponse{Samples: []api.Sample{}}, nil
	}
	p.Pull.Owner = ""
	resp, err := m.Pull(ctx, p.Trainer, p.StepID, p.Pull)
	if err != nil {
		return nil, rpcError(err)
	}
	return resp, nil
}

// rpcError carries an error of the trainer API to a peer.
func rpcError(err *api.Error) error {
	code := int64(wire.CodeInvalid)
	switch err.Code {
	case api.CodeStepUnknown:
		code = wire.CodeUnknownStep
	case api.CodeTooLarge:
		code = wire.CodeTooLarge
	case api.CodeOverloaded, api.CodeDraining, api.CodeNotReady:
		code = wire.CodeUnavailable
	}
	e := &jsonrpc2.Error{Code: code, Message: err.Message}
	e.SetError(remote{Error: err, Status: err.Status})
	return e
}

// remote is an api.Error with its status, which JSON leaves out.
type remote struct {
	Error  *api.Error `json:"error"`
	Status int        `json:"status"`
}

// remoteError returns the error of the trainer API that a peer answered, or nil.
func remoteError(err error) *api.Error {
	var e *jsonrpc2.Error
	if !errors.As(err, &e) || e.Data == nil {
		return nil
	}
	var r remote
	if json.Unmarshal(*e.Data, &r) != nil || r.Error == nil {
		return nil
	}
	r.Error.Status = r.Status
	r.Error.RetryAfter = time.Duration(r.Error.RetryAfterMs) * time.Millisecond
	return r.Error
}
