package lease

import (
	"slices"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/trial"
)

// Limits of a Table.
const (
	// MaxKeys is the maximum number of leases in one stream; all readers ignore records of further keys.
	MaxKeys = 4096
	// MaxTTL is the maximum time to live of a lease; all readers ignore records with a longer one.
	MaxTTL = 2 * time.Minute
)

// entry is a lease and the time at which this reader applied its newest record.
type entry struct {
	Lease
	observedAt time.Time
}

// Table is the state that a reader derives from the records of a stream. It reads no clock (callers
// pass the time) and is not safe for concurrent use.
type Table struct {
	entries       map[string]*entry
	next          trial.Offset
	firstRetained trial.Offset
	ready         bool // the state up to next is complete
	resetAt       time.Time
	invalid       int64
}

// NewTable returns an empty table that starts at offset 1.
func NewTable() *Table { return &Table{entries: map[string]*entry{}, next: 1, firstRetained: 1} }

// Next returns the offset of the next record to apply. After a snapshot it may be lower than before.
func (t *Table) Next() trial.Offset { return t.next }

// Ready reports whether the state is complete: the stream was read from its start, a snapshot or a reset.
func (t *Table) Ready() bool { return t.ready }

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

// Apply applies the record at Next. It returns the key of a lease record and reports whether the
// record changed that lease.
func (t *Table) Apply(now time.Time, rec trial.Record) (key string, changed bool) {
	if rec.Offset < t.next {
		return "", false
	}
	if rec.Offset > t.next {
		t.SetFirstRetained(rec.Offset)
	}
	t.ready = t.ready || rec.Offset == 1
	t.next = rec.Offset + 1
	r, err := decode(rec.Data)
	if err != nil {
		t.invalid++
		return "", false
	}
	switch r.Type {
	case TypeLease:
		return r.Key, t.ready && t.applyLease(now, rec.Offset, r)
	case TypeSnapshot:
		t.restoreSnapshot(now, rec.Offset, r)
	case TypeReset:
		t.reset(now)
	default:
		t.invalid++
	}
	return "", false
}

// applyLease applies a valid lease record if its Prev is the newest record of the lease, and reports
// whether it did.
func (t *Table) applyLease(now time.Time, at trial.Offset, r *Record) bool {
	ttl := time.Duration(r.TTLMs) * time.Millisecond
	if r.Key == "" || r.Holder == "" || ttl <= 0 || ttl > MaxTTL {
		t.invalid++
		return false
	}
	e := t.entries[r.Key]
	if e == nil {
		if r.Prev != 0 || r.Release || len(t.entries) >= MaxKeys {
			return false
		}
		e = &entry{}
		t.entries[r.Key] = e
	} else if r.Prev != e.Offset || (r.Release && r.Holder != e.Holder) {
		return false
	}
	token := at
	if e.Holder == r.Holder && !e.Released {
		token = e.Token
	}
	e.Lease = Lease{Key: r.Key, Holder: r.Holder, TTLMs: r.TTLMs, Offset: at, Token: token, Released: r.Release}
	e.observedAt = now
	return true
}

// restoreSnapshot loads a snapshot if the state is incomplete and no record after r.Through was
// truncated; reading continues at r.Through+1.
func (t *Table) restoreSnapshot(now time.Time, at trial.Offset, r *Record) {
	if t.ready || r.Through >= at || r.Through+1 < t.firstRetained {
		return
	}
	clear(t.entries)
	for _, l := range r.Leases {
		t.entries[l.Key] = &entry{Lease: l, observedAt: now}
	}
	t.ready, t.next = true, r.Through+1
}

// reset removes all leases. A contender then waits as if the lease had just been renewed.
func (t *Table) reset(now time.Time) {
	clear(t.entries)
	t.ready, t.resetAt = true, now
}

// Get returns the lease of key and the time at which its newest record was applied. Without such a
// lease, observed is the time of the last reset, or zero.
func (t *Table) Get(key string) (l Lease, observed time.Time, ok bool) {
	e := t.entries[key]
	if e == nil {
		return Lease{Key: key}, t.resetAt, false
	}
	return e.Lease, e.observedAt, true
}

// Leases returns all leases, sorted by key.
func (t *Table) Leases() []Lease {
	out := make([]Lease, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.Lease)
	}
	slices.SortFunc(out, func(a, b Lease) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// snapshot returns a record with the state of all leases.
func (t *Table) snapshot() Record {
	return Record{Type: TypeSnapshot, Through: t.next - 1, Leases: t.Leases()}
}
