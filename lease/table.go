package lease

import (
	"slices"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/trial"
)

// Bounds of a Table.
const (
	// MaxKeys bounds the leases of one stream; a further key is void for each reader alike.
	MaxKeys = 4096
	// MaxTTL bounds the time to live that a record may ask for.
	MaxTTL = 2 * time.Minute
)

// entry is a lease and when this reader saw its newest record.
type entry struct {
	Lease
	observed time.Time
}

// Table is the state that a reader derives from the records of a stream. It has no clock and is
// not safe for concurrent use.
type Table struct {
	entries map[string]*entry
	next    trial.Offset
	first   trial.Offset
	ready   bool // the state before next is known
	resetAt time.Time
	invalid int64
}

// NewTable returns a table that has read nothing.
func NewTable() *Table { return &Table{entries: map[string]*entry{}, next: 1, first: 1} }

// Next returns the offset to read next; after a snapshot it may be lower than before.
func (t *Table) Next() trial.Offset { return t.next }

// Ready tells whether the state is known: the stream was read from its start or from a snapshot.
func (t *Table) Ready() bool { return t.ready }

// Missed tells the oldest retained offset.
func (t *Table) Missed(first trial.Offset) {
	t.first = max(t.first, first)
	if first <= t.next {
		t.ready = t.ready || t.next == 1
		return
	}
	t.ready, t.next = false, first
}

// Apply takes the record at Next and tells which key it changed, if any.
func (t *Table) Apply(now time.Time, rec trial.Record) (key string, changed bool) {
	if rec.Offset < t.next {
		return "", false
	}
	if rec.Offset > t.next {
		t.Missed(rec.Offset)
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
		return r.Key, t.ready && t.decide(now, rec.Offset, r)
	case TypeSnapshot:
		t.adopt(now, rec.Offset, r)
	case TypeReset:
		t.reset(now)
	default:
		t.invalid++
	}
	return "", false
}

// decide applies a lease record if it replaces the newest one.
func (t *Table) decide(now time.Time, at trial.Offset, r *Record) bool {
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
	e.observed = now
	return true
}

// adopt takes a snapshot where the records before were missed, and reads on behind it.
func (t *Table) adopt(now time.Time, at trial.Offset, r *Record) {
	if t.ready || r.Through >= at || r.Through+1 < t.first {
		return
	}
	clear(t.entries)
	for _, l := range r.Leases {
		t.entries[l.Key] = &entry{Lease: l, observed: now}
	}
	t.ready, t.next = true, r.Through+1
}

// reset forgets all leases; whoever wants one waits as if it had just been renewed.
func (t *Table) reset(now time.Time) {
	clear(t.entries)
	t.ready, t.resetAt = true, now
}

// Get returns the lease of key and when its newest record was seen.
func (t *Table) Get(key string) (l Lease, observed time.Time, ok bool) {
	e := t.entries[key]
	if e == nil {
		return Lease{Key: key}, t.resetAt, false
	}
	return e.Lease, e.observed, true
}

// Leases returns the state sorted by key.
func (t *Table) Leases() []Lease {
	out := make([]Lease, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.Lease)
	}
	slices.SortFunc(out, func(a, b Lease) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// snapshot returns the record that carries the state forward.
func (t *Table) snapshot() Record {
	return Record{Type: TypeSnapshot, Through: t.next - 1, Leases: t.Leases()}
}
