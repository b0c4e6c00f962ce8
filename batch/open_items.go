package batch

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"
)

// The items of open submissions are held by the VM that runs them. This file answers submissions that arrive faster than they are done: those
// beyond Options.MaxOpenItemBytes are refused by VMs that know of it, and their items wait in the store if they were accepted all the same.

// openItemsRetryAfter is the Retry-After of a submission that is refused because too many others are open: about the time in which a step ends.
const openItemsRetryAfter = 2 * time.Second

// openItemsCheckTimeout limits how long a refusal waits for reads that may show it to be needless.
const openItemsCheckTimeout = 300 * time.Millisecond

var errTooManyOpenItems = errors.New("the open submissions have too many bytes of items; come back when some of them are done")

// checkOpenItems returns an *UnavailableError if a submission with items of the given size does not fit beside the open ones. One that is alone
// always fits.
func (s *Service) checkOpenItems(ctx context.Context, size int64) error {
	fits := func() bool {
		open := s.openItemBytes()
		return open == 0 || open+size <= s.opts.MaxOpenItemBytes
	}
	if s.opts.MaxOpenItemBytes <= 0 || fits() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, openItemsCheckTimeout)
	defer cancel()
	s.syncOpen(ctx)
	if fits() {
		return nil
	}
	return &UnavailableError{RetryAfter: openItemsRetryAfter, Cause: errTooManyOpenItems}
}

// openItemBytes returns the size of the items of open submissions, as far as this VM has read the partitions.
func (s *Service) openItemBytes() int64 {
	open := int64(0)
	for _, p := range s.partitions {
		p.mu.Lock()
		for _, sub := range p.index.submissions {
			if !sub.done() {
				open += sub.itemBytes
			}
		}
		p.mu.Unlock()
	}
	return open
}

// syncOpen reads the partitions with open work that this VM does not follow: the work may be done.
func (s *Service) syncOpen(ctx context.Context) {
	var group errgroup.Group
	for _, i := range s.OpenPartitions() {
		p := s.partitions[i]
		p.mu.Lock()
		following := p.following
		p.mu.Unlock()
		if following {
			continue
		}
		group.Go(func() error { return p.sync(ctx) })
	}
	if err := group.Wait(); err != nil {
		s.opts.Log.Warn("open_items_unread", "err", err)
	}
}

// itemRoom is the room for the items of further submissions on a VM that runs them.
type itemRoom struct {
	limit, held int64
}

// newItemRoom returns the room beside the submissions that are open or being loaded.
func (r *runner) newItemRoom() *itemRoom {
	room := &itemRoom{limit: r.maxOpenItemBytes}
	for p := range r.owned {
		p.mu.Lock()
		for _, sub := range p.index.submissions {
			if !sub.done() && (sub.loading || r.jobs[sub.head.ID] != nil) {
				room.held += sub.itemBytes
			}
		}
		p.mu.Unlock()
	}
	return room
}

// take takes the room for the items of a submission, and reports whether there is enough.
func (room *itemRoom) take(size int64) bool {
	if room.limit > 0 && room.held > 0 && room.held+size > room.limit {
		return false
	}
	room.held += size
	return true
}
