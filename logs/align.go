package logs

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxLearnDelay is how much later than another VM a VM with a correct clock may log the same record: twice the
// longest wait of a read. Smaller differences are not attributed to clocks.
const maxLearnDelay = 1600 * time.Millisecond

// sharedEvents are the events that every VM logs when it reads a record of the store, with the fields that
// identify the record. Comparing their times yields the offsets between the clocks of the VMs.
var sharedEvents = map[string][]string{"tables_in_force": {"offset"}, "version_named": {"model", "offset"}}

// Align estimates how far the clock of each VM is ahead of the others, corrects the times of the lines and sorts
// them by time. It returns the offsets that it subtracted, by VM.
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
	deviations := map[string][]time.Duration{}
	for _, times := range seen {
		if len(times) < 2 {
			continue
		}
		medianTime := median(slices.Collect(maps.Values(times)), time.Time.Compare)
		for vm, t := range times {
			deviations[vm] = append(deviations[vm], t.Sub(medianTime))
		}
	}
	offsets := map[string]time.Duration{}
	for vm, vmDeviations := range deviations {
		if offset := median(vmDeviations, cmp.Compare[time.Duration]); offset.Abs() > maxLearnDelay {
			offsets[vm] = offset
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
