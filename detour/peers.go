package detour

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
)

// Numbers of VMs that are asked at once whether they reach a target.
const (
	maxScouts   = 5
	localScouts = 2 // of the own availability zone
)

// Times for which the outcome of a call through another VM counts.
const (
	// goodTTL is how long a VM that passed a call on is preferred to others.
	goodTTL = 3 * time.Second
	// strandedPause is how long a VM that reaches no target itself is not asked.
	strandedPause = time.Second
	// missedPause is how long a VM that did not reach one target is not asked for any, missedTTL how long it is not asked for that one.
	missedPause = 300 * time.Millisecond
	missedTTL   = time.Second
	// busyPause is how long a VM that had no room is not asked.
	busyPause = 50 * time.Millisecond
	// silentPause is how long a VM that did not answer is not asked.
	silentPause = 3 * time.Second
)

// peers chooses the VM through which a call goes. It does no I/O and is not safe for concurrent use.
type peers struct {
	self fleet.VM
	rand *rand.Rand
	vms  map[string]*peer // by name
}

// peer is what is known about another VM.
type peer struct {
	fleet.VM
	goodUntil  time.Time
	avoidUntil time.Time
	// strandedUntil is until when the VM is taken to reach no target.
	strandedUntil time.Time
	// missed holds until when the VM is taken not to reach a target.
	missed map[fleet.Key]time.Time
}

func newPeers(self fleet.VM, r *rand.Rand) *peers {
	return &peers{self: self, rand: r, vms: map[string]*peer{}}
}

// set replaces the announced VMs. What is known about those that stay is kept.
func (p *peers) set(vms []fleet.VM) {
	previous := p.vms
	p.vms = map[string]*peer{}
	for _, vm := range vms {
		if vm.Name == p.self.Name || vm.RelayAddress == "" {
			continue
		}
		x := previous[vm.Name]
		if x == nil || x.VM != vm {
			x = &peer{VM: vm, missed: map[fleet.Key]time.Time{}}
		}
		p.vms[vm.Name] = x
	}
}

// pick returns the VM to ask next for a call to a target, without those that were tried; nil if there is none. VMs that have passed calls on are
// preferred, then those of this VM's availability zone, where traffic costs nothing, and then larger ones. If several VMs of the zone are
// stranded, the zone is likely to be, and VMs of other zones are preferred.
func (p *peers) pick(now time.Time, target fleet.Key, tried map[string]bool) *peer {
	const unknownPenalty, zonePenalty, smallPenalty = 4, 2, 1
	const strandedVMs = 2 // that make a zone count as stranded
	stranded := 0
	for _, x := range p.vms {
		if x.AvailabilityZone == p.self.AvailabilityZone && now.Before(x.strandedUntil) {
			stranded++
		}
	}
	var best []*peer
	bestPenalty := 0
	for _, x := range p.vms {
		if tried[x.Name] || now.Before(x.avoidUntil) || now.Before(x.missed[target]) {
			continue
		}
		penalty := 0
		if !now.Before(x.goodUntil) {
			penalty += unknownPenalty
		}
		if (x.AvailabilityZone != p.self.AvailabilityZone) == (stranded < strandedVMs) {
			penalty += zonePenalty
		}
		if x.Small {
			penalty += smallPenalty
		}
		if len(best) == 0 || penalty < bestPenalty {
			best, bestPenalty = best[:0], penalty
		}
		if penalty == bestPenalty {
			best = append(best, x)
		}
	}
	if len(best) == 0 {
		return nil
	}
	return best[p.rand.IntN(len(best))]
}

// good reports whether a VM that passes calls on is known.
func (p *peers) good(now time.Time, target fleet.Key) bool {
	x := p.pick(now, target, nil)
	return x != nil && now.Before(x.goodUntil)
}

// scouts returns VMs to ask whether they reach a target: some of this VM's availability zone and some of others, since a zone may be cut
// as a whole.
func (p *peers) scouts(now time.Time, target fleet.Key) []*peer {
	var local, remote []*peer
	for _, x := range p.vms {
		switch {
		case now.Before(x.avoidUntil) || now.Before(x.missed[target]):
		case x.AvailabilityZone == p.self.AvailabilityZone:
			local = append(local, x)
		default:
			remote = append(remote, x)
		}
	}
	p.rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	p.rand.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	first := min(len(local), max(localScouts, maxScouts-len(remote)))
	return append(local[:first], remote[:min(len(remote), maxScouts-first)]...)
}

// served records that a VM passed a call on to a target, which answered.
func (x *peer) served(now time.Time, target fleet.Key) {
	x.goodUntil = now.Add(goodTTL)
	delete(x.missed, target)
}

// declined records that a VM did not pass a call on, for the given reason.
func (x *peer) declined(now time.Time, target fleet.Key, reason declineReason) {
	switch reason {
	case declinedStranded, pathLost:
		x.goodUntil = time.Time{}
		x.strandedUntil = now.Add(strandedPause)
		x.avoidUntil = x.strandedUntil
	case declinedMissed:
		removeExpired(now, x.missed)
		x.missed[target] = now.Add(missedTTL)
		x.avoidUntil = now.Add(missedPause)
	case declinedBusy:
		x.avoidUntil = now.Add(busyPause)
	case brokenOff: // the VM reaches the target
		x.served(now, target)
	case declinedStopping:
		x.avoidUntil = now.Add(silentPause)
	default:
		x.missed[target] = now.Add(missedTTL)
	}
}

// removeExpired removes the targets whose time is over.
func removeExpired(now time.Time, until map[fleet.Key]time.Time) {
	maps.DeleteFunc(until, func(_ fleet.Key, end time.Time) bool { return !now.Before(end) })
}

// silent records that a VM did not answer.
func (x *peer) silent(now time.Time) {
	x.goodUntil, x.avoidUntil = time.Time{}, now.Add(silentPause)
}
