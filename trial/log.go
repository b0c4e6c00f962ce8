package trial

import (
	"context"
	"encoding/json"
)

// Offset is the position of a record in a stream of the log; the first record has offset 1.
type Offset int64

// Record is one entry of a stream.
type Record struct {
	Offset Offset `json:"offset"`
	// ID is chosen by the writer; a reader drops a second record with an ID that it has seen.
	ID   string          `json:"id"`
	Data json.RawMessage `json:"data"`
}

// AppendRequest is the body of POST /v1/streams/{stream}/records. The records are appended
// together, in order, and count as one append against the rate limit.
type AppendRequest struct {
	Records []NewRecord `json:"records"`
}

// NewRecord is a record without an offset.
type NewRecord struct {
	ID   string          `json:"id"`
	Data json.RawMessage `json:"data"`
}

// AppendResponse carries the offset of the first appended record.
type AppendResponse struct {
	First Offset `json:"first"`
}

// ReadResponse answers GET /v1/streams/{stream}/records?from=OFFSET&limit=N&wait_ms=MS, which
// waits until a record at or after OFFSET exists or the wait is over.
type ReadResponse struct {
	Records []Record `json:"records"`
	// First is the oldest retained offset (Next if the stream is empty): a reader that asked for
	// less has missed records.
	First Offset `json:"first"`
	// Next is the offset that the next appended record will get.
	Next Offset `json:"next"`
	// RetentionMs is how long a record is kept, in milliseconds; 0 means for ever.
	RetentionMs int64 `json:"retention_ms"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds records to stream. An error does not mean that they were not appended.
	Append(ctx context.Context, stream string, records []NewRecord) (Offset, error)
	// Read returns records of stream from offset from on, waiting up to waitMs milliseconds for one.
	Read(ctx context.Context, stream string, from Offset, limit int, waitMs int64) (*ReadResponse, error)
}
