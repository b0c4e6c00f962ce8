package batch

import (
	"context"
	"errors"
	"time"

	"github.com/ibistrail/ibistrail/memory"
	"github.com/ibistrail/ibistrail/organisation"
	"github.com/ibistrail/ibistrail/store"
)

// find returns the partition that holds a submission of the caller's organisation. It returns ErrNotFound only after all partitions were read
// to their end, also if another organisation has a submission with this ID.
func (s *Service) find(ctx context.Context, c organisation.Caller, id string) (*partition, error) {
	if p, _ := s.findLocal(c, id); p != nil {
		return p, nil
	}
	syncErr := s.syncAll(ctx)
	if syncErr == nil {
		s.adoptEpoch(s.opts.View.Get()) // the next submission needs no further read
	}
	p, owner := s.findLocal(c, id)
	switch {
	case p != nil:
		return p, nil
	case syncErr != nil:
		return nil, &UnavailableError{RetryAfter: storeRetryAfter, Cause: syncErr}
	case owner != "":
		s.refuseOther(c, id, owner)
	case s.placePending(id):
		return nil, &UnavailableError{RetryAfter: storeRetryAfter, Cause: errRoutesMoving}
	}
	return nil, ErrNotFound
}

// syncAll reads all partitions to their ends.
func (s *Service) syncAll(ctx context.Context) error {
	errs := make(chan error, len(s.partitions))
	for _, p := range s.partitions {
		go func() { errs <- p.sync(ctx) }()
	}
	var failed error
	for range s.partitions {
		if err := <-errs; err != nil {
			failed = err
		}
	}
	return failed
}

// refuseOther logs and counts a call for the submission of another organisation.
func (s *Service) refuseOther(c organisation.Caller, id, owner string) {
	s.calls.Add("other_organisation", 1)
	s.opts.Log.Info("batch_refused", "batch", id, "owner", owner, "caller", c.Organisation)
}

// findLocal returns the partition that holds a submission of the caller's organisation among the records read so far, or nil. owner is then
// the organisation of another submission with this ID, or "".
func (s *Service) findLocal(c organisation.Caller, id string) (found *partition, owner string) {
	for _, p := range s.partitions {
		p.mu.Lock()
		sub := p.index.submissions[id]
		p.mu.Unlock()
		switch {
		case sub == nil:
		case c.OwnsBatch(sub.head.Organisation):
			return p, ""
		default:
			owner = sub.head.Organisation
		}
	}
	return nil, owner
}

// Results returns a page of results that begins at position after, with texts of about maxBytes. If there are no
// results there yet, it waits up to wait for the first one. It adds the memory of the page to hold, also for its encoded form, and returns an
// *UnavailableError if that does not fit.
func (s *Service) Results(ctx context.Context, c organisation.Caller, id string, after int, wait time.Duration, maxBytes int, hold *memory.Hold) (*Page, error) {
	start := time.Now()
	p, err := s.find(ctx, c, id)
	found := time.Since(start)
	var page *Page
	if err == nil {
		p.keepFollowing(s.ctx)
		page, err = p.page(ctx, id, after, wait, maxBytes, hold)
	}
	results := 0
	if page != nil {
		results = len(page.Results)
	}
	s.opts.Log.Info("results_read", "batch", id, "after", after, "results", results, "find_ms", found.Milliseconds(),
		"ms", time.Since(start).Milliseconds(), "err", err)
	return page, err
}

// page returns a page of a submission's results. If there are none at its position, it waits up to wait for the first one.
func (p *partition) page(ctx context.Context, id string, after int, wait time.Duration, maxBytes int, hold *memory.Hold) (*Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for timedOut := wait <= 0; ; {
		page, results, open, changed := p.resultsAfter(id, after)
		switch {
		case page == nil:
			return nil, ErrNotFound
		case len(results) > 0:
			return p.fillPage(ctx, id, page, results, maxBytes, hold)
		case timedOut || !open:
			return p.pageAfterSync(ctx, id, after, maxBytes, hold)
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// pageAfterSync returns a page after reading to the end of the partition: another VM may have returned a result that
// this VM has not read yet.
func (p *partition) pageAfterSync(ctx context.Context, id string, after, maxBytes int, hold *memory.Hold) (*Page, error) {
	if err := p.sync(ctx); err != nil {
		return nil, &UnavailableError{RetryAfter: storeRetryAfter, Cause: err}
	}
	page, results, _, _ := p.resultsAfter(id, after)
	if page == nil {
		return nil, ErrNotFound
	}
	return p.fillPage(ctx, id, page, results, maxBytes, hold)
}

// fillPage adds results with their texts to a page. It returns ErrNotFound if the store no longer has them and needs no longer have them.
func (p *partition) fillPage(ctx context.Context, id string, page *Page, results []resultMeta, maxBytes int, hold *memory.Hold) (*Page, error) {
	if len(results) == 0 {
		return page, nil
	}
	if err := hold.Add(pageCopies * int64(maxBytes)); err != nil { // the sizes of the texts are not known before they are read
		return nil, &UnavailableError{RetryAfter: pageRetryAfter, Cause: err}
	}
	if err := p.data.addTexts(ctx, page, results, maxBytes); err != nil {
		var truncated *store.TruncatedError
		if errors.As(err, &truncated) && p.outlived(id, time.Now()) {
			return nil, ErrNotFound
		}
		return nil, &UnavailableError{RetryAfter: storeRetryAfter, Cause: err}
	}
	size := int64(0)
	for _, r := range page.Results {
		size += int64(len(r.Text)) + recordOverheadBytes
	}
	hold.Shrink(pageCopies * size)
	return page, nil
}

const (
	// pageCopies is how often a page is held: its texts and their encoded form.
	pageCopies = 2
	// pageRetryAfter is about the time in which a reader takes a page.
	pageRetryAfter = 500 * time.Millisecond
)

// outlived reports whether a submission has ended and the time for which its results must stay readable is over.
func (p *partition) outlived(id string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	sub := p.index.submissions[id]
	return sub == nil || sub.ended && sub.head.AcceptedMs < now.Add(-p.readable).UnixMilli()
}

// resultsAfter returns an empty page, at most maxPageResults results that begin at position after, whether the
// submission is still open, and a channel that is closed at the next change. The page is nil if there is no such
// submission.
func (p *partition) resultsAfter(id string, after int) (page *Page, results []resultMeta, open bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sub := p.index.submissions[id]
	if sub == nil {
		return nil, nil, false, nil
	}
	after = max(0, after)
	results = sub.results[min(after, len(sub.results)):]
	return &Page{Total: sub.itemCount, Next: after}, results[:min(len(results), maxPageResults)], !sub.done(), p.changed
}

const maxPageResults = 512

// addTexts adds results with their texts to a page: at least one, and up to maxBytes. Texts that are far apart in the
// log take a read each, so the page also ends after pageTimeout.
func (d *dataPartition) addTexts(ctx context.Context, page *Page, results []resultMeta, maxBytes int) error {
	size, start := 0, time.Now()
	for i, meta := range results {
		r := Result{ItemID: meta.ItemID, Abandoned: meta.Abandoned, Versions: meta.Versions, Score: meta.Score}
		if !meta.Abandoned {
			text, err := d.readSpan(ctx, meta.Text, recordsToRead(results[i:]))
			if err != nil {
				if len(page.Results) > 0 {
					return nil // the next page tries this result again
				}
				return err
			}
			r.Text = string(text)
		}
		size += len(r.Text) + recordOverheadBytes
		if size > maxBytes && len(page.Results) > 0 {
			return nil
		}
		page.Results = append(page.Results, r)
		page.Next++
		if time.Since(start) > pageTimeout {
			return nil
		}
	}
	return nil
}

// pageTimeout limits the time for reading the texts of one page: callers' own timeouts are about one second
// longer than the wait in their requests.
const pageTimeout = 400 * time.Millisecond

// maxTextGap is the number of unrelated records between two texts up to which both are fetched with one read.
const maxTextGap = 8

// recordsToRead returns the number of data records to fetch with one read, counted from the text of the first result:
// up to the last result whose text follows its predecessor within maxTextGap.
func recordsToRead(results []resultMeta) int {
	first := results[0].Text.Offset
	end := first + int64(results[0].Text.Count)
	for _, meta := range results[1:] {
		if meta.Abandoned {
			continue
		}
		if meta.Text.Offset < first || meta.Text.Offset > end+maxTextGap {
			break
		}
		end = max(end, meta.Text.Offset+int64(meta.Text.Count))
	}
	return int(end - first)
}

// recordOverheadBytes is the approximate size of a result without its text.
const recordOverheadBytes = 512
