package batch

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/crashes"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/promptcache"
)

// unfinishedText holds the events of an item that were received before its job was closed.
type unfinishedText struct {
	events   []string
	versions []int64
	software string
	closedAt time.Time
}

// unfinishedTextTTL is how long an unfinished text is kept: groups are resubmitted within one or two steps.
const unfinishedTextTTL = time.Minute

// reconcile opens and closes jobs to match the submissions of the owned partitions.
func (r *runner) reconcile(ctx context.Context, snap *fleet.Snapshot) {
	now := time.Now()
	r.openSubmissions(ctx)
	r.closeJobs(snap, now)
	for item, text := range r.unfinishedTexts {
		if now.Sub(text.closedAt) > unfinishedTextTTL {
			delete(r.unfinishedTexts, item)
		}
	}
}

// openSubmissions opens the submissions of owned partitions that have no jobs yet, and removes the jobs of items
// that have a result. Submissions for whose items there is no room wait for others to end.
func (r *runner) openSubmissions(ctx context.Context) {
	room := r.newItemRoom()
	for p := range r.owned {
		p.mu.Lock()
		if !p.caughtUp() {
			p.mu.Unlock()
			continue
		}
		for _, v := range p.index.void {
			if _, start := p.beginPlacing(v); start {
				go r.placeVoid(ctx, p, v)
			}
		}
		for _, id := range p.index.order {
			sub := p.index.submissions[id]
			jobs := r.jobs[id]
			if sub.done() {
				continue
			}
			if jobs == nil {
				// Load again even if the items are known from an earlier tenure: another VM may have saved progress since.
				if !sub.loading && room.take(sub.itemBytes) {
					sub.loading = true
					go r.loadSubmission(ctx, p, sub)
				}
				continue
			}
			for item, j := range jobs {
				if sub.hasResult[item] {
					r.logListed(j)
					r.cancelRun(j)
					delete(jobs, item)
				}
			}
		}
		p.mu.Unlock()
	}
}

// logListed logs that the result of an item that this VM completed is in the log.
func (r *runner) logListed(j *job) {
	if j.resultQueuedAt.IsZero() || j.textCompleteAt.IsZero() {
		return // another VM listed it, or it was abandoned or reused
	}
	r.log.Info("item_listed", "id", j.item.ID, "batch", j.head.ID, "score_ms", j.resultQueuedAt.Sub(j.textCompleteAt).Milliseconds(),
		"append_ms", time.Since(j.resultQueuedAt).Milliseconds())
}

// closeJobs closes the jobs of submissions that are done or whose partition is no longer owned, and abandons the
// items of expired submissions.
func (r *runner) closeJobs(snap *fleet.Snapshot, now time.Time) {
	for id, jobs := range r.jobs {
		for _, j := range jobs { // all jobs have the same submission
			r.closeSubmission(snap, now, j.partition, j.submission, jobs)
			break
		}
		if len(jobs) == 0 {
			delete(r.jobs, id)
		}
	}
}

// closeSubmission closes the jobs of a submission if it is done or its partition is no longer owned. Otherwise it abandons
// its items if it has expired.
func (r *runner) closeSubmission(snap *fleet.Snapshot, now time.Time, p *partition, sub *submissionState, jobs map[string]*job) {
	p.mu.Lock()
	done, ended, owned := sub.done(), sub.ended, r.owned[p]
	if done {
		for item, j := range jobs {
			if sub.hasResult[item] {
				r.logListed(j)
			}
		}
	}
	p.mu.Unlock()
	if owned && !done {
		if expired(snap, sub.head, now) {
			for _, j := range jobs {
				if j.state != jobResultQueued {
					r.cancelRun(j)
					r.abandon(j)
				}
			}
		}
		return
	}
	var unsaved []*Progress
	for item, j := range jobs {
		if !done && j.hasUnsavedText() {
			unsaved = append(unsaved, j.unsavedProgress(r.writer))
		}
		r.closeJob(j, now)
		delete(jobs, item)
	}
	if len(unsaved) > 0 {
		r.appendProgress(p, sub.head.ID, unsaved) // for the new owner of the partition
	}
	if done && !ended {
		r.log.Info("batch_done", "batch", sub.head.ID, "ms", now.UnixMilli()-sub.head.AcceptedMs, "due_ms", runDeadline(snap, sub.head).Milliseconds())
	}
}

// runDeadline returns the time after acceptance at which the results of a submission are due, or 0 if it has no route.
func runDeadline(snap *fleet.Snapshot, head *Head) time.Duration {
	if route := head.route(snap.Tables); route != nil {
		return route.RunDeadline
	}
	return 0
}

// expired reports whether the retention of a submission has ended, so that its items may be abandoned.
func expired(snap *fleet.Snapshot, head *Head, now time.Time) bool {
	retention := head.retention(snap.Tables)
	return retention > 0 && now.UnixMilli() > head.AcceptedMs+retention.Milliseconds()
}

// abandon queues the result of an item that can't be completed.
func (r *runner) abandon(j *job) {
	j.state = jobResultQueued
	r.appendResult(j.partition, j.head.ID, j.abandonedResult(), "")
}

// loadSubmission reads the items and unfinished texts of an open submission from the data topic and opens it.
func (r *runner) loadSubmission(ctx context.Context, p *partition, sub *submissionState) {
	p.mu.Lock()
	saved := maps.Clone(sub.savedParts)
	p.mu.Unlock()
	items, err := p.data.readItems(ctx, sub.itemSpans)
	var texts map[string]*partialText
	if err == nil {
		texts, err = p.data.readTexts(ctx, saved)
	}
	if err != nil {
		r.log.Warn("batch_read", "batch", sub.head.ID, "partition", p.id.Index, "outcome", "failed", "err", err)
		process.Sleep(ctx, readRetryDelay)
	}
	r.mu.Lock()
	p.mu.Lock()
	sub.loading = false
	if err == nil && !sub.done() {
		if sub.items == nil {
			sub.setItems(items)
		}
		if snap := r.view.Get(); r.owned[p] && r.jobs[sub.head.ID] == nil {
			r.openSubmission(snap, p, sub, texts)
		}
	}
	p.mu.Unlock()
	r.mu.Unlock()
	r.wake()
}

// openSubmission creates the jobs of a submission. The caller holds the locks of the runner and the partition.
func (r *runner) openSubmission(snap *fleet.Snapshot, p *partition, sub *submissionState, texts map[string]*partialText) {
	singleVersion := sub.head.singleVersion(snap.Tables)
	jobs := make(map[string]*job, len(sub.itemList))
	resubmittedGroups := map[string]bool{}
	reused := 0
	for _, it := range sub.itemList {
		if _, ok := p.index.resultsByItem[sub.head.owned(it.ID)]; ok {
			resubmittedGroups[it.Group] = true
		}
		if _, ok := r.unfinishedTexts[sub.head.owned(it.ID)]; ok {
			resubmittedGroups[it.Group] = true
		}
	}
	for _, it := range sub.itemList {
		if sub.hasResult[it.ID] {
			continue
		}
		j := &job{
			submission: sub, head: sub.head, item: it, partition: p, resubmittedGroup: resubmittedGroups[it.Group],
			fingerprint: crashes.Fingerprint(http.MethodPost, sub.head.Host, it.Path, nil, it.Body),
			prompt:      promptcache.NewPrompt(sub.head.Model, it.Prompt),
		}
		jobs[it.ID] = j
		if result, ok := p.index.reusableResult(sub.head, it, singleVersion); ok {
			j.state = jobResultQueued
			reused++
			r.appendResult(p, sub.head.ID, result, "")
			continue
		}
		if saved := texts[it.ID]; saved != nil {
			j.events, j.versions, j.software = slices.Clone(saved.events), slices.Clone(saved.versions), saved.software
			j.dropTextIfNotAllowed(singleVersion)
			j.textComplete = saved.complete && len(j.events) > 0
			j.engineErrors, j.scorerErrors = saved.engineErrors, saved.scorerErrors
		}
		if text, ok := r.unfinishedTexts[sub.head.owned(it.ID)]; ok && len(text.events) > len(j.events) {
			j.events, j.versions, j.software, j.textComplete = text.events, text.versions, text.software, false
			j.dropTextIfNotAllowed(singleVersion)
			delete(r.unfinishedTexts, sub.head.owned(it.ID))
		}
	}
	r.jobs[sub.head.ID] = jobs
	r.minVersions[sub.head.Model] = max(r.minVersions[sub.head.Model], sub.head.MinVersion)
	r.log.Info("batch_open", "batch", sub.head.ID, "partition", p.id.Index, "step", sub.head.Step, "model", sub.head.Model, "least_version", sub.head.MinVersion,
		"items", sub.itemCount, "listed", len(sub.results), "reused", reused, "saved", len(texts))
}

// cancelRun cancels the current run of a job, if any.
func (r *runner) cancelRun(j *job) {
	if j.cancel != nil {
		j.cancel()
		j.cancel = nil
	}
}

// closeJob cancels a job's run and keeps its text in case the item is submitted again.
func (r *runner) closeJob(j *job, now time.Time) {
	r.cancelRun(j)
	if j.state != jobResultQueued && len(j.events) > 0 {
		r.unfinishedTexts[j.head.owned(j.item.ID)] = unfinishedText{events: j.events, versions: j.versions, software: j.software, closedAt: now}
	}
}
