// Package claims decides who may run a request that bears a caller's own idempotency key. The
// first claim of a key in the order of the log wins; each reader decides alike, at read-back, so
// that no writer needs to be the only one.
package claims

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
)

// Stream is the log stream of claims.
const Stream = "claims"

// Format is the format of records that this program reads and writes.
const Format = 1

// Bounds of claims.
const (
	// KeyWindow is how long a claim holds.
	KeyWindow = 24 * time.Hour
	// MaxKeys bounds the claims that hold at a time; a further one is void for each reader alike.
	MaxKeys = 1 << 17
	// MaxClockStep bounds by how much one record moves the stream's clock, so that a writer whose
	// clock is ahead cannot end claims early.
	MaxClockStep = time.Minute
	// MaxPerRecord bounds the claims of one record.
	MaxPerRecord = 256
	// MaxIDBytes bounds each name in a claim.
	MaxIDBytes = 128
)

// RecordType tells what a record carries.
type RecordType string

// The types of records.
const (
	// TypeClaims carries new claims.
	TypeClaims RecordType = "claims"
	// TypeSnapshot carries a part of the claims that hold past the retention of their records.
	TypeSnapshot RecordType = "snapshot"
	// TypeReset tells readers that lack the state that no older claim holds.
	TypeReset RecordType = "reset"
)

// Record is the data of a log record.
type Record struct {
	Format int        `json:"format"`
	Type   RecordType `json:"type"`
	// ClockMs is the writer's time, or the stream's clock in a snapshot, in Unix milliseconds.
	ClockMs int64   `json:"clock_ms,omitempty"`
	Claims  []Claim `json:"claims,omitempty"`
	// Snapshot names a snapshot, whose Parts records hold all claims up to Through.
	Snapshot string       `json:"snapshot,omitempty"`
	Part     int          `json:"part,omitempty"`
	Parts    int          `json:"parts,omitempty"`
	Through  trial.Offset `json:"through,omitempty"`
}

// Claim is one claim; Offset and AtMs are set in snapshots.
type Claim struct {
	Key             string       `json:"k"`
	Fingerprint     string       `json:"f"`
	ClaimID         string       `json:"c"`
	GateID          string       `json:"g"`
	GateIncarnation string       `json:"i"`
	Offset          trial.Offset `json:"o,omitempty"`
	AtMs            int64        `json:"t,omitempty"`
}

// digest is a SHA-256.
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

// Check returns what is wrong with a claim, or nil.
func Check(p *wire.ClaimParams) error {
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
		return nil, fmt.Errorf("claims: record does not decode: %w", err)
	}
	if r.Format != Format {
		return nil, fmt.Errorf("claims: record has format %d, this program reads %d; replace this node with the newer release", r.Format, Format)
	}
	return &r, nil
}

func encode(r Record) json.RawMessage {
	r.Format = Format
	raw, err := json.Marshal(r)
	if err != nil {
		panic("claims: encode: " + err.Error()) // a Record has no field that cannot be encoded
	}
	return raw
}

// NewRecord returns the log record of claims that a writer makes at a time, in Unix milliseconds.
func NewRecord(id string, clockMs int64, list []Claim) trial.NewRecord {
	return trial.NewRecord{ID: id, Data: encode(Record{Type: TypeClaims, ClockMs: clockMs, Claims: list})}
}
