package claims

import (
	"fmt"
	"time"

	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
)

// maxAssembling bounds the snapshots whose parts a reader collects at a time.
const maxAssembling = 4

// entry is a claim that holds.
type entry struct {
	key, fingerprint digest
	claimID          string
	gateID           string
	gateIncarnation  string
	offset           trial.Offset
	atMs             int64
}

// Decision is how one claim of a record was decided.
type Decision struct {
	ClaimID string
	// Holder is who holds the key; nil if the claim is void because too many hold.
	Holder *wire.ClaimResult
}

// Table is the state that a reader derives from the records of the stream. It has no clock and is
// not safe for concurrent use.
type Table struct {
	window   time.Duration
	maxKeys  int
	entries  map[digest]*entry
	order    []*entry // by offset, for expiry
	names    map[string]string
	clockMs  int64
	next     trial.Offset
	first    trial.Offset
	ready    bool
	parts    map[string]*assembly
	assembly []string // names of parts, the oldest first
	stats    Stats
}

// Stats count records and claims that did not take effect.
type Stats struct {
	// Malformed are records that this program cannot read.
	Malformed int64 `json:"malformed"`
	// Void are claims that were refused because too many hold.
	Void int64 `json:"void"`
}

// assembly is a snapshot whose parts are being read.
type assembly struct {
	parts map[int]*Record
}

// NewTable returns a table that has read nothing.
func NewTable() *Table { return newTable(KeyWindow, MaxKeys) }

func newTable(window time.Duration, maxKeys int) *Table {
	return &Table{window: window, maxKeys: maxKeys, entries: map[digest]*entry{}, names: map[string]string{}, next: 1, first: 1, parts: map[string]*assembly{}}
}

// Next returns the offset to read next; after a snapshot it may be lower than before.
func (t *Table) Next() trial.Offset { return t.next }

// Ready tells whether all claims that hold before Next are known, so that new ones can be decided.
func (t *Table) Ready() bool { return t.ready }

// Len returns how many claims hold.
func (t *Table) Len() int { return len(t.entries) }

// Stats returns the counters.
func (t *Table) Stats() Stats { return t.stats }

// Missed tells the oldest retained offset.
func (t *Table) Missed(first trial.Offset) {
	t.first = max(t.first, first)
	if first <= t.next {
		t.ready = t.ready || t.next == 1
		return
	}
	t.ready, t.next = false, first
}

// Lookup returns who holds key, if this reader can tell.
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

func (t *Table) expired(e *entry) bool { return t.clockMs-e.atMs > t.window.Milliseconds() }

// Apply takes the record at Next and returns how its claims were decided.
func (t *Table) Apply(rec trial.Record) []Decision {
	if rec.Offset < t.next {
		return nil
	}
	if rec.Offset > t.next {
		t.Missed(rec.Offset)
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
			return t.decide(rec.Offset, r)
		}
	case TypeSnapshot:
		t.collect(rec.Offset, r)
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

// decide applies the claims of one record in order.
func (t *Table) decide(at trial.Offset, r *Record) []Decision {
	t.advance(r.ClockMs)
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
			e = &entry{key: key, fingerprint: fp, claimID: c.ClaimID, gateID: t.name(c.GateID), gateIncarnation: t.name(c.GateIncarnation), offset: at, atMs: t.clockMs}
			t.add(e)
		}
		res := e.result()
		out = append(out, Decision{ClaimID: c.ClaimID, Holder: &res})
	}
	return out
}

// name keeps one copy of each name of a gate and of its incarnation.
func (t *Table) name(s string) string {
	if n, ok := t.names[s]; ok {
		return n
	}
	t.names[s] = s
	return s
}

func (t *Table) add(e *entry) {
	t.entries[e.key] = e
	t.order = append(t.order, e)
}

// advance moves the stream's clock and drops the claims whose window has passed.
func (t *Table) advance(clockMs int64) {
	step := MaxClockStep.Milliseconds()
	if t.clockMs == 0 {
		t.clockMs = clockMs
	}
	t.clockMs = max(t.clockMs, min(clockMs, t.clockMs+step))
	n := 0
	for n < len(t.order) && t.expired(t.order[n]) {
		delete(t.entries, t.order[n].key)
		n++
	}
	t.order = t.order[n:]
	if len(t.entries) == 0 {
		clear(t.names)
	}
}

func (t *Table) clear() {
	t.entries, t.order, t.names = map[digest]*entry{}, nil, map[string]string{}
}

// Snapshot returns the records that carry the claims that hold past the retention of older records.
func (t *Table) Snapshot(name string) []Record {
	parts := max(1, (len(t.order)+MaxPerRecord-1)/MaxPerRecord)
	out := make([]Record, 0, parts)
	for p := range parts {
		r := Record{Type: TypeSnapshot, ClockMs: t.clockMs, Snapshot: name, Part: p, Parts: parts, Through: t.next - 1}
		for _, e := range t.order[p*MaxPerRecord : min((p+1)*MaxPerRecord, len(t.order))] {
			r.Claims = append(r.Claims, Claim{
				Key: e.key.String(), Fingerprint: e.fingerprint.String(), ClaimID: e.claimID,
				GateID: e.gateID, GateIncarnation: e.gateIncarnation, Offset: e.offset, AtMs: e.atMs,
			})
		}
		out = append(out, r)
	}
	return out
}

// collect keeps the parts of snapshots while the state is not known, and adopts a whole one.
func (t *Table) collect(at trial.Offset, r *Record) {
	if t.ready || r.Through >= at || r.Through+1 < t.first || r.Parts < 1 || r.Part < 0 || r.Part >= r.Parts {
		return
	}
	a := t.parts[r.Snapshot]
	if a == nil {
		if len(t.assembly) == maxAssembling {
			delete(t.parts, t.assembly[0])
			t.assembly = t.assembly[1:]
		}
		a = &assembly{parts: map[int]*Record{}}
		t.parts[r.Snapshot] = a
		t.assembly = append(t.assembly, r.Snapshot)
	}
	a.parts[r.Part] = r
	if len(a.parts) == r.Parts {
		t.adopt(a, r)
	}
}

// adopt takes a snapshot's state and reads on behind it.
func (t *Table) adopt(a *assembly, r *Record) {
	t.clear()
	t.clockMs = r.ClockMs
	for p := range r.Parts {
		for i := range a.parts[p].Claims {
			c := &a.parts[p].Claims[i]
			key, ok := parseDigest(c.Key)
			fp, okFP := parseDigest(c.Fingerprint)
			if ok && okFP {
				t.add(&entry{key: key, fingerprint: fp, claimID: c.ClaimID, gateID: t.name(c.GateID), gateIncarnation: t.name(c.GateIncarnation), offset: c.Offset, atMs: c.AtMs})
			}
		}
	}
	t.ready, t.next = true, r.Through+1
	t.parts, t.assembly = map[string]*assembly{}, nil
}

// String describes the table for logs.
func (t *Table) String() string {
	return fmt.Sprintf("claims held=%d next=%d ready=%t", len(t.entries), t.next, t.ready)
}
