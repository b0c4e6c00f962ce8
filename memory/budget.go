// Package memory bounds what a VM holds for its callers: their connections, the heads and bodies of their requests, and answers that they have
// not read yet. It answers several kinds of load: many large bodies at once, which are refused before they are read; callers that read slowly,
// which are served as long as they read at all; heads without end; and more connections than the VM can keep.
package memory

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// readStep is the size of the steps in which a body of unknown length is reserved and read, in bytes.
	readStep = 64 << 10
	// smallBytes is up to which size a request may use the part of a budget that smallDivisor sets, besides the rest.
	smallBytes   = 16 << 10
	smallDivisor = 16
	// minReadTime is how long a body is read until it may give way to another one, maxReadTime the time within which it must be whole at its
	// pace to keep its place. Callers wait for less.
	minReadTime = time.Second
	maxReadTime = 15 * time.Second
)

// ErrFull is returned for a body that does not fit into the budget. Nothing of it is held.
var ErrFull = errors.New("the VM holds too much for other requests; come back later, or at another VM")

// Budget is a number of bytes that requests share. It is safe for concurrent use.
//
// A body that arrives so slowly that no caller would wait for it gives way to others when the budget is full. A sixteenth of the budget is
// kept for small requests.
type Budget struct {
	limit   int64
	whole   *Budget // the budget that this one is a part of; nil if it is none
	held    atomic.Int64
	peak    atomic.Int64
	refused atomic.Int64

	mu      sync.Mutex
	reading map[*Hold]bool // holds whose bodies are being read
}

// NewBudget returns a budget of limit bytes; 0 means no limit.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Part returns a budget of limit bytes of this one, for what must not take up all of it.
func (b *Budget) Part(limit int64) *Budget { return &Budget{limit: limit, whole: b} }

// reserve takes n bytes of the budget, if there are as many left.
func (b *Budget) reserve(n int64) bool { return b.reserveWithin(n, b.limit) }

// reserveWithin takes n bytes of the budget, if no more than limit are held then.
func (b *Budget) reserveWithin(n, limit int64) bool {
	held := b.held.Add(n)
	if limit > 0 && held > limit || b.whole != nil && !b.whole.reserveWithin(n, b.whole.limitOfLarge()) {
		b.held.Add(-n)
		b.refused.Add(1)
		return false
	}
	for peak := b.peak.Load(); held > peak && !b.peak.CompareAndSwap(peak, held); {
		peak = b.peak.Load()
	}
	return true
}

// limitOfLarge returns up to how much may be held with a large request.
func (b *Budget) limitOfLarge() int64 { return b.limit - b.limit/smallDivisor }

// release returns n bytes.
func (b *Budget) release(n int64) {
	b.held.Add(-n)
	if b.whole != nil {
		b.whole.release(n)
	}
}

// Hold is the part of a budget that one request has. The zero value holds nothing of no budget.
type Hold struct {
	budget *Budget
	// Interrupt ends a blocked read of the body that Read reads. If it is nil, the body keeps its place however slow it is.
	Interrupt func()

	// The following are guarded by budget.mu. The times and sizes describe the body that is being read; givenUp is set if it gave way.
	bytes         int64
	since         time.Time
	received, due int64
	givenUp       bool
}

// Hold returns a hold of nothing yet.
func (b *Budget) Hold() *Hold { return &Hold{budget: b} }

// Add takes n more bytes for the request. It returns ErrFull, and takes none, if there are not as many left.
func (h *Hold) Add(n int64) error {
	b := h.budget
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.givenUp {
		return ErrFull
	}
	limit := b.limit
	if h.bytes+n > smallBytes {
		limit = b.limitOfLarge()
	}
	for !b.reserveWithin(n, limit) {
		if !b.giveUpSlowestLocked(h, time.Now()) {
			return ErrFull
		}
	}
	h.bytes += n
	return nil
}

// giveUpSlowestLocked gives up the body that would be whole the latest at its pace, if no caller would wait for it. It reports whether it did.
func (b *Budget) giveUpSlowestLocked(besides *Hold, now time.Time) bool {
	var slowest *Hold
	longest := maxReadTime
	for h := range b.reading {
		took := now.Sub(h.since)
		if h == besides || h.Interrupt == nil || took < minReadTime {
			continue
		}
		if whole := time.Duration(float64(took) * float64(h.due) / float64(max(1, h.received))); whole > longest {
			slowest, longest = h, whole
		}
	}
	if slowest == nil {
		return false
	}
	slowest.givenUp = true
	slowest.shrinkLocked(0)
	delete(b.reading, slowest)
	slowest.Interrupt()
	return true
}

// Shrink returns what the request has beyond n bytes.
func (h *Hold) Shrink(n int64) {
	if h.budget == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.shrinkLocked(n)
}

func (h *Hold) shrinkLocked(n int64) {
	if h.bytes > n {
		h.budget.release(h.bytes - n)
		h.bytes = n
	}
}

// Release returns all that the request has.
func (h *Hold) Release() { h.Shrink(0) }

// progress notes how much of a body of due bytes was received. It returns ErrFull if the body has given way to another one.
func (h *Hold) progress(received, due int) error {
	if h.budget == nil {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.givenUp {
		return ErrFull
	}
	if h.since.IsZero() {
		h.since = time.Now()
		if b.reading == nil {
			b.reading = map[*Hold]bool{}
		}
		b.reading[h] = true
	}
	h.received, h.due = int64(received), int64(due)
	return nil
}

// endRead ends the reading of a body.
func (h *Hold) endRead() {
	if h.budget == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.reading, h)
}

// Read reads a body into memory and adds it to the hold, copies times if the request keeps as many copies of it. If length is known, it
// reserves all before it reads anything; length is negative if unknown. beforeRead is called before each read. The error is ErrFull if the body does not
// fit, or has given way to another one.
func (h *Hold) Read(body io.Reader, length int64, copies int64, beforeRead func()) ([]byte, error) {
	defer h.endRead()
	if length >= 0 {
		if err := h.Add(length * copies); err != nil {
			return nil, err
		}
		data := make([]byte, length)
		n := 0
		for n < len(data) {
			beforeRead()
			if err := h.progress(n, len(data)); err != nil {
				return nil, err
			}
			got, err := body.Read(data[n:])
			n += got
			if err != nil && n < len(data) {
				return nil, h.readError(err)
			}
		}
		return data, nil
	}
	var data []byte
	for {
		if cap(data)-len(data) == 0 {
			if err := h.Add(max(readStep, int64(cap(data))) * copies); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, max(readStep, 2*cap(data))), data...)
		}
		beforeRead()
		if err := h.progress(len(data), cap(data)); err != nil {
			return nil, err
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, h.readError(err)
		}
	}
}

// readError returns the error of a body whose reading failed with err.
func (h *Hold) readError(err error) error {
	if h.budget != nil {
		h.budget.mu.Lock()
		defer h.budget.mu.Unlock()
	}
	switch {
	case h.givenUp:
		return ErrFull
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	}
	return err
}

// State is a budget's entry in the state dump and the metrics, in bytes.
type State struct {
	Limit   int64 `json:"limit_bytes"`
	Held    int64 `json:"held_bytes"`
	Peak    int64 `json:"peak_bytes"`
	Refused int64 `json:"refused"`
}

// State returns the budget's current use.
func (b *Budget) State() State {
	return State{Limit: b.limit, Held: b.held.Load(), Peak: b.peak.Load(), Refused: b.refused.Load()}
}
