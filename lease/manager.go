package lease

import (
	"fmt"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/logtail"
	"github.com/ibistrail/ibistrail/trial"
)

// Shares and bounds of the tenure.
const (
	// RenewShare is the part of the TTL after which a holder renews.
	RenewShare = 3
	// MarginShare is the part of the TTL by which a holder stops early and a contender waits longer.
	MarginShare = 10
	// MinMargin is the least margin.
	MinMargin = 200 * time.Millisecond
	// ResendAfter is how long an append may take to be read back before it is sent again under the
	// same ID.
	ResendAfter = time.Second
	// FreshFor is how long ago a contender must have read the end of the stream.
	FreshFor = logtail.FreshFor
)

// Options configure a Manager.
type Options struct {
	// Holder names this process: node and incarnation.
	Holder string
	TTL    time.Duration
	Seed   uint64
}

// Manager keeps the leases that this process wants. It has no clock, does no I/O, and is not safe
// for concurrent use; its times must come from a monotonic clock.
type Manager struct {
	opts      Options
	table     *Table
	carry     *logtail.Carry
	wanted    map[string]time.Duration
	pending   map[string]*pending
	valid     map[string]time.Time // by key, how long this process may act
	freshAt   time.Time
	emptyAt   time.Time // since when the stream is known to tell no state
	retention time.Duration
	serial    int64
}

// pending is an append that was not read back yet.
type pending struct {
	record    trial.NewRecord
	prev      trial.Offset
	firstSent time.Time
	sent      time.Time
}

// NewManager returns a manager that holds nothing.
func NewManager(o Options) *Manager {
	return &Manager{
		opts: o, table: NewTable(), carry: logtail.NewCarry(o.Seed),
		wanted: map[string]time.Duration{}, pending: map[string]*pending{}, valid: map[string]time.Time{},
	}
}

func margin(ttl time.Duration) time.Duration { return max(ttl/MarginShare, MinMargin) }

// Next implements logtail.Consumer.
func (m *Manager) Next() trial.Offset { return m.table.Next() }

// Missed implements logtail.Consumer.
func (m *Manager) Missed(_ time.Time, first trial.Offset) { m.table.Missed(first) }

// CaughtUp implements logtail.Consumer.
func (m *Manager) CaughtUp(at time.Time) {
	if at.After(m.freshAt) {
		m.freshAt = at
	}
	if m.table.Ready() {
		m.emptyAt = time.Time{}
	} else if m.emptyAt.IsZero() {
		m.emptyAt = at
	}
}

// Apply implements logtail.Consumer: a record of this process's own that takes effect lets it act
// until the TTL has passed since before the record was sent.
func (m *Manager) Apply(now time.Time, rec trial.Record) {
	key, changed := m.table.Apply(now, rec)
	if r, err := decode(rec.Data); err == nil && r.Type == TypeSnapshot && now.Sub(m.freshAt) < FreshFor {
		m.carry.Seen(now, m.retention)
	}
	if !changed {
		return
	}
	l, _, _ := m.table.Get(key)
	p := m.pending[key]
	if l.Holder != m.opts.Holder || l.Released {
		delete(m.valid, key)
		delete(m.pending, key)
		return
	}
	if p != nil && p.record.ID == rec.ID {
		m.valid[key] = p.firstSent.Add(l.TTL() - margin(l.TTL()))
		delete(m.pending, key)
	}
}

// Want replaces the keys that this process wants, each with how long it leaves others the first go.
func (m *Manager) Want(keys map[string]time.Duration) { m.wanted = keys }

// May tells whether this process may act on key now, and with which fencing token. Where targets
// check the token, a holder may go on after its time until it reads that another one took over.
func (m *Manager) May(now time.Time, key string, fencingChecked bool) (token int64, ok bool) {
	l, _, found := m.table.Get(key)
	if !found || !m.table.Ready() || l.Holder != m.opts.Holder || l.Released {
		return 0, false
	}
	until, acquired := m.valid[key]
	if !acquired || (!fencingChecked && !now.Before(until)) {
		return 0, false
	}
	return int64(l.Token), true
}

// Holds tells whether this process has key and has not given it up.
func (m *Manager) Holds(key string) bool { return !m.valid[key].IsZero() }

// Holder returns who holds key as far as this reader knows.
func (m *Manager) Holder(key string) (Lease, bool) {
	l, _, ok := m.table.Get(key)
	return l, ok && !l.Released
}

// Leases returns all leases of the stream.
func (m *Manager) Leases() []Lease { return m.table.Leases() }

// Step returns the records to append now.
func (m *Manager) Step(now time.Time, retention time.Duration) []trial.NewRecord {
	m.retention = retention
	var out []trial.NewRecord
	for _, key := range m.keys() {
		if r := m.stepKey(now, key); r != nil {
			out = append(out, *r)
		}
	}
	if r := m.stepStream(now, retention); r != nil {
		out = append(out, *r)
	}
	return out
}

// keys are the wanted ones and those held, sorted.
func (m *Manager) keys() []string {
	var out []string
	for k := range m.wanted {
		out = append(out, k)
	}
	for k := range m.valid {
		if _, ok := m.wanted[k]; !ok {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

// stepKey acquires, renews or releases one lease.
func (m *Manager) stepKey(now time.Time, key string) *trial.NewRecord {
	l, observed, found := m.table.Get(key)
	if p := m.pending[key]; p != nil {
		return m.resend(now, key, p, l.Offset)
	}
	delay, wanted := m.wanted[key]
	if m.valid[key].IsZero() {
		if !wanted || !m.free(now, l, observed, found, delay) {
			return nil
		}
		return m.send(now, key, l.Offset, false)
	}
	if !wanted {
		delete(m.valid, key) // stop acting before others may
		return m.send(now, key, l.Offset, true)
	}
	renewAt := m.valid[key].Add(margin(l.TTL()) - l.TTL() + l.TTL()/RenewShare)
	if now.Before(renewAt) {
		return nil
	}
	return m.send(now, key, l.Offset, false)
}

// free tells whether a contender has seen the newest record unchanged for longer than its holder
// may act on it.
func (m *Manager) free(now time.Time, l Lease, observed time.Time, found bool, delay time.Duration) bool {
	if !m.table.Ready() || now.Sub(m.freshAt) > FreshFor {
		return false
	}
	if !found && observed.IsZero() {
		return true
	}
	if l.Released {
		return !now.Before(observed.Add(delay))
	}
	ttl := l.TTL()
	if !found {
		ttl = MaxTTL // after a reset nothing is known of the former holder
	}
	return !now.Before(observed.Add(ttl + margin(ttl) + delay))
}

func (m *Manager) send(now time.Time, key string, prev trial.Offset, release bool) *trial.NewRecord {
	r := trial.NewRecord{
		ID:   m.id(),
		Data: encode(Record{Type: TypeLease, Key: key, Holder: m.opts.Holder, TTLMs: m.opts.TTL.Milliseconds(), Prev: prev, Release: release}),
	}
	m.pending[key] = &pending{record: r, prev: prev, firstSent: now, sent: now}
	return &r
}

// resend repeats an append whose record was not read back, unless it has become void.
func (m *Manager) resend(now time.Time, key string, p *pending, newest trial.Offset) *trial.NewRecord {
	if p.prev != newest {
		delete(m.pending, key)
		return nil
	}
	if now.Sub(p.sent) < ResendAfter {
		return nil
	}
	p.sent = now
	return &p.record
}

// stepStream carries the state forward, or resets a stream whose state was lost: nobody can have
// renewed a lease for as long as records are kept, and a new one is free after MaxTTL.
func (m *Manager) stepStream(now time.Time, retention time.Duration) *trial.NewRecord {
	if m.table.Ready() {
		if len(m.table.entries) == 0 || !m.carry.Due(now, retention) {
			return nil
		}
		return &trial.NewRecord{ID: m.id(), Data: encode(m.table.snapshot())}
	}
	if m.emptyAt.IsZero() || now.Sub(m.freshAt) > FreshFor || now.Sub(m.emptyAt) < m.opts.TTL {
		return nil
	}
	m.emptyAt = now
	return &trial.NewRecord{ID: m.id(), Data: encode(Record{Type: TypeReset})}
}

func (m *Manager) id() string {
	m.serial++
	return fmt.Sprintf("%s/%d", m.opts.Holder, m.serial)
}
