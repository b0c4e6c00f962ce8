package steward

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/logtail"
	"github.com/ibistrail/ibistrail/trial"
)

// tables is the consumer of the config stream. It is safe for concurrent use.
type tables struct {
	mu      sync.Mutex
	machine *config.Machine
	waiters map[string][]chan config.Decision
	changed func()
	current *config.Tables // of the machine at its revision
	carry   *logtail.Carry
	// retention is how long the log keeps records, as far as known.
	retention time.Duration
	freshAt   time.Time
}

func newTables(seed uint64, changed func()) *tables {
	return &tables{machine: config.NewMachine(), waiters: map[string][]chan config.Decision{}, changed: changed, carry: logtail.NewCarry(seed)}
}

// Next implements logtail.Consumer.
func (t *tables) Next() trial.Offset {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.Next()
}

// status tells where the reading of the stream stands.
func (t *tables) status() config.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.Status()
}

// Apply implements logtail.Consumer.
func (t *tables) Apply(now time.Time, r trial.Record) {
	t.mu.Lock()
	last := t.machine.LastSnapshot()
	d := t.machine.Apply(r)
	if t.machine.LastSnapshot() != last && now.Sub(t.freshAt) <= logtail.FreshFor {
		t.carry.Seen(now, t.retention)
	}
	t.current = nil
	var waiting []chan config.Decision
	if d != nil {
		waiting = t.waiters[d.Change.ID]
		delete(t.waiters, d.Change.ID)
	}
	t.mu.Unlock()
	for _, w := range waiting {
		w <- *d // buffered for the one decision
	}
	t.changed()
}

// Missed implements logtail.Consumer.
func (t *tables) Missed(_ time.Time, first trial.Offset) {
	t.mu.Lock()
	ready := t.machine.Ready()
	t.machine.Missed(first)
	moved := t.machine.Ready() != ready
	t.mu.Unlock()
	if moved {
		t.changed()
	}
}

// CaughtUp implements logtail.Consumer.
func (t *tables) CaughtUp(at time.Time) {
	t.mu.Lock()
	t.freshAt = at
	t.mu.Unlock()
}

// snapshotDue returns the state if it is time to append it.
func (t *tables) snapshotDue(now time.Time, retention time.Duration) (config.Snapshot, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retention = retention
	if !t.machine.Ready() || t.machine.Scanning() || t.machine.Revision() == 0 || !t.carry.Due(now, retention) {
		return config.Snapshot{}, false
	}
	snap := t.machine.Snapshot()
	return snap, !snap.Incomplete || t.carry.LastResort(now, retention)
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
	t.current = nil
	t.mu.Unlock()
	if ok {
		t.changed()
	}
	return ok
}

// wait returns a channel that gets the decision of the change id; release gives it up.
func (t *tables) wait(id string) (decided <-chan config.Decision, release func()) {
	ch := make(chan config.Decision, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.machine.Lookup(id); ok {
		ch <- d
		return ch, func() {}
	}
	t.waiters[id] = append(t.waiters[id], ch)
	return ch, func() { t.forget(id, ch) }
}

func (t *tables) forget(id string, ch chan config.Decision) {
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

// inForce returns the tables, the same pointer while they stay, and their revision; ready is false
// if none is known.
func (t *tables) inForce() (tb *config.Tables, revision trial.Offset, ready bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil {
		t.current = t.machine.Tables()
	}
	return t.current, t.machine.Revision(), t.machine.Ready()
}

// lastSnapshot returns the offset of the newest snapshot record, 0 if none was seen.
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

// encode returns v as JSON; the types that are encoded here cannot fail to.
func encode(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic("steward: encode: " + err.Error())
	}
	return raw
}
