package batch

import (
	"time"
)

// saveLong writes down what long items received since the last time.
func (r *runner) saveLong(now time.Time) {
	for _, jobs := range r.jobs {
		for _, j := range jobs {
			if j.state == running && len(j.text) > j.saved && now.Sub(j.savedAt) >= saveEvery && now.Sub(j.startedAt) >= saveEvery {
				r.save(j.part, j.sub.ID, j.progress(r.writer))
				j.saved, j.savedAt = len(j.text), now
			}
		}
	}
}

// saveAll returns what is not written down yet of all unfinished texts.
func (r *runner) saveAll() []unsaved {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []unsaved
	for _, jobs := range r.jobs {
		for _, j := range jobs {
			if j.state == running && len(j.text) > j.saved || j.state == scoring {
				out = append(out, unsaved{j.part, j.sub.ID, j.progress(r.writer)})
				j.saved = len(j.text)
			}
		}
	}
	return out
}

// unsaved is a part of a text to be written to a partition.
type unsaved struct {
	part       *partition
	submission string
	progress   *Progress
}
