package fleet

import (
	"maps"

	"github.com/ibistrail/ibistrail/config"
)

// Instance is one incarnation of a target: a restart creates a new instance, usually with a new ID.
type Instance struct {
	// Target holds the ID (as Name), the address and the availability zone.
	config.Target
	Pool  string `json:"pool"`
	Slots int    `json:"slots"`
	// Versions maps each model to its weight version.
	Versions map[string]int64 `json:"versions,omitempty"`
	// SoftwareVersion is the version of the target's software, not of its weights.
	SoftwareVersion string `json:"software,omitempty"`
	// Spot targets cost less and may be taken away, all of an availability zone at once.
	Spot bool `json:"spot,omitempty"`
	// StartedMs is the start time of the instance in Unix milliseconds; 0 if not reported.
	StartedMs int64 `json:"born_ms,omitempty"`
}

// Key identifies an instance; it differs between incarnations that reuse an ID.
type Key struct {
	ID        string
	StartedMs int64
}

// Key returns the instance's key.
func (i *Instance) Key() Key { return Key{i.Name, i.StartedMs} }

// equal reports whether both records describe the same instance in the same state.
func (i *Instance) equal(o *Instance) bool {
	return i.Target == o.Target && i.Pool == o.Pool && i.Slots == o.Slots && i.SoftwareVersion == o.SoftwareVersion && i.StartedMs == o.StartedMs && i.Spot == o.Spot && maps.Equal(i.Versions, o.Versions)
}
