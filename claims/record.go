// Package claims decides which gate may run a request that carries a caller's idempotency key. The
// first claim of a key in log order wins. Every reader applies the log in the same order and derives
// the same decision, so that any number of writers may append.
package claims

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
)

// Stream is the name of the log stream of claims.
const Stream = "claims"

// Format is the version of the record format that this program reads and writes.
const Format = 1

// Limits of claims.
const (
	// ClaimTTL is how long a claim is valid, by the stream's clock.
	ClaimTTL = 24 * time.Hour
	// MaxKeys is the maximum number of valid claims; all readers reject claims of further keys.
	MaxKeys = 1 << 17
	// MaxClockStep is the maximum by which one record advances the stream's clock, so that a writer
	// with a fast clock cannot expire claims early.
	MaxClockStep = time.Minute
	// MaxPerRecord is the maximum number of claims in one record.
	MaxPerRecord = 256
	// MaxIDBytes is the maximum length of each ID in a claim.
	MaxIDBytes = 128
)

// RecordType is the type of a record.
type RecordType string

// The types of records.
const (
	// TypeClaims holds new claims.
	TypeClaims RecordType = "claims"
	// TypeSnapshot holds one part of a snapshot of all valid claims, so that they outlive the
	// retention of their records.
	TypeSnapshot RecordType = "snapshot"
	// TypeReset declares that no earlier claim is valid; readers with complete state ignore it.
	TypeReset RecordType = "reset"
)

// Record is the JSON data of a log record.
type Record struct {
	Format int        `json:"format"`
	Type   RecordType `json:"type"`
	// ClockMs is the writer's time (TypeClaims) or the stream's clock (TypeSnapshot), in Unix milliseconds.
	ClockMs int64   `json:"clock_ms,omitempty"`
	Claims  []Claim `json:"claims,omitempty"`
	// Snapshot is the name of a snapshot. It consists of Parts records, numbered by Part from 0, which
	// together hold all valid claims up to offset Through.
	Snapshot string       `json:"snapshot,omitempty"`
	Part     int          `json:"part,omitempty"`
	Parts    int          `json:"parts,omitempty"`
	Through  trial.Offset `json:"through,omitempty"`
}

// Claim is one claim of a key. Offset, and AtMs in Unix milliseconds, are set only in snapshots.
type Claim struct {
	Key             string       `json:"k"`
	Fingerprint     string       `json:"f"`
	ClaimID         string       `json:"c"`
	GateID          string       `json:"g"`
	GateIncarnation string       `json:"i"`
	Offset          trial.Offset `json:"o,omitempty"`
	AtMs            int64        `json:"t,omitempty"`
}

// digest is a SHA-256 digest.
type digest [32]byte

func parseDigest(s string) (digest, bool) {
	var d digest
	if len(s) != hex.EncodedLen(len(d)) {
		return d, false
	}
	_, err := hex.Decode(d[:], []byte(s))
	return d, err == nil
}

func (d digest) String() string { return hex.EncodeToString(d[:]) }

// Validate returns an error if a field of the claim is malformed or too long.
func Validate(p *wire.ClaimParams) error {
	_, key := parseDigest(p.Key)
	_, fp := parseDigest(p.Fingerprint)
	if !key || !fp {
		return fmt.Errorf("claims: key and fingerprint must be SHA-256 in hex")
	}
	for _, s := range []string{p.ClaimID, p.GateID, p.GateIncarnation} {
		if s == "" || len(s) > MaxIDBytes {
			return fmt.Errorf("claims: claim_id, gate_id and gate_incarnation must have 1 to %d bytes", MaxIDBytes)
		}
	}
	return nil
}

func decode(data json.RawMessage) (*Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("claims: cannot decode record: %w", err)
	}
	if r.Format != Format {
		return nil, fmt.Errorf("claims: record has format %d, but this program reads only format %d; upgrade this node", r.Format, Format)
	}
	return &r, nil
}

func encode(r Record) json.RawMessage {
	r.Format = Format
	raw, err := json.Marshal(r)
	if err != nil {
		panic("claims: encode: " + err.Error()) // unreachable: every field of Record can be encoded
	}
	return raw
}

// NewRecord returns a log record with new claims; clockMs is the writer's time in Unix milliseconds.
func NewRecord(id string, clockMs int64, list []Claim) trial.NewRecord {
	return trial.NewRecord{ID: id, Data: encode(Record{Type: TypeClaims, ClockMs: clockMs, Claims: list})}
}
