package batch

import (
	"time"

	"github.com/ibistrail/ibistrail/versions"
)

// LoadBegan implements versions.Loads: requests of the model wait until the load should be over.
func (r *runner) LoadBegan(i versions.Intent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := time.Now().Add(r.load)
	r.engines.block(i.Instance, i.Model, until)
	// The new version is believed from then on; the engine's answers tell if it is late.
	r.engines.versioned(i.Instance, i.Model, i.Version)
	time.AfterFunc(r.load+time.Millisecond, r.wake)
}

// LoadEnded implements versions.Loads.
func (r *runner) LoadEnded(i versions.Intent, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.load += time.Duration(loadGain * float64(took-r.load))
	r.engines.block(i.Instance, i.Model, time.Time{})
	r.engines.versioned(i.Instance, i.Model, i.Version)
	r.wake()
}

// LoadFailed implements versions.Loads.
func (r *runner) LoadFailed(i versions.Intent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engines.block(i.Instance, i.Model, time.Time{})
	r.engines.unversioned(i.Instance, i.Model, i.Instance.Versions[i.Model])
	r.wake()
}
