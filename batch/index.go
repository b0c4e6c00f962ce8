package batch

import (
	"encoding/json"
	"fmt"
	"time"
)

// submissionState is the state of a submission after the applied records of the index.
type submissionState struct {
	head      *Head
	itemCount int
	itemSpans []span
	// items is nil until the items have been read from the data topic.
	items    map[string]*Item
	itemList []*Item
	loading  bool

	results   []resultMeta
	hasResult map[string]bool
	ended     bool
	// itemBytes is the size of the items in the data topic.
	itemBytes int64
	// savedParts are the data records of unfinished texts by item, in the order of the index.
	savedParts map[string][]span
	// dataBytes is the size of all data that were appended for the submission, by part.
	dataBytes map[int]int64
}

func (s *submissionState) done() bool { return s.ended || len(s.results) >= s.itemCount }

// countData adds the size of the data that were appended with a record.
func (s *submissionState) countData(r *record) {
	if r.DataBytes > 0 {
		s.dataBytes[r.part()] += r.DataBytes
	}
}

// setItems sets the items after they have been read from the data topic.
func (s *submissionState) setItems(items []Item) {
	s.items = make(map[string]*Item, len(items))
	s.itemList = s.itemList[:0]
	for i := range items {
		s.items[items[i].ID] = &items[i]
		s.itemList = append(s.itemList, &items[i])
	}
}

// itemResult is the result of an item and the submission that it belongs to.
type itemResult struct {
	resultMeta
	submissionID string
}

// ownedItem identifies an item for reuse in other submissions of the same organisation: texts of one organisation never go to another.
type ownedItem struct {
	organisation, id string
}

// owned returns the identity of an item of the submission.
func (h *Head) owned(itemID string) ownedItem { return ownedItem{h.Organisation, itemID} }

// indexState is the state of one partition's index after all records before offset next. It does no I/O.
type indexState struct {
	next        int64
	submissions map[string]*submissionState
	// order holds the IDs of the submissions in the order of acceptance.
	order         []string
	resultsByItem map[ownedItem]itemResult
	// epoch is the newest routing epoch among the records, epochUsed the newest one by which a submission was placed.
	epoch     routingEpoch
	epochUsed int64
	// void holds the submissions that were placed by an older epoch, by ID.
	void map[string]*voidSubmission
	// moved holds where builds without epochs have placed submissions with an ID, which is void in this partition.
	moved map[string]movedTo
}

func newIndexState() *indexState {
	return &indexState{submissions: map[string]*submissionState{}, resultsByItem: map[ownedItem]itemResult{}, void: map[string]*voidSubmission{}, moved: map[string]movedTo{}}
}

// apply applies the record at offset and reports whether submissions or results changed. Records before next were
// applied already and are ignored. An unreadable record changes nothing and returns an error for the log.
func (ix *indexState) apply(offset int64, data []byte) (changed bool, err error) {
	if offset < ix.next {
		return false, nil
	}
	ix.next = offset + 1
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return false, fmt.Errorf("record at offset %d: %w", offset, err)
	}
	sub := ix.submissions[r.ID]
	if sub != nil {
		sub.countData(&r)
	}
	switch r.Kind {
	case recordSubmit:
		if r.Head == nil || len(r.Items) == 0 || r.Total < 1 || r.Head.ID != r.ID {
			return false, fmt.Errorf("record at offset %d: the submission lacks its head, items or total, or has another ID in its head", offset)
		}
		if sub != nil {
			return false, nil // the first record with an ID wins
		}
		if ix.voids(&r) {
			if ix.void[r.ID] == nil {
				ix.void[r.ID] = &voidSubmission{head: r.Head, itemSpans: r.Items}
			}
			return true, nil
		}
		delete(ix.void, r.ID)
		sub = &submissionState{
			head: r.Head, itemCount: r.Total, itemSpans: r.Items, hasResult: map[string]bool{}, savedParts: map[string][]span{},
			dataBytes: map[int]int64{}, itemBytes: r.DataBytes,
		}
		sub.countData(&r)
		ix.submissions[r.ID] = sub
		ix.order = append(ix.order, r.ID)
		return true, nil
	case recordEpoch:
		if r.Epoch == nil {
			return false, fmt.Errorf("record at offset %d: the epoch record has no epoch", offset)
		}
		ix.beginEpoch(r.Epoch)
		return false, nil
	case recordMoved:
		if r.MovedTo == nil {
			return false, fmt.Errorf("record at offset %d: the moved record has no partition", offset)
		}
		if _, moved := ix.moved[r.ID]; sub == nil && !moved {
			ix.moved[r.ID] = *r.MovedTo
		}
		return false, nil
	case recordResult:
		if r.Result == nil {
			return false, fmt.Errorf("record at offset %d: the result record has no result", offset)
		}
		return sub != nil && ix.addResult(sub, r.Result), nil
	case recordProgress:
		saved := r.saved()
		if saved == nil {
			return false, fmt.Errorf("record at offset %d: the progress record has no saved parts", offset)
		}
		if sub != nil && !sub.done() {
			for i, data := range saved.spans() {
				if item := saved.Items[i]; !sub.hasResult[item] {
					sub.savedParts[item] = append(sub.savedParts[item], data)
				}
			}
		}
		return false, nil
	case recordEnd:
		if sub == nil || sub.ended {
			return false, nil
		}
		sub.ended = true
		sub.release()
		return true, nil
	}
	return false, fmt.Errorf("record at offset %d: unknown record kind %.20q", offset, r.Kind)
}

// beginEpoch makes submissions that were placed by an older epoch void from here on.
func (ix *indexState) beginEpoch(e *routingEpoch) {
	if e.Version > ix.epoch.Version {
		ix.epoch = *e
	}
}

// voids reports whether a submission at the end of the records read so far is void.
func (ix *indexState) voids(r *record) bool {
	if r.Epoch != nil {
		ix.beginEpoch(r.Epoch) // its own record may have expired
		ix.epochUsed = max(ix.epochUsed, r.Epoch.Version)
	}
	_, moved := ix.moved[r.ID]
	return moved || r.Epoch != nil && r.Epoch.Version < ix.epoch.Version
}

// addResult adds a result if it is the first of its item, and reports whether it did.
func (ix *indexState) addResult(sub *submissionState, result *resultMeta) bool {
	if sub.hasResult[result.ItemID] || len(sub.results) >= sub.itemCount {
		return false
	}
	sub.hasResult[result.ItemID] = true
	delete(sub.savedParts, result.ItemID)
	sub.results = append(sub.results, *result)
	if !result.Abandoned {
		ix.resultsByItem[sub.head.owned(result.ItemID)] = itemResult{resultMeta: *result, submissionID: sub.head.ID}
	}
	if sub.done() {
		sub.release()
	}
	return true
}

// release frees what only an open submission needs.
func (s *submissionState) release() {
	s.items, s.itemList = nil, nil
	s.savedParts = map[string][]span{}
}

// reusableResult returns the result of an item in another submission of the organisation if it has the same scorer and accepted versions.
func (ix *indexState) reusableResult(h *Head, it *Item, singleVersion bool) (resultMeta, bool) {
	result, ok := ix.resultsByItem[h.owned(it.ID)]
	if !ok || result.submissionID == h.ID || result.ScorerID != it.scorerID() || !versionsAllowed(result.Versions, h.MinVersion, singleVersion) {
		return resultMeta{}, false
	}
	return result.resultMeta, true
}

// versionsAllowed reports whether a text that was generated by these versions is accepted.
func versionsAllowed(versions []int64, minVersion int64, singleVersion bool) bool {
	if singleVersion && len(versions) > 1 {
		return false
	}
	for _, v := range versions {
		if v < minVersion {
			return false
		}
	}
	return true
}

// expire removes the submissions that are done and were accepted before the given time, and returns their number.
func (ix *indexState) expire(before time.Time) int {
	kept := ix.order[:0]
	expired := 0
	for _, id := range ix.order {
		sub := ix.submissions[id]
		if sub.done() && sub.head.AcceptedMs < before.UnixMilli() {
			for item := range sub.hasResult {
				if key := sub.head.owned(item); ix.resultsByItem[key].submissionID == id {
					delete(ix.resultsByItem, key)
				}
			}
			delete(ix.submissions, id)
			expired++
			continue
		}
		kept = append(kept, id)
	}
	ix.order = kept
	for id, v := range ix.void {
		if v.head.AcceptedMs < before.UnixMilli() {
			delete(ix.void, id)
		}
	}
	for id, m := range ix.moved {
		if m.AtMs < before.UnixMilli() {
			delete(ix.moved, id)
		}
	}
	return expired
}

// dataSince returns the bytes of data by part that submissions accepted since then have appended.
func (ix *indexState) dataSince(since time.Time, parts int) []int64 {
	out := make([]int64, parts)
	for _, sub := range ix.submissions {
		if sub.head.AcceptedMs < since.UnixMilli() {
			continue
		}
		for part, n := range sub.dataBytes {
			if part >= 0 && part < parts { // a malformed record names any part
				out[part] += n
			}
		}
	}
	return out
}

// neededData returns, by part, the first location to which a submission refers that has not ended or was accepted since then.
func (ix *indexState) neededData(since time.Time) map[int]int64 {
	first := map[int]int64{}
	need := func(s span) {
		part := partOf(s.Offset)
		if at, ok := first[part]; s.Count > 0 && (!ok || s.Offset < at) {
			first[part] = s.Offset
		}
	}
	for _, v := range ix.void {
		if v.head.AcceptedMs < since.UnixMilli() {
			continue
		}
		for _, s := range v.itemSpans {
			need(s)
		}
	}
	for _, sub := range ix.submissions {
		if sub.ended && sub.head.AcceptedMs < since.UnixMilli() {
			continue
		}
		for i := range sub.results {
			need(sub.results[i].Text)
		}
		if sub.done() {
			continue
		}
		for _, s := range sub.itemSpans {
			need(s)
		}
		for _, parts := range sub.savedParts {
			for _, s := range parts {
				need(s)
			}
		}
	}
	return first
}

// partialText is an unfinished text as read from the log.
type partialText struct {
	events   []string
	versions []int64
	complete bool
	writer   string
	software string
	// engineErrors and scorerErrors count the item's error responses.
	engineErrors, scorerErrors int
}

// add appends a saved part. Parts of two writers are never joined: a part that doesn't continue the text of the
// same writer is ignored, unless it starts at 0 and is at least as long, in which case it replaces the text.
func (t *partialText) add(p *Progress) {
	if len(p.Events) != len(p.Versions) {
		return
	}
	t.engineErrors, t.scorerErrors = max(t.engineErrors, p.EngineErrors), max(t.scorerErrors, p.ScorerErrors)
	switch {
	case p.From == 0 && len(p.Events) >= len(t.events):
		t.events, t.versions, t.writer, t.software = nil, nil, p.Writer, p.Software
	case p.From != len(t.events) || p.Writer != t.writer:
		return
	}
	t.events = append(t.events, p.Events...)
	t.versions = append(t.versions, p.Versions...)
	t.complete = p.Complete
}
