package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/trial"
)

const kind = "route"

func newTimedTable(n int, zones ...string) *Table {
	t := NewTable(Options{AvailabilityZone: "a", Rand: rand.New(rand.NewPCG(1, 1))})
	t.SetByTime(true)
	t.Update(start, testPool(n, zones...), nil)
	for i := range n {
		t.RecordLoad(start, address(i), trial.Load{BatchLimit: 6})
	}
	return t
}

// answer records that a target answered one request in d.
func answer(t *Table, now time.Time, address string, d time.Duration) {
	t.RecordAnswer(now, address, kind, d, 1)
}

// TestTablesWithTheSameStaleReportsDoNotHerd guards against VMs that all send to the target which just looked best.
func TestTablesWithTheSameStaleReportsDoNotHerd(t *testing.T) {
	is := is.New(t)
	picks := func(age time.Duration) map[string]int {
		got := map[string]int{}
		for vm := range 300 {
			tb := newTimedTable(4)
			tb.opts.Rand = rand.New(rand.NewPCG(1, uint64(vm)))
			for i := range 4 {
				tb.RecordLoad(start, address(i), trial.Load{Running: 2 * i, BatchLimit: 6})
				tb.RecordWork(start, address(i), 100+50*i)
			}
			a, _ := tb.Pick(start.Add(age), Query{Kind: kind})
			got[a]++
		}
		return got
	}
	is.True(picks(2 * freshReport)["t0"] <= 210)        // of 300 VMs
	is.True(picks(reportTTL + time.Second)["t3"] >= 50) // what an old report says about the worst has decayed
}

// TestSlowTargetIsNotEjected guards against the loss of a target that is only slow, and against one that is avoided for good: the figure it
// told and the observed one lose their weight with time.
func TestSlowTargetIsNotEjected(t *testing.T) {
	is := is.New(t)
	tb := newTimedTable(3)
	for k := range 20 {
		now := start.Add(time.Duration(k) * 10 * time.Millisecond)
		for i := range 3 {
			d, percent := 25*time.Millisecond, 100
			if i == 0 {
				d, percent = 150*time.Millisecond, 600
			}
			answer(tb, now, address(i), d)
			tb.RecordWork(now, address(i), percent)
		}
	}
	now := start.Add(200 * time.Millisecond)
	is.Equal(tb.State(now)[0].Ejected, false)
	is.True(tb.Expected(now, "t0", kind) > 120*time.Millisecond)
	work, known := tb.Work(kind)
	is.True(known)
	is.True(work > 20*time.Millisecond && work < 30*time.Millisecond)
	for range 50 {
		a, _ := tb.Pick(now, Query{Kind: kind, Objective: 150 * time.Millisecond})
		is.True(a != "t0")
	}
	later := now.Add(10 * time.Second)
	is.True(tb.Expected(later, "t0", kind) < 30*time.Millisecond)
}

// TestRequestGoesToAnotherZoneOnlyWhileTheOwnIsSlower guards against a request that waits in its zone although the way to another one is
// shorter than the wait, and against one that goes there without need.
func TestRequestGoesToAnotherZoneOnlyWhileTheOwnIsSlower(t *testing.T) {
	is := is.New(t)
	tb := newTimedTable(4, "a", "b") // t0 and t2 are in the own zone
	for i := range 4 {
		for range usualSamples {
			answer(tb, start, address(i), 25*time.Millisecond)
		}
	}
	zone := func(now time.Time) string {
		a, _ := tb.Pick(now, Query{Kind: kind})
		return tb.byAddr[a].AvailabilityZone
	}
	is.Equal(zone(start), "a")
	load := func(waiting, percent int) {
		for _, a := range []string{"t0", "t2"} {
			tb.RecordLoad(start, a, trial.Load{Running: 6, Waiting: waiting, BatchLimit: 6})
			tb.RecordWork(start, a, percent)
		}
	}
	load(0, 100) // one more waits a sixth of 25 ms, the way takes 2 ms
	is.Equal(zone(start), "b")
	for _, a := range []string{"t1", "t3"} {
		tb.RecordLoad(start, a, trial.Load{Running: 6, Waiting: 1, BatchLimit: 6})
	}
	is.Equal(zone(start), "a") // the wait is longer there
	load(0, 300)
	is.Equal(zone(start), "b") // the own zone's targets are slow
	load(0, 100)
	is.Equal(zone(start), "a")
}

// TestTargetThatRefusedAsFullPauses guards against requests that are sent again and again to a full target.
func TestTargetThatRefusedAsFullPauses(t *testing.T) {
	is := is.New(t)
	tb := newTimedTable(1)
	tb.RecordOverload(start, "t0")
	_, ok := tb.Pick(start.Add(minFullPause/2), Query{Kind: kind})
	is.Equal(ok, false)
	_, ok = tb.Pick(start.Add(maxFullPause), Query{Kind: kind})
	is.True(ok)
}

// TestFullTargetIsAwaitedRatherThanADeadOneTried guards against a request that uses up its sends on targets that refuse connections, while the
// only live one is full for a moment.
func TestFullTargetIsAwaitedRatherThanADeadOneTried(t *testing.T) {
	is := is.New(t)
	tb := newTimedTable(3)
	tb.RecordUnreachable(start, "t0")
	tb.RecordUnreachable(start, "t1") // no more than half of the pool is ejected
	tb.RecordOverload(start, "t2")
	q := Query{Kind: kind, Avoid: []string{"t0", "t1", "t2"}}
	_, ok := tb.Pick(start, q)
	is.Equal(ok, false)
	is.True(!tb.NoneReachable(start))
	for range 20 {
		a, ok := tb.Pick(start.Add(50*time.Millisecond), q)
		is.True(ok)
		is.Equal(a, "t2")
	}
	tb.RecordUnreachable(start, "t2")
	is.True(tb.NoneReachable(start))
}
