package batch

import (
	"encoding/json"
	"fmt"
)

// Topics of the log. The index is small, so that a VM that starts reads all of it at once; the
// items of submissions and the texts stand in the data topic and are read where they are needed.
const (
	Topic     = "batches"
	dataTopic = "batchdata"
)

// recordKind tells what a record of the index says.
type recordKind string

const (
	recordSubmit recordKind = "submit"
	recordResult recordKind = "result"
	recordEnd    recordKind = "end"
	// recordProgress only saves work: losing one costs tokens.
	recordProgress recordKind = "progress"
)

// span names consecutive records of the data partition with the index partition's number.
type span struct {
	Offset int64 `json:"offset"`
	Count  int   `json:"count"`
}

// record is one record of the index.
type record struct {
	Kind recordKind `json:"kind"`
	ID   string     `json:"id"` // the submission's
	// Head and Items are set in submissions; the items are a JSON list in parts.
	Head  *Head  `json:"head,omitempty"`
	Total int    `json:"total,omitempty"`
	Items []span `json:"items,omitempty"`
	// Result is set in results, its text is one data record.
	Result *listing `json:"result,omitempty"`
	// Saved is set in records of progress; the data record is a Progress.
	Saved *saving `json:"saved,omitempty"`
}

// listing is a result without its text.
type listing struct {
	ItemID    string  `json:"item"`
	Abandoned bool    `json:"abandoned,omitempty"`
	Versions  []int64 `json:"versions,omitempty"`
	Score     string  `json:"score,omitempty"`
	ScorerID  string  `json:"scorer,omitempty"`
	// Text names the text's data records; no text has none.
	Text span `json:"text"`
}

// saving names a saved part of an unfinished text.
type saving struct {
	ItemID string `json:"item"`
	Data   span   `json:"data"`
}

// split cuts data into records of at most limit bytes.
func split(data []byte, limit int) [][]byte {
	var out [][]byte
	for len(data) > limit {
		out = append(out, data[:limit])
		data = data[limit:]
	}
	return append(out, data)
}

// decodeItems decodes the items of a submission.
func decodeItems(data []byte) ([]Item, error) {
	var items []Item
	if err := json.Unmarshal(data, &items); err != nil {
		return nil, fmt.Errorf("items of a submission: %w", err)
	}
	return items, nil
}
