package config

import (
	"errors"
	"maps"
	"slices"

	"github.com/ibistrail/ibistrail/trial"
)

// Limits of a Machine's state.
const (
	// DecisionWindow is the number of offsets for which decided changes and deleted rows are
	// remembered. The Base of a change may be at most this far behind the offset of its record.
	DecisionWindow trial.Offset = 1024
	// MaxHistory is the maximum number of decisions that History returns.
	MaxHistory = 256
)

// Machine is the replicated state machine of the tables. Its state depends only on the records of
// Stream: readers that apply the same records hold the same tables and decide each change in the
// same way. It reads no clock, does no I/O, and is not safe for concurrent use.
//
// A reader repeats these steps: read from Next, call SetFirstRetained with the oldest retained offset,
// and call Apply with each record in order. The tables stay in force while the log is unavailable.
type Machine struct {
	ready bool
	// scanning is true while records before next are missing. Changes cannot be decided until a
	// snapshot is read; the previous tables stay in force.
	scanning      bool
	firstRetained trial.Offset // newest known value of the oldest retained offset
	next          trial.Offset
	state         Snapshot
	decidedByID   map[string]DecidedChange
	history       []Decision
	stats         Stats
	window        trial.Offset
}

// Stats counts records that a Machine did not act on.
type Stats struct {
	// Duplicates counts further copies of changes that were already decided.
	Duplicates int64 `json:"duplicates"`
	// Newer counts records of a newer format.
	Newer int64 `json:"newer"`
	// Malformed counts records that violate the format.
	Malformed int64 `json:"malformed"`
	// Undecided counts records skipped while earlier records were missing.
	Undecided int64 `json:"undecided"`
}

// Status is the state of a Machine in state dumps.
type Status struct {
	Ready        bool         `json:"ready"`
	Scanning     bool         `json:"scanning"`
	Next         trial.Offset `json:"next"`
	Revision     trial.Offset `json:"revision"`
	LastSnapshot trial.Offset `json:"last_snapshot"`
	Incomplete   bool         `json:"incomplete"`
	Stats        Stats        `json:"stats"`
}

// NewMachine returns a machine with empty tables that is not Ready and reads from offset 1.
func NewMachine() *Machine {
	return &Machine{window: DecisionWindow, firstRetained: 1, next: 1, state: emptySnapshot(), decidedByID: map[string]DecidedChange{}}
}

func emptySnapshot() Snapshot {
	return Snapshot{Tables: Tables{Routes: []Route{}, Pools: []Pool{}}, Rows: map[RowKey]RowInfo{}, Deleted: map[RowKey]RowInfo{}}
}

// Ready reports whether the tables are known: the stream was read from offset 1, or a snapshot was
// restored.
func (m *Machine) Ready() bool { return m.ready }

// Scanning reports whether records are missing, so that changes cannot be decided until a snapshot
// is read. The previous tables stay in force.
func (m *Machine) Scanning() bool { return m.scanning }

// Next returns the offset to read next. A restored snapshot may lower it.
func (m *Machine) Next() trial.Offset { return m.next }

// Revision returns the offset of the last record included in the state; 0 means none.
func (m *Machine) Revision() trial.Offset { return m.state.Revision }

func (m *Machine) Stats() Stats { return m.stats }

// Status returns the state for state dumps.
func (m *Machine) Status() Status {
	return Status{Ready: m.ready, Scanning: m.scanning, Next: m.next, Revision: m.state.Revision,
		LastSnapshot: m.state.LastSnapshot, Incomplete: m.state.Incomplete, Stats: m.stats}
}

// LastSnapshot returns the offset of the newest snapshot record that preserves the state beyond the
// log's retention; 0 means none. A snapshot of a state older than the previous snapshot record does
// not count, because the records needed after it may expire earlier.
func (m *Machine) LastSnapshot() trial.Offset { return m.state.LastSnapshot }

// Tables returns the tables in force. The caller must not modify them.
func (m *Machine) Tables() *Tables {
	t := m.state.Tables
	return &t
}

// Snapshot returns the state. The caller must not modify its tables.
func (m *Machine) Snapshot() Snapshot {
	s := m.state
	s.Rows = maps.Clone(s.Rows)
	s.Deleted = maps.Clone(s.Deleted)
	s.Decided = slices.Clone(s.Decided)
	return s
}

// History returns the last decisions made by this reader, at most MaxHistory, the newest last.
func (m *Machine) History() []Decision { return slices.Clone(m.history) }

// Lookup returns the decision on the change with this ID, if it was made within the last
// DecisionWindow offsets. A decision known only from a snapshot has no more than the change's ID, the
// offset and Accepted.
func (m *Machine) Lookup(id string) (Decision, bool) {
	d, ok := m.decidedByID[id]
	if !ok {
		return Decision{}, false
	}
	for i := len(m.history) - 1; i >= 0; i-- {
		if m.history[i].Offset == d.Offset {
			return m.history[i], true
		}
	}
	return Decision{Offset: d.Offset, Change: Change{ID: id}, Accepted: d.Accepted}, true
}

// SetFirstRetained sets the oldest retained offset of the stream. If records before it have not been read, the
// machine continues there and is Scanning until it reads a snapshot. The reader must also call
// SetFirstRetained when nothing is missing: if the stream still has its first record, or is empty, a new machine
// becomes Ready with empty tables at revision 0.
func (m *Machine) SetFirstRetained(first trial.Offset) {
	m.firstRetained = max(m.firstRetained, first)
	if first <= m.next {
		m.ready = m.ready || m.next == 1
		return
	}
	m.scanning = true
	m.next = first
}

// Restore replaces the state with a snapshot from a peer if it is valid and newer, and reports
// whether it did. The revision never decreases.
func (m *Machine) Restore(s Snapshot) bool {
	if s.check() != nil || (m.ready && s.Revision <= m.state.Revision) {
		return false
	}
	m.replaceState(s)
	return true
}

func (m *Machine) replaceState(s Snapshot) {
	m.state = emptySnapshot()
	m.state.Revision, m.state.Incomplete, m.state.LastSnapshot = s.Revision, s.Incomplete, s.LastSnapshot
	m.state.Tables = sortedTables(s.Tables)
	maps.Copy(m.state.Rows, s.Rows)
	maps.Copy(m.state.Deleted, s.Deleted)
	m.state.Decided = slices.Clone(s.Decided)
	m.decidedByID = make(map[string]DecidedChange, len(s.Decided))
	for _, d := range s.Decided {
		m.decidedByID[d.ID] = d
	}
	m.ready, m.scanning = true, false
	m.next = s.Revision + 1
}

// Apply applies the record at offset Next. It ignores any other record: either it was applied
// before, or records before it have not been read yet. It returns the decision on a change, and nil
// for a duplicate, a snapshot and a record that cannot be decided.
func (m *Machine) Apply(rec trial.Record) *Decision {
	if rec.Offset != m.next {
		return nil
	}
	if rec.Offset == 1 {
		m.ready = true
	}
	m.next = rec.Offset + 1
	r, err := DecodeRecord(rec.Data)
	if err == nil && r.Type == RecordSnapshot {
		m.applySnapshot(rec.Offset, *r.Snapshot)
		return nil
	}
	if m.scanning {
		m.stats.Undecided++
		return nil
	}
	m.advanceRevision(rec.Offset)
	if err != nil || rec.ID == "" {
		m.countUnreadable(rec.Offset, err)
		return nil
	}
	return m.applyChange(rec, *r.Change)
}

// countUnreadable counts a record that cannot be decoded. After a change of a newer format the state
// is incomplete, since newer nodes may have accepted the change. A snapshot of a newer format counts
// as LastSnapshot, since newer nodes preserve the state with it.
func (m *Machine) countUnreadable(offset trial.Offset, err error) {
	var newer *NewerFormatError
	if !errors.As(err, &newer) {
		m.stats.Malformed++
		return
	}
	m.stats.Newer++
	if newer.Type == RecordSnapshot {
		m.state.LastSnapshot = offset
		return
	}
	m.state.Incomplete = true
}

// applySnapshot handles the snapshot record at offset. A machine that has read all records before it
// only updates LastSnapshot; one that is scanning takes the snapshot as its state.
func (m *Machine) applySnapshot(offset trial.Offset, s Snapshot) {
	preservesState := s.Revision < offset && s.Revision >= m.state.LastSnapshot
	if !m.scanning {
		m.advanceRevision(offset)
		if preservesState {
			m.state.LastSnapshot = offset
		}
		return
	}
	// All records after the snapshot's revision must still be retained.
	if s.Revision < offset && s.Revision+1 >= m.firstRetained && (!m.ready || s.Revision >= m.state.Revision) {
		m.replaceState(s)
	}
}

// advanceRevision sets the state's revision to offset and removes the decided changes and deleted
// rows that are older than the window.
func (m *Machine) advanceRevision(offset trial.Offset) {
	m.state.Revision = offset
	expired := 0
	for expired < len(m.state.Decided) && m.state.Decided[expired].Offset <= offset-m.window {
		delete(m.decidedByID, m.state.Decided[expired].ID)
		expired++
	}
	if expired > 0 {
		m.state.Decided = slices.Clone(m.state.Decided[expired:])
	}
	for k, r := range m.state.Deleted {
		if r.Revision <= offset-m.window {
			delete(m.state.Deleted, k)
		}
	}
}

func (m *Machine) applyChange(rec trial.Record, c Change) *Decision {
	if _, ok := m.decidedByID[rec.ID]; ok {
		m.stats.Duplicates++
		return nil
	}
	d := Decision{Offset: rec.Offset, Change: c}
	next, conflicts, problems := m.decide(rec.Offset, &c)
	d.Conflicts, d.Problems = conflicts, problems
	d.Accepted = len(conflicts)+len(problems) == 0
	if d.Accepted {
		m.state.Tables = next
		m.setRowRevisions(rec.Offset, &c)
	}
	decided := DecidedChange{ID: rec.ID, Offset: rec.Offset, Accepted: d.Accepted}
	m.decidedByID[rec.ID] = decided
	m.state.Decided = append(m.state.Decided, decided)
	if len(m.history) == MaxHistory {
		m.history = slices.Delete(m.history, 0, 1)
	}
	m.history = append(m.history, d)
	return &d
}

// setRowRevisions records offset as the revision of each edited or deleted row.
func (m *Machine) setRowRevisions(offset trial.Offset, c *Change) {
	for i := range c.Edits {
		k, info := c.Edits[i].Key, RowInfo{Revision: offset, Author: c.Author}
		if c.Edits[i].Delete {
			delete(m.state.Rows, k)
			m.state.Deleted[k] = info
			continue
		}
		delete(m.state.Deleted, k)
		m.state.Rows[k] = info
	}
}
