package batch

import (
	"time"
)

// saveRunningTexts saves the new events of items that have run for at least minRunBeforeSave. The parts of a submission are
// saved together, as each record of the index is read by all VMs that are asked for results.
func (r *runner) saveRunningTexts(now time.Time) {
	for id, jobs := range r.jobs {
		var parts []*Progress
		var p *partition
		for _, j := range jobs {
			if j.state == jobRunning && len(j.events) > j.savedEvents && now.Sub(j.savedAt) >= saveInterval && now.Sub(j.startedAt) >= minRunBeforeSave {
				parts, p = append(parts, j.unsavedProgress(r.writer)), j.partition
				j.savedEvents, j.savedAt = len(j.events), now
			}
		}
		if len(parts) > 0 {
			r.appendProgress(p, id, parts)
		}
	}
}

// saveErrors saves the numbers of a job's errors, with its new events: a successor must not begin to count anew. The
// caller holds the lock.
func (r *runner) saveErrors(j *job) {
	r.appendProgress(j.partition, j.head.ID, []*Progress{j.unsavedProgress(r.writer)})
	j.savedEvents = len(j.events)
}

// takeUnsaved returns the unsaved events of all unfinished texts and marks them as saved. Complete texts that wait
// for their score are included even without new events, to record that they are complete.
func (r *runner) takeUnsaved() []unsavedParts {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []unsavedParts
	for id, jobs := range r.jobs {
		u := unsavedParts{submissionID: id}
		for _, j := range jobs {
			if j.hasUnsavedText() || j.state == jobScoring {
				u.partition, u.parts = j.partition, append(u.parts, j.unsavedProgress(r.writer))
				j.savedEvents = len(j.events)
			}
		}
		if len(u.parts) > 0 {
			out = append(out, u)
		}
	}
	return out
}

// unsavedParts are the parts of a submission's texts that have to be saved to a partition.
type unsavedParts struct {
	partition    *partition
	submissionID string
	parts        []*Progress
}
