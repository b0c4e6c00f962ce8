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
	// ID is chosen by the writer; a reader drops a record with an ID that it has already seen.
	ID   string          `json:"id"`
	Data json.RawMessage `json:"data"`
}

// AppendRequest is the body of POST /v1/streams/{stream}/records. The records are appended
// together, in order, and count as one append towards the rate limit.
type AppendRequest struct {
	Records []NewRecord `json:"records"`
}

// NewRecord is a record that is not appended yet and has no offset.
type NewRecord struct {
	ID   string          `json:"id"`
	Data json.RawMessage `json:"data"`
}

// AppendResponse is the response to an AppendRequest. First is the offset of the first appended record.
type AppendResponse struct {
	First Offset `json:"first"`
}

// ReadResponse is the response to GET /v1/streams/{stream}/records?from=OFFSET&limit=N&wait_ms=MS. The
// service responds once a record at or after OFFSET exists or MS milliseconds have passed.
type ReadResponse struct {
	Records []Record `json:"records"`
	// First is the oldest retained offset (Next if the stream is empty). A reader that requested a lower
	// offset has missed records.
	First Offset `json:"first"`
	// Next is the offset of the next record to be appended.
	Next Offset `json:"next"`
	// RetentionMs is the retention period of records, in milliseconds; 0 means unlimited.
	RetentionMs int64 `json:"retention_ms"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds records to stream and returns the offset of the first. After an error they may have been
	// appended nevertheless.
	Append(ctx context.Context, stream string, records []NewRecord) (Offset, error)
	// Read returns up to limit records of stream, starting at offset from. If there are none yet, it waits up to
	// waitMs milliseconds.
	Read(ctx context.Context, stream string, from Offset, limit int, waitMs int64) (*ReadResponse, error)
}
