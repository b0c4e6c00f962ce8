package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ibistrail/ibistrail/fleet"
)

// coordinatorCount is the number of VMs that may coordinate a target, one after the other.
const coordinatorCount = 3

// bucketTTL is how long the bucket of a target is kept after the last request for permits.
const bucketTTL = time.Minute

// coordinators returns the VMs that may coordinate a target, the first choice first. All VMs compute the same from the same
// announcements. VMs of the target's zone come first, as a zone that is cut off can then still use its targets; among these,
// VMs with more processing power do.
func coordinators(vms []fleet.VM, target fleet.Key, az string) []fleet.VM {
	type candidate struct {
		fleet.VM
		penalty int
		hash    uint64
	}
	const otherZonePenalty, smallPenalty = 2, 1
	candidates := make([]candidate, 0, len(vms))
	for _, vm := range vms {
		c := candidate{VM: vm, hash: xxhash.Sum64String(vm.Name + "/" + target.ID)}
		if vm.AvailabilityZone != az {
			c.penalty += otherZonePenalty
		}
		if vm.Small {
			c.penalty += smallPenalty
		}
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.penalty, b.penalty), cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name))
	})
	out := make([]fleet.VM, 0, coordinatorCount)
	for _, c := range candidates[:min(coordinatorCount, len(candidates))] {
		out = append(out, c.VM)
	}
	return out
}

// buckets holds the buckets of targets.
type buckets map[fleet.Key]*bucket

// get returns the bucket of a target, paced by the newest limit. A new one starts without a burst.
func (b buckets) get(now time.Time, target fleet.Key, perSecond float64, statedAt time.Time) *bucket {
	x := b[target]
	if x == nil {
		for k, old := range b {
			if now.Sub(old.usedAt) > bucketTTL {
				delete(b, k)
			}
		}
		x = newBucket(now, perSecond, statedAt)
		x.usedAt = now
		b[target] = x
		return x
	}
	x.setLimit(now, perSecond, statedAt)
	return x
}
