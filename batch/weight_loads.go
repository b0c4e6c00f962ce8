package batch

import (
	"time"

	"github.com/ibistrail/ibistrail/versions"
)

// LoadStarted blocks requests of the model to the engine for the expected duration of the load.
func (r *runner) LoadStarted(intent versions.Intent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	blockedUntil := time.Now().Add(r.loadDuration)
	r.engines.block(intent.Instance, intent.Model, blockedUntil)
	// Record the new version already. If the load takes longer, the engine's response shows the old version and
	// resets it.
	r.engines.observeVersion(intent.Instance, intent.Model, intent.Version)
	r.engines.forgetPrompts(intent.Instance, intent.Model)
	time.AfterFunc(r.loadDuration+time.Millisecond, r.wake)
}

// LoadFinished records the duration of a load and the new version, and unblocks the engine.
func (r *runner) LoadFinished(intent versions.Intent, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loadDuration += time.Duration(loadGain * float64(took-r.loadDuration))
	r.engines.block(intent.Instance, intent.Model, time.Time{})
	r.engines.observeVersion(intent.Instance, intent.Model, intent.Version)
	r.engines.forgetPrompts(intent.Instance, intent.Model)
	r.wake()
}

// LoadFailed resets the engine's version to the registered one and unblocks the engine.
func (r *runner) LoadFailed(intent versions.Intent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engines.block(intent.Instance, intent.Model, time.Time{})
	r.engines.resetVersion(intent.Instance, intent.Model, intent.Instance.Versions[intent.Model])
	r.wake()
}
