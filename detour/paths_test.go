package detour

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fleet"
)

var start = time.Unix(1_800_000_000, 0)

// instances returns n targets, in turn in the availability zones a and b.
func instances(n int) []*fleet.Instance {
	var out []*fleet.Instance
	for i := range n {
		out = append(out, &fleet.Instance{Target: config.Target{Name: fmt.Sprint("t", i), AvailabilityZone: string(rune('a' + i%2))}})
	}
	return out
}

// runCheck runs a check whose probes take 100 ms each, and returns the probed targets.
func runCheck(p *paths, now time.Time, suspect *fleet.Instance, missed bool, all []*fleet.Instance, reached func(in *fleet.Instance) bool) (probed []*fleet.Instance) {
	for probes := p.startCheck(now, suspect, missed, all); len(probes) > 0; {
		now = now.Add(100 * time.Millisecond)
		var next []*fleet.Instance
		for _, in := range probes {
			probed = append(probed, in)
			next = append(next, p.checked(now, in.Key(), reached(in), all)...)
		}
		probes = next
	}
	return probed
}

func TestSlowTargetIsProbedOnce(t *testing.T) {
	is := is.New(t)
	p, all := newPaths(), instances(6)
	probed := runCheck(p, start, all[0], false, all, func(*fleet.Instance) bool { return true })
	is.Equal(probed, all[:1])
	is.True(!p.impaired())
	is.Equal(len(p.startCheck(start.Add(checkPause-1), all[0], false, all)), 0) // checks are rare
	p.observe(start.Add(time.Second))
	is.Equal(len(p.startCheck(start.Add(time.Second+silenceLimit-1), all[0], true, all)), 0) // another target has just given a sign
}

func TestDeadTargetBesideOthersIsNotTakenForACut(t *testing.T) {
	for _, missed := range []bool{false, true} {
		is := is.New(t)
		p, all := newPaths(), instances(6)
		probed := runCheck(p, start, all[0], missed, all, func(in *fleet.Instance) bool { return in != all[0] })
		others := probed
		if !missed {
			is.Equal(probed[0], all[0])
			others = probed[1:]
		}
		is.Equal(len(others), otherProbes)
		for _, in := range others {
			is.True(in.AvailabilityZone != all[0].AvailabilityZone) // a zone is often cut as a whole
		}
		is.True(!p.impaired())
	}
}

func TestOneLostPathIsProbedUntilItIsBack(t *testing.T) {
	is := is.New(t)
	p, all := newPaths(), instances(6)
	p.lose(start, all[2].Key())
	is.True(!p.direct(all[2].Key()))
	is.True(p.direct(all[1].Key()))
	is.Equal(p.nextProbe(all), all[2]) // no other is probed
	p.answered(start.Add(time.Second), start.Add(time.Second), all[2].Key())
	is.True(p.direct(all[2].Key()))
	is.True(!p.impaired())
}

func TestVMIsStrandedIfNoTargetGivesASign(t *testing.T) {
	is := is.New(t)
	p, all := newPaths(), instances(4)
	p.observe(start.Add(-time.Second))
	runCheck(p, start, all[0], false, all, func(*fleet.Instance) bool { return false })
	is.True(p.stranded)
	for _, in := range all {
		is.True(!p.direct(in.Key()))
	}
	// An answer to a call that was sent before shows only that an old connection lives on.
	p.answered(start, start.Add(time.Second), all[1].Key())
	is.True(p.stranded)
	probed := map[string]bool{}
	for range all { // in turn, as some may have ended
		probed[p.nextProbe(all).Name] = true
	}
	is.Equal(len(probed), len(all))
	p.answered(start.Add(time.Second), start.Add(time.Second), all[3].Key())
	is.True(!p.stranded)
	is.True(p.direct(all[0].Key())) // all are back at once
}

func TestSignsDuringACheckKeepTheDirectPath(t *testing.T) {
	is := is.New(t)
	p, all := newPaths(), instances(2)
	runCheck(p, start, all[0], false, all, func(*fleet.Instance) bool {
		p.observe(start.Add(50 * time.Millisecond)) // an event of a stream
		return false
	})
	is.True(!p.stranded)
}

func TestRemovedTargetsAreForgotten(t *testing.T) {
	is := is.New(t)
	p, all := newPaths(), instances(3)
	p.lose(start, all[0].Key())
	is.Equal(p.nextProbe(all[1:]), nil)
	is.True(!p.impaired())
}

// TestPathsFollowReachability checks with generated cuts, which change during checks, that probes alone find the paths again: soon after
// the last change, exactly the reached targets are called directly.
func TestPathsFollowReachability(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := instances(rapid.IntRange(2, 8).Draw(rt, "targets"))
		p, now := newPaths(), start
		reached := map[fleet.Key]bool{}
		cut := func() {
			some := rapid.Bool().Draw(rt, "some reached")
			for _, in := range all {
				reached[in.Key()] = some && rapid.Bool().Draw(rt, "reached")
			}
		}
		step := func() {
			now = now.Add(checkPause)
			suspect := all[rapid.IntRange(0, len(all)-1).Draw(rt, "suspect")]
			changes := rapid.Bool().Draw(rt, "cut changes")
			runCheck(p, now, suspect, rapid.Bool().Draw(rt, "missed"), all, func(in *fleet.Instance) bool {
				if changes {
					cut()
				}
				return reached[in.Key()]
			})
			if !reached[suspect.Key()] {
				p.lose(now, suspect.Key())
			}
			now = now.Add(checkPause)
		}
		for range rapid.IntRange(1, 10).Draw(rt, "changes") {
			cut()
			step()
		}
		for _, in := range all { // the last change heals all
			reached[in.Key()] = true
		}
		for range 2 * len(all) {
			now = now.Add(checkPause)
			if in := p.nextProbe(all); in != nil {
				p.answered(now, now, in.Key())
			}
		}
		if p.impaired() {
			rt.Fatalf("paths are not found again: stranded %v, lost %v", p.stranded, p.lost)
		}
	})
}

func newTestPeers(vms ...fleet.VM) *peers {
	p := newPeers(fleet.VM{Name: "self", AvailabilityZone: "a"}, rand.New(rand.NewPCG(1, 2)))
	for i := range vms {
		vms[i].RelayAddress = vms[i].Name
	}
	p.set(vms)
	return p
}

func TestPeersOfTheOwnZoneArePreferredUnlessTheZoneIsStranded(t *testing.T) {
	is := is.New(t)
	target := fleet.Key{ID: "t"}
	p := newTestPeers(fleet.VM{Name: "self", AvailabilityZone: "a"}, fleet.VM{Name: "a1", AvailabilityZone: "a"}, fleet.VM{Name: "a2", AvailabilityZone: "a"},
		fleet.VM{Name: "a3", AvailabilityZone: "a"}, fleet.VM{Name: "a4", AvailabilityZone: "a", Small: true}, fleet.VM{Name: "b1", AvailabilityZone: "b"})
	is.Equal(len(p.vms), 5) // without itself
	tried := map[string]bool{}
	for range 2 {
		x := p.pick(start, target, tried)
		is.True(x.AvailabilityZone == "a" && !x.Small)
		tried[x.Name] = true
		x.declined(start, target, declinedStranded)
	}
	is.Equal(p.pick(start, target, tried).Name, "b1") // two of the zone are stranded
	var last *peer
	for _, name := range []string{"a1", "a2", "a3"} {
		if !tried[name] {
			last = p.vms[name]
		}
	}
	last.served(start, target)
	is.Equal(p.pick(start, target, tried), last) // known to reach targets
	is.True(p.good(start, target))
	is.True(!p.good(start.Add(goodTTL), target))
	later := start.Add(strandedPause)
	is.True(tried[p.pick(later, target, map[string]bool{last.Name: true, "a4": true, "b1": true}).Name]) // asked again
}

func TestVMsThatDeclineAreLeftAlone(t *testing.T) {
	for reason, pause := range map[declineReason]time.Duration{
		declinedStranded: strandedPause, declinedBusy: busyPause, declinedStopping: silentPause, declinedMissed: missedTTL, declinedUnknown: missedTTL, declinedDraining: missedTTL,
	} {
		t.Run(string(reason), func(t *testing.T) {
			is := is.New(t)
			target := fleet.Key{ID: "t"}
			p := newTestPeers(fleet.VM{Name: "a1", AvailabilityZone: "a"})
			p.vms["a1"].declined(start, target, reason)
			is.Equal(p.pick(start.Add(pause-1), target, nil), nil)
			is.Equal(p.pick(start.Add(pause), target, nil).Name, "a1")
			other := p.pick(start.Add(missedPause), fleet.Key{ID: "other"}, nil)
			is.Equal(other != nil, reason != declinedStranded && reason != declinedStopping) // other targets may be reached
		})
	}
}

func TestScoutsComeFromSeveralZones(t *testing.T) {
	is := is.New(t)
	var vms []fleet.VM
	for i := range 20 {
		vms = append(vms, fleet.VM{Name: fmt.Sprint("vm", i), AvailabilityZone: string(rune('a' + i%2))})
	}
	p := newTestPeers(vms...)
	local := 0
	scouts := p.scouts(start, fleet.Key{ID: "t"})
	for _, x := range scouts {
		if x.AvailabilityZone == "a" {
			local++
		}
	}
	is.Equal(len(scouts), maxScouts)
	is.Equal(local, localScouts)
	p.set(vms[:2]) // one of each zone
	is.Equal(len(p.scouts(start, fleet.Key{ID: "t"})), 2)
}
