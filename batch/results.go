package batch

import (
	"context"
	"time"
)

// find returns the partition that holds a submission. Only after all partitions were read to their
// end is it known that there is none.
func (s *Service) find(ctx context.Context, id string) (*partition, error) {
	if p := s.holding(id); p != nil {
		return p, nil
	}
	errs := make(chan error, len(s.parts))
	for _, p := range s.parts {
		go func() { errs <- p.sync(ctx) }()
	}
	var failed error
	for range s.parts {
		if err := <-errs; err != nil {
			failed = err
		}
	}
	if p := s.holding(id); p != nil {
		return p, nil
	}
	if failed != nil {
		return nil, &UnavailableError{RetryAfter: storeRetryAfter, Cause: failed}
	}
	return nil, ErrNotFound
}

func (s *Service) holding(id string) *partition {
	for _, p := range s.parts {
		p.mu.Lock()
		e := p.book.entries[id]
		p.mu.Unlock()
		if e != nil {
			return p
		}
	}
	return nil
}

// Results returns the results from position after on. It waits for one for at most wait.
func (s *Service) Results(ctx context.Context, id string, after int, wait time.Duration, maxBytes int) (*Page, error) {
	p, err := s.find(ctx, id)
	if err != nil {
		return nil, err
	}
	p.ask(s.life)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := wait <= 0; ; {
		page, listed, open, changed := p.look(id, after)
		switch {
		case page == nil:
			return nil, ErrNotFound
		case len(listed) > 0:
			return p.fill(ctx, page, listed, maxBytes)
		case over || !open:
			return p.freshPage(ctx, id, after, maxBytes)
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// freshPage answers a reader for whom nothing is known, after a read that began after the question:
// another VM may have shown a result that has not been read here yet.
func (p *partition) freshPage(ctx context.Context, id string, after, maxBytes int) (*Page, error) {
	if err := p.sync(ctx); err != nil {
		return nil, &UnavailableError{RetryAfter: storeRetryAfter, Cause: err}
	}
	page, listed, _, _ := p.look(id, after)
	if page == nil {
		return nil, ErrNotFound
	}
	return p.fill(ctx, page, listed, maxBytes)
}

// fill adds listed results to a page.
func (p *partition) fill(ctx context.Context, page *Page, listed []listing, maxBytes int) (*Page, error) {
	if err := p.data.page(ctx, page, listed, maxBytes); err != nil {
		return nil, &UnavailableError{RetryAfter: storeRetryAfter, Cause: err}
	}
	return page, nil
}

// look returns a page without results, what is listed from position after on, whether more may
// come, and a channel that is closed at the next change. The page is nil if there is no such batch.
func (p *partition) look(id string, after int) (page *Page, listed []listing, open bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.book.entries[id]
	if e == nil {
		return nil, nil, false, nil
	}
	after = max(0, after)
	listed = e.results[min(after, len(e.results)):]
	return &Page{Total: e.total, Next: after}, listed[:min(len(listed), maxPageResults)], !e.done(), p.changed
}

// maxPageResults bounds the results of one page.
const maxPageResults = 512

// page adds listed results with their texts, at least one. Texts that stand far apart take a read
// each, so the page ends when its time is over.
func (d *data) page(ctx context.Context, page *Page, listed []listing, maxBytes int) error {
	size, began := 0, time.Now()
	for i, l := range listed {
		r := Result{ItemID: l.ItemID, Abandoned: l.Abandoned, Versions: l.Versions, Score: l.Score}
		if !l.Abandoned {
			text, err := d.span(ctx, l.Text, near(listed[i:]))
			if err != nil {
				if len(page.Results) > 0 {
					return nil // the rest comes with the next page
				}
				return err
			}
			r.Text = string(text)
		}
		size += len(r.Text) + recordOverhead
		if size > maxBytes && len(page.Results) > 0 {
			return nil
		}
		page.Results = append(page.Results, r)
		page.Next++
		if time.Since(began) > pageBudget {
			return nil
		}
	}
	return nil
}

// pageBudget is how long the texts of one page may be collected: readers wait about a second longer
// than they ask for.
const pageBudget = 400 * time.Millisecond

// nearBy is how many other records may stand between the texts of one read.
const nearBy = 8

// near returns how many records, from the first listing's text on, are worth one read: those up to
// the last of the listings whose texts follow closely.
func near(listed []listing) int {
	first := listed[0].Text.Offset
	end := first + int64(listed[0].Text.Count)
	for _, l := range listed[1:] {
		if l.Abandoned {
			continue
		}
		if l.Text.Offset < first || l.Text.Offset > end+nearBy {
			break
		}
		end = max(end, l.Text.Offset+int64(l.Text.Count))
	}
	return int(end - first)
}

// recordOverhead is about the size of a result beside its text, in bytes.
const recordOverhead = 512
