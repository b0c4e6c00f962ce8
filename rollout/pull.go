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

// forwardMargin is the time that a forwarded pull may take in addition to its wait.
const forwardMargin = 2 * time.Second

// Pull returns complete, fresh groups that the request's cursor does not name, and waits for them up to
// req.WaitMs, at most MaxPullWait. If another gate runs the step, the pull is forwarded to that gate.
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

// pullElsewhere answers a pull for a step that does not run on this gate.
func (m *Manager) pullElsewhere(ctx context.Context, key stepKey, req api.PullRequest, deadline time.Time) (*api.PullResponse, *api.Error) {
	m.mu.Lock()
	owner, handedOver := m.ownerGate[key]
	slots, finished := m.finishedSlots[key]
	m.mu.Unlock()
	switch {
	case finished && req.Cursor.Count() >= slots:
		return &api.PullResponse{Samples: []api.Sample{}, Done: true}, nil
	case handedOver:
		return m.forward(ctx, key, req, owner, deadline)
	}
	if owner = m.peerGate(req.Owner); owner.address == "" {
		return nil, stepUnknownError(key.id)
	}
	return m.forward(ctx, key, req, owner, deadline)
}

func (m *Manager) forward(ctx context.Context, key stepKey, req api.PullRequest, owner ownerGate, deadline time.Time) (*api.PullResponse, *api.Error) {
	remaining := deadline.Sub(m.opts.Now())
	req.WaitMs = max(0, remaining.Milliseconds())
	req.Owner = owner.owner
	ctx, cancel := context.WithTimeout(ctx, max(0, remaining)+forwardMargin)
	defer cancel()
	var resp api.PullResponse
	err := m.opts.CallPeer(ctx, owner.address, wire.MethodStepPull, wire.StepPullParams{Trainer: key.trainer, StepID: key.id, Pull: req}, &resp)
	m.opts.Metrics.Add("rollout_pulls_forwarded", 1)
	if err != nil {
		m.opts.Log.Warn("pull_forward_failed", "step", key.id, "owner", owner.owner, "err", err)
		if e := remoteError(err); e != nil {
			return nil, e
		}
		return nil, stepUnknownError(key.id)
	}
	if resp.Owner == "" {
		resp.Owner = owner.owner
	}
	return &resp, nil
}

// pull queues a pull at the runner and waits for the response. The last result reports whether the runner ended
// without one.
func (r *runner) pull(ctx context.Context, req api.PullRequest, deadline time.Time) (*api.PullResponse, *api.Error, bool) {
	if err := ValidCursor(req.Cursor, r.step.Slots()); err != nil {
		return nil, err, false
	}
	if req.TrainerVersion < 0 || req.MaxSamples < 0 {
		return nil, badRequest("trainer_version and max_samples may not be negative"), false
	}
	req.Cursor = slices.Clone(req.Cursor) // the caller may modify its cursor
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

// Handlers returns the JSON-RPC methods of this package that the gate serves to peers.
func (m *Manager) Handlers() map[string]rpc.Handler {
	return map[string]rpc.Handler{
		wire.MethodStepPull: rpc.NewHandler(m.handlePull),
		wire.MethodHandover: rpc.NewHandler(m.handleHandover),
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

// rpcError encodes an error of the trainer API as a JSON-RPC error; remoteError decodes it.
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
	e.SetError(remoteErrorData{Error: err, Status: err.Status})
	return e
}

// remoteErrorData is an api.Error with its HTTP status, which the JSON form of api.Error omits.
type remoteErrorData struct {
	Error  *api.Error `json:"error"`
	Status int        `json:"status"`
}

// remoteError returns the trainer API error that a peer returned, or nil if err carries none.
func remoteError(err error) *api.Error {
	var e *jsonrpc2.Error
	if !errors.As(err, &e) || e.Data == nil {
		return nil
	}
	var r remoteErrorData
	if json.Unmarshal(*e.Data, &r) != nil || r.Error == nil {
		return nil
	}
	r.Error.Status = r.Status
	r.Error.RetryAfter = time.Duration(r.Error.RetryAfterMs) * time.Millisecond
	return r.Error
}
