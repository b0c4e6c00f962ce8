package load

import (
	"fmt"
	"sync"
	"time"
)

// maxProblems limits the violations that a checker describes in Tally.Problems; it counts all of them.
const maxProblems = 50

// Tally holds the counts of a checker: samples, calls and violated guarantees.
type Tally struct {
	Samples      int     `json:"samples"`
	Delivered    int     `json:"delivered"`
	Lost         int     `json:"lost"`
	Doubled      int     `json:"doubled"`
	Stale        int     `json:"stale"`
	Misversioned int     `json:"misversioned"`
	Cut          int     `json:"cut"`
	Seconds      float64 `json:"seconds"`
	// Wrong counts all other violations: a wrong score, the answer to another call, a request that ran although it was
	// rejected as not run.
	Wrong int `json:"wrong"`
	// Calls and Answered count callers' requests and their complete answers.
	Calls    int      `json:"calls"`
	Answered int      `json:"answered"`
	Problems []string `json:"problems,omitempty"`
}

// Line returns the final line of `ibisload demo`.
func (t *Tally) Line() string {
	return fmt.Sprintf("demo: samples=%d delivered=%d lost=%d doubled=%d stale=%d misversioned=%d cut=%d seconds=%.0f",
		t.Samples, t.Delivered, t.Lost, t.Doubled, t.Stale, t.Misversioned, t.Cut, t.Seconds)
}

// Passed reports whether no guarantee was violated. A run without samples or answered calls does not pass.
func (t *Tally) Passed() bool {
	return t.Samples > 0 && t.Delivered == t.Samples && t.Answered > 0 &&
		t.Lost == 0 && t.Doubled == 0 && t.Stale == 0 && t.Misversioned == 0 && t.Cut == 0 && t.Wrong == 0
}

// Add adds the counts and problems of o.
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

// checker collects a Tally. It is safe for concurrent use.
type checker struct {
	mu      sync.Mutex
	tally   Tally
	started time.Time
}

func newChecker() *checker { return &checker{started: time.Now()} }

// recordViolation increments field, a counter of the tally, and adds a description to Tally.Problems.
func (chk *checker) recordViolation(field *int, format string, args ...any) {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	*field++
	if len(chk.tally.Problems) < maxProblems {
		chk.tally.Problems = append(chk.tally.Problems, fmt.Sprintf(format, args...))
	}
}

// add adds n to field, a counter of the tally.
func (chk *checker) add(field *int, n int) {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	*field += n
}

// finish sets the duration and returns a copy of the tally.
func (chk *checker) finish() *Tally {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	chk.tally.Seconds = time.Since(chk.started).Seconds()
	t := chk.tally
	return &t
}
