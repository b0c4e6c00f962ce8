package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"

	"github.com/ibistrail/ibistrail/api"
)

// maxResubmits is the maximum number of times that one call of Next resubmits the step.
const maxResubmits = 64

// Step is a submitted training step. Its methods must not be called concurrently.
type Step struct {
	c            *Client
	spec         api.StepSpec
	version      func() int64
	owner        string
	held         api.Cursor
	slots        int
	acknowledged bool
}

// IncompleteError reports slots that no attempt can fill.
type IncompleteError struct {
	Failed []api.FailedSlot
}

// Error describes the first of the slots.
func (e *IncompleteError) Error() string {
	f := e.Failed[0]
	return fmt.Sprintf("client: %d slots cannot be filled, first slot %d of group %s: %s: %s; submit a step without these groups",
		len(e.Failed), f.Slot, f.Group, f.Code, f.Message)
}

// Step submits a step and returns it. The function version returns the trainer's current weight version; the
// methods of Step call it. spec.Held has the slots that the trainer already received.
func (c *Client) Step(ctx context.Context, spec api.StepSpec, version func() int64) (*Step, error) {
	if len(c.opts.Gates) == 0 {
		return nil, errors.New("client: no gates; name at least one base URL in Options.Gates")
	}
	s := &Step{c: c, spec: spec, version: version, held: slices.Clone(spec.Held), slots: spec.Slots()}
	return s, s.submit(ctx)
}

// Cursor returns the slots that the trainer has received. A trainer saves it with its checkpoint and passes it as
// spec.Held when it submits the step after a restart.
func (s *Step) Cursor() api.Cursor { return slices.Clone(s.held) }

// submit sends the specification with the current cursor and trainer version to a gate.
func (s *Step) submit(ctx context.Context) error {
	s.spec.Held = slices.Clone(s.held)
	s.spec.TrainerVersion = s.version()
	var accepted api.StepAccepted
	q := url.Values{"route": {s.spec.Route}}
	if s.owner != "" {
		q.Set("previous", s.owner)
	}
	path := "/v1/steps?" + q.Encode()
	if err := s.c.do(ctx, http.MethodPost, path, 0, s.spec, &accepted); err != nil {
		return err
	}
	s.owner = accepted.Owner
	return nil
}

// Next returns the next complete groups, or io.EOF when the trainer has received every slot. Each sample is returned
// exactly once and is within the staleness bound of the trainer's version. If the slots that are left cannot be
// filled, Next returns an *IncompleteError.
func (s *Step) Next(ctx context.Context) ([]api.Sample, error) {
	resubmits := 0
	for s.held.Count() < s.slots {
		resp, err := s.pull(ctx)
		var refused *api.Error
		if errors.As(err, &refused) && refused.Code == api.CodeStepUnknown && resubmits < maxResubmits {
			if err := sleep(ctx, retryDelay(nil, resubmits)); err != nil {
				return nil, err
			}
			resubmits++
			s.c.opts.Log.Info("step_resubmitted", "step", s.spec.ID, "held", s.held.Count())
			if err := s.submit(ctx); err != nil {
				return nil, err
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		if samples := s.accept(resp.Samples); len(samples) > 0 {
			return samples, nil
		}
		if n := len(resp.Failed); n > 0 && resp.Remaining <= n {
			return nil, &IncompleteError{Failed: resp.Failed}
		}
	}
	s.acknowledge(ctx)
	return nil, io.EOF
}

func (s *Step) pull(ctx context.Context) (*api.PullResponse, error) {
	req := api.PullRequest{
		Owner: s.owner, Cursor: s.held, TrainerVersion: s.version(),
		WaitMs: s.c.opts.Wait.Milliseconds(), MaxSamples: s.c.opts.MaxSamples,
	}
	var resp api.PullResponse
	if err := s.c.do(ctx, http.MethodPost, s.path("/pull", nil), s.c.opts.Wait, req, &resp); err != nil {
		return nil, err
	}
	if resp.Owner != "" {
		s.owner = resp.Owner
	}
	return &resp, nil
}

func (s *Step) path(suffix string, extra url.Values) string {
	q := url.Values{"route": {s.spec.Route}}
	for k, v := range extra {
		q[k] = v
	}
	return "/v1/steps/" + url.PathEscape(s.spec.ID) + suffix + "?" + q.Encode()
}

// accept adds to the cursor, and returns, the samples that the trainer has not received before, except groups with a
// sample that is too stale for the trainer's current version. The gate delivers or generates rejected samples again.
func (s *Step) accept(samples []api.Sample) []api.Sample {
	minVersion := s.version() - s.spec.StalenessBound
	stale := map[string]bool{}
	for _, sm := range samples {
		if oldestVersion(sm.Spans) < minVersion {
			stale[sm.Group] = true
		}
	}
	var accepted []api.Sample
	for _, sm := range samples {
		if sm.Slot < 0 || sm.Slot >= s.slots || s.held.Has(sm.Slot) || stale[sm.Group] {
			continue
		}
		s.held = s.held.With(sm.Slot)
		accepted = append(accepted, sm)
	}
	return accepted
}

// oldestVersion returns the oldest version in spans, or 0 if none is reported.
func oldestVersion(spans []api.Span) int64 {
	if len(spans) == 0 {
		return 0
	}
	v := spans[0].Version
	for _, sp := range spans {
		v = min(v, sp.Version)
	}
	return v
}

// acknowledge sends the complete cursor to the gate, which then drops the step. If the message is lost, the step
// expires at the gate.
func (s *Step) acknowledge(ctx context.Context) {
	if s.acknowledged {
		return
	}
	s.acknowledged = true
	req := api.PullRequest{Owner: s.owner, Cursor: s.held, TrainerVersion: s.version()}
	raw, err := json.Marshal(req)
	if err == nil {
		err = s.c.sendOnce(ctx, http.MethodPost, s.c.currentGate()+s.path("/pull", nil), 0, raw, nil)
	}
	if err != nil {
		s.c.opts.Log.Debug("acknowledge_failed", "step", s.spec.ID, "err", err)
	}
}

// Release abandons the step: the gate drops it and cancels its attempts. An unknown step is not an error.
func (s *Step) Release(ctx context.Context) error {
	err := s.c.do(ctx, http.MethodDelete, s.path("", url.Values{"owner": {s.owner}}), 0, nil, nil)
	var refused *api.Error
	if errors.As(err, &refused) && refused.Code == api.CodeStepUnknown {
		return nil
	}
	return err
}
