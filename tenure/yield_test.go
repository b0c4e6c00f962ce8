package tenure

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestYieldingHolderIsSucceededAtOnce(t *testing.T) {
	is := is.New(t)
	m, c := &memoryLog{}, &clock{now: time.Hour}
	able := map[string]bool{"a": true, "b": true}
	a, b := newTenure(m, c, "a", false), newTenure(m, c, "b", false)
	a.opts.Able, b.opts.Able = func() bool { return able["a"] }, func() bool { return able["b"] }
	is.NoErr(step(a))
	is.NoErr(a.BeginWave(t.Context()))
	is.NoErr(step(b))
	able["a"] = false // its paths are cut
	a.Yield(t.Context())
	is.True(!held(a))
	is.True(!a.MaySend()) // no order may follow
	is.NoErr(step(a))
	is.True(!held(a)) // it does not take its own tenure again
	able["a"], a.takeoverDelay = true, rankDelay
	is.NoErr(step(a))
	is.True(!held(a)) // also not if its paths are back: it is a candidate like others
	able["a"] = false
	is.NoErr(step(b))
	is.True(held(b))
	wait, _ := b.OrderDelay()
	is.True(wait > handover) // the orders of the last wave count
	able["a"] = true
	for range 50 {
		c.now += renewInterval
		is.NoErr(step(b))
		is.NoErr(step(a))
		is.True(held(b)) // the cut's end moves nothing
	}
}

func TestUnableVMTakesOverOnlyIfNoOtherCan(t *testing.T) {
	is := is.New(t)
	m, c := &memoryLog{}, &clock{now: time.Hour}
	a, s := newTenure(m, c, "a", false), newTenure(m, c, "s", true)
	a.opts.Able = func() bool { return false }
	is.NoErr(step(a))
	is.True(!held(a)) // it starts in a cut
	is.NoErr(step(s))
	c.now += standbyTimeout
	is.NoErr(step(a))
	is.True(!held(a))
	is.NoErr(step(s))
	is.True(held(s)) // a small VM that reaches the targets goes first
	is.NoErr(step(a))
	c.now += unableTimeout
	is.NoErr(step(a))
	is.True(held(a)) // the only one left
}

func TestStandbySucceedsAYieldingHolderSoon(t *testing.T) {
	is := is.New(t)
	m, c := &memoryLog{}, &clock{now: time.Hour}
	a, s := newTenure(m, c, "a", false), newTenure(m, c, "s", true)
	is.NoErr(step(a))
	is.NoErr(step(s))
	a.opts.Able = func() bool { return false }
	a.Yield(t.Context())
	is.NoErr(step(s))
	is.True(!held(s))
	c.now += standbyReleaseTimeout
	is.NoErr(step(s))
	is.True(held(s))
}

func TestYieldWhoseAnswerIsLostEndsTheTenureOrKeepsIt(t *testing.T) {
	is := is.New(t)
	m, c := &memoryLog{}, &clock{now: time.Hour}
	a, b := newTenure(m, c, "a", false), newTenure(m, c, "b", false)
	is.NoErr(step(a))
	is.NoErr(step(b))
	m.loseResponse = true
	a.Yield(t.Context())
	is.True(held(a)) // it does not know
	is.NoErr(step(b))
	is.True(held(b)) // the record was written
	is.True(step(a) != nil)
	is.True(!held(a))
}

// TestTenureMovesToAVMThatCanDoTheWork lets the VMs that reach the targets change, also while they decide. After the last change, a VM that can do
// the work holds the tenure, it changes hands once at most, and no two VMs may send orders at any time.
func TestTenureMovesToAVMThatCanDoTheWork(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const tick = 50 * time.Millisecond
		m, c := &memoryLog{}, &clock{now: time.Hour}
		n := rapid.IntRange(2, 6).Draw(rt, "vms")
		able := make([]bool, n)
		var vms []*Tenure
		change := func() {
			for i := range able {
				able[i] = rapid.Bool().Draw(rt, "able")
			}
		}
		changing := true
		for i := range n {
			v := newTenure(m, c, fmt.Sprint("vm-", i), rapid.Bool().Draw(rt, "standby"))
			v.takeoverDelay = time.Duration(i%rankCount) * rankDelay
			v.opts.Able = func() bool {
				if changing && rapid.IntRange(0, 20).Draw(rt, "changes while it decides") == 0 {
					change()
				}
				return able[i]
			}
			vms = append(vms, v)
		}
		holder := func() (index, count int) {
			index = -1
			for i, v := range vms {
				if held(v) {
					index, count = i, count+1
				}
			}
			return index, count
		}
		run := func(duration time.Duration) (changes int) {
			last, _ := holder()
			for range duration / tick {
				c.now += tick
				for i, v := range vms {
					if others := able[(i+1)%n]; held(v) && !able[i] && others {
						v.Yield(t.Context())
					}
					_ = step(v) // an error is a lost race
					_ = v.BeginWave(t.Context())
				}
				senders := 0
				for _, v := range vms {
					if v.MaySend() {
						senders++
					}
				}
				if senders > 1 {
					rt.Fatalf("%d VMs may send orders", senders)
				}
				if now, _ := holder(); now != last && now >= 0 {
					last = now
					changes++
				}
			}
			return changes
		}
		for range rapid.IntRange(1, 5).Draw(rt, "cuts") {
			change()
			run(time.Duration(rapid.IntRange(1, 60).Draw(rt, "ticks")) * tick)
		}
		changing = false
		for i := range able {
			able[i] = i != 0
		}
		changes := run(2 * unableTimeout)
		if now, count := holder(); count != 1 || !able[now] && able[(now+1)%n] {
			rt.Fatalf("%d holders, the last is %d, able %v", count, now, able)
		}
		if changes > 1 {
			rt.Fatalf("the tenure changed hands %d times after the last change", changes)
		}
	})
}
