package ticket

import (
	"time"

	"github.com/ibistrail/ibistrail/api"
)

// Bounds of a Book.
const (
	// KeepFor is how long an outcome is kept; it must exceed TTL.
	KeepFor = 2 * TTL
	// maxKeys bounds the kept outcomes.
	maxKeys = 32768
	// maxAnswerBytes bounds the kept answers together.
	maxAnswerBytes = 16 << 20
	// maxOneAnswerBytes bounds one kept answer.
	maxOneAnswerBytes = 1 << 20
)

// Status is what a Book knows of a key.
type Status int

// The statuses that Begin returns.
const (
	// StatusNew means that the caller of Begin may go on; it must call Finish or Release.
	StatusNew Status = iota
	// StatusRunning means that the request is in progress.
	StatusRunning
	// StatusDone means that the request has its Answer.
	StatusDone
	// StatusGone means that the request has run and its answer is no longer kept.
	StatusGone
	// StatusReused means that the key was used for another request.
	StatusReused
	// StatusFull means that no further key can be kept now.
	StatusFull
	// StatusTransferred means that the right to run the request went to another Holder.
	StatusTransferred
)

// Holder is the incarnation of a gate that may run a key.
type Holder struct {
	Gate        string
	Incarnation string
}

// Answer is what became of a request.
type Answer struct {
	Outcome api.Outcome
	Status  int
	Header  map[string][]string
	Body    []byte
}

func (a *Answer) bytes() int {
	n := len(a.Body)
	for k, vs := range a.Header {
		n += len(k)
		for _, v := range vs {
			n += len(v)
		}
	}
	return n
}

// entry is the state of one key.
type entry struct {
	fingerprint   string
	claimID       string
	running       bool
	answer        *Answer
	gone          bool
	transferredTo *Holder
	until         time.Time
	done          chan struct{}
}

// Book keeps what became of keys.
type Book struct {
	entries map[string]*entry
	order   []string
	bytes   int
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{entries: map[string]*entry{}} }

// Begin enters a key. claimID is kept over attempts that were released, so that a claim whose
// answer was lost is claimed again under the same ID; Begin returns the one to use.
func (b *Book) Begin(now time.Time, key, fingerprint, claimID string) (Status, string, *Answer) {
	b.expire(now)
	e := b.entries[key]
	if e == nil {
		if len(b.entries) >= maxKeys {
			return StatusFull, "", nil
		}
		e = &entry{fingerprint: fingerprint, claimID: claimID}
		b.entries[key] = e
		b.order = append(b.order, key)
	}
	switch {
	case e.fingerprint != fingerprint:
		return StatusReused, "", nil
	case e.running:
		return StatusRunning, "", nil
	case e.answer != nil:
		return StatusDone, "", e.answer
	case e.gone:
		return StatusGone, "", nil
	case e.transferredTo != nil:
		return StatusTransferred, "", nil
	}
	e.running = true
	e.done = make(chan struct{})
	e.until = now.Add(KeepFor)
	return StatusNew, e.claimID, nil
}

// Finish records what became of the request.
func (b *Book) Finish(now time.Time, key string, a *Answer) {
	e := b.entries[key]
	if e == nil || !e.running {
		return
	}
	b.end(e)
	e.until = now.Add(KeepFor)
	if n := a.bytes(); n > maxOneAnswerBytes || b.bytes+n > maxAnswerBytes {
		e.gone = true
		return
	}
	e.answer = a
	b.bytes += a.bytes()
}

// Release ends an attempt that was not run; the key may be used again.
func (b *Book) Release(now time.Time, key string) {
	if e := b.entries[key]; e != nil && e.running {
		b.end(e)
		e.until = now.Add(KeepFor)
	}
}

func (b *Book) end(e *entry) {
	e.running = false
	close(e.done)
}

// Revoke makes sure that a key that has not run never will, and returns true if it has not.
func (b *Book) Revoke(now time.Time, key, fingerprint string) bool {
	b.expire(now)
	if e := b.entries[key]; e != nil && (e.running || e.answer != nil || e.gone || e.transferredTo != nil) {
		return false
	}
	status, _, _ := b.Begin(now, key, fingerprint, "")
	if status != StatusNew {
		return false
	}
	b.Finish(now, key, &Answer{Outcome: api.OutcomeNotRun})
	return true
}

// Transfer gives the right to run a claimed key that has not run to another holder. It does so once: a
// second holder, or the same one again, gets nothing, as the first may have run the request.
func (b *Book) Transfer(now time.Time, key, fingerprint string, to Holder) (claimID string, ok bool) {
	b.expire(now)
	e := b.entries[key]
	if e == nil || e.fingerprint != fingerprint || e.claimID == "" || e.running || e.answer != nil || e.gone || e.transferredTo != nil {
		return "", false
	}
	e.transferredTo = &to
	e.until = now.Add(KeepFor)
	return e.claimID, true
}

// Accept makes a key hold the claim that its former holder has transferred, and its request run here: one
// that is in progress, or that was transferred from here before. It returns false for any other key.
func (b *Book) Accept(now time.Time, key, claimID string) bool {
	e := b.entries[key]
	switch {
	case e == nil || (!e.running && e.transferredTo == nil):
		return false
	case e.transferredTo != nil:
		e.transferredTo, e.running, e.done = nil, true, make(chan struct{})
	}
	e.claimID, e.until = claimID, now.Add(KeepFor)
	return true
}

// TransferredTo returns the holder to whom a key was transferred.
func (b *Book) TransferredTo(key string) (Holder, bool) {
	e := b.entries[key]
	if e == nil || e.transferredTo == nil {
		return Holder{}, false
	}
	return *e.transferredTo, true
}

// Lookup tells what is known of a key, with a channel that is closed when a running one ends.
func (b *Book) Lookup(now time.Time, key, fingerprint string) (status Status, known bool, a *Answer, done <-chan struct{}) {
	b.expire(now)
	e := b.entries[key]
	switch {
	case e == nil:
		return StatusNew, false, nil, nil
	case e.fingerprint != fingerprint:
		return StatusReused, true, nil, nil
	case e.running:
		return StatusRunning, true, nil, e.done
	case e.answer != nil:
		return StatusDone, true, e.answer, nil
	case e.gone:
		return StatusGone, true, nil, nil
	case e.transferredTo != nil:
		return StatusTransferred, true, nil, nil
	}
	return StatusNew, true, nil, nil
}

// Len returns the number of kept keys and Bytes the size of the kept answers.
func (b *Book) Len() int { return len(b.entries) }

// Bytes returns the size of the kept answers, in bytes.
func (b *Book) Bytes() int { return b.bytes }

// expire forgets outcomes whose time has passed. Entries are in order of their first use; one
// that is still running or was used again is moved to the end.
func (b *Book) expire(now time.Time) {
	for n := len(b.order); n > 0; n-- {
		key := b.order[0]
		e := b.entries[key]
		if e.running || now.Before(e.until) {
			if !e.running {
				return
			}
			b.order = append(b.order[1:], key)
			continue
		}
		b.order = b.order[1:]
		if e.answer != nil {
			b.bytes -= e.answer.bytes()
		}
		delete(b.entries, key)
	}
}
