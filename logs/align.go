package logs

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// clockSlack is how much later a VM may learn of a record with a right clock: the longest wait of a
// read, twice. Smaller differences are not taken for those of clocks.
const clockSlack = 1600 * time.Millisecond

// sharedEvents are lines that each VM writes when it learns of a record, so that their times tell
// the VMs' clocks apart.
var sharedEvents = map[string][]string{"tables_in_force": {"offset"}, "version_named": {"model", "offset"}}

// Align estimates how far each VM's clock is ahead of the others', corrects the times and orders the
// lines by them. It returns the corrections that were made.
func Align(lines []*Line) map[string]time.Duration {
	seen := map[string]map[string]time.Time{} // record -> VM -> first time
	for _, l := range lines {
		keys, ok := sharedEvents[l.Event]
		if !ok {
			continue
		}
		record := l.Event
		for _, k := range keys {
			record += " " + l.Get(k)
		}
		if seen[record] == nil {
			seen[record] = map[string]time.Time{}
		}
		if t, ok := seen[record][l.VM]; !ok || l.Time.Before(t) {
			seen[record][l.VM] = l.Time
		}
	}
	ahead := map[string][]time.Duration{}
	for _, by := range seen {
		if len(by) < 2 {
			continue
		}
		common := median(slices.Collect(maps.Values(by)), time.Time.Compare)
		for vm, t := range by {
			ahead[vm] = append(ahead[vm], t.Sub(common))
		}
	}
	offsets := map[string]time.Duration{}
	for vm, d := range ahead {
		if m := median(d, cmp.Compare[time.Duration]); m.Abs() > clockSlack {
			offsets[vm] = m
		}
	}
	for _, l := range lines {
		l.Time = l.Time.Add(-offsets[l.VM])
	}
	slices.SortStableFunc(lines, func(a, b *Line) int { return a.Time.Compare(b.Time) })
	return offsets
}

func median[T any](values []T, compare func(a, b T) int) T {
	slices.SortFunc(values, compare)
	return values[(len(values)-1)/2]
}
