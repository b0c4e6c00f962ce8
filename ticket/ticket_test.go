package ticket

import (
	"bytes"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func TestTicketIsValidForOneIncarnationUntilItExpires(t *testing.T) {
	is := is.New(t)
	m := NewMinter("g", "i1", []byte("secret"))
	s, err := m.Mint(start, bytes.Repeat([]byte{1}, nonceBytes))
	is.NoErr(err)
	tk, err := Parse(s)
	is.NoErr(err)
	is.Equal(tk.Gate, "g")
	is.NoErr(m.Verify(start, tk))
	is.Equal(m.Verify(start.Add(TTL+time.Second), tk), ErrExpired)
	is.Equal(NewMinter("g", "i2", []byte("secret")).Verify(start, tk), ErrForged)
	is.Equal(NewMinter("g", "i1", []byte("other")).Verify(start, tk), ErrForged)
	for _, bad := range []string{"", "....", "a.b", s + ".x", "!" + s} {
		_, err := Parse(bad)
		is.Equal(err, ErrMalformed)
	}
}

func TestOutcomeStoreTracksKeysUntilRetentionEnds(t *testing.T) {
	is := is.New(t)
	store := NewOutcomeStore()
	status, _, _ := store.Begin(start, "k", "fp", "c1")
	is.Equal(status, StatusNew)
	store.Release(start, "k")
	_, id, _ := store.Begin(start, "k", "fp", "c2")
	is.Equal(id, "c1") // the claim is repeated under the same ID
	status, _, _ = store.Begin(start, "k", "fp", "c3")
	is.Equal(status, StatusRunning)
	status, _, _ = store.Begin(start, "k", "other", "c3")
	is.Equal(status, StatusReused)
	store.Finish(start, "k", &Answer{Outcome: api.OutcomeDone, Status: 200, Body: make([]byte, maxOneAnswerBytes+1)})
	status, _, _ = store.Begin(start.Add(TTL), "k", "fp", "c4")
	is.Equal(status, StatusAnswerDiscarded) // too large to store, but recorded as run
	is.Equal(store.Revoke(start, "k", "fp"), false)
	is.True(store.Revoke(start, "k2", "fp"))
	status, _, a := store.Begin(start, "k2", "fp", "")
	is.Equal(status, StatusDone)
	is.Equal(a.Outcome, api.OutcomeNotRun)
	store.Begin(start.Add(2*Retention), "k3", "fp", "")
	is.Equal(store.Len(), 1)
}

// TestClaimIsTransferredOnceByEachHolder checks that each holder may transfer a claim that has not run
// once, and may not run its request afterwards unless the claim is transferred back.
func TestClaimIsTransferredOnceByEachHolder(t *testing.T) {
	is := is.New(t)
	a, b := NewOutcomeStore(), NewOutcomeStore()
	holderA, holderB := Holder{"a", "1"}, Holder{"b", "1"}
	_, ok := a.Transfer(start, "k", "fp", holderB)
	is.Equal(ok, false) // the key has no entry
	a.Begin(start, "k", "fp", "c1")
	_, ok = a.Transfer(start, "k", "fp", holderB)
	is.Equal(ok, false) // in progress
	a.Release(start, "k")
	b.Begin(start, "k", "fp", "c2")
	id, ok := a.Transfer(start, "k", "fp", holderB)
	is.True(ok)
	is.Equal(id, "c1")
	_, ok = a.Transfer(start, "k", "fp", holderB)
	is.Equal(ok, false) // the new holder may have run it
	status, _, _ := a.Begin(start, "k", "fp", "c3")
	is.Equal(status, StatusTransferred)
	is.Equal(a.Revoke(start, "k", "fp"), false)
	holder, _ := a.TransferredTo("k")
	is.Equal(holder, holderB)

	is.True(b.AcceptTransfer(start, "k", id))
	b.Release(start, "k")
	id, ok = b.Transfer(start, "k", "fp", holderA)
	is.True(ok)
	is.Equal(id, "c1")
	is.True(a.AcceptTransfer(start, "k", id))
	status, _, _ = a.Begin(start, "k", "fp", "c4")
	is.Equal(status, StatusRunning)
	a.Finish(start, "k", &Answer{Outcome: api.OutcomeDone})
	is.Equal(a.AcceptTransfer(start, "k", "c5"), false)
}

// TestKeyRunsAtMostOnce checks that no key is begun again while it runs or after its Finish, for random
// sequences of calls within the ticket's TTL.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, now, end := NewOutcomeStore(), start, start.Add(TTL)
		ran, running := 0, false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				status, _, _ := store.Begin(now, "k", "fp", "c")
				if status == StatusNew {
					if running || ran > 0 {
						t.Fatalf("Begin allows a second run: running=%t ran=%d", running, ran)
					}
					running = true
				}
			case 1:
				if running {
					store.Finish(now, "k", &Answer{Outcome: api.OutcomeDone, Body: make([]byte, rapid.IntRange(0, 2*maxOneAnswerBytes).Draw(t, "size"))})
					running, ran = false, ran+1
				}
			case 2:
				if running {
					store.Release(now, "k")
					running = false
				}
			case 3:
				now = minTime(end, now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "s"))*time.Second))
				store.Begin(now, "another", "fp", "c")
			}
		}
	})
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
