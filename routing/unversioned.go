package routing

import "time"

// unversionedFor is how long a target that reported no weight version with its tokens is used for
// a request that needs one only if no other target can serve.
const unversionedFor = 30 * time.Second

// Unversioned records that the target reported no weight version with its tokens.
func (t *Table) Unversioned(now time.Time, address string) {
	if x := t.byAddr[address]; x != nil {
		x.unversionedUntil = now.Add(unversionedFor)
	}
}

// versions tells whether the target can be expected to report weight versions.
func (x *target) versions(now time.Time) bool { return !now.Before(x.unversionedUntil) }
