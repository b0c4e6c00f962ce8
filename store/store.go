// Package store defines the interface to the platform's durable log. A topic either consists of
// ordered partitions or is compacted: it keeps the newest record of each key.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ErrUnavailable means that the store rejected a call, or that the call never reached it; the call
// had no effect. An append that fails with any other error than a *ConflictError may have taken effect, or may
// still do so.
var ErrUnavailable = errors.New("the store did not take the call; try again later or through another VM")

// ConflictError reports that a conditional append had no effect because the partition has a different
// end.
type ConflictError struct {
	// End is the offset after the partition's last record.
	End int64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the partition ends at offset %d; read it up to there and decide again", e.End)
}

// TruncatedError reports that the records to be read have expired.
type TruncatedError struct {
	// First is the offset of the oldest retained record.
	First int64
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("records before offset %d have expired; continue from there", e.First)
}

// Partition identifies an ordered sequence of records in a topic.
type Partition struct {
	Topic string
	Index int
}

// Batch is the result of one read: consecutive records from offset From on.
type Batch struct {
	From    int64
	Records [][]byte
	// End was the offset after the partition's last record when the store answered the read.
	End int64
}

// KeyedRecord is a record of a compacted topic. A nil Value means that the key was deleted.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

// Log is the interface of the store.
type Log interface {
	// Append atomically appends records and returns the offset of the first.
	Append(ctx context.Context, p Partition, records [][]byte) (int64, error)
	// AppendAt is like Append if the partition ends at offset end. Otherwise it returns a
	// *ConflictError.
	AppendAt(ctx context.Context, p Partition, end int64, records [][]byte) (int64, error)
	// Read returns records from offset from on, about maxBytes in total. If there are none, it waits
	// for at most wait. If the record at from has expired, it returns a *TruncatedError.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration, maxBytes int) (Batch, error)
	// Trim deletes the records of a partition before an offset.
	Trim(ctx context.Context, p Partition, before int64) error
	// AppendKeyed atomically appends records to a compacted topic; their offsets are ignored.
	AppendKeyed(ctx context.Context, topic string, records []KeyedRecord) error
	// AppendKeyedAt is like AppendKeyed if the topic ends at offset end. Otherwise it returns a *ConflictError.
	AppendKeyedAt(ctx context.Context, topic string, end int64, records []KeyedRecord) error
	// ReadNewest returns the newest record of each key of a compacted topic, and the offset from which
	// ReadKeyed returns the records that follow.
	ReadNewest(ctx context.Context, topic string) ([]KeyedRecord, int64, error)
	// ReadKeyed is Read for a compacted topic; next is the offset for the next call.
	ReadKeyed(ctx context.Context, topic string, from int64, wait time.Duration) (records []KeyedRecord, next int64, err error)
}

// PartitionIndex returns the partition of key among n partitions. It hashes the key and returns the same
// value on every VM.
func PartitionIndex(key string, n int) int { return int(xxhash.Sum64String(key) % uint64(n)) }
