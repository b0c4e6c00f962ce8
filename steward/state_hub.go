package steward

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/wire"
)

// MaxWatchWait bounds how long a watch may wait for news.
const MaxWatchWait = 30 * time.Second

// stateHub holds the state that the gate of this VM watches.
type stateHub struct {
	mu      sync.Mutex
	state   wire.State
	changed chan struct{}
}

// newStateHub starts at a Seq that no earlier process of this VM has reached.
func newStateHub(incarnation int64) *stateHub {
	return &stateHub{state: wire.State{Seq: uint64(incarnation) << seqShift}, changed: make(chan struct{})}
}

// seqShift leaves room for a thousand states in each millisecond of a process's life.
const seqShift = 10

// set replaces the state, keeping Seq if nothing differs.
func (h *stateHub) set(s wire.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.Seq = h.state.Seq
	if reflect.DeepEqual(s, h.state) {
		return
	}
	s.Seq++
	h.state = s
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *stateHub) get() (wire.State, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state, h.changed
}

// watch waits for a state that the watcher does not have.
func (h *stateHub) watch(ctx context.Context, p wire.WatchParams) (wire.State, error) {
	wait := min(time.Duration(p.WaitMs)*time.Millisecond, MaxWatchWait)
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	for {
		s, changed := h.get()
		if s.Seq != p.Since {
			return omitKnownTables(s, p), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return omitKnownTables(s, p), nil
		case <-ctx.Done():
			return wire.State{}, ctx.Err()
		}
	}
}

// omitKnownTables leaves the tables out where the watcher has them already, or newer ones.
func omitKnownTables(s wire.State, p wire.WatchParams) wire.State {
	if s.Revision <= p.Revision {
		s.Tables = nil
	}
	return s
}
