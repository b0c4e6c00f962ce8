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

// Format is the version of the log records that this program reads and writes. It covers the rules
// of Validate too: a program that decides changes by other rules must use another number.
const Format = 1

// MaxEdits is the maximum number of edits in one change.
const MaxEdits = 1024

// RecordType is the type of a log record.
type RecordType string

// The types of log records.
const (
	RecordChange   RecordType = "change"
	RecordSnapshot RecordType = "snapshot"
)

// LogRecord is the data of one record of Stream: a change to be decided, or a snapshot that
// preserves the tables when older records expire.
type LogRecord struct {
	Format   int        `json:"format"`
	Type     RecordType `json:"type"`
	Change   *Change    `json:"change,omitempty"`
	Snapshot *Snapshot  `json:"snapshot,omitempty"`
}

// NewerFormatError reports a log record whose format is newer than Format.
type NewerFormatError struct {
	Format int
	Type   RecordType
}

func (e *NewerFormatError) Error() string {
	return fmt.Sprintf("config: record of type %q has format %d, this program reads up to %d; replace this node with the newer release", e.Type, e.Format, Format)
}

// EncodeChange returns the log record of c, with the change's ID as its ID. A change without an ID is
// an error.
func EncodeChange(c Change) (trial.NewRecord, error) {
	if c.ID == "" {
		return trial.NewRecord{}, errors.New("config: change has no id; give it a unique one")
	}
	return encode(c.ID, LogRecord{Format: Format, Type: RecordChange, Change: &c})
}

// EncodeSnapshot returns the log record of s with the record ID id, which must be unique. An
// incomplete snapshot should be appended only as a last resort, when no node of the newer release
// has appended one for a long time.
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

// DecodeRecord decodes and checks the data of a log record. It returns a *NewerFormatError for a
// record of a newer format. An unknown field is an error, since its content would be lost.
func DecodeRecord(data []byte) (*LogRecord, error) {
	var head struct {
		Format int        `json:"format"`
		Type   RecordType `json:"type"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return nil, fmt.Errorf("config: decode record: %w", err)
	}
	if head.Format > Format {
		return nil, &NewerFormatError{Format: head.Format, Type: head.Type}
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	var r LogRecord
	if err := d.Decode(&r); err != nil {
		return nil, fmt.Errorf("config: decode record: %w", err)
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
	return fmt.Errorf("config: record of type %q must hold either a change or a snapshot, as its type says", r.Type)
}

// check returns an error if the change has no ID, no edits, too many edits or a malformed edit.
func (c *Change) check() error {
	if c.ID == "" || len(c.Edits) == 0 || len(c.Edits) > MaxEdits {
		return fmt.Errorf("config: change needs an id and 1 to %d edits", MaxEdits)
	}
	seen := make(map[RowKey]bool, len(c.Edits))
	for i := range c.Edits {
		e := &c.Edits[i]
		if !e.valid() || seen[e.Key] {
			return fmt.Errorf("config: edit %d of change %s must set one of route, pool and delete, with the key of that row, once", i, c.ID)
		}
		seen[e.Key] = true
	}
	return nil
}

func (e *Edit) valid() bool {
	switch {
	case e.Route != nil:
		return e.Pool == nil && !e.Delete && e.Key == RouteKey(e.Route.Name)
	case e.Pool != nil:
		return !e.Delete && e.Key == PoolKey(e.Pool.Name)
	}
	return e.Delete && e.Key.valid()
}

// check returns an error unless each row of the snapshot has exactly one revision.
func (s *Snapshot) check() error {
	if s.Revision < 0 || len(s.Rows) != len(s.Tables.Routes)+len(s.Tables.Pools) {
		return fmt.Errorf("config: snapshot at revision %d must have a revision for each of its rows and for no other", s.Revision)
	}
	for i := range s.Tables.Routes {
		if _, ok := s.Rows[RouteKey(s.Tables.Routes[i].Name)]; !ok {
			return fmt.Errorf("config: snapshot has no revision for route %q", s.Tables.Routes[i].Name)
		}
	}
	for i := range s.Tables.Pools {
		if _, ok := s.Rows[PoolKey(s.Tables.Pools[i].Name)]; !ok {
			return fmt.Errorf("config: snapshot has no revision for pool %q", s.Tables.Pools[i].Name)
		}
	}
	return nil
}
