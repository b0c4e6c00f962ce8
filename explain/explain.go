// Package explain records the latest decisions about requests in a ring buffer, so that an operator can find out
// how a request was handled.
package explain

import (
	"fmt"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/wire"
)

// DefaultCapacity is the number of events that a Recorder keeps if New is called with size 0.
const DefaultCapacity = 16384

// maxDetailBytes is the maximum length of an event's detail; a longer one is truncated.
const maxDetailBytes = 256

type entry struct {
	id    string
	event wire.Event
}

// Recorder keeps the latest events of all requests in a ring buffer. It is safe for concurrent use. A nil Recorder
// records nothing.
type Recorder struct {
	mu     sync.Mutex
	ring   []entry
	oldest int // index of the oldest event once the ring is full
	now    func() time.Time
}

// New returns a recorder of the last size events; 0 or less means DefaultCapacity.
func New(size int, now func() time.Time) *Recorder {
	if size <= 0 {
		size = DefaultCapacity
	}
	return &Recorder{ring: make([]entry, 0, size), now: now}
}

// Add records an event of the request with this ID; format and args make up the detail. It ignores an empty ID.
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
	r.ring[r.oldest] = e
	r.oldest = (r.oldest + 1) % len(r.ring)
}

// Events returns the recorded events of the request with this ID, oldest first.
func (r *Recorder) Events(id string) []wire.Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []wire.Event
	for i := range r.ring {
		e := r.ring[(r.oldest+i)%len(r.ring)]
		if e.id == id {
			out = append(out, e.event)
		}
	}
	return out
}
