// Package store describes the platform's durable log as the rest of the system uses it: topics of
// ordered partitions, and topics that keep the newest record of each key.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ErrUnavailable tells that a call was rejected, or never reached the store: nothing was done. An
// append that ends with any other error may have been carried out, or may be later.
var ErrUnavailable = errors.New("the store did not take the call; try again later or through another VM")

// ConflictError tells that a conditional append did not hold because the partition had grown.
type ConflictError struct {
	// End is the offset after the partition's last record.
	End int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the partition ends at offset %d; read it up to there and decide again", e.End)
}

// TruncatedError tells that the records to be read have expired.
type TruncatedError struct {
	// First is the offset of the oldest record that is left.
	First int64
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("records before offset %d have expired; continue from there", e.First)
}

// Partition names one ordered sequence of records.
type Partition struct {
	Topic string
	Index int
}

// Batch is what one read returned: consecutive records from offset From on.
type Batch struct {
	From    int64
	Records [][]byte
	// End is the offset after the partition's last record when the read was answered.
	End int64
}

// KeyedRecord is the newest record of a key. A nil Value means that the key was deleted.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

// Log is the store's log.
type Log interface {
	// Append adds records, all or none, and returns the offset of the first.
	Append(ctx context.Context, p Partition, records [][]byte) (int64, error)
	// AppendAt is Append on the condition that the partition ends at offset end.
	AppendAt(ctx context.Context, p Partition, end int64, records [][]byte) (int64, error)
	// Read returns the records from offset from on, about maxBytes of them. It waits for one for at most
	// wait.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration, maxBytes int) (Batch, error)
	// Newest returns the newest record of each key and the offset from which to follow the changes.
	Newest(ctx context.Context, topic string) ([]KeyedRecord, int64, error)
	// ReadKeyed is Read for a topic that keeps the newest record of each key.
	ReadKeyed(ctx context.Context, topic string, from int64, wait time.Duration) (records []KeyedRecord, next int64, err error)
}

// Spread returns the partition of a key among n, the same on each VM.
func Spread(key string, n int) int { return int(xxhash.Sum64String(key) % uint64(n)) }
