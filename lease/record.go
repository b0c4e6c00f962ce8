// Package lease implements named leases with fencing tokens on the records of a log stream. A record
// names the offset of the record that it replaces (compare-and-swap), and takes effect only if that
// is still the newest record of the lease at its own position in the stream. All readers therefore
// derive the same state.
package lease

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/ibistrail/ibistrail/trial"
)

// Shards is the number of streams over which the leases of an availability zone are spread, so that
// a node reads only the streams of leases that it contends for. A lease must never change its stream.
const Shards = 8

// ShardOf returns the shard of the lease named key, from 0 to Shards-1.
func ShardOf(key string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key)) // a hash.Hash never returns an error
	return int(h.Sum32() % Shards)
}

// Stream returns the name of the log stream of a lease shard in an availability zone.
func Stream(az string, shard int) string { return fmt.Sprintf("leases-%s-%d", az, shard) }

// Format is the version of the record format that this program reads and writes.
const Format = 1

// RecordType is the type of a record.
type RecordType string

// The types of records.
const (
	// TypeLease acquires, renews or releases one lease.
	TypeLease RecordType = "lease"
	// TypeSnapshot holds the state of all leases, so that it outlives the retention of older records.
	TypeSnapshot RecordType = "snapshot"
	// TypeReset clears the state after the records that held it were lost.
	TypeReset RecordType = "reset"
)

// Record is the JSON data of a log record.
type Record struct {
	Format int        `json:"format"`
	Type   RecordType `json:"type"`
	// Key is the name of the lease.
	Key string `json:"key,omitempty"`
	// Holder identifies the process: node and incarnation.
	Holder string `json:"holder,omitempty"`
	TTLMs  int64  `json:"ttl_ms,omitempty"`
	// Prev is the offset of the record that this one replaces; 0 if the lease has none yet.
	Prev trial.Offset `json:"prev,omitempty"`
	// Release ends the holder's lease before its TTL.
	Release bool `json:"release,omitempty"`
	// Through is the offset of the last record that Leases includes (TypeSnapshot).
	Through trial.Offset `json:"through,omitempty"`
	Leases  []Lease      `json:"leases,omitempty"`
}

// Lease is the state of one lease.
type Lease struct {
	Key    string `json:"key"`
	Holder string `json:"holder"`
	TTLMs  int64  `json:"ttl_ms"`
	// Offset is the offset of the newest record that took effect.
	Offset trial.Offset `json:"offset"`
	// Token is the fencing token: the offset of the record with which the holder acquired the lease.
	Token    trial.Offset `json:"token"`
	Released bool         `json:"released,omitempty"`
}

// TTL returns the time to live, counted from when the holder first sent the newest record.
func (l *Lease) TTL() time.Duration { return time.Duration(l.TTLMs) * time.Millisecond }

// decode parses a record; it returns an error for any format other than Format.
func decode(data json.RawMessage) (*Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("lease: cannot decode record: %w", err)
	}
	if r.Format != Format {
		return nil, fmt.Errorf("lease: record has format %d, but this program reads only format %d; upgrade this node", r.Format, Format)
	}
	return &r, nil
}

func encode(r Record) json.RawMessage {
	r.Format = Format
	raw, err := json.Marshal(r)
	if err != nil {
		panic("lease: encode: " + err.Error()) // unreachable: every field of Record can be encoded
	}
	return raw
}
