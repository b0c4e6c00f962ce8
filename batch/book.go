package batch

import (
	"encoding/json"
	"fmt"
	"time"
)

// entry is a submission as the records say it stands.
type entry struct {
	sub     *Submission
	items   map[string]*Item
	results []Result
	listed  map[string]bool
	ended   bool
	// texts are the unfinished texts that were saved, by item.
	texts map[string]*savedText
}

// savedText is what is known of an unfinished text.
type savedText struct {
	events   []string
	versions []int64
	whole    bool
	writer   string
}

func (e *entry) done() bool { return e.ended || len(e.results) == len(e.sub.Items) }

// finished is a text that an earlier submission listed.
type finished struct {
	result Result
	scorer string
}

// partial are the parts of a submission that have been read so far.
type partial struct {
	data [][]byte
	got  int
}

// book is the state of one partition after the records before next. It does no I/O.
type book struct {
	next    int64
	entries map[string]*entry
	// order holds the IDs of entries in the order of acceptance.
	order    []string
	parts    map[string]*partial
	finished map[string]finished // by item
}

func newBook() *book {
	return &book{entries: map[string]*entry{}, parts: map[string]*partial{}, finished: map[string]finished{}}
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
	switch r.Kind {
	case recordSubmit:
		return b.submit(offset, &r)
	case recordResult:
		if r.Result == nil {
			return false, fmt.Errorf("record at offset %d has no result", offset)
		}
		return b.list(r.Result), nil
	case recordProgress:
		if r.Progress == nil || len(r.Progress.Events) != len(r.Progress.Versions) {
			return false, fmt.Errorf("record at offset %d has no progress", offset)
		}
		b.save(r.Progress)
		return false, nil
	case recordEnd:
		e := b.entries[r.ID]
		if e == nil || e.ended {
			return false, nil
		}
		e.ended = true
		return true, nil
	}
	return false, fmt.Errorf("record at offset %d has the unknown kind %.20q", offset, r.Kind)
}

func (b *book) submit(offset int64, r *record) (bool, error) {
	if b.entries[r.ID] != nil {
		return false, nil
	}
	if r.Parts < 1 || r.Part < 0 || r.Part >= r.Parts {
		return false, fmt.Errorf("record at offset %d is part %d of %d", offset, r.Part, r.Parts)
	}
	data := r.Data
	if r.Parts > 1 {
		key := r.ID + "/" + r.Attempt
		p := b.parts[key]
		if p == nil {
			p = &partial{data: make([][]byte, r.Parts)}
			b.parts[key] = p
		}
		if len(p.data) != r.Parts || p.data[r.Part] != nil {
			return false, nil // a copy of a part
		}
		p.data[r.Part] = r.Data
		if p.got++; p.got < r.Parts {
			return false, nil
		}
		delete(b.parts, key)
		data = nil
		for _, d := range p.data {
			data = append(data, d...)
		}
	}
	var s Submission
	if err := json.Unmarshal(data, &s); err != nil {
		return false, fmt.Errorf("submission at offset %d: %w", offset, err)
	}
	if s.ID != r.ID {
		return false, fmt.Errorf("submission at offset %d has two IDs", offset)
	}
	e := &entry{sub: &s, items: make(map[string]*Item, len(s.Items)), listed: map[string]bool{}, texts: map[string]*savedText{}}
	for i := range s.Items {
		e.items[s.Items[i].ID] = &s.Items[i]
	}
	b.entries[s.ID] = e
	b.order = append(b.order, s.ID)
	return true, nil
}

// save takes a part of an unfinished text. Parts of two runs are never joined: one that does not
// follow what is known is dropped, unless it starts the text anew.
func (b *book) save(p *Progress) {
	e := b.entries[p.Submission]
	if e == nil || e.items[p.ItemID] == nil || e.listed[p.ItemID] {
		return
	}
	t := e.texts[p.ItemID]
	switch {
	case p.From == 0 && (t == nil || len(p.Events) >= len(t.events)):
		t = &savedText{writer: p.Writer}
		e.texts[p.ItemID] = t
	case t == nil || p.From != len(t.events) || p.Writer != t.writer:
		return
	}
	t.events = append(t.events, p.Events...)
	t.versions = append(t.versions, p.Versions...)
	t.whole = p.Whole
}

// list takes a result if it is the first of its item.
func (b *book) list(r *Result) bool {
	e := b.entries[r.Submission]
	if e == nil || e.items[r.ItemID] == nil || e.listed[r.ItemID] {
		return false
	}
	e.listed[r.ItemID] = true
	delete(e.texts, r.ItemID)
	e.results = append(e.results, *r)
	if !r.Abandoned {
		f := finished{result: *r}
		if s := e.items[r.ItemID].Scorer; s != nil {
			f.scorer = s.ID
		}
		b.finished[r.ItemID] = f
	}
	return true
}

// reusable returns the result that an earlier submission listed for an item, if it fits.
func (b *book) reusable(s *Submission, it *Item, singleVersion bool) (Result, bool) {
	f, ok := b.finished[it.ID]
	if !ok || f.result.Submission == s.ID {
		return Result{}, false
	}
	scorer := ""
	if it.Scorer != nil {
		scorer = it.Scorer.ID
	}
	if f.scorer != scorer || !fits(f.result.Versions, s.MinVersion, singleVersion) {
		return Result{}, false
	}
	r := f.result
	r.Submission = s.ID
	return r, true
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
		if e.done() && e.sub.AcceptedMs < before.UnixMilli() {
			for item := range e.items {
				if b.finished[item].result.Submission == id {
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
