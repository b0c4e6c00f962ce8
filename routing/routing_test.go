package routing

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/matryer/is"
)

var start = time.Unix(1_800_000_000, 0)

func newTable(policy string, n int, zones ...string) *Table {
	t := NewTable(Options{AvailabilityZone: "a", GateID: "g", Policy: policy, Rand: rand.New(rand.NewPCG(1, 1))})
	t.Update(start, testPool(n, zones...), nil)
	return t
}

func testPool(n int, zones ...string) *config.Pool {
	p := &config.Pool{Name: "p", Kind: config.PoolEngines}
	for i := range n {
		az := "a"
		if len(zones) > 0 {
			az = zones[i%len(zones)]
		}
		p.Targets = append(p.Targets, config.Target{Name: fmt.Sprint(i), Address: address(i), AvailabilityZone: az})
	}
	return p
}

func address(i int) string { return fmt.Sprintf("t%d", i) }

func TestLoadAddsRequestsSentSinceTheReport(t *testing.T) {
	is := is.New(t)
	tb := newTable(PolicyDefault, 2)
	tb.RecordLoad(start, "t0", trial.Load{Running: 4, BatchLimit: 16})
	tb.RecordLoad(start, "t1", trial.Load{Running: 2, BatchLimit: 16})
	q := Query{}
	got := map[string]int{}
	for range 8 { // the reports alone would send all to t1
		a, ok := tb.Pick(start, q)
		is.True(ok)
		tb.Start(start, a, q)
		got[a]++
	}
	is.Equal(got, map[string]int{"t0": 3, "t1": 5})
	later := start.Add(100 * time.Millisecond)
	tb.RecordLoad(later, "t1", trial.Load{Running: 7, BatchLimit: 16, AgeMs: 50})
	is.Equal(tb.byAddr["t1"].load(later), 7) // 5 of the 7 were sent by this gate
}

func TestPickPrefersOwnZoneUntilItsBatchesAreFull(t *testing.T) {
	is := is.New(t)
	tb := newTable(PolicyDefault, 4, "a", "b")
	q := Query{}
	for i := range 4 {
		tb.RecordLoad(start, address(i), trial.Load{BatchLimit: 2})
	}
	zone := func(a string) string { return tb.byAddr[a].AvailabilityZone }
	for i := range 12 {
		a, ok := tb.Pick(start, q)
		is.True(ok)
		if i < 8 { // batches of the own zone, then of the other one; then half a batch more may queue at the targets
			is.Equal(zone(a) == "a", i < 4)
		}
		tb.Start(start, a, q)
	}
	_, ok := tb.Pick(start, q)
	is.Equal(ok, false) // all are full: the request is queued in the gate
}

func TestFullTargetAcceptsHigherClassUpToABound(t *testing.T) {
	is := is.New(t)
	tb := newTable(PolicyDefault, 1)
	tb.RecordLoad(start, "t0", trial.Load{BatchLimit: 2})
	low, high := Query{Class: 3}, Query{Class: 0}
	pick := func(q Query) bool {
		a, ok := tb.Pick(start, q)
		if ok {
			tb.Start(start, a, q)
		}
		return ok
	}
	for range 3 {
		is.True(pick(low))
	}
	is.Equal(pick(low), false)
	for range 3 {
		is.True(pick(high)) // the target's queue orders it before the lower class
	}
	is.Equal(pick(high), false) // up to overcommitFactor
}

func TestGatesPickTheSameTargetForASharedPrefix(t *testing.T) {
	is := is.New(t)
	one, two := newTable(PolicyDefault, 8), newTable(PolicyDefault, 8)
	two.opts.Rand = rand.New(rand.NewPCG(7, 7))
	agreed := 0
	for k := range 40 {
		beginning := strings.Repeat(fmt.Sprintf("%04d", k), 300)
		picked := [2]string{}
		for i, tb := range []*Table{one, two} {
			for n := range 2 {
				q := Query{Prefixes: Prefixes(beginning + strings.Repeat(fmt.Sprint(i, n), 100))}
				a, _ := tb.Pick(start, q)
				tb.Start(start, a, q)
				tb.End(start, a, q)
				picked[i] = a
			}
		}
		if picked[0] == picked[1] {
			agreed++
		}
	}
	is.Equal(agreed, 40)
}

func TestPrefixAffinityIsBoundedByLoad(t *testing.T) {
	is := is.New(t)
	tb := newTable(PolicyDefault, 4)
	for i := range 4 {
		tb.RecordLoad(start, address(i), trial.Load{BatchLimit: 16})
	}
	q := Query{Prefixes: Prefixes(strings.Repeat("x", 1024))}
	initial, _ := tb.Pick(start, q)
	tb.Start(start, initial, q)
	first, _ := tb.Pick(start, q) // the first target for the prefix, which is known now
	got := map[string]int{initial: 1}
	for range 40 {
		a, _ := tb.Pick(start, q)
		tb.Start(start, a, q)
		got[a]++
	}
	is.True(got[first] >= 8)
	is.True(got[first] <= 20) // the bound spreads a hot prefix
}

func TestCacheEventsUpdateThePrefixIndex(t *testing.T) {
	is := is.New(t)
	tb := newTable(PolicyDefault, 2)
	prompt := strings.Repeat("y", trial.PrefixBytes)
	h := trial.PrefixHash(prompt)
	q := Prefixes(prompt)
	x := tb.byAddr["t0"]
	tb.ApplyCacheEvents("t0", &trial.CacheEvents{Boot: "b", Next: 1, Events: []trial.CacheEvent{{Seq: 1, PrefixHash: h}}})
	is.Equal(x.prefixes.matchLength(q), 1)
	tb.ApplyCacheEvents("t0", &trial.CacheEvents{Boot: "b", Next: 3, Events: []trial.CacheEvent{{Seq: 3, PrefixHash: 5}}})
	is.Equal(x.prefixes.matchLength(q), 0) // the gap may hide its eviction
	tb.Start(start, "t0", Query{Prefixes: q})
	is.Equal(x.prefixes.matchLength(q), 1)
	tb.ApplyCacheEvents("t0", &trial.CacheEvents{Boot: "b", Next: 4, Events: []trial.CacheEvent{{Seq: 4, PrefixHash: h, Evicted: true}}})
	is.Equal(x.prefixes.matchLength(q), 0)
	tb.Start(start, "t0", Query{Prefixes: q})
	tb.ApplyCacheEvents("t0", &trial.CacheEvents{Boot: "c", Next: 0})
	is.Equal(x.prefixes.matchLength(q), 0) // a restart empties the cache
}

func TestEjectionLeavesHalfOfThePool(t *testing.T) {
	is := is.New(t)
	tb := newTable(PolicyDefault, 4)
	now := start
	for range 20 {
		for i := range 4 {
			tb.RecordSuccess(now, address(i), []float64{0.01, 0.01, 0.2, 0.4}[i])
		}
	}
	for range ejectAfterFailures {
		tb.RecordFailure(now, "t0")
		tb.RecordFailure(now, "t1")
	}
	ejected := 0
	for _, x := range tb.targets {
		if x.ejected(now) {
			ejected++
		}
	}
	is.Equal(ejected, 2) // the slow ones; half of the pool stays available even if it fails
	is.True(tb.byAddr["t3"].ejected(now))
	now = now.Add(ejectMaxDuration)
	for _, x := range tb.targets {
		is.Equal(x.ejected(now), false) // ejections expire
	}
}

func TestNewTargetRampsUp(t *testing.T) {
	is := is.New(t)
	tb := newTable(PolicyDefault, 3)
	now := start.Add(time.Minute)
	tb.Update(now, testPool(4), nil)
	for i := range 4 {
		tb.RecordLoad(now, address(i), trial.Load{BatchLimit: 16})
	}
	is.True(tb.byAddr["t3"].capacity(now) < tb.byAddr["t0"].capacity(now)/2)
	is.Equal(tb.byAddr["t3"].capacity(now.Add(RampUp)), tb.byAddr["t0"].capacity(now))
}

func TestBlockedTargetsAreNotPicked(t *testing.T) {
	is := is.New(t)
	tb := newTable(PolicyDefault, 2)
	tb.Update(start, testPool(2), map[string]string{"t0": "leaving"})
	for range 20 {
		a, ok := tb.Pick(start, Query{Avoid: []string{"t1"}}) // Avoid is a preference, a block is not
		is.True(ok)
		is.Equal(a, "t1")
	}
	tb.Block(start, "t1", "reported by the target")
	_, ok := tb.Pick(start, Query{})
	is.Equal(ok, false)
	is.Equal(tb.HasCandidate(Query{}), false)
}

func TestMinVersionExcludesOlderTargets(t *testing.T) {
	is := is.New(t)
	tb := newTable(PolicyDefault, 2)
	tb.SetVersion("t0", 3)
	tb.SetVersion("t1", 4)
	for range 10 {
		a, _ := tb.Pick(start, Query{MinVersion: 4})
		is.Equal(a, "t1")
	}
	is.Equal(tb.HasCandidate(Query{MinVersion: 5}), false)
}

func TestExclusiveRequestGetsTheReservedTarget(t *testing.T) {
	is := is.New(t)
	tb := newTable(PolicyDefault, 3)
	for i := range 3 {
		tb.Start(start, address(i), Query{})
	}
	_, ok := tb.Pick(start, Query{Exclusive: true})
	is.Equal(ok, false)
	tb.Reserve(start)
	var reserved string
	for _, x := range tb.targets {
		if x.reserved {
			reserved = x.Address
		}
	}
	for range 20 {
		a, _ := tb.Pick(start, Query{})
		is.True(a != reserved)
	}
	tb.End(start, reserved, Query{})
	a, ok := tb.Pick(start, Query{Exclusive: true})
	is.True(ok)
	is.Equal(a, reserved)
	tb.Start(start, a, Query{Exclusive: true})
	_, ok = tb.Pick(start, Query{Exclusive: true})
	is.Equal(ok, false) // one at a time in a small pool
	tb.End(start, a, Query{Exclusive: true})
	is.Equal(tb.byAddr[a].exclusive, false)
}

func TestVersionedRequestAvoidsUnversionedTargets(t *testing.T) {
	is := is.New(t)
	tb := newTable(PolicyDefault, 2)
	tb.RecordUnversioned(start, "t0")
	seen := map[string]bool{}
	for range 20 {
		a, _ := tb.Pick(start, Query{Versioned: true})
		is.Equal(a, "t1")
		a, _ = tb.Pick(start, Query{})
		seen[a] = true
	}
	is.True(seen["t0"]) // requests without Versioned may use it
	tb.RecordUnversioned(start, "t1")
	_, ok := tb.Pick(start, Query{Versioned: true})
	is.True(ok) // no target reports versions, so any is used
}

func TestExcludedTargetsAreNotPicked(t *testing.T) {
	is := is.New(t)
	tb := newTable(PolicyDefault, 2)
	for _, q := range []Query{{Exclude: []string{"t0"}}, {Exclude: []string{"t0"}, Avoid: []string{"t1"}}, {Exclude: []string{"t0"}, Exclusive: true}} {
		a, ok := tb.Pick(start, q)
		is.True(ok)
		is.Equal(a, "t1")
	}
	_, ok := tb.Pick(start, Query{Exclude: []string{"t0", "t1"}, IgnoreLimits: true})
	is.True(!ok)
}
