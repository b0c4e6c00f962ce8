package rollout

import (
	"context"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/wire"
)

// Bounds of releases at other gates.
const (
	// releaseTimeout bounds the release of a step that another gate runs.
	releaseTimeout = 5 * time.Second
	// supersedeInterval and supersedeTries bound the attempts to reach an owner that was left.
	supersedeInterval = 2 * time.Second
	supersedeTries    = 30
)

// Release gives a step up; its attempts are cancelled at once.
func (m *Manager) Release(ctx context.Context, trainer, stepID string) *api.Error {
	return m.ReleaseAt(ctx, trainer, stepID, "")
}

// ReleaseAt is Release for a step that the gate owner runs.
func (m *Manager) ReleaseAt(ctx context.Context, trainer, stepID, owner string) *api.Error {
	key := stepKey{trainer, stepID}
	m.mu.Lock()
	r, to := m.steps[key], m.moved[key]
	m.forgetLocked(key)
	m.mu.Unlock()
	if r != nil {
		r.cancel()
		select {
		case <-r.done:
		case <-ctx.Done():
		}
		return nil
	}
	if to.owner == "" {
		to = m.gate(owner)
	}
	if to.address == "" {
		return stepUnknown(stepID)
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	err := m.opts.Call(ctx, to.address, wire.MethodStepPull, wire.StepPullParams{Trainer: trainer, StepID: stepID, Release: true}, nil)
	if err == nil {
		return nil
	}
	if e := remoteError(err); e != nil {
		return e
	}
	return stepUnknown(stepID)
}

// Supersede releases a step at the gate that ran it before, once that can be reached, so that it
// makes no samples which nobody pulls. The trainer's cursor keeps it harmless until then.
func (m *Manager) Supersede(trainer, stepID, previous string) {
	key := stepKey{trainer, stepID}
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.steps[key]; r != nil && previous != "" && previous != m.opts.GateID && !m.draining {
		m.wg.Go(func() { m.supersede(r, previous) })
	}
}

func (m *Manager) supersede(r *runner, previous string) {
	t := time.NewTicker(supersedeInterval)
	defer t.Stop()
	for range supersedeTries {
		if to := m.gate(previous); to.address != "" {
			ctx, cancel := context.WithTimeout(r.ctx, releaseTimeout)
			err := m.opts.Call(ctx, to.address, wire.MethodStepPull, wire.StepPullParams{Trainer: r.key.trainer, StepID: r.key.id, Release: true}, nil)
			cancel()
			if err == nil || remoteError(err) != nil {
				return
			}
		}
		select {
		case <-t.C:
		case <-r.done:
			return
		}
	}
}

// gate returns the address of a live peer; it is empty when there is none of that name.
func (m *Manager) gate(id string) moved {
	if id == "" || id == m.opts.GateID {
		return moved{}
	}
	for _, p := range m.opts.Directory.Peers() {
		if p.ID == id {
			return moved{owner: p.ID, address: p.GateAddress}
		}
	}
	return moved{}
}
