// Package memory bounds what a VM holds for its callers: their connections, the heads and bodies of their requests, and answers that they have
// not read yet. It answers several kinds of load: many large bodies at once, which are refused before they are read; callers that read slowly,
// which are served as long as they read at all; heads without end; and more connections than the VM can keep.
package memory

import (
	"errors"
	"io"
	"sync/atomic"
)

// readStep is the size of the steps in which a body of unknown length is reserved and read, in bytes.
const readStep = 64 << 10

// ErrFull is returned for a body that does not fit into the budget. Nothing of it is held.
var ErrFull = errors.New("the VM holds too much for other requests; come back later, or at another VM")

// Budget is a number of bytes that requests share. It is safe for concurrent use.
type Budget struct {
	limit   int64
	whole   *Budget // the budget that this one is a part of; nil if it is none
	held    atomic.Int64
	peak    atomic.Int64
	refused atomic.Int64
}

// NewBudget returns a budget of limit bytes; 0 means no limit.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Part returns a budget of limit bytes of this one, for what must not take up all of it.
func (b *Budget) Part(limit int64) *Budget { return &Budget{limit: limit, whole: b} }

// reserve takes n bytes of the budget, if there are as many left.
func (b *Budget) reserve(n int64) bool {
	held := b.held.Add(n)
	if b.limit > 0 && held > b.limit || b.whole != nil && !b.whole.reserve(n) {
		b.held.Add(-n)
		b.refused.Add(1)
		return false
	}
	for peak := b.peak.Load(); held > peak && !b.peak.CompareAndSwap(peak, held); {
		peak = b.peak.Load()
	}
	return true
}

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
	bytes  int64
}

// Add takes n more bytes for the request. It returns ErrFull, and takes none, if there are not as many left.
func (h *Hold) Add(n int64) error {
	if h.budget == nil {
		return nil
	}
	if !h.budget.reserve(n) {
		return ErrFull
	}
	h.bytes += n
	return nil
}

// Shrink returns what the request has beyond n bytes.
func (h *Hold) Shrink(n int64) {
	if h.budget != nil && h.bytes > n {
		h.budget.release(h.bytes - n)
		h.bytes = n
	}
}

// Release returns all that the request has.
func (h *Hold) Release() {
	if h.budget != nil {
		h.budget.release(h.bytes)
		h.bytes = 0
	}
}

// Hold returns a hold of nothing yet.
func (b *Budget) Hold() *Hold { return &Hold{budget: b} }

// Read reads a body into memory and adds it to the hold, copies times if the request keeps as many copies of it. If length is known, it
// reserves all before it reads anything; length is negative if unknown. progress is called before each read.
func (h *Hold) Read(body io.Reader, length int64, copies int64, progress func()) ([]byte, error) {
	if length >= 0 {
		if err := h.Add(length * copies); err != nil {
			return nil, err
		}
		data := make([]byte, length)
		n := 0
		for n < len(data) {
			progress()
			got, err := body.Read(data[n:])
			n += got
			if err != nil && n < len(data) {
				if errors.Is(err, io.EOF) {
					err = io.ErrUnexpectedEOF
				}
				return nil, err
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
		progress()
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
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
