package batch

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
)

// leftover is what was received of an item when its submission ended.
type leftover struct {
	text     []string
	versions []int64
	at       time.Time
}

// leftoverTTL is how long an unfinished text is kept: groups come again within a step or two.
const leftoverTTL = time.Minute

// reconcile brings the jobs in line with the owned partitions' submissions.
func (r *runner) reconcile(ctx context.Context, snap *fleet.Snapshot) {
	now := time.Now()
	r.openNew(ctx)
	r.closeGone(snap, now)
	for item, l := range r.texts {
		if now.Sub(l.at) > leftoverTTL {
			delete(r.texts, item)
		}
	}
}

// openNew opens the submissions of owned partitions that have no jobs yet, and drops the jobs of
// items that were listed.
func (r *runner) openNew(ctx context.Context) {
	for p := range r.parts {
		p.mu.Lock()
		if !p.current() {
			p.mu.Unlock()
			continue
		}
		for _, id := range p.book.order {
			e := p.book.entries[id]
			jobs := r.jobs[id]
			if e.done() {
				continue
			}
			if jobs == nil {
				// What was read in an earlier tenure lacks what others have saved since.
				if !e.reading {
					e.reading = true
					go r.read(ctx, p, e)
				}
				continue
			}
			for item, j := range jobs {
				if e.listed[item] {
					r.drop(j)
					delete(jobs, item)
				}
			}
		}
		p.mu.Unlock()
	}
}

// closeGone ends the jobs of submissions that have ended, or that another VM runs now, and gives up
// those whose time is over.
func (r *runner) closeGone(snap *fleet.Snapshot, now time.Time) {
	for id, jobs := range r.jobs {
		var whole *Head
		for item, j := range jobs {
			j.part.mu.Lock()
			gone := !r.parts[j.part] || j.entry.done()
			if j.entry.done() && !j.entry.ended {
				whole = j.sub
			}
			j.part.mu.Unlock()
			if gone {
				if !j.entry.done() && j.state == running && len(j.text) > j.saved {
					r.save(j.part, j.sub.ID, j.progress(r.writer)) // for the VM that goes on with it
				}
				r.leave(j, now)
				delete(jobs, item)
			} else if expired(snap, j.sub, now) && j.state != settled {
				r.drop(j)
				r.abandon(j)
			}
		}
		if len(jobs) == 0 {
			delete(r.jobs, id)
			if whole != nil {
				r.log.Info("batch_done", "batch", id, "ms", now.UnixMilli()-whole.AcceptedMs, "due_ms", dueAfter(snap, whole).Milliseconds())
			}
		}
	}
}

// dueAfter is the time in which a submission's items are due; 0 where it has no route any more.
func dueAfter(snap *fleet.Snapshot, s *Head) time.Duration {
	if route := snap.Tables.Match(s.Host, s.Path); route != nil {
		return route.RunDeadline
	}
	return 0
}

// expired tells whether the items of a submission may be given up. Without a route nothing can run.
func expired(snap *fleet.Snapshot, s *Head, now time.Time) bool {
	route := snap.Tables.Match(s.Host, s.Path)
	if route == nil || route.Retention <= 0 {
		return false
	}
	return now.UnixMilli() > s.AcceptedMs+route.Retention.Milliseconds()
}

// abandon gives an item up.
func (r *runner) abandon(j *job) {
	j.state = settled
	r.list(j.part, j.sub.ID, j.abandoned(), "")
}

// read reads what the runner needs of an open submission from the data topic, and opens it.
func (r *runner) read(ctx context.Context, p *partition, e *entry) {
	p.mu.Lock()
	saved := maps.Clone(e.saved)
	p.mu.Unlock()
	items, err := p.data.items(ctx, e.data)
	var texts map[string]*savedText
	if err == nil {
		texts, err = p.data.texts(ctx, saved)
	}
	if err != nil {
		r.log.Warn("batch_read", "batch", e.head.ID, "partition", p.id.Index, "outcome", "failed", "err", err)
		process.Sleep(ctx, readRetry)
	}
	r.mu.Lock()
	p.mu.Lock()
	e.reading = false
	if err == nil && !e.done() {
		if e.items == nil {
			e.setItems(items)
		}
		if snap := r.view.Get(); r.parts[p] && r.jobs[e.head.ID] == nil {
			r.open(snap, p, e, texts)
		}
	}
	p.mu.Unlock()
	r.mu.Unlock()
	r.wake()
}

// open makes the jobs of a submission. The partition's lock is held.
func (r *runner) open(snap *fleet.Snapshot, p *partition, e *entry, texts map[string]*savedText) {
	single := false
	if route := snap.Tables.Match(e.head.Host, e.head.Path); route != nil {
		single = route.SingleVersion
	}
	jobs := make(map[string]*job, len(e.order))
	carriedGroups := map[string]bool{}
	reused := 0
	for _, it := range e.order {
		if _, ok := p.book.finished[it.ID]; ok {
			carriedGroups[it.Group] = true
		}
		if _, ok := r.texts[it.ID]; ok {
			carriedGroups[it.Group] = true
		}
	}
	for _, it := range e.order {
		if e.listed[it.ID] {
			continue
		}
		j := &job{entry: e, sub: e.head, item: it, part: p, carried: carriedGroups[it.Group]}
		jobs[it.ID] = j
		if l, ok := p.book.reusable(e.head, it, single); ok {
			j.state = settled
			reused++
			r.list(p, e.head.ID, l, "")
			continue
		}
		if t := texts[it.ID]; t != nil {
			j.text, j.versions = slices.Clone(t.events), slices.Clone(t.versions)
			j.resumable(single)
			j.whole = t.whole && len(j.text) > 0
		}
		if l, ok := r.texts[it.ID]; ok && len(l.text) > len(j.text) {
			j.text, j.versions, j.whole = l.text, l.versions, false
			j.resumable(single)
			delete(r.texts, it.ID)
		}
	}
	r.jobs[e.head.ID] = jobs
	r.least[e.head.Model] = max(r.least[e.head.Model], e.head.MinVersion)
	r.log.Info("batch_open", "batch", e.head.ID, "partition", p.id.Index, "step", e.head.Step, "model", e.head.Model, "least_version", e.head.MinVersion,
		"items", e.total, "listed", len(e.results), "reused", reused, "saved", len(texts))
}

// drop ends a job's run.
func (r *runner) drop(j *job) {
	if j.cancel != nil {
		j.cancel()
		j.cancel = nil
	}
}

// leave ends a job whose submission has ended, and keeps its text in case the item comes again.
func (r *runner) leave(j *job, now time.Time) {
	r.drop(j)
	if j.state != settled && len(j.text) > 0 {
		r.texts[j.item.ID] = leftover{text: j.text, versions: j.versions, at: now}
	}
}
