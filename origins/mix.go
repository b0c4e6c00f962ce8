package origins

import (
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
)

// poolSoftware is what a VM knows about the software versions of a pool's targets.
type poolSoftware struct {
	versions []string // of the registered targets, sorted
	// uniformSince is since when all targets have had the same version; zero while they have several.
	uniformSince time.Time
}

// update applies a new view of the pool's targets and reports whether the pool has just got a second version.
func (p *poolSoftware) update(now time.Time, targets []*fleet.Instance) (mixed bool) {
	var versions []string
	var starts []int64
	for _, in := range targets {
		versions, starts = append(versions, in.SoftwareVersion), append(starts, in.StartedMs)
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	if len(versions) == 0 {
		return false // the version of the next targets is compared with the last one
	}
	first := p.versions == nil
	changed := !slices.Equal(versions, p.versions)
	p.versions = versions
	switch {
	case len(versions) > 1:
		p.uniformSince = time.Time{}
		return changed
	case first:
		// What ran before is not known. Targets of another version would have been replaced by younger ones, so it counts since when half
		// of the targets have run; single ones restart at any time.
		slices.Sort(starts)
		p.uniformSince = time.UnixMilli(starts[len(starts)/2])
	case changed:
		p.uniformSince = now
	}
	return false
}

// uniform reports whether streams of the last d can only have begun at the one version that the targets have.
func (p *poolSoftware) uniform(now time.Time, d time.Duration) bool {
	return len(p.versions) == 1 && !p.uniformSince.IsZero() && now.Sub(p.uniformSince) >= d
}
