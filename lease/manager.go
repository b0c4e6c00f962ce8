package lease

import (
	"fmt"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/logtail"
	"github.com/ibistrail/ibistrail/trial"
)

// Timing of leases.
const (
	// RenewDivisor is the divisor of the TTL that gives the renewal interval, counted from when the
	// holder first sent the newest record.
	RenewDivisor = 3
	// MarginDivisor is the divisor of the TTL that gives the safety margin: a holder stops acting that
	// much before the TTL ends, and a contender waits that much longer.
	MarginDivisor = 10
	// MinMargin is the minimum safety margin.
	MinMargin = 200 * time.Millisecond
	// ResendAfter is how long the manager waits to read an append back before it resends it under the
	// same record ID.
	ResendAfter = time.Second
	// MaxReadAge is the maximum time since the end of the stream was last read; after that, the manager
	// acquires no leases and appends no reset.
	MaxReadAge = logtail.MaxCaughtUpAge
)

// Options configure a Manager.
type Options struct {
	// Holder identifies this process: node and incarnation.
	Holder string
	TTL    time.Duration
	Seed   uint64
}

// Manager acquires, renews and releases the leases of this process. It reads no clock (callers pass
// times of a monotonic clock), does no I/O, and is not safe for concurrent use.
type Manager struct {
	opts             Options
	table            *Table
	snapshotSchedule *logtail.SnapshotSchedule
	wanted           map[string]time.Duration
	pending          map[string]*pendingAppend
	validUntil       map[string]time.Time // by key, when this process must stop acting
	caughtUpAt       time.Time
	notReadySince    time.Time // when the end of the stream was first read without a complete state
	retention        time.Duration
	lastSerial       int64
}

// pendingAppend is an append that has not been read back yet.
type pendingAppend struct {
	record    trial.NewRecord
	prev      trial.Offset
	firstSent time.Time
	lastSent  time.Time
}

// NewManager returns a manager that holds and wants no leases.
func NewManager(o Options) *Manager {
	return &Manager{
		opts: o, table: NewTable(), snapshotSchedule: logtail.NewSnapshotSchedule(o.Seed),
		wanted: map[string]time.Duration{}, pending: map[string]*pendingAppend{}, validUntil: map[string]time.Time{},
	}
}

func margin(ttl time.Duration) time.Duration { return max(ttl/MarginDivisor, MinMargin) }

// Next implements logtail.Consumer.
func (m *Manager) Next() trial.Offset { return m.table.Next() }

// SetFirstRetained implements logtail.Consumer.
func (m *Manager) SetFirstRetained(_ time.Time, first trial.Offset) { m.table.SetFirstRetained(first) }

// CaughtUp implements logtail.Consumer.
func (m *Manager) CaughtUp(at time.Time) {
	if at.After(m.caughtUpAt) {
		m.caughtUpAt = at
	}
	if m.table.Ready() {
		m.notReadySince = time.Time{}
	} else if m.notReadySince.IsZero() {
		m.notReadySince = at
	}
}

// Apply implements logtail.Consumer. Once a record of this process takes effect, the process may act
// until the TTL, less the margin, has passed since the record was first sent.
func (m *Manager) Apply(now time.Time, rec trial.Record) {
	key, changed := m.table.Apply(now, rec)
	if r, err := decode(rec.Data); err == nil && r.Type == TypeSnapshot && now.Sub(m.caughtUpAt) < MaxReadAge {
		m.snapshotSchedule.RecordSnapshot(now, m.retention)
	}
	if !changed {
		return
	}
	l, _, _ := m.table.Get(key)
	p := m.pending[key]
	if l.Holder != m.opts.Holder || l.Released {
		delete(m.validUntil, key)
		delete(m.pending, key)
		return
	}
	if p != nil && p.record.ID == rec.ID {
		m.validUntil[key] = p.firstSent.Add(l.TTL() - margin(l.TTL()))
		delete(m.pending, key)
	}
}

// SetWanted sets the leases to acquire and keep. The value of a key is the extra delay before this process
// acquires a free lease, which lets preferred processes acquire it first.
func (m *Manager) SetWanted(keys map[string]time.Duration) { m.wanted = keys }

// MayAct reports whether this process may act on key now, and returns its fencing token. Where targets
// check the token, a holder may act beyond its validity until it reads that another process acquired
// the lease.
func (m *Manager) MayAct(now time.Time, key string, fencingChecked bool) (token int64, ok bool) {
	l, _, found := m.table.Get(key)
	if !found || !m.table.Ready() || l.Holder != m.opts.Holder || l.Released {
		return 0, false
	}
	until, acquired := m.validUntil[key]
	if !acquired || (!fencingChecked && !now.Before(until)) {
		return 0, false
	}
	return int64(l.Token), true
}

// Holds reports whether this process acquired key and has not released it. The lease may have expired.
func (m *Manager) Holds(key string) bool { return !m.validUntil[key].IsZero() }

// Holder returns the lease of key as this reader knows it; ok is false if there is none or it was released.
func (m *Manager) Holder(key string) (Lease, bool) {
	l, _, ok := m.table.Get(key)
	return l, ok && !l.Released
}

// Leases returns all leases of the stream.
func (m *Manager) Leases() []Lease { return m.table.Leases() }

// Step returns the records to append now. retention is the retention of the log stream.
func (m *Manager) Step(now time.Time, retention time.Duration) []trial.NewRecord {
	m.retention = retention
	var out []trial.NewRecord
	for _, key := range m.relevantKeys() {
		if r := m.stepKey(now, key); r != nil {
			out = append(out, *r)
		}
	}
	if r := m.maintainStream(now, retention); r != nil {
		out = append(out, *r)
	}
	return out
}

// relevantKeys returns the wanted keys and the held ones, sorted.
func (m *Manager) relevantKeys() []string {
	var out []string
	for k := range m.wanted {
		out = append(out, k)
	}
	for k := range m.validUntil {
		if _, ok := m.wanted[k]; !ok {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

// stepKey returns the record that acquires, renews or releases one lease, or nil.
func (m *Manager) stepKey(now time.Time, key string) *trial.NewRecord {
	l, observed, found := m.table.Get(key)
	if p := m.pending[key]; p != nil {
		return m.resend(now, key, p, l.Offset)
	}
	delay, wanted := m.wanted[key]
	if m.validUntil[key].IsZero() {
		if !wanted || !m.canAcquire(now, l, observed, found, delay) {
			return nil
		}
		return m.newAppend(now, key, l.Offset, false)
	}
	if !wanted {
		delete(m.validUntil, key) // stop acting before others may
		return m.newAppend(now, key, l.Offset, true)
	}
	renewAt := m.validUntil[key].Add(margin(l.TTL()) - l.TTL() + l.TTL()/RenewDivisor)
	if now.Before(renewAt) {
		return nil
	}
	return m.newAppend(now, key, l.Offset, false)
}

// canAcquire reports whether the lease is free: it is new or released, or its newest record has not
// changed for longer than its holder may act. The delay is added to the wait.
func (m *Manager) canAcquire(now time.Time, l Lease, observed time.Time, found bool, delay time.Duration) bool {
	if !m.table.Ready() || now.Sub(m.caughtUpAt) > MaxReadAge {
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
		ttl = MaxTTL // after a reset the former holder's TTL is unknown
	}
	return !now.Before(observed.Add(ttl + margin(ttl) + delay))
}

func (m *Manager) newAppend(now time.Time, key string, prev trial.Offset, release bool) *trial.NewRecord {
	r := trial.NewRecord{
		ID:   m.nextRecordID(),
		Data: encode(Record{Type: TypeLease, Key: key, Holder: m.opts.Holder, TTLMs: m.opts.TTL.Milliseconds(), Prev: prev, Release: release}),
	}
	m.pending[key] = &pendingAppend{record: r, prev: prev, firstSent: now, lastSent: now}
	return &r
}

// resend returns a pending append again after ResendAfter. It drops the append if another record has
// replaced the one that it names.
func (m *Manager) resend(now time.Time, key string, p *pendingAppend, newest trial.Offset) *trial.NewRecord {
	if p.prev != newest {
		delete(m.pending, key)
		return nil
	}
	if now.Sub(p.lastSent) < ResendAfter {
		return nil
	}
	p.lastSent = now
	return &p.record
}

// maintainStream returns a snapshot when one is due, or a reset if the state was lost. A reset is
// safe: no lease was renewed during the retention period, and a new one can be acquired only after MaxTTL.
func (m *Manager) maintainStream(now time.Time, retention time.Duration) *trial.NewRecord {
	if m.table.Ready() {
		if len(m.table.entries) == 0 || !m.snapshotSchedule.Due(now, retention) {
			return nil
		}
		return &trial.NewRecord{ID: m.nextRecordID(), Data: encode(m.table.snapshot())}
	}
	if m.notReadySince.IsZero() || now.Sub(m.caughtUpAt) > MaxReadAge || now.Sub(m.notReadySince) < m.opts.TTL {
		return nil
	}
	m.notReadySince = now
	return &trial.NewRecord{ID: m.nextRecordID(), Data: encode(Record{Type: TypeReset})}
}

func (m *Manager) nextRecordID() string {
	m.lastSerial++
	return fmt.Sprintf("%s/%d", m.opts.Holder, m.lastSerial)
}
