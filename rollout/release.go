package rollout

import (
	"context"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/wire"
)

// Limits of releases at other gates.
const (
	// releaseTimeout limits one release call to another gate.
	releaseTimeout = 5 * time.Second
	// supersedeInterval and supersedeAttempts limit the retries to release a step at its previous owner.
	supersedeInterval = 2 * time.Second
	supersedeAttempts = 30
)

// Release ends a step and cancels its attempts.
func (m *Manager) Release(ctx context.Context, trainer, stepID string) *api.Error {
	return m.ReleaseAt(ctx, trainer, stepID, "")
}

// ReleaseAt is like Release for a step that may run on the gate with ID owner.
func (m *Manager) ReleaseAt(ctx context.Context, trainer, stepID, owner string) *api.Error {
	key := stepKey{trainer, stepID}
	m.mu.Lock()
	r, gate := m.steps[key], m.ownerGate[key]
	m.removeEndedLocked(key)
	m.mu.Unlock()
	if r != nil {
		r.cancel()
		select {
		case <-r.done:
		case <-ctx.Done():
		}
		return nil
	}
	if gate.owner == "" {
		gate = m.peerGate(owner)
	}
	if gate.address == "" {
		return stepUnknownError(stepID)
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	err := m.opts.CallPeer(ctx, gate.address, wire.MethodStepPull, wire.StepPullParams{Trainer: trainer, StepID: stepID, Release: true}, nil)
	if err == nil {
		return nil
	}
	if e := remoteError(err); e != nil {
		return e
	}
	return stepUnknownError(stepID)
}

// Supersede releases a step at the gate previous that ran it before, retrying in the background while that gate
// is unreachable, so that it generates no samples that nobody pulls. Until then the duplicate is harmless, since
// the trainer's cursor excludes the slots it already holds.
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
	for range supersedeAttempts {
		if gate := m.peerGate(previous); gate.address != "" {
			ctx, cancel := context.WithTimeout(r.ctx, releaseTimeout)
			err := m.opts.CallPeer(ctx, gate.address, wire.MethodStepPull, wire.StepPullParams{Trainer: r.key.trainer, StepID: r.key.id, Release: true}, nil)
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

// peerGate returns the live peer with the given ID; the result is empty if there is none.
func (m *Manager) peerGate(id string) ownerGate {
	if id == "" || id == m.opts.GateID {
		return ownerGate{}
	}
	for _, p := range m.opts.Directory.Peers() {
		if p.ID == id {
			return ownerGate{owner: p.ID, address: p.GateAddress}
		}
	}
	return ownerGate{}
}
