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

// maxResubmits bounds how often one call of Next hands the specification in again.
const maxResubmits = 64

// Step is one step of a trainer. Its methods must not be called concurrently.
type Step struct {
	c       *Client
	spec    api.StepSpec
	version func() int64
	owner   string
	held    api.Cursor
	slots   int
	acked   bool
}

// IncompleteError tells that some slots cannot be filled by any attempt.
type IncompleteError struct {
	Failed []api.FailedSlot
}

// Error names the first of the slots and the remedy.
func (e *IncompleteError) Error() string {
	f := e.Failed[0]
	return fmt.Sprintf("client: %d slots cannot be filled, first slot %d of group %s: %s: %s; hand in the step without these groups",
		len(e.Failed), f.Slot, f.Group, f.Code, f.Message)
}

// Step hands a step in and returns it. The function version tells the trainer's version at any
// time; spec.Held names slots that the trainer holds already.
func (c *Client) Step(ctx context.Context, spec api.StepSpec, version func() int64) (*Step, error) {
	if len(c.opts.Gates) == 0 {
		return nil, errors.New("client: no gates; name at least one base URL in Options.Gates")
	}
	s := &Step{c: c, spec: spec, version: version, held: slices.Clone(spec.Held), slots: spec.Slots()}
	return s, s.submit(ctx)
}

// Cursor returns the slots that the trainer holds, to be kept with its checkpoint.
func (s *Step) Cursor() api.Cursor { return slices.Clone(s.held) }

// submit hands the specification in, with the slots held.
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

// Next returns the next whole groups, each sample exactly once and within the staleness bound of the
// trainer's version, or io.EOF when the trainer holds each slot.
func (s *Step) Next(ctx context.Context) ([]api.Sample, error) {
	resubmits := 0
	for s.held.Count() < s.slots {
		resp, err := s.pull(ctx)
		var refused *api.Error
		if errors.As(err, &refused) && refused.Code == api.CodeStepUnknown && resubmits < maxResubmits {
			if err := sleep(ctx, retryWait(nil, resubmits)); err != nil {
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

func (s *Step) path(suffix string, more url.Values) string {
	q := url.Values{"route": {s.spec.Route}}
	for k, v := range more {
		q[k] = v
	}
	return "/v1/steps/" + url.PathEscape(s.spec.ID) + suffix + "?" + q.Encode()
}

// accept takes the samples of whole groups that the trainer does not hold and that are fresh for
// the version that it has by now. What it does not take is delivered again or made again.
func (s *Step) accept(samples []api.Sample) []api.Sample {
	need := s.version() - s.spec.StalenessBound
	stale := map[string]bool{}
	for _, sm := range samples {
		if oldest(sm.Spans) < need {
			stale[sm.Group] = true
		}
	}
	var taken []api.Sample
	for _, sm := range samples {
		if sm.Slot < 0 || sm.Slot >= s.slots || s.held.Has(sm.Slot) || stale[sm.Group] {
			continue
		}
		s.held = s.held.With(sm.Slot)
		taken = append(taken, sm)
	}
	return taken
}

// oldest returns the oldest version of a sample; 0 if one is not reported.
func oldest(spans []api.Span) int64 {
	if len(spans) == 0 {
		return 0
	}
	o := spans[0].Version
	for _, sp := range spans {
		o = min(o, sp.Version)
	}
	return o
}

// acknowledge tells the gate that each slot is held, so that it can drop the step; a lost
// acknowledgement only lets the step expire there later.
func (s *Step) acknowledge(ctx context.Context) {
	if s.acked {
		return
	}
	s.acked = true
	req := api.PullRequest{Owner: s.owner, Cursor: s.held, TrainerVersion: s.version()}
	raw, err := json.Marshal(req)
	if err == nil {
		err = s.c.once(ctx, http.MethodPost, s.c.current()+s.path("/pull", nil), 0, raw, nil)
	}
	if err != nil {
		s.c.opts.Log.Debug("acknowledge_failed", "step", s.spec.ID, "err", err)
	}
}

// Release gives the step up; its attempts are cancelled at once.
func (s *Step) Release(ctx context.Context) error {
	err := s.c.do(ctx, http.MethodDelete, s.path("", url.Values{"owner": {s.owner}}), 0, nil, nil)
	var refused *api.Error
	if errors.As(err, &refused) && refused.Code == api.CodeStepUnknown {
		return nil
	}
	return err
}
