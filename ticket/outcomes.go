package ticket

import (
	"time"

	"github.com/ibistrail/ibistrail/api"
)

// Limits of an OutcomeStore.
const (
	// Retention is how long an outcome is kept after its last use. It must exceed TTL, so that a used
	// ticket never runs again.
	Retention = 2 * TTL
	// maxKeys bounds the number of keys.
	maxKeys = 32768
	// maxTotalAnswerBytes bounds the total size of all stored answers.
	maxTotalAnswerBytes = 16 << 20
	// maxOneAnswerBytes bounds the size of a single stored answer.
	maxOneAnswerBytes = 1 << 20
)

// Status is the state of a key in an OutcomeStore.
type Status int

// The statuses that Begin and Lookup return.
const (
	// StatusNew means that the key has not run. The caller of Begin may run the request and must then
	// call Finish or Release.
	StatusNew Status = iota
	// StatusRunning means that the request is in progress.
	StatusRunning
	// StatusDone means that the request has completed and its Answer is stored.
	StatusDone
	// StatusAnswerDiscarded means that the request has completed, but its answer exceeded a size limit and
	// was not stored.
	StatusAnswerDiscarded
	// StatusReused means that the key was used for another request.
	StatusReused
	// StatusFull means that the store holds the maximum number of keys.
	StatusFull
	// StatusTransferred means that the right to run the request was transferred to another Holder.
	StatusTransferred
)

// Holder identifies the gate incarnation that holds a key, and so may run its request.
type Holder struct {
	Gate        string
	Incarnation string
}

// Answer is the outcome of a request and, if it has one, the HTTP response. Status is 0 without a response.
type Answer struct {
	Outcome api.Outcome
	Status  int
	Header  map[string][]string
	Body    []byte
}

// size returns the bytes of the body and the headers.
func (a *Answer) size() int {
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
	fingerprint     string
	claimID         string
	running         bool
	answer          *Answer
	answerDiscarded bool
	transferredTo   *Holder
	expires         time.Time
	done            chan struct{}
}

// OutcomeStore holds the state and outcome of each key. It is not safe for concurrent use.
type OutcomeStore struct {
	entries     map[string]*entry
	order       []string
	answerBytes int
}

// NewOutcomeStore returns an empty store.
func NewOutcomeStore() *OutcomeStore { return &OutcomeStore{entries: map[string]*entry{}} }

// Begin starts an attempt at the key's request. With StatusNew it also returns the claim ID to use, which is
// the one already recorded for the key, if any: a claim whose answer was lost is repeated under the same
// ID. With StatusDone it returns the stored answer.
func (s *OutcomeStore) Begin(now time.Time, key, fingerprint, claimID string) (Status, string, *Answer) {
	s.expire(now)
	e := s.entries[key]
	if e == nil {
		if len(s.entries) >= maxKeys {
			return StatusFull, "", nil
		}
		e = &entry{fingerprint: fingerprint, claimID: claimID}
		s.entries[key] = e
		s.order = append(s.order, key)
	}
	switch {
	case e.fingerprint != fingerprint:
		return StatusReused, "", nil
	case e.running:
		return StatusRunning, "", nil
	case e.answer != nil:
		return StatusDone, "", e.answer
	case e.answerDiscarded:
		return StatusAnswerDiscarded, "", nil
	case e.transferredTo != nil:
		return StatusTransferred, "", nil
	}
	e.running = true
	e.done = make(chan struct{})
	e.expires = now.Add(Retention)
	return StatusNew, e.claimID, nil
}

// Finish ends a running attempt and records the request's outcome. An answer that exceeds the size
// limits is discarded.
func (s *OutcomeStore) Finish(now time.Time, key string, a *Answer) {
	e := s.entries[key]
	if e == nil || !e.running {
		return
	}
	s.endAttempt(e)
	e.expires = now.Add(Retention)
	if n := a.size(); n > maxOneAnswerBytes || s.answerBytes+n > maxTotalAnswerBytes {
		e.answerDiscarded = true
		return
	}
	e.answer = a
	s.answerBytes += a.size()
}

// Release ends an attempt whose request was not run; the key may be used again.
func (s *OutcomeStore) Release(now time.Time, key string) {
	if e := s.entries[key]; e != nil && e.running {
		s.endAttempt(e)
		e.expires = now.Add(Retention)
	}
}

func (s *OutcomeStore) endAttempt(e *entry) {
	e.running = false
	close(e.done)
}

// Revoke prevents a key that has not run from ever running, by recording OutcomeNotRun. It returns false
// if the key is running, has run, was transferred or was used for another request, or if the store is full.
func (s *OutcomeStore) Revoke(now time.Time, key, fingerprint string) bool {
	s.expire(now)
	if e := s.entries[key]; e != nil && (e.running || e.answer != nil || e.answerDiscarded || e.transferredTo != nil) {
		return false
	}
	status, _, _ := s.Begin(now, key, fingerprint, "")
	if status != StatusNew {
		return false
	}
	s.Finish(now, key, &Answer{Outcome: api.OutcomeNotRun})
	return true
}

// Transfer transfers the right to run a claimed key that has not run to another holder, and returns the
// claim ID. It succeeds only once: any later call returns false, even for the same holder, because the
// new holder may already have run the request.
func (s *OutcomeStore) Transfer(now time.Time, key, fingerprint string, to Holder) (claimID string, ok bool) {
	s.expire(now)
	e := s.entries[key]
	if e == nil || e.fingerprint != fingerprint || e.claimID == "" || e.running || e.answer != nil || e.answerDiscarded || e.transferredTo != nil {
		return "", false
	}
	e.transferredTo = &to
	e.expires = now.Add(Retention)
	return e.claimID, true
}

// AcceptTransfer records the claim that the key's former holder has transferred to this gate, and marks
// the request as running here. The key must be in progress or have been transferred away from here;
// AcceptTransfer returns false for any other key.
func (s *OutcomeStore) AcceptTransfer(now time.Time, key, claimID string) bool {
	e := s.entries[key]
	switch {
	case e == nil || (!e.running && e.transferredTo == nil):
		return false
	case e.transferredTo != nil:
		e.transferredTo, e.running, e.done = nil, true, make(chan struct{})
	}
	e.claimID, e.expires = claimID, now.Add(Retention)
	return true
}

// TransferredTo returns the holder to which a key was transferred, if any.
func (s *OutcomeStore) TransferredTo(key string) (Holder, bool) {
	e := s.entries[key]
	if e == nil || e.transferredTo == nil {
		return Holder{}, false
	}
	return *e.transferredTo, true
}

// Lookup returns the state of a key without starting an attempt. known is false if the store has no entry
// for it. For a running key, done is closed when the attempt ends.
func (s *OutcomeStore) Lookup(now time.Time, key, fingerprint string) (status Status, known bool, a *Answer, done <-chan struct{}) {
	s.expire(now)
	e := s.entries[key]
	switch {
	case e == nil:
		return StatusNew, false, nil, nil
	case e.fingerprint != fingerprint:
		return StatusReused, true, nil, nil
	case e.running:
		return StatusRunning, true, nil, e.done
	case e.answer != nil:
		return StatusDone, true, e.answer, nil
	case e.answerDiscarded:
		return StatusAnswerDiscarded, true, nil, nil
	case e.transferredTo != nil:
		return StatusTransferred, true, nil, nil
	}
	return StatusNew, true, nil, nil
}

// Len returns the number of keys.
func (s *OutcomeStore) Len() int { return len(s.entries) }

// Bytes returns the total size of the stored answers.
func (s *OutcomeStore) Bytes() int { return s.answerBytes }

// expire deletes keys whose retention has ended. The keys in order are sorted by first use; a running key
// at the front is moved to the end. The scan stops at the first idle key that has not expired.
func (s *OutcomeStore) expire(now time.Time) {
	for n := len(s.order); n > 0; n-- {
		key := s.order[0]
		e := s.entries[key]
		if e.running || now.Before(e.expires) {
			if !e.running {
				return
			}
			s.order = append(s.order[1:], key)
			continue
		}
		s.order = s.order[1:]
		if e.answer != nil {
			s.answerBytes -= e.answer.size()
		}
		delete(s.entries, key)
	}
}
