package fleet

import (
	"maps"

	"github.com/ibistrail/ibistrail/config"
)

// Instance is one life of a target: a restart is a new instance, mostly under a new ID.
type Instance struct {
	// Target holds the ID as its name, the address and the availability zone.
	config.Target
	Pool  string `json:"pool"`
	Slots int    `json:"slots"`
	// Versions are the weight versions by model.
	Versions map[string]int64 `json:"versions,omitempty"`
	// BornMs is the start of the instance, in Unix milliseconds; 0 if it did not say.
	BornMs int64 `json:"born_ms,omitempty"`
}

// Key tells lives apart that reuse an ID.
type Key struct {
	ID     string
	BornMs int64
}

// Key returns the identity of this life.
func (i *Instance) Key() Key { return Key{i.Name, i.BornMs} }

// equal tells whether two records describe the same life in the same state.
func (i *Instance) equal(o *Instance) bool {
	return i.Target == o.Target && i.Pool == o.Pool && i.Slots == o.Slots && i.BornMs == o.BornMs && maps.Equal(i.Versions, o.Versions)
}
