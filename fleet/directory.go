package fleet

import (
	"maps"
	"sort"
	"time"
)

// outageGrace is the time after an outage of the store during which removals are deferred, because registrations could
// expire during the outage: live targets register again within about two seconds.
const outageGrace = 2 * time.Second

// registration is the newest record of a target.
type registration struct {
	offset   int64
	instance *Instance
	// lapsedAt is the time of a removal that is deferred because of an outage; zero otherwise.
	lapsedAt time.Time
}

// Directory holds the newest tables, registered targets and named weight versions. Records at an older offset, and tables
// or weight versions lower than the current ones, are ignored. It is not safe for concurrent use.
type Directory struct {
	tables       *Tables
	batchRouting BatchRouting
	named        map[string]int64
	targets      map[string]*registration
	recoveredAt  time.Time
	listed       bool
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{named: map[string]int64{}, targets: map[string]*registration{}}
}

// Tables returns the current tables; nil before the first SetTables.
func (d *Directory) Tables() *Tables { return d.tables }

// BatchRouting returns the pools to which the batch routes of the current tables go.
func (d *Directory) BatchRouting() BatchRouting { return d.batchRouting }

// SetTables replaces the tables if t is newer, and reports whether it did.
func (d *Directory) SetTables(t *Tables) bool {
	if d.tables != nil && t.Version <= d.tables.Version {
		return false
	}
	d.tables, d.batchRouting = t, t.batchRouting(d.batchRouting)
	return true
}

// NamedVersions returns the newest weight version that a trainer named for each model. The map must not be modified.
func (d *Directory) NamedVersions() map[string]int64 { return d.named }

// SetNamedVersion records a weight version that a trainer named, and reports whether it is the model's newest.
func (d *Directory) SetNamedVersion(model string, version int64) bool {
	if version <= d.named[model] {
		return false
	}
	d.named = maps.Clone(d.named) // snapshots share the previous map
	d.named[model] = version
	return true
}

// Register applies a target's registration record. It reports whether the record changed the target's state.
func (d *Directory) Register(offset int64, id string, i *Instance) bool {
	r := d.targets[id]
	if r != nil && offset <= r.offset {
		return false
	}
	if r != nil && r.instance != nil && r.instance.equal(i) {
		r.offset, r.lapsedAt = offset, time.Time{}
		return false
	}
	d.targets[id] = &registration{offset: offset, instance: i}
	return true
}

// Remove applies the removal of a target's registration, and reports whether a registered target was removed. Within
// outageGrace after an outage the target stays registered until Expire.
func (d *Directory) Remove(now time.Time, offset int64, id string) bool {
	r := d.targets[id]
	if r == nil || offset <= r.offset {
		return false
	}
	if r.instance != nil && !d.recoveredAt.IsZero() && now.Sub(d.recoveredAt) < outageGrace {
		r.lapsedAt, r.offset = now, offset
		return false
	}
	wasRegistered := r.instance != nil
	d.targets[id] = &registration{offset: offset}
	return wasRegistered
}

// StoreRecovered records that the store is available again after an outage.
func (d *Directory) StoreRecovered(now time.Time) { d.recoveredAt = now }

// RemoveUnlisted removes the targets whose IDs are missing in a full listing at offset.
func (d *Directory) RemoveUnlisted(now time.Time, offset int64, ids map[string]bool) {
	for id := range d.targets {
		if !ids[id] {
			d.Remove(now, offset, id)
		}
	}
	d.listed = true
}

// Listed reports whether a full listing of the targets was applied.
func (d *Directory) Listed() bool { return d.listed }

// Expire applies the deferred removals after outageGrace, and returns the number of targets removed.
func (d *Directory) Expire(now time.Time) int {
	n := 0
	for _, r := range d.targets {
		if !r.lapsedAt.IsZero() && now.Sub(d.recoveredAt) >= outageGrace {
			r.instance, r.lapsedAt = nil, time.Time{}
			n++
		}
	}
	return n
}

// Instances returns the registered targets, sorted by ID.
func (d *Directory) Instances() []*Instance {
	out := make([]*Instance, 0, len(d.targets))
	for _, r := range d.targets {
		if r.instance != nil {
			out = append(out, r.instance)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
