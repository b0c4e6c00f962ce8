package engine

import (
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/trial"
	"github.com/matryer/is"
)

func testSequence(id string, priority int) *sequence {
	s := newSequence(&trial.CompletionRequest{Model: "m", Prompt: "p" + id, MaxTokens: 1000, RequestID: id, Priority: priority})
	s.run = &Run{}
	s.length = 100
	return s
}

func TestSequencesStartByPriorityWithinBatchLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := newModel(Rates{BatchLimit: 1, PrefillTokensPerSecond: 1e6, DecodeTokensPerSecond: 1000, CacheTokens: 100}, 1)
	late, first, urgent := testSequence("late", 5), testSequence("first", 5), testSequence("urgent", 0)
	m.submit(now, first)
	m.submit(now, late)
	m.submit(now, urgent)
	var order []string
	for !m.idle() {
		now = now.Add(10 * time.Millisecond)
		for _, s := range m.step(now, 1) {
			order = append(order, s.id)
		}
		is.True(len(m.running) <= 1)
	}
	is.Equal(order, []string{"urgent", "first", "late"})
	is.Equal(len(late.tokens), 100)
}

func TestEachSequenceSlowsTheBatch(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := newModel(Rates{BatchLimit: 2, PrefillTokensPerSecond: 1e6, DecodeTokensPerSecond: 1000, BatchSlowdown: 1}, 1)
	a, b := testSequence("a", 0), testSequence("b", 0)
	m.submit(now, a)
	m.submit(now, b)
	m.step(now.Add(20*time.Millisecond), 1)
	is.Equal(len(a.tokens), 10)
	m.step(now.Add(40*time.Millisecond), 2)
	is.Equal(len(b.tokens), 15)
	m.step(now.Add(time.Hour), 1) // a suspended process generates no tokens for the time of its suspension
	is.Equal(len(b.tokens), 40)
}

func TestPrefixCacheEvictsLeastRecentlyUsed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := newPrefixCache(10)
	is.Equal(c.lookupAndFill(now, "0123456789012345"), 0) // 4 tokens
	is.Equal(c.lookupAndFill(now, "0123456789012345"), 4)
	is.Equal(c.lookupAndFill(now, "abcdefghijklmnopqrstuvwx"), 0) // 6 tokens
	is.Equal(c.lookupAndFill(now, "xxxx"), 0)                     // evicts the first prompt
	is.Equal(c.lookupAndFill(now, "abcdefghijklmnopqrstuvwx"), 6)
	events, next := c.since(now.Add(time.Second), 0, time.Second, 0)
	is.Equal(next, int64(4))
	is.Equal(events[2].Evicted, true)
	is.Equal(events[2].PrefixHash, trial.PrefixHash("0123456789012345"))
	events, _ = c.since(now.Add(time.Second), 0, time.Second, 2)
	is.Equal(len(events), 2) // events 2 and 4 are left out
	events, next = c.since(now, 0, time.Second, 0)
	is.Equal(len(events), 0) // not published before the lag
	is.Equal(next, int64(0))
}
