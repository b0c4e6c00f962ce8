package batch

import (
	"encoding/json"
	"fmt"
	"time"
)

// entry is a submission as the index says it stands.
type entry struct {
	head  *Head
	total int
	data  []span
	// items are nil until they were read from the data topic.
	items   map[string]*Item
	order   []*Item
	reading bool

	results []listing
	listed  map[string]bool
	ended   bool
	// saved are the data records of unfinished texts, in the order of the index, by item.
	saved map[string][]span
}

func (e *entry) done() bool { return e.ended || len(e.results) >= e.total }

// setItems takes the items read from the data topic.
func (e *entry) setItems(items []Item) {
	e.items = make(map[string]*Item, len(items))
	e.order = e.order[:0]
	for i := range items {
		e.items[items[i].ID] = &items[i]
		e.order = append(e.order, &items[i])
	}
}

// finished is a text that a submission listed.
type finished struct {
	listing
	submission string
}

// book is the state of one partition's index after the records before next. It does no I/O.
type book struct {
	next    int64
	entries map[string]*entry
	// order holds the IDs of entries in the order of acceptance.
	order    []string
	finished map[string]finished // by item
}

func newBook() *book {
	return &book{entries: map[string]*entry{}, finished: map[string]finished{}}
}

// apply takes the record at offset. Records before next were applied already. An unreadable record
// changes nothing and is an error to be logged.
func (b *book) apply(offset int64, data []byte) (changed bool, err error) {
	if offset < b.next {
		return false, nil
	}
	b.next = offset + 1
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return false, fmt.Errorf("record at offset %d: %w", offset, err)
	}
	e := b.entries[r.ID]
	switch r.Kind {
	case recordSubmit:
		if r.Head == nil || len(r.Items) == 0 || r.Total < 1 || r.Head.ID != r.ID {
			return false, fmt.Errorf("record at offset %d is no whole submission", offset)
		}
		if e != nil {
			return false, nil // the first one holds
		}
		b.entries[r.ID] = &entry{head: r.Head, total: r.Total, data: r.Items, listed: map[string]bool{}, saved: map[string][]span{}}
		b.order = append(b.order, r.ID)
		return true, nil
	case recordResult:
		if r.Result == nil {
			return false, fmt.Errorf("record at offset %d has no result", offset)
		}
		return e != nil && b.list(e, r.Result), nil
	case recordProgress:
		if r.Saved == nil {
			return false, fmt.Errorf("record at offset %d has no progress", offset)
		}
		if e != nil && !e.done() && !e.listed[r.Saved.ItemID] {
			e.saved[r.Saved.ItemID] = append(e.saved[r.Saved.ItemID], r.Saved.Data)
		}
		return false, nil
	case recordEnd:
		if e == nil || e.ended {
			return false, nil
		}
		e.ended = true
		e.release()
		return true, nil
	}
	return false, fmt.Errorf("record at offset %d has the unknown kind %.20q", offset, r.Kind)
}

// list takes a result if it is the first of its item.
func (b *book) list(e *entry, l *listing) bool {
	if e.listed[l.ItemID] || len(e.results) >= e.total {
		return false
	}
	e.listed[l.ItemID] = true
	delete(e.saved, l.ItemID)
	e.results = append(e.results, *l)
	if !l.Abandoned {
		b.finished[l.ItemID] = finished{listing: *l, submission: e.head.ID}
	}
	if e.done() {
		e.release()
	}
	return true
}

// release drops what only open submissions need.
func (e *entry) release() {
	e.items, e.order = nil, nil
	e.saved = map[string][]span{}
}

// reusable returns the result that an earlier submission listed for an item, if it fits.
func (b *book) reusable(h *Head, it *Item, singleVersion bool) (listing, bool) {
	f, ok := b.finished[it.ID]
	if !ok || f.submission == h.ID || f.ScorerID != it.scorerID() || !fits(f.Versions, h.MinVersion, singleVersion) {
		return listing{}, false
	}
	return f.listing, true
}

// fits tells whether a text made by these versions may be listed.
func fits(versions []int64, least int64, single bool) bool {
	if single && len(versions) > 1 {
		return false
	}
	for _, v := range versions {
		if v < least {
			return false
		}
	}
	return true
}

// expire forgets what was accepted before the time, and returns how many submissions that were.
func (b *book) expire(before time.Time) int {
	kept := b.order[:0]
	n := 0
	for _, id := range b.order {
		e := b.entries[id]
		if e.done() && e.head.AcceptedMs < before.UnixMilli() {
			for item := range e.listed {
				if b.finished[item].submission == id {
					delete(b.finished, item)
				}
			}
			delete(b.entries, id)
			n++
			continue
		}
		kept = append(kept, id)
	}
	b.order = kept
	return n
}

// savedText is what is known of an unfinished text.
type savedText struct {
	events   []string
	versions []int64
	whole    bool
	writer   string
}

// add takes a saved part. Parts of two writers are never joined: one that does not follow what is
// known is dropped, unless it starts the text anew.
func (t *savedText) add(p *Progress) {
	if len(p.Events) != len(p.Versions) {
		return
	}
	switch {
	case p.From == 0 && len(p.Events) >= len(t.events):
		*t = savedText{writer: p.Writer}
	case p.From != len(t.events) || p.Writer != t.writer:
		return
	}
	t.events = append(t.events, p.Events...)
	t.versions = append(t.versions, p.Versions...)
	t.whole = p.Whole
}
