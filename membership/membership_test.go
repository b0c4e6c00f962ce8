package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/wire"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func newJoinedSim(t *testing.T, seed uint64, zones, perZone int) *sim {
	t.Helper()
	s := newSim(seed, zones, perZone)
	if !s.runUntil(30*time.Second, s.allAlive) {
		t.Fatalf("seed %d: not all nodes have discovered one another after 30 s", seed)
	}
	s.run(10 * time.Second) // until the changes of the start are disseminated
	return s
}

func TestNodesDiscoverOneAnother(t *testing.T) {
	for _, n := range []struct{ zones, perZone int }{{1, 2}, {2, 1}, {4, 3}, {4, 25}} {
		t.Run(fmt.Sprintf("%dx%d", n.zones, n.perZone), func(t *testing.T) {
			s := newSim(1, n.zones, n.perZone)
			start := s.now
			is.New(t).True(s.runUntil(30*time.Second, s.allAlive))
			t.Logf("joined after %s", s.now.Sub(start))
		})
	}
}

func TestDeadNodeIsDetectedEverywhereWithinTenSeconds(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(10) {
		perZone := 8
		if seed < 2 {
			perZone = 25
		}
		s := newJoinedSim(t, seed, 4, perZone)
		s.run(time.Duration(s.rng.IntN(1000)) * time.Millisecond)
		victim := s.ids[s.rng.IntN(len(s.ids))]
		died := s.now
		s.nodes[victim].up = false
		if !s.runUntil(10*time.Second, func() bool { return s.allSee(victim, wire.StatusDead) }) {
			t.Errorf("seed %d: %s is not dead in all tables after 10 s", seed, victim)
		}
		worst = max(worst, s.now.Sub(died))
	}
	t.Logf("slowest detection of 10 seeds: %s", worst)
}

// failOnFalseDeath makes the test fail if a running node is dead or left in the table of another.
func failOnFalseDeath(t interface{ Fatalf(string, ...any) }, s *sim) {
	s.onChange = func(n *simNode) {
		for _, m := range n.core.members {
			if (m.Status == wire.StatusDead || m.Status == wire.StatusLeft) && s.nodes[m.Node.ID].up {
				t.Fatalf("in the table of %s, the running node %s is %s", n.id, m.Node.ID, m.Status)
			}
		}
	}
}

func TestFrozenNodeIsNotDeclaredDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		s := newSim(rapid.Uint64Range(0, 1<<32).Draw(t, "seed"), zones, rapid.IntRange(2, 8).Draw(t, "per zone"))
		if !s.runUntil(30*time.Second, s.allAlive) {
			t.Fatalf("not all nodes have discovered one another after 30 s")
		}
		failOnFalseDeath(t, s)
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
		if !s.allAlive() {
			t.Fatalf("not all nodes are alive in all tables 15 s after the last freeze")
		}
	})
}

func TestOneWayCutDeclaresNoNodeDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64Range(0, 1<<32).Draw(t, "seed"), 2, 4)
		if !s.runUntil(30*time.Second, s.allAlive) {
			t.Fatalf("not all nodes have discovered one another after 30 s")
		}
		failOnFalseDeath(t, s)
		a := s.ids[rapid.IntRange(0, len(s.ids)-1).Draw(t, "from")]
		b := s.ids[rapid.IntRange(0, len(s.ids)-1).Draw(t, "to")]
		s.cut = func(from, to *simNode) bool { return from.id == a && to.id == b }
		s.run(30 * time.Second)
	})
}

func TestPartitionedZonesRejoin(t *testing.T) {
	is := is.New(t)
	s := newJoinedSim(t, 3, 3, 4)
	s.cut = func(from, to *simNode) bool { return from.az != to.az && (from.az == "z0" || to.az == "z0") }
	is.True(s.runUntil(time.Minute, func() bool { return s.nodes["z0-n00"].status("z1-n00") == wire.StatusDead })) // cut off
	s.run(30 * time.Second)
	s.cut = func(_, _ *simNode) bool { return false }
	is.True(s.runUntil(time.Minute, s.allAlive))
}

func TestRestartedNodeRejoins(t *testing.T) {
	is := is.New(t)
	s := newJoinedSim(t, 4, 2, 3)
	old := s.nodes["z0-n01"]
	old.up = false
	is.True(s.runUntil(20*time.Second, func() bool { return s.allSee("z0-n01", wire.StatusDead) }))
	s.start("z0-n01", "z0", 99, s.ids)
	is.True(s.runUntil(20*time.Second, s.allAlive))
}

func TestPlannedLeaveSpreadsWithinFiveSeconds(t *testing.T) {
	is := is.New(t)
	s := newJoinedSim(t, 5, 2, 5)
	n := s.nodes["z1-n02"]
	n.core.Leave()
	s.sendAll(n, n.core.Tick(s.now))
	s.run(5 * time.Millisecond)
	n.up = false
	is.True(s.runUntil(5*time.Second, func() bool { return s.allSee("z1-n02", wire.StatusLeft) }))
}

func TestSteadyTrafficPerNodeDoesNotGrowWithClusterSize(t *testing.T) {
	rate := func(perZone int) float64 {
		s := newJoinedSim(t, 6, 4, perZone)
		s.run(60 * time.Second) // until the changes of the join are disseminated
		clear(s.bytes)
		s.run(60 * time.Second)
		worst := 0
		for _, b := range s.bytes {
			worst = max(worst, b)
		}
		return float64(worst) / 60
	}
	small, large := rate(3), rate(25)
	t.Logf("bytes per second of the busiest node: %.0f with 12 nodes, %.0f with 100 nodes", small, large)
	if large > 1.3*small {
		t.Errorf("traffic of the busiest node grows from %.0f to %.0f bytes per second; want at most 1.3 times as much", small, large)
	}
}

func TestSameSeedGivesSameRun(t *testing.T) {
	is := is.New(t)
	trace := func() string {
		s := newSim(8, 3, 4)
		s.run(20 * time.Second)
		return fmt.Sprint(s.bytes)
	}
	is.Equal(trace(), trace())
}
