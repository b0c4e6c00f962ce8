// Package explain keeps the latest decisions on requests in a bounded ring, so that an operator
// can ask what became of one.
package explain

import (
	"fmt"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/wire"
)

// DefaultEvents is the number of events that a Recorder keeps when not told otherwise.
const DefaultEvents = 16384

// maxDetailBytes bounds the detail of one event.
const maxDetailBytes = 256

type entry struct {
	id    string
	event wire.Event
}

// Recorder is a bounded ring of events by request ID. A nil Recorder records nothing.
type Recorder struct {
	mu   sync.Mutex
	ring []entry
	next int
	now  func() time.Time
}

// New returns a recorder of the last size events; 0 means DefaultEvents.
func New(size int, now func() time.Time) *Recorder {
	if size <= 0 {
		size = DefaultEvents
	}
	return &Recorder{ring: make([]entry, 0, size), now: now}
}

// Add records an event of the request id.
func (r *Recorder) Add(id, name, format string, args ...any) {
	if r == nil || id == "" {
		return
	}
	detail := fmt.Sprintf(format, args...)
	if len(detail) > maxDetailBytes {
		detail = detail[:maxDetailBytes]
	}
	e := entry{id: id, event: wire.Event{Time: r.now(), Name: name, Detail: detail}}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % len(r.ring)
}

// Events returns the kept events of the request id, oldest first.
func (r *Recorder) Events(id string) []wire.Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []wire.Event
	for i := range r.ring {
		e := r.ring[(r.next+i)%len(r.ring)]
		if e.id == id {
			out = append(out, e.event)
		}
	}
	return out
}
