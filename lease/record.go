// Package lease decides who holds a named lease from the records of a stream of the log. A record
// names the offset of the record that it replaces, and takes effect only if that is still the
// newest one when it is read back. Each reader decides alike.
package lease

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/ibistrail/ibistrail/trial"
)

// Shards is the number of streams that hold the leases of an availability zone: a node reads only
// those in which it contends. A lease must never change its stream.
const Shards = 8

// ShardOf returns the shard of a lease.
func ShardOf(key string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key)) // a hash takes every write
	return int(h.Sum32() % Shards)
}

// Stream returns the log stream of a shard of the leases of an availability zone.
func Stream(az string, shard int) string { return fmt.Sprintf("leases-%s-%d", az, shard) }

// Format is the format of records that this program reads and writes.
const Format = 1

// RecordType tells what a record carries.
type RecordType string

// The types of records.
const (
	// TypeLease acquires, renews or releases one lease.
	TypeLease RecordType = "lease"
	// TypeSnapshot carries the state past the retention of older records.
	TypeSnapshot RecordType = "snapshot"
	// TypeReset starts with no lease held, where the records that told were lost.
	TypeReset RecordType = "reset"
)

// Record is the data of a log record.
type Record struct {
	Format int        `json:"format"`
	Type   RecordType `json:"type"`
	// Key names the lease.
	Key string `json:"key,omitempty"`
	// Holder is a node and its incarnation.
	Holder string `json:"holder,omitempty"`
	TTLMs  int64  `json:"ttl_ms,omitempty"`
	// Prev is the offset of the record that this one replaces; 0 means that there was none.
	Prev trial.Offset `json:"prev,omitempty"`
	// Release gives the lease up.
	Release bool `json:"release,omitempty"`
	// Through is the offset up to which Leases holds (TypeSnapshot).
	Through trial.Offset `json:"through,omitempty"`
	Leases  []Lease      `json:"leases,omitempty"`
}

// Lease is the decided state of one key.
type Lease struct {
	Key    string `json:"key"`
	Holder string `json:"holder"`
	TTLMs  int64  `json:"ttl_ms"`
	// Offset is that of the newest record that took effect.
	Offset trial.Offset `json:"offset"`
	// Token is the offset of the record with which the holder's tenure began: its FencingToken.
	Token    trial.Offset `json:"token"`
	Released bool         `json:"released,omitempty"`
}

// TTL returns how long the holder may act after it sent the newest record.
func (l *Lease) TTL() time.Duration { return time.Duration(l.TTLMs) * time.Millisecond }

// decode reads a record; an unknown or newer one is an error.
func decode(data json.RawMessage) (*Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("lease: record does not decode: %w", err)
	}
	if r.Format != Format {
		return nil, fmt.Errorf("lease: record has format %d, this program reads %d; replace this node with the newer release", r.Format, Format)
	}
	return &r, nil
}

func encode(r Record) json.RawMessage {
	r.Format = Format
	raw, err := json.Marshal(r)
	if err != nil {
		panic("lease: encode: " + err.Error()) // a Record has no field that cannot be encoded
	}
	return raw
}
