package batch

import (
	"encoding/json"
	"fmt"
)

// Topics of the log. The index is small, so that a VM can read all of it when it starts. The items of submissions
// and the texts are in the data topic and are read on demand.
const (
	IndexTopic = "batches"
	dataTopic  = "batchdata"
)

// recordKind is the kind of a record of the index.
type recordKind string

const (
	recordSubmit recordKind = "submit"
	recordResult recordKind = "result"
	recordEnd    recordKind = "end"
	// recordEpoch begins a routing epoch: later submissions in this partition that were placed by an older one are void.
	recordEpoch recordKind = "epoch"
	// recordMoved makes later submissions with its ID in this partition void: they are in another one. If the first record with an ID
	// is a submission, that holds. Only builds without epochs write it.
	recordMoved recordKind = "moved"
	// recordProgress saves parts of unfinished texts. If it is lost, their tokens are generated again.
	recordProgress recordKind = "progress"
)

// span identifies consecutive data records of the index partition. Offset is the location of the first.
type span struct {
	Offset int64 `json:"offset"`
	Count  int   `json:"count"`
}

// record is one record of the index.
type record struct {
	Kind recordKind `json:"kind"`
	ID   string     `json:"id,omitempty"` // of the submission
	// Epoch is set in epoch records and in submissions; builds without epochs left it out.
	Epoch *routingEpoch `json:"epoch,omitempty"`
	// Head, Total and Items are set in submissions. Items refers to the data records that together hold a JSON list of Item.
	Head  *Head  `json:"head,omitempty"`
	Total int    `json:"total,omitempty"`
	Items []span `json:"items,omitempty"`
	// MovedTo is set in moved records.
	MovedTo *movedTo `json:"moved_to,omitempty"`
	// Result is set in results.
	Result *resultMeta `json:"result,omitempty"`
	// SavedParts is set in progress records whose data are in the main part, OverflowParts in the others: a build that knows the main
	// part only ignores these, and generates the texts again.
	SavedParts    *savedParts `json:"saved_parts,omitempty"`
	OverflowParts *savedParts `json:"overflow_parts,omitempty"`
	// DataBytes is the size of the data that were appended with the record, in bytes; 0 if there are none or the writer did not tell.
	DataBytes int64 `json:"data_bytes,omitempty"`
}

// saved returns the saved parts of a progress record; nil if it has none.
func (r *record) saved() *savedParts {
	if r.OverflowParts != nil {
		return r.OverflowParts
	}
	return r.SavedParts
}

// part returns the part that holds the data that were appended with the record.
func (r *record) part() int {
	switch {
	case len(r.Items) > 0:
		return partOf(r.Items[0].Offset)
	case r.Result != nil:
		return partOf(r.Result.Text.Offset)
	case r.saved() != nil:
		return partOf(r.saved().Offset)
	}
	return mainPart
}

// movedTo tells in which partition submissions with an ID are.
type movedTo struct {
	Partition int `json:"partition"`
	// AtMs is when the record was written, in Unix milliseconds.
	AtMs int64 `json:"at_ms"`
}

// resultMeta is a result without its text.
type resultMeta struct {
	ItemID    string  `json:"item"`
	Abandoned bool    `json:"abandoned,omitempty"`
	Versions  []int64 `json:"versions,omitempty"`
	Score     string  `json:"score,omitempty"`
	ScorerID  string  `json:"scorer,omitempty"`
	// Text refers to the data records of the text; its count is 0 if there is no text.
	Text span `json:"text"`
}

// savedParts refers to saved parts of items' unfinished texts, each a JSON Progress in data records that follow those of the part
// before. All VMs that are asked for results read it, so it is kept short.
type savedParts struct {
	Offset int64    `json:"offset"`
	Items  []string `json:"items"`
	// Counts are the numbers of data records of the parts; nil if each has one.
	Counts []int `json:"counts,omitempty"`
}

// spans returns the data records of each part.
func (s *savedParts) spans() []span {
	out := make([]span, 0, len(s.Items))
	next := s.Offset
	for i := range s.Items {
		count := 1
		if i < len(s.Counts) {
			count = s.Counts[i]
		}
		out = append(out, span{next, count})
		next += int64(count)
	}
	return out
}

// splitRecord splits data into records of at most limit bytes.
func splitRecord(data []byte, limit int) [][]byte {
	var out [][]byte
	for len(data) > limit {
		out = append(out, data[:limit])
		data = data[limit:]
	}
	return append(out, data)
}

// encodeProgress encodes a part of a text, in several parts if it exceeds limit bytes.
func encodeProgress(p *Progress, limit int) ([][]byte, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode a part of %s: %w", p.ItemID, err)
	}
	half := len(p.Events) / 2
	if len(data) <= limit || half == 0 {
		return [][]byte{data}, nil
	}
	first, second := *p, *p
	first.Events, first.Versions, first.Complete = p.Events[:half], p.Versions[:half], false
	second.From, second.Events, second.Versions = p.From+half, p.Events[half:], p.Versions[half:]
	out, err := encodeProgress(&first, limit)
	if err != nil {
		return nil, err
	}
	rest, err := encodeProgress(&second, limit)
	return append(out, rest...), err
}

// decodeItems decodes the items of a submission.
func decodeItems(data []byte) ([]Item, error) {
	var items []Item
	if err := json.Unmarshal(data, &items); err != nil {
		return nil, fmt.Errorf("items of a submission: %w", err)
	}
	return items, nil
}
