package steward

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/wire"
)

// MaxWatchWait is the maximum time that a watch blocks without a change.
const MaxWatchWait = 30 * time.Second

// stateHub holds the current state and wakes the watches that wait for the next one.
type stateHub struct {
	mu      sync.Mutex
	state   wire.State
	changed chan struct{}
}

// newStateHub returns a hub whose first Seq is above those of earlier processes on this VM.
func newStateHub(incarnation int64) *stateHub {
	return &stateHub{state: wire.State{Seq: uint64(incarnation) << seqShift}, changed: make(chan struct{})}
}

// seqShift allows for 1024 states per millisecond of the process's lifetime.
const seqShift = 10

// set replaces the state and increments Seq, unless the state is unchanged.
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

func (h *stateHub) current() (wire.State, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state, h.changed
}

// watch blocks until the state's Seq differs from p.Since or the wait is over, and returns the state.
func (h *stateHub) watch(ctx context.Context, p wire.WatchParams) (wire.State, error) {
	wait := min(time.Duration(p.WaitMs)*time.Millisecond, MaxWatchWait)
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	for {
		s, changed := h.current()
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

// omitKnownTables removes the tables if the watcher has this revision or a newer one.
func omitKnownTables(s wire.State, p wire.WatchParams) wire.State {
	if s.Revision <= p.Revision {
		s.Tables = nil
	}
	return s
}
