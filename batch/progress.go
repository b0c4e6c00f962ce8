package batch

import (
	"time"
)

// saveRunningTexts saves the new events of items that have run for at least saveInterval.
func (r *runner) saveRunningTexts(now time.Time) {
	for _, jobs := range r.jobs {
		for _, j := range jobs {
			if j.state == jobRunning && len(j.events) > j.savedEvents && now.Sub(j.savedAt) >= saveInterval && now.Sub(j.startedAt) >= saveInterval {
				r.appendProgress(j.partition, j.head.ID, j.unsavedProgress(r.writer))
				j.savedEvents, j.savedAt = len(j.events), now
			}
		}
	}
}

// takeUnsaved returns the unsaved events of all unfinished texts and marks them as saved. Complete texts that wait
// for their score are included even without new events, to record that they are complete.
func (r *runner) takeUnsaved() []unsavedPart {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []unsavedPart
	for _, jobs := range r.jobs {
		for _, j := range jobs {
			if j.state == jobRunning && len(j.events) > j.savedEvents || j.state == jobScoring {
				out = append(out, unsavedPart{j.partition, j.head.ID, j.unsavedProgress(r.writer)})
				j.savedEvents = len(j.events)
			}
		}
	}
	return out
}

// unsavedPart is a part of a text that has to be saved to a partition.
type unsavedPart struct {
	partition    *partition
	submissionID string
	progress     *Progress
}
