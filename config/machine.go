package config

import (
	"errors"
	"maps"
	"slices"

	"github.com/ibistrail/ibistrail/trial"
)

// Bounds of a Machine's state.
const (
	// DecidedWindow is how many offsets a decided change and a deleted row are remembered, and how
	// far behind its record's offset a change's Base may lie.
	DecidedWindow trial.Offset = 1024
	// MaxHistory bounds the decisions that History returns.
	MaxHistory = 256
)

// Machine is the state of the tables that a reader of Stream derives from its records alone: each
// reader that applies the same records holds the same tables and decides each change alike. It has
// no clock and does no I/O, and is not safe for concurrent use.
//
// The reader loops: read from Next, call Missed with the oldest retained offset, call Apply with
// each record in order, and again. What is in force stays so while the log is out.
type Machine struct {
	ready bool
	// scanning is true while records before next are missing: changes cannot be decided until a
	// snapshot is found. What was in force before stays in force.
	scanning bool
	first    trial.Offset // oldest retained offset, as far as known
	next     trial.Offset
	state    Snapshot
	decided  map[string]Decided
	history  []Decision
	stats    Stats
	window   trial.Offset
}

// Stats count records that a Machine did not act on.
type Stats struct {
	// Duplicates are second copies of a decided change.
	Duplicates int64 `json:"duplicates"`
	// Newer are records of a newer format.
	Newer int64 `json:"newer"`
	// Malformed are records that no program of this format writes.
	Malformed int64 `json:"malformed"`
	// Undecided are changes passed while the state before them was unknown.
	Undecided int64 `json:"undecided"`
}

// Status tells where a Machine stands, for dumps.
type Status struct {
	Ready        bool         `json:"ready"`
	Scanning     bool         `json:"scanning"`
	Next         trial.Offset `json:"next"`
	Revision     trial.Offset `json:"revision"`
	LastSnapshot trial.Offset `json:"last_snapshot"`
	Incomplete   bool         `json:"incomplete"`
	Stats        Stats        `json:"stats"`
}

// NewMachine returns a machine that knows nothing and wants to read from offset 1.
func NewMachine() *Machine {
	return &Machine{window: DecidedWindow, first: 1, next: 1, state: emptySnapshot(), decided: map[string]Decided{}}
}

func emptySnapshot() Snapshot {
	return Snapshot{Tables: Tables{Routes: []Route{}, Pools: []Pool{}}, Rows: map[RowKey]RowInfo{}, Deleted: map[RowKey]RowInfo{}}
}

// Ready tells whether a state is known: the stream was read from offset 1, or a snapshot was seen.
func (m *Machine) Ready() bool { return m.ready }

// Scanning tells whether records are missing, so that changes cannot be decided until a snapshot
// comes; what is in force stays so.
func (m *Machine) Scanning() bool { return m.scanning }

// Next returns the offset to read next. After a snapshot it may be lower than before.
func (m *Machine) Next() trial.Offset { return m.next }

// Revision returns the offset of the last record that the state covers; 0 means none.
func (m *Machine) Revision() trial.Offset { return m.state.Revision }

// Stats returns counts of records that were not acted on.
func (m *Machine) Stats() Stats { return m.stats }

// Status returns where the machine stands.
func (m *Machine) Status() Status {
	return Status{Ready: m.ready, Scanning: m.scanning, Next: m.next, Revision: m.state.Revision,
		LastSnapshot: m.state.LastSnapshot, Incomplete: m.state.Incomplete, Stats: m.stats}
}

// LastSnapshot returns the offset of the newest snapshot record that carries the state forward; 0
// means none. One whose state is older than the snapshot before it does not count, since records
// that it needs expire first.
func (m *Machine) LastSnapshot() trial.Offset { return m.state.LastSnapshot }

// Tables returns the tables in force, which the caller must not modify.
func (m *Machine) Tables() *Tables {
	t := m.state.Tables
	return &t
}

// Snapshot returns the state. The caller must not modify its rows.
func (m *Machine) Snapshot() Snapshot {
	s := m.state
	s.Rows = maps.Clone(s.Rows)
	s.Deleted = maps.Clone(s.Deleted)
	s.Decided = slices.Clone(s.Decided)
	return s
}

// History returns the newest decisions of this reader, the newest last.
func (m *Machine) History() []Decision { return slices.Clone(m.history) }

// Lookup returns how the record id was decided, if that was within the last DecidedWindow offsets.
// After a snapshot only the offset and the verdict are known.
func (m *Machine) Lookup(id string) (Decision, bool) {
	d, ok := m.decided[id]
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

// Missed tells the oldest retained offset of the stream, also when nothing is missing: a stream
// that still has its beginning makes a new machine Ready with empty tables at revision 0.
func (m *Machine) Missed(first trial.Offset) {
	m.first = max(m.first, first)
	if first <= m.next {
		m.ready = m.ready || m.next == 1
		return
	}
	m.scanning = true
	m.next = first
}

// Restore adopts a snapshot from a peer or the log if it is newer than what is known, and tells
// whether it did. A state never goes back.
func (m *Machine) Restore(s Snapshot) bool {
	if s.check() != nil || (m.ready && s.Revision <= m.state.Revision) {
		return false
	}
	m.adopt(s)
	return true
}

func (m *Machine) adopt(s Snapshot) {
	m.state = emptySnapshot()
	m.state.Revision, m.state.Incomplete, m.state.LastSnapshot = s.Revision, s.Incomplete, s.LastSnapshot
	m.state.Tables = sorted(s.Tables)
	maps.Copy(m.state.Rows, s.Rows)
	maps.Copy(m.state.Deleted, s.Deleted)
	m.state.Decided = slices.Clone(s.Decided)
	m.decided = make(map[string]Decided, len(s.Decided))
	for _, d := range s.Decided {
		m.decided[d.ID] = d
	}
	m.ready, m.scanning = true, false
	m.next = s.Revision + 1
}

// Apply takes the record at Next; any other is ignored, since it was applied before or those
// between are yet to be read. It returns the decision of a change, or nil for a duplicate, a
// snapshot and a record that cannot be decided here.
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
	m.advance(rec.Offset)
	if err != nil || rec.ID == "" {
		m.refuse(rec.Offset, err)
		return nil
	}
	return m.applyChange(rec, *r.Change)
}

// refuse counts a record that cannot be read. A change of a newer format may be in force on newer
// nodes; a snapshot of a newer format tells that such nodes carry the state forward.
func (m *Machine) refuse(at trial.Offset, err error) {
	var newer *NewerFormatError
	if !errors.As(err, &newer) {
		m.stats.Malformed++
		return
	}
	m.stats.Newer++
	if newer.Type == RecordSnapshot {
		m.state.LastSnapshot = at
		return
	}
	m.state.Incomplete = true
}

func (m *Machine) applySnapshot(at trial.Offset, s Snapshot) {
	useful := s.Revision < at && s.Revision >= m.state.LastSnapshot
	if !m.scanning {
		m.advance(at)
		if useful {
			m.state.LastSnapshot = at
		}
		return
	}
	// All records after the snapshot's revision must still be there to be read.
	if s.Revision < at && s.Revision+1 >= m.first && (!m.ready || s.Revision >= m.state.Revision) {
		m.adopt(s)
	}
}

// advance moves the state's revision to offset at and forgets what has left the window.
func (m *Machine) advance(at trial.Offset) {
	m.state.Revision = at
	old := 0
	for old < len(m.state.Decided) && m.state.Decided[old].Offset <= at-m.window {
		delete(m.decided, m.state.Decided[old].ID)
		old++
	}
	if old > 0 {
		m.state.Decided = slices.Clone(m.state.Decided[old:])
	}
	for k, r := range m.state.Deleted {
		if r.Revision <= at-m.window {
			delete(m.state.Deleted, k)
		}
	}
}

func (m *Machine) applyChange(rec trial.Record, c Change) *Decision {
	if _, ok := m.decided[rec.ID]; ok {
		m.stats.Duplicates++
		return nil
	}
	d := Decision{Offset: rec.Offset, Change: c}
	next, conflicts, problems := m.decide(rec.Offset, &c)
	d.Conflicts, d.Problems = conflicts, problems
	d.Accepted = len(conflicts)+len(problems) == 0
	if d.Accepted {
		m.state.Tables = next
		m.mark(rec.Offset, &c)
	}
	e := Decided{ID: rec.ID, Offset: rec.Offset, Accepted: d.Accepted}
	m.decided[rec.ID] = e
	m.state.Decided = append(m.state.Decided, e)
	if len(m.history) == MaxHistory {
		m.history = slices.Delete(m.history, 0, 1)
	}
	m.history = append(m.history, d)
	return &d
}

// mark gives the edited rows the revision at.
func (m *Machine) mark(at trial.Offset, c *Change) {
	for i := range c.Edits {
		k, info := c.Edits[i].Key, RowInfo{Revision: at, By: c.Author}
		if c.Edits[i].Delete {
			delete(m.state.Rows, k)
			m.state.Deleted[k] = info
			continue
		}
		delete(m.state.Deleted, k)
		m.state.Rows[k] = info
	}
}
