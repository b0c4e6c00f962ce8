package fleet

import (
	"maps"
	"sort"
	"time"
)

// outageGrace is how long after an outage of the store a registration that lapsed meanwhile is
// still believed: live targets register again within about two seconds.
const outageGrace = 2 * time.Second

// registration is the newest record of a target.
type registration struct {
	offset   int64
	instance *Instance
	// lapsedAt is when the removal was read within the grace after an outage; zero otherwise.
	lapsedAt time.Time
}

// Directory holds the newest tables, targets and named weight versions. All of them only move
// forward: a record at an older offset, or tables of a lower version, change nothing.
type Directory struct {
	tables      *Tables
	named       map[string]int64
	targets     map[string]*registration
	recoveredAt time.Time
	listed      bool
}

// NewDirectory returns a directory that knows nothing.
func NewDirectory() *Directory {
	return &Directory{named: map[string]int64{}, targets: map[string]*registration{}}
}

// Tables returns the tables in force; nil before the first.
func (d *Directory) Tables() *Tables { return d.tables }

// SetTables puts tables in force if they are newer.
func (d *Directory) SetTables(t *Tables) bool {
	if d.tables != nil && t.Version <= d.tables.Version {
		return false
	}
	d.tables = t
	return true
}

// Named returns the newest named weight version of each model.
func (d *Directory) Named() map[string]int64 { return d.named }

// SetNamed records a version that a trainer named.
func (d *Directory) SetNamed(model string, version int64) bool {
	if version <= d.named[model] {
		return false
	}
	d.named = maps.Clone(d.named) // snapshots share the one before
	d.named[model] = version
	return true
}

// Register takes a target's record. It returns whether that changes more than the record's offset.
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

// Remove takes the removal of a target's record. Within the grace after an outage the target stays
// in use until Expire.
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

// Returned tells that the store answers again after an outage.
func (d *Directory) Returned(now time.Time) { d.recoveredAt = now }

// KeepOnly removes the targets that a full listing did not name.
func (d *Directory) KeepOnly(now time.Time, offset int64, ids map[string]bool) {
	for id := range d.targets {
		if !ids[id] {
			d.Remove(now, offset, id)
		}
	}
	d.listed = true
}

// Listed tells whether the targets were listed in full at least once.
func (d *Directory) Listed() bool { return d.listed }

// Expire drops the targets that lapsed during an outage and did not come back, and returns how many.
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
