package routing

import "time"

// unversionedAvoidance is the time for which a target that sent tokens without a weight version receives versioned
// requests only if no other target can serve them.
const unversionedAvoidance = 30 * time.Second

// RecordUnversioned records that the target sent tokens without a weight version.
func (t *Table) RecordUnversioned(now time.Time, address string) {
	if x := t.byAddr[address]; x != nil {
		x.unversionedUntil = now.Add(unversionedAvoidance)
	}
}

// reportsVersions reports whether the target is expected to send weight versions.
func (x *target) reportsVersions(now time.Time) bool { return !now.Before(x.unversionedUntil) }
