package steward

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/logtail"
	"github.com/ibistrail/ibistrail/trial"
)

// tables builds the tables in force from the config stream. It is safe for concurrent use.
type tables struct {
	mu               sync.Mutex
	machine          *config.Machine
	waiters          map[string][]chan config.Decision
	onChange         func()
	activeTables     *config.Tables // cache of machine.Tables(); nil after a change
	snapshotSchedule *logtail.SnapshotSchedule
	// retention is the last known retention of the log.
	retention  time.Duration
	caughtUpAt time.Time
}

func newTables(seed uint64, onChange func()) *tables {
	return &tables{machine: config.NewMachine(), waiters: map[string][]chan config.Decision{}, onChange: onChange, snapshotSchedule: logtail.NewSnapshotSchedule(seed)}
}

// Next implements logtail.Consumer.
func (t *tables) Next() trial.Offset {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.Next()
}

// status returns the read position and state of the stream for the state dump.
func (t *tables) status() config.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.Status()
}

// Apply implements logtail.Consumer.
func (t *tables) Apply(now time.Time, r trial.Record) {
	t.mu.Lock()
	lastSnapshot := t.machine.LastSnapshot()
	d := t.machine.Apply(r)
	if t.machine.LastSnapshot() != lastSnapshot && now.Sub(t.caughtUpAt) <= logtail.MaxCaughtUpAge {
		t.snapshotSchedule.RecordSnapshot(now, t.retention)
	}
	t.activeTables = nil
	var waiting []chan config.Decision
	if d != nil {
		waiting = t.waiters[d.Change.ID]
		delete(t.waiters, d.Change.ID)
	}
	t.mu.Unlock()
	for _, w := range waiting {
		w <- *d // does not block: the channel has room for the only decision
	}
	t.onChange()
}

// SetFirstRetained implements logtail.Consumer.
func (t *tables) SetFirstRetained(_ time.Time, first trial.Offset) {
	t.mu.Lock()
	ready := t.machine.Ready()
	t.machine.SetFirstRetained(first)
	readyChanged := t.machine.Ready() != ready
	t.mu.Unlock()
	if readyChanged {
		t.onChange()
	}
}

// CaughtUp implements logtail.Consumer.
func (t *tables) CaughtUp(at time.Time) {
	t.mu.Lock()
	t.caughtUpAt = at
	t.mu.Unlock()
}

// snapshotDue returns a snapshot of the tables and reports whether it is due to be appended.
func (t *tables) snapshotDue(now time.Time, retention time.Duration) (config.Snapshot, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retention = retention
	if !t.machine.Ready() || t.machine.Scanning() || t.machine.Revision() == 0 || !t.snapshotSchedule.Due(now, retention) {
		return config.Snapshot{}, false
	}
	snap := t.machine.Snapshot()
	return snap, !snap.Incomplete || t.snapshotSchedule.NearExpiry(now, retention)
}

// Snapshot implements logtail.Snapshotter.
func (t *tables) Snapshot() (config.Snapshot, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.Snapshot(), t.machine.Ready()
}

// Restore implements logtail.Snapshotter.
func (t *tables) Restore(s config.Snapshot) bool {
	t.mu.Lock()
	ok := t.machine.Restore(s)
	t.activeTables = nil
	t.mu.Unlock()
	if ok {
		t.onChange()
	}
	return ok
}

// awaitDecision returns a channel that receives the decision on the change id; release stops waiting for it.
func (t *tables) awaitDecision(id string) (decided <-chan config.Decision, release func()) {
	ch := make(chan config.Decision, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.machine.Lookup(id); ok {
		ch <- d
		return ch, func() {}
	}
	t.waiters[id] = append(t.waiters[id], ch)
	return ch, func() { t.removeWaiter(id, ch) }
}

func (t *tables) removeWaiter(id string, ch chan config.Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.waiters[id][:0]
	for _, w := range t.waiters[id] {
		if w != ch {
			kept = append(kept, w)
		}
	}
	if t.waiters[id] = kept; len(kept) == 0 {
		delete(t.waiters, id)
	}
}

// active returns the active tables and their revision. The pointer stays the same until the tables change. ready
// is false while no configuration is known.
func (t *tables) active() (tb *config.Tables, revision trial.Offset, ready bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.activeTables == nil {
		t.activeTables = t.machine.Tables()
	}
	return t.activeTables, t.machine.Revision(), t.machine.Ready()
}

// lastSnapshot returns the offset of the newest snapshot record, or 0 if none was read.
func (t *tables) lastSnapshot() trial.Offset {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.LastSnapshot()
}

func (t *tables) history(limit int) []config.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.machine.History()
	if limit > 0 && len(h) > limit {
		h = h[len(h)-limit:]
	}
	return h
}

// encode returns v as JSON. It panics on an error, which the types that it is used for cannot cause.
func encode(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic("steward: encode: " + err.Error())
	}
	return raw
}
