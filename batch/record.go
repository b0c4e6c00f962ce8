package batch

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// recordKind tells what a record of the log says.
type recordKind string

const (
	recordSubmit recordKind = "submit"
	recordResult recordKind = "result"
	recordEnd    recordKind = "end"
	// recordProgress only saves work: losing one costs tokens.
	recordProgress recordKind = "progress"
)

// recordOverhead is room for a record's fields beside its data, in bytes.
const recordOverhead = 512

// record is one record of a partition. A submission that exceeds one record is spread over several
// with the same Attempt.
type record struct {
	Kind recordKind `json:"kind"`
	ID   string     `json:"id,omitempty"` // the submission's
	// Attempt tells the parts of concurrent submissions of one ID apart.
	Attempt string  `json:"attempt,omitempty"`
	Part    int     `json:"part,omitempty"`
	Parts   int     `json:"parts,omitempty"`
	Data    []byte  `json:"data,omitempty"`
	Result  *Result `json:"result,omitempty"`
	// Progress is set in records of progress.
	Progress *Progress `json:"progress,omitempty"`
}

// encodeSubmission returns the records of a submission, each of at most limit bytes.
func encodeSubmission(s *Submission, attempt string, limit int) ([][]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	size := (limit - recordOverhead) * 3 / 4 // base64
	if size <= 0 {
		return nil, fmt.Errorf("records of %d bytes are too small for a submission", limit)
	}
	parts := max(1, (len(data)+size-1)/size)
	out := make([][]byte, 0, parts)
	for i := range parts {
		r, err := json.Marshal(record{
			Kind: recordSubmit, ID: s.ID, Attempt: attempt, Part: i, Parts: parts, Data: data[i*size : min(len(data), (i+1)*size)],
		})
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

func encodeEnd(id string) ([]byte, error) { return json.Marshal(record{Kind: recordEnd, ID: id}) }

func encodeResult(r *Result) ([]byte, error) {
	return encodeText(record{Kind: recordResult, ID: r.Submission, Result: r})
}

func encodeProgress(p *Progress) ([]byte, error) {
	return encodeText(record{Kind: recordProgress, ID: p.Submission, Progress: p})
}

// encodeText does not escape texts for HTML, which would only make them longer.
func encodeText(r record) ([]byte, error) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(r); err != nil {
		return nil, err
	}
	return bytes.TrimRight(b.Bytes(), "\n"), nil
}
