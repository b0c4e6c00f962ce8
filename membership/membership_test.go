package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/wire"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func joined(t *testing.T, seed uint64, zones, perZone int) *sim {
	t.Helper()
	s := newSim(seed, zones, perZone)
	if !s.until(30*time.Second, s.whole) {
		t.Fatalf("seed %d: not all nodes know one another after 30 s", seed)
	}
	s.run(10 * time.Second) // news of the start has been spread
	return s
}

func TestNodesFindOneAnother(t *testing.T) {
	for _, n := range []struct{ zones, perZone int }{{1, 2}, {2, 1}, {4, 3}, {4, 25}} {
		t.Run(fmt.Sprintf("%dx%d", n.zones, n.perZone), func(t *testing.T) {
			s := newSim(1, n.zones, n.perZone)
			start := s.now
			is.New(t).True(s.until(30*time.Second, s.whole))
			t.Logf("joined after %s", s.now.Sub(start))
		})
	}
}

func TestDeadNodeIsKnownEverywhereWithinTenSeconds(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(10) {
		perZone := 8
		if seed < 2 {
			perZone = 25
		}
		s := joined(t, seed, 4, perZone)
		s.run(time.Duration(s.rng.IntN(1000)) * time.Millisecond)
		victim := s.ids[s.rng.IntN(len(s.ids))]
		died := s.now
		s.nodes[victim].up = false
		if !s.until(10*time.Second, func() bool { return s.agree(victim, wire.StatusDead) }) {
			t.Errorf("seed %d: %s not known as dead everywhere after 10 s", seed, victim)
		}
		worst = max(worst, s.now.Sub(died))
	}
	t.Logf("worst of 10 seeds: %s", worst)
}

// noLiveDead fails the test when a node thinks another dead that has not crashed.
func noLiveDead(t interface{ Fatalf(string, ...any) }, s *sim) {
	s.onChange = func(n *simNode) {
		for _, m := range n.core.members {
			if (m.Status == wire.StatusDead || m.Status == wire.StatusLeft) && s.nodes[m.Node.ID].up {
				t.Fatalf("%s thinks the living %s %s", n.id, m.Node.ID, m.Status)
			}
		}
	}
}

func TestFrozenNodeIsNeverDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		s := newSim(rapid.Uint64Range(0, 1<<32).Draw(t, "seed"), zones, rapid.IntRange(2, 8).Draw(t, "per zone"))
		if !s.until(30*time.Second, s.whole) {
			t.Fatalf("not joined")
		}
		noLiveDead(t, s)
		for range rapid.IntRange(1, 3).Draw(t, "freezes") {
			victims := rapid.IntRange(1, 2).Draw(t, "victims")
			for range victims {
				n := s.nodes[s.ids[rapid.IntRange(0, len(s.ids)-1).Draw(t, "victim")]]
				if !n.frozen {
					s.freeze(n, 2*time.Second)
				}
			}
			s.run(time.Duration(rapid.IntRange(2000, 9000).Draw(t, "ms")) * time.Millisecond)
		}
		s.run(15 * time.Second)
		if !s.whole() {
			t.Fatalf("a thawed node is not alive everywhere")
		}
	})
}

func TestOneWayCutDeclaresNobodyDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64Range(0, 1<<32).Draw(t, "seed"), 2, 4)
		if !s.until(30*time.Second, s.whole) {
			t.Fatalf("not joined")
		}
		noLiveDead(t, s)
		a := s.ids[rapid.IntRange(0, len(s.ids)-1).Draw(t, "from")]
		b := s.ids[rapid.IntRange(0, len(s.ids)-1).Draw(t, "to")]
		s.cut = func(from, to *simNode) bool { return from.id == a && to.id == b }
		s.run(30 * time.Second)
	})
}

func TestCutZonesFindOneAnotherAgain(t *testing.T) {
	is := is.New(t)
	s := joined(t, 3, 3, 4)
	s.cut = func(from, to *simNode) bool { return from.az != to.az && (from.az == "z0" || to.az == "z0") }
	is.True(s.until(time.Minute, func() bool { return s.nodes["z0-n00"].status("z1-n00") == wire.StatusDead })) // cut off
	s.run(30 * time.Second)
	s.cut = func(_, _ *simNode) bool { return false }
	is.True(s.until(time.Minute, s.whole))
}

func TestRestartedNodeIsAliveAgain(t *testing.T) {
	is := is.New(t)
	s := joined(t, 4, 2, 3)
	old := s.nodes["z0-n01"]
	old.up = false
	is.True(s.until(20*time.Second, func() bool { return s.agree("z0-n01", wire.StatusDead) }))
	s.start("z0-n01", "z0", 99, s.ids)
	is.True(s.until(20*time.Second, s.whole))
}

func TestPlannedLeaveIsKnownSoon(t *testing.T) {
	is := is.New(t)
	s := joined(t, 5, 2, 5)
	n := s.nodes["z1-n02"]
	n.core.Leave()
	s.sendAll(n, n.core.Tick(s.now))
	s.run(5 * time.Millisecond)
	n.up = false
	is.True(s.until(5*time.Second, func() bool { return s.agree("z1-n02", wire.StatusLeft) }))
}

func TestSteadyCostDoesNotGrow(t *testing.T) {
	rate := func(perZone int) float64 {
		s := joined(t, 6, 4, perZone)
		s.run(60 * time.Second) // the news of the join are spread
		clear(s.bytes)
		s.run(60 * time.Second)
		worst := 0
		for _, b := range s.bytes {
			worst = max(worst, b)
		}
		return float64(worst) / 60
	}
	small, large := rate(3), rate(25)
	t.Logf("bytes a second, busiest node: %.0f of 12 nodes, %.0f of 100 nodes", small, large)
	if large > 1.3*small {
		t.Errorf("cost grows from %.0f to %.0f bytes a second", small, large)
	}
}

func TestSameSeedSameRun(t *testing.T) {
	is := is.New(t)
	trace := func() string {
		s := newSim(8, 3, 4)
		s.run(20 * time.Second)
		return fmt.Sprint(s.bytes)
	}
	is.Equal(trace(), trace())
}
