package load

import (
	"fmt"
	"sync"
	"time"
)

// maxProblems bounds the problems that a ledger describes; it counts all of them.
const maxProblems = 50

// Tally is what a checker has counted on the trainers' and callers' side.
type Tally struct {
	Samples      int     `json:"samples"`
	Delivered    int     `json:"delivered"`
	Lost         int     `json:"lost"`
	Doubled      int     `json:"doubled"`
	Stale        int     `json:"stale"`
	Misversioned int     `json:"misversioned"`
	Cut          int     `json:"cut"`
	Seconds      float64 `json:"seconds"`
	// Wrong counts other broken promises: a wrong score, a crossed answer, a request refused as not run that was run.
	Wrong int `json:"wrong"`
	// Calls and Answered count callers' requests and their whole answers.
	Calls    int      `json:"calls"`
	Answered int      `json:"answered"`
	Problems []string `json:"problems,omitempty"`
}

// Line is the final line of `ibisload demo`.
func (t *Tally) Line() string {
	return fmt.Sprintf("demo: samples=%d delivered=%d lost=%d doubled=%d stale=%d misversioned=%d cut=%d seconds=%.0f",
		t.Samples, t.Delivered, t.Lost, t.Doubled, t.Stale, t.Misversioned, t.Cut, t.Seconds)
}

// Good tells whether each promise was kept, and something was promised at all.
func (t *Tally) Good() bool {
	return t.Samples > 0 && t.Delivered == t.Samples && t.Answered > 0 &&
		t.Lost == 0 && t.Doubled == 0 && t.Stale == 0 && t.Misversioned == 0 && t.Cut == 0 && t.Wrong == 0
}

// Add adds another tally.
func (t *Tally) Add(o *Tally) {
	t.Samples += o.Samples
	t.Delivered += o.Delivered
	t.Lost += o.Lost
	t.Doubled += o.Doubled
	t.Stale += o.Stale
	t.Misversioned += o.Misversioned
	t.Cut += o.Cut
	t.Wrong += o.Wrong
	t.Calls += o.Calls
	t.Answered += o.Answered
	t.Seconds += o.Seconds
	t.Problems = append(t.Problems, o.Problems...)
}

// ledger collects a Tally from many goroutines.
type ledger struct {
	mu      sync.Mutex
	tally   Tally
	started time.Time
}

func newLedger() *ledger { return &ledger{started: time.Now()} }

// problem counts a broken promise in field and describes it.
func (l *ledger) problem(field *int, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*field++
	if len(l.tally.Problems) < maxProblems {
		l.tally.Problems = append(l.tally.Problems, fmt.Sprintf(format, args...))
	}
}

func (l *ledger) count(field *int, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*field += n
}

// close returns the tally.
func (l *ledger) close() *Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tally.Seconds = time.Since(l.started).Seconds()
	t := l.tally
	return &t
}
