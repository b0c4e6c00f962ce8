package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/ibistrail/ibistrail/trial"
)

// Stream is the log stream that holds the configuration.
const Stream = "config"

// Format is the format of log records that this program reads and writes. It covers the rules of
// Validate too: programs that judge changes differently must write another format.
const Format = 1

// MaxEdits bounds the edits of one change.
const MaxEdits = 1024

// RecordType tells what a log record carries.
type RecordType string

// The types of log records.
const (
	RecordChange   RecordType = "change"
	RecordSnapshot RecordType = "snapshot"
)

// LogRecord is the data of one record of Stream: a change to be decided, or a snapshot that
// carries the tables past the retention of older records.
type LogRecord struct {
	Format   int        `json:"format"`
	Type     RecordType `json:"type"`
	Change   *Change    `json:"change,omitempty"`
	Snapshot *Snapshot  `json:"snapshot,omitempty"`
}

// NewerFormatError reports a log record that only a newer program can read.
type NewerFormatError struct {
	Format int
	Type   RecordType
}

// Error names the remedy.
func (e *NewerFormatError) Error() string {
	return fmt.Sprintf("config: record of type %q has format %d, this program reads up to %d; replace this node with the newer release", e.Type, e.Format, Format)
}

// EncodeChange returns the log record of c; its ID is that of the change.
func EncodeChange(c Change) (trial.NewRecord, error) {
	if c.ID == "" {
		return trial.NewRecord{}, errors.New("config: change has no id; give it a unique one")
	}
	return encode(c.ID, LogRecord{Format: Format, Type: RecordChange, Change: &c})
}

// EncodeSnapshot returns the log record of s under the unique record ID id. An incomplete snapshot
// is a last resort: it is for a log that no node of the newer release carries forward any more.
func EncodeSnapshot(s Snapshot, id string) (trial.NewRecord, error) {
	return encode(id, LogRecord{Format: Format, Type: RecordSnapshot, Snapshot: &s})
}

func encode(id string, r LogRecord) (trial.NewRecord, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return trial.NewRecord{}, fmt.Errorf("config: encode record %s: %w", id, err)
	}
	return trial.NewRecord{ID: id, Data: data}, nil
}

// DecodeRecord decodes the data of a log record. It returns a *NewerFormatError for a record of a
// newer format; unknown fields of a known format are an error, since they would be lost.
func DecodeRecord(data []byte) (*LogRecord, error) {
	var head struct {
		Format int        `json:"format"`
		Type   RecordType `json:"type"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return nil, fmt.Errorf("config: record does not decode: %w", err)
	}
	if head.Format > Format {
		return nil, &NewerFormatError{Format: head.Format, Type: head.Type}
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	var r LogRecord
	if err := d.Decode(&r); err != nil {
		return nil, fmt.Errorf("config: record does not decode: %w", err)
	}
	return &r, r.check()
}

func (r *LogRecord) check() error {
	switch {
	case r.Format != Format:
		return fmt.Errorf("config: record has unknown format %d; write format %d", r.Format, Format)
	case r.Type == RecordChange && r.Change != nil && r.Snapshot == nil:
		return r.Change.check()
	case r.Type == RecordSnapshot && r.Snapshot != nil && r.Change == nil:
		return r.Snapshot.check()
	}
	return fmt.Errorf("config: record of type %q carries something else; write a change or a snapshot", r.Type)
}

// check refuses changes whose form no reader could act on.
func (c *Change) check() error {
	if c.ID == "" || len(c.Edits) == 0 || len(c.Edits) > MaxEdits {
		return fmt.Errorf("config: change needs an id and 1 to %d edits", MaxEdits)
	}
	seen := make(map[RowKey]bool, len(c.Edits))
	for i := range c.Edits {
		e := &c.Edits[i]
		if !e.wellFormed() || seen[e.Key] {
			return fmt.Errorf("config: edit %d of change %s must set one of route, pool and delete, with the key of that row, once", i, c.ID)
		}
		seen[e.Key] = true
	}
	return nil
}

func (e *Edit) wellFormed() bool {
	switch {
	case e.Route != nil:
		return e.Pool == nil && !e.Delete && e.Key == RouteKey(e.Route.Name)
	case e.Pool != nil:
		return !e.Delete && e.Key == PoolKey(e.Pool.Name)
	}
	return e.Delete && e.Key.valid()
}

// check refuses snapshots whose rows and revisions do not belong together.
func (s *Snapshot) check() error {
	if s.Revision < 0 || len(s.Rows) != len(s.Tables.Routes)+len(s.Tables.Pools) {
		return fmt.Errorf("config: snapshot at revision %d does not give each row one revision", s.Revision)
	}
	for i := range s.Tables.Routes {
		if _, ok := s.Rows[RouteKey(s.Tables.Routes[i].Name)]; !ok {
			return fmt.Errorf("config: snapshot gives no revision for route %q", s.Tables.Routes[i].Name)
		}
	}
	for i := range s.Tables.Pools {
		if _, ok := s.Rows[PoolKey(s.Tables.Pools[i].Name)]; !ok {
			return fmt.Errorf("config: snapshot gives no revision for pool %q", s.Tables.Pools[i].Name)
		}
	}
	return nil
}
