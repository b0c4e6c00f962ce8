package claims

import (
	"fmt"
	"time"

	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
)

// maxAssemblies is the maximum number of incomplete snapshots that a reader keeps.
const maxAssemblies = 4

// entry is a valid claim.
type entry struct {
	key, fingerprint digest
	claimID          string
	gateID           string
	gateIncarnation  string
	offset           trial.Offset
	atMs             int64
}

// Decision is the decision on one claim of a record.
type Decision struct {
	ClaimID string
	// Holder is the winning claim of the key; nil if the claim was rejected because the table is full.
	Holder *wire.ClaimResult
}

// Table is the state that a reader derives from the records of the stream. It takes the time from the
// records and is not safe for concurrent use.
type Table struct {
	ttl           time.Duration
	maxKeys       int
	entries       map[digest]*entry
	byOffset      []*entry // for expiry
	internedNames map[string]string
	clockMs       int64
	next          trial.Offset
	firstRetained trial.Offset
	ready         bool
	assemblies    map[string]*assembly
	assemblyOrder []string // keys of assemblies, oldest first
	stats         Stats
}

// Stats counts records and claims that did not take effect.
type Stats struct {
	// Malformed counts records and claims that this program cannot decode.
	Malformed int64 `json:"malformed"`
	// Void counts claims that were rejected because the table was full.
	Void int64 `json:"void"`
}

// assembly is a snapshot of which some parts have been read.
type assembly struct {
	parts map[int]*Record
}

// NewTable returns an empty table that starts at offset 1.
func NewTable() *Table { return newTable(ClaimTTL, MaxKeys) }

func newTable(ttl time.Duration, maxKeys int) *Table {
	return &Table{ttl: ttl, maxKeys: maxKeys, entries: map[digest]*entry{}, internedNames: map[string]string{}, next: 1, firstRetained: 1, assemblies: map[string]*assembly{}}
}

// Next returns the offset of the next record to apply. After a snapshot it may be lower than before.
func (t *Table) Next() trial.Offset { return t.next }

// Ready reports whether all valid claims before Next are known, so that new claims can be decided.
func (t *Table) Ready() bool { return t.ready }

// Len returns the number of valid claims.
func (t *Table) Len() int { return len(t.entries) }

// Stats returns the counts of records and claims that did not take effect.
func (t *Table) Stats() Stats { return t.stats }

// SetFirstRetained sets the oldest retained offset. If records at or after Next were truncated, the
// state is no longer complete and reading continues at first.
func (t *Table) SetFirstRetained(first trial.Offset) {
	t.firstRetained = max(t.firstRetained, first)
	if first <= t.next {
		t.ready = t.ready || t.next == 1
		return
	}
	t.ready, t.next = false, first
}

// Lookup returns the valid claim of key; ok is false if there is none or the state is incomplete.
func (t *Table) Lookup(key string) (wire.ClaimResult, bool) {
	d, ok := parseDigest(key)
	e := t.entries[d]
	if !ok || !t.ready || e == nil || t.expired(e) {
		return wire.ClaimResult{}, false
	}
	return e.result(), true
}

func (e *entry) result() wire.ClaimResult {
	return wire.ClaimResult{ClaimID: e.claimID, Fingerprint: e.fingerprint.String(), GateID: e.gateID, GateIncarnation: e.gateIncarnation, Offset: e.offset}
}

func (t *Table) expired(e *entry) bool { return t.clockMs-e.atMs > t.ttl.Milliseconds() }

// Apply applies the record at Next and returns the decisions on its claims.
func (t *Table) Apply(rec trial.Record) []Decision {
	if rec.Offset < t.next {
		return nil
	}
	if rec.Offset > t.next {
		t.SetFirstRetained(rec.Offset)
	}
	t.ready = t.ready || rec.Offset == 1
	t.next = rec.Offset + 1
	r, err := decode(rec.Data)
	if err != nil {
		t.stats.Malformed++
		return nil
	}
	switch r.Type {
	case TypeClaims:
		if t.ready && len(r.Claims) <= MaxPerRecord {
			return t.applyClaims(rec.Offset, r)
		}
	case TypeSnapshot:
		t.addSnapshotPart(rec.Offset, r)
	case TypeReset:
		if !t.ready {
			t.clear()
			t.ready = true
		}
	default:
		t.stats.Malformed++
	}
	return nil
}

// applyClaims decides the claims of one record in order.
func (t *Table) applyClaims(at trial.Offset, r *Record) []Decision {
	t.advanceClock(r.ClockMs)
	out := make([]Decision, 0, len(r.Claims))
	for i := range r.Claims {
		c := &r.Claims[i]
		key, ok := parseDigest(c.Key)
		fp, okFP := parseDigest(c.Fingerprint)
		if !ok || !okFP {
			t.stats.Malformed++
			continue
		}
		e := t.entries[key]
		if e == nil && len(t.entries) >= t.maxKeys {
			t.stats.Void++
			out = append(out, Decision{ClaimID: c.ClaimID})
			continue
		}
		if e == nil {
			e = &entry{key: key, fingerprint: fp, claimID: c.ClaimID, gateID: t.intern(c.GateID), gateIncarnation: t.intern(c.GateIncarnation), offset: at, atMs: t.clockMs}
			t.add(e)
		}
		res := e.result()
		out = append(out, Decision{ClaimID: c.ClaimID, Holder: &res})
	}
	return out
}

// intern returns a shared copy of a gate ID or gate incarnation, to save memory.
func (t *Table) intern(s string) string {
	if n, ok := t.internedNames[s]; ok {
		return n
	}
	t.internedNames[s] = s
	return s
}

func (t *Table) add(e *entry) {
	t.entries[e.key] = e
	t.byOffset = append(t.byOffset, e)
}

// advanceClock advances the stream's clock by at most MaxClockStep and removes expired claims.
func (t *Table) advanceClock(clockMs int64) {
	step := MaxClockStep.Milliseconds()
	if t.clockMs == 0 {
		t.clockMs = clockMs
	}
	t.clockMs = max(t.clockMs, min(clockMs, t.clockMs+step))
	n := 0
	for n < len(t.byOffset) && t.expired(t.byOffset[n]) {
		delete(t.entries, t.byOffset[n].key)
		n++
	}
	t.byOffset = t.byOffset[n:]
	if len(t.entries) == 0 {
		clear(t.internedNames)
	}
}

func (t *Table) clear() {
	t.entries, t.byOffset, t.internedNames = map[digest]*entry{}, nil, map[string]string{}
}

// Snapshot returns the parts of a snapshot of all valid claims.
func (t *Table) Snapshot(name string) []Record {
	parts := max(1, (len(t.byOffset)+MaxPerRecord-1)/MaxPerRecord)
	out := make([]Record, 0, parts)
	for p := range parts {
		r := Record{Type: TypeSnapshot, ClockMs: t.clockMs, Snapshot: name, Part: p, Parts: parts, Through: t.next - 1}
		for _, e := range t.byOffset[p*MaxPerRecord : min((p+1)*MaxPerRecord, len(t.byOffset))] {
			r.Claims = append(r.Claims, Claim{
				Key: e.key.String(), Fingerprint: e.fingerprint.String(), ClaimID: e.claimID,
				GateID: e.gateID, GateIncarnation: e.gateIncarnation, Offset: e.offset, AtMs: e.atMs,
			})
		}
		out = append(out, r)
	}
	return out
}

// addSnapshotPart collects parts of snapshots while the state is incomplete, and restores a snapshot
// once all its parts have been read.
func (t *Table) addSnapshotPart(at trial.Offset, r *Record) {
	if t.ready || r.Through >= at || r.Through+1 < t.firstRetained || r.Parts < 1 || r.Part < 0 || r.Part >= r.Parts {
		return
	}
	a := t.assemblies[r.Snapshot]
	if a == nil {
		if len(t.assemblyOrder) == maxAssemblies {
			delete(t.assemblies, t.assemblyOrder[0])
			t.assemblyOrder = t.assemblyOrder[1:]
		}
		a = &assembly{parts: map[int]*Record{}}
		t.assemblies[r.Snapshot] = a
		t.assemblyOrder = append(t.assemblyOrder, r.Snapshot)
	}
	a.parts[r.Part] = r
	if len(a.parts) == r.Parts {
		t.restoreSnapshot(a, r)
	}
}

// restoreSnapshot replaces the state by that of a complete snapshot; reading continues at r.Through+1.
func (t *Table) restoreSnapshot(a *assembly, r *Record) {
	t.clear()
	t.clockMs = r.ClockMs
	for p := range r.Parts {
		for i := range a.parts[p].Claims {
			c := &a.parts[p].Claims[i]
			key, ok := parseDigest(c.Key)
			fp, okFP := parseDigest(c.Fingerprint)
			if ok && okFP {
				t.add(&entry{key: key, fingerprint: fp, claimID: c.ClaimID, gateID: t.intern(c.GateID), gateIncarnation: t.intern(c.GateIncarnation), offset: c.Offset, atMs: c.AtMs})
			}
		}
	}
	t.ready, t.next = true, r.Through+1
	t.assemblies, t.assemblyOrder = map[string]*assembly{}, nil
}

// String returns a summary of the table for logs.
func (t *Table) String() string {
	return fmt.Sprintf("claims held=%d next=%d ready=%t", len(t.entries), t.next, t.ready)
}
