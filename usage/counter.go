package usage

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// maxPendingWindows limits the windows whose counts wait for the store. More than those in time occur only if the clock steps.
const maxPendingWindows = 16

// Counter holds the counts of this VM that the store doesn't have yet. It is not safe for concurrent use.
type Counter struct {
	// Window is the length of a window, Due the time after its end by which it must be reported.
	Window, Due time.Duration
	VM, Process string
	// MaxRecordBytes limits a record.
	MaxRecordBytes int

	pending map[int64]map[string]int64
	seq     int64
	// sent are the records whose append has begun. They are appended again with the same counts until the outcome is known.
	sent []countRecord
}

// Add counts n requests of an organisation that began at a time. It returns the number of requests that were dropped to keep the memory
// bounded.
func (c *Counter) Add(at time.Time, organisation string, n int64) (dropped int64) {
	if c.pending == nil {
		c.pending = map[int64]map[string]int64{}
	}
	w := windowAt(at, c.Window)
	if c.pending[w] == nil {
		c.pending[w] = map[string]int64{}
	}
	c.pending[w][organisation] += n
	if c.pending[w][organisation] == 0 {
		delete(c.pending[w], organisation)
	}
	if len(c.pending[w]) == 0 {
		delete(c.pending, w)
	}
	for len(c.pending) > maxPendingWindows {
		dropped += c.drop(slices.Min(slices.Collect(maps.Keys(c.pending))))
	}
	return dropped
}

func (c *Counter) drop(w int64) (n int64) {
	for _, count := range c.pending[w] {
		n += max(0, count)
	}
	delete(c.pending, w)
	return n
}

// Expire drops the counts of windows whose time for a report has passed, and returns how many requests these were.
func (c *Counter) Expire(now time.Time) (dropped int64) {
	expired := func(w int64) bool { return now.After(windowEnd(w, c.Window).Add(c.Due)) }
	for w := range c.pending {
		if expired(w) {
			dropped += c.drop(w)
		}
	}
	c.sent = slices.DeleteFunc(c.sent, func(r countRecord) bool {
		n := int64(0)
		for w, counts := range r.Counts {
			if !expired(w) {
				return false
			}
			for _, count := range counts {
				n += max(0, count)
			}
		}
		dropped += n
		return true
	})
	return dropped
}

// Empty reports whether the store has all counts.
func (c *Counter) Empty() bool { return len(c.pending) == 0 && len(c.sent) == 0 }

// Unanswered reports whether the outcome of an append is not known.
func (c *Counter) Unanswered() bool { return len(c.sent) > 0 }

// Pending returns the number of requests that the store doesn't have yet.
func (c *Counter) Pending() (n int64) {
	add := func(windows map[int64]map[string]int64) {
		for _, counts := range windows {
			for _, count := range counts {
				n += count
			}
		}
	}
	add(c.pending)
	for _, r := range c.sent {
		add(r.Counts)
	}
	return n
}

// Next returns the records to append: those whose append has an unknown outcome, or the counts since.
func (c *Counter) Next(now time.Time) ([][]byte, error) {
	if len(c.sent) == 0 {
		c.cut()
	}
	out := make([][]byte, 0, len(c.sent))
	for i := range c.sent {
		c.sent[i].AtMs = now.UnixMilli()
		data, err := json.Marshal(&c.sent[i])
		if err != nil {
			return nil, err
		}
		out = append(out, data)
	}
	return out, nil
}

// Overheads of an entry in a record, in bytes: quotes, colon, comma, the count and, rarely, escapes; and of a record.
const (
	entryBytes  = 32
	recordBytes = 256
)

// cut moves the pending counts to new records of at most about MaxRecordBytes.
func (c *Counter) cut() {
	var r *countRecord
	size := 0
	for _, w := range slices.Sorted(maps.Keys(c.pending)) {
		for _, organisation := range slices.Sorted(maps.Keys(c.pending[w])) {
			n := len(organisation) + entryBytes
			if r == nil || c.MaxRecordBytes > 0 && size+n > c.MaxRecordBytes {
				c.seq++
				c.sent = append(c.sent, countRecord{VM: c.VM, Process: c.Process, Seq: c.seq, Counts: map[int64]map[string]int64{}})
				r, size = &c.sent[len(c.sent)-1], recordBytes+len(c.VM)+len(c.Process)
			}
			if r.Counts[w] == nil {
				r.Counts[w] = map[string]int64{}
				size += entryBytes
			}
			r.Counts[w][organisation] = c.pending[w][organisation]
			size += n
		}
	}
	c.pending = nil
}

// Appended records that the store has the records of the last call of Next.
func (c *Counter) Appended() { c.sent = nil }
