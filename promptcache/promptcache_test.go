package promptcache

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// prompt returns a prompt of model "m" whose shared parts are named by ids, each of 100 tokens, with an own part of 10 tokens.
func prompt(own int, ids ...string) *Prompt {
	parts := []Part{}
	for _, id := range ids {
		parts = append(parts, Part{id, 100})
	}
	return NewPrompt("m", append(parts, Part{fmt.Sprintf("own%d", own), 10}))
}

// TestMalformedPromptPartsMeanNone guards against parts that a caller made up, and against an item refused for a header that only
// speeds it up.
func TestMalformedPromptPartsMeanNone(t *testing.T) {
	is := is.New(t)
	is.Equal(ParseParts("0aF1:300, 77:41"), []Part{{ID: "0af1", Tokens: 300}, {ID: "77", Tokens: 41}})
	for _, bad := range []string{"", ",", "a", "a:", "a:0", "a:-3", "a:x", "g:3", ":3", "a:3,", "a:3,,b:4", "a:3:4", "a:99999999999",
		strings.Repeat("a", MaxIDBytes+1) + ":3", strings.Repeat("a:3,", MaxParts) + "a:3", strings.Repeat("a", 1<<20)} {
		is.Equal(ParseParts(bad), nil)
	}
}

func TestPartCountsOnlyIfAllBeforeItAreHeld(t *testing.T) {
	is := is.New(t)
	c := New(1000, 50)
	c.End(start, c.Start(start, prompt(1, "a", "b"), 0), true, 0)
	is.Equal(c.Held(start, prompt(2, "a", "b")), 200)
	is.Equal(c.Held(start, prompt(2, "a", "c")), 100)
	is.Equal(c.Held(start, prompt(2, "c", "b")), 0)
	is.Equal(c.Held(start, prompt(2, "b")), 0)
	is.Equal(c.Held(start, NewPrompt("other", []Part{{"a", 100}, {"x", 1}})), 0)
	is.Equal(c.Held(start.Add(maxAge+1), prompt(2, "a")), 0)
}

// TestLeastRecentlyUsedIsEvicted guards against a hot prompt that cold ones drive out, and against eviction under a running request.
func TestLeastRecentlyUsedIsEvicted(t *testing.T) {
	is := is.New(t)
	c := New(400, 50)
	running := c.Start(start, prompt(1, "running"), 40)
	for i := range 20 {
		for _, p := range []*Prompt{prompt(i, "hot"), prompt(i, fmt.Sprint("cold", i))} {
			c.End(start, c.Start(start, p, 0), true, 0)
		}
		is.Equal(c.Held(start, prompt(99, "hot")), 100)
		is.Equal(c.Held(start, prompt(99, "running")), 100)
		if i > 0 {
			is.Equal(c.Held(start, prompt(99, fmt.Sprint("cold", i-1))), 0)
		}
	}
	is.Equal(c.InUse(), 150)
	c.End(start, running, true, 300)
	is.True(c.Free() == 0 || c.Stored() <= 400)
}

// TestPromptThatWasNotReadIsNotHeld covers requests that the engine refused or that broke off before the first event.
func TestPromptThatWasNotReadIsNotHeld(t *testing.T) {
	is := is.New(t)
	c := New(1000, 50)
	first, second := c.Start(start, prompt(1, "a"), 5), c.Start(start, prompt(2, "a"), 5)
	c.End(start, first, false, 0)
	is.Equal(c.Held(start, prompt(3, "a")), 100) // the second is reading it
	c.End(start, second, true, 7)
	is.Equal(c.Held(start, prompt(3, "a")), 100)
	is.Equal(c.Stored(), 117)
	c.End(start, c.Start(start, prompt(1, "b"), 5), false, 0)
	is.Equal(c.Held(start, prompt(3, "b")), 0)
}

func TestOtherWeightsForgetTheModelOnly(t *testing.T) {
	is := is.New(t)
	c := New(1000, 50)
	other := NewPrompt("other", []Part{{"a", 100}, {"x", 1}})
	c.SetVersion("m", 3)
	running := c.Start(start, prompt(1, "a"), 10)
	c.End(start, c.Start(start, other, 0), true, 0)
	c.SetVersion("m", 3)
	is.Equal(c.Held(start, prompt(2, "a")), 100)
	c.SetVersion("m", 4)
	is.Equal(c.Held(start, prompt(2, "a")), 0)
	is.Equal(c.Held(start, other), 101)
	c.End(start, running, true, 10)
	is.Equal(c.Held(start, prompt(2, "a")), 0) // it was read with the old weights
	is.Equal(c.InUse(), 0)
}

// TestEstimateStaysBoundedAndConsistent guards against counts that drift from the entries, and against memory without a bound.
func TestEstimateStaysBoundedAndConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(rapid.IntRange(1, 800).Draw(t, "capacity"), rapid.IntRange(1, 12).Draw(t, "parts"))
		now, runs := start, []*Run{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "s")) * time.Second)
			switch n := rapid.IntRange(0, 9).Draw(t, "op"); {
			case n < 5:
				p := prompt(rapid.IntRange(0, 5).Draw(t, "own"), "a", rapid.SampledFrom([]string{"b", "c", "d"}).Draw(t, "id"))
				runs = append(runs, c.Start(now, p, rapid.IntRange(0, 50).Draw(t, "out")))
			case n < 9 && len(runs) > 0:
				c.End(now, runs[0], rapid.Bool().Draw(t, "read"), rapid.IntRange(0, 50).Draw(t, "made"))
				runs = runs[1:]
			case n == 9:
				c.SetVersion("m", int64(rapid.IntRange(1, 3).Draw(t, "version")))
			}
			stored, used, unused := 0, 0, 0
			for el := c.recent.Front(); el != nil; el = el.Next() {
				e := el.Value.(*entry)
				stored += e.tokens
				if e.users > 0 {
					used += e.tokens
				} else {
					unused++
				}
			}
			if stored != c.stored || used != c.used || c.recent.Len() != len(c.entries) {
				t.Fatalf("stored %d want %d, used %d want %d, entries %d and %d", c.stored, stored, c.used, used, c.recent.Len(), len(c.entries))
			}
			if unused > 0 && (c.stored+c.outputs > c.capacity || len(c.entries) > c.limit) {
				t.Fatal("unused parts are held beyond the bounds")
			}
		}
	})
	is := is.New(t)
	is.True(3000*PartsPerCache(3000) <= totalParts)
	is.Equal(PartsPerCache(10), maxParts)
}

// TestCostFollowsThePromptOnlyWithTimeToSpare covers the weighing: an engine that holds the prompt and has one free slot against an
// idle one.
func TestCostFollowsThePromptOnlyWithTimeToSpare(t *testing.T) {
	is := is.New(t)
	holder := Inputs{Held: 260, Shared: 260, Prompt: 300, Output: 100, Free: 9000, Capacity: 10000, Running: 5, RunTime: 6 * time.Second, RunTimeHere: 6 * time.Second, TimeLeft: 20 * time.Second, TokensPerMs: InitialRate, LoadCost: 5.0 / 6}
	idle := holder
	idle.Held, idle.Running, idle.LoadCost = 0, 0, 0
	is.True(holder.Cost() < idle.Cost())
	late := func(in Inputs) float64 { in.TimeLeft = in.RunTimeHere; return in.Cost() }
	is.True(late(holder) > late(idle))
	slow, full := holder, holder
	slow.SpeedCost = 0.3 // beyond the noise: 30 % longer against a few milliseconds
	is.True(slow.Cost() > idle.Cost())
	full.InUse = 9950
	is.True(full.Cost() > idle.Cost())
	evicting := idle
	evicting.Free = 0 // other prompts would have to go
	is.True(evicting.Cost() > idle.Cost())
}

// TestRateIsLearnedOnlyFromClearMeasurements guards against a rate that follows the noise of the first events.
func TestRateIsLearnedOnlyFromClearMeasurements(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	learn := func(n int, noiseMs float64) float64 {
		var r Rate
		for range n {
			tokens := rng.IntN(1200)
			r.Observe(tokens, time.Duration((20+float64(tokens)/600+noiseMs*rng.NormFloat64())*float64(time.Millisecond)))
		}
		return r.TokensPerMs()
	}
	is.Equal(learn(100, 0.1), InitialRate)
	is.Equal(learn(1000, 80), InitialRate)
	got := learn(4000, 0.5)
	is.True(got > 570 && got < 630)
}
