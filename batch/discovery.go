package batch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ibistrail/ibistrail/process"
)

// A submission stays in the partition in which it was accepted, although its route may move and its pool may leave the tables. VMs compete
// for the partitions of the pools in their tables; the tables of a VM that starts later name no pool of such a partition. A VM therefore
// reads the other partitions, too, and competes for those with open work.

// discoveryPause is the pause between the reads of two partitions. Many VMs may start at once, and share the store.
const discoveryPause = 100 * time.Millisecond

// Compete tells that this VM competes for the tenure of a partition. firstInLine is set if it is among the first to take it over.
func (s *Service) Compete(index int, firstInLine bool) {
	p := s.partitions[index]
	p.mu.Lock()
	p.competing = true
	p.mu.Unlock()
	if firstInLine {
		p.setCandidate(s.ctx)
	}
}

// DiscoverOpenWork reads, in the background, the partitions for which this VM does not compete. Options.OnOpenWork tells of open work there.
func (s *Service) DiscoverOpenWork() {
	for _, p := range s.partitions {
		p.setUndiscovered()
	}
	process.Notify(s.discoveries)
}

// discover reads partitions after each call of DiscoverOpenWork until the service's context ends.
func (s *Service) discover() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.discoveries:
			s.readUndiscovered()
		}
	}
}

// readUndiscovered reads the partitions that are still to be read, in random order: the first of several VMs then soon finds open work. Those
// that can't be read are tried again after the others.
func (s *Service) readUndiscovered() {
	var outage process.Outage
	for failed := true; failed && s.ctx.Err() == nil; {
		failed = false
		for _, i := range rand.Perm(len(s.partitions)) {
			p := s.partitions[i]
			if !p.takeUndiscovered() {
				continue
			}
			if err := p.sync(s.ctx); err != nil {
				p.setUndiscovered()
				outage.Failed(s.opts.Log, "discovery", err, "partition", i)
				failed = true
			}
			process.Sleep(s.ctx, discoveryPause)
		}
		if failed {
			process.Sleep(s.ctx, readRetryDelay)
		}
	}
	outage.Recovered(s.opts.Log, "discovery")
}

// setUndiscovered tells that the partition is to be read unless this VM competes for it.
func (p *partition) setUndiscovered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.undiscovered = true
}

// takeUndiscovered reports whether the partition is to be read now.
func (p *partition) takeUndiscovered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	read := p.undiscovered && !p.competing
	p.undiscovered = false
	return read
}

// hasOpenWork reports whether the partition has an open submission, or a void one that is to be placed. The caller holds mu.
func (p *partition) hasOpenWork() bool {
	for _, v := range p.index.void {
		if p.mustPlace(v) {
			return true
		}
	}
	for _, sub := range p.index.submissions {
		if !sub.done() {
			return true
		}
	}
	return false
}

// OpenPartitions returns the partitions with open work, as far as this VM has read them.
func (s *Service) OpenPartitions() []int {
	var out []int
	for i, p := range s.partitions {
		p.mu.Lock()
		if p.hasOpenWork() {
			out = append(out, i)
		}
		p.mu.Unlock()
	}
	return out
}

// OpenPools returns the pools that run the open submissions of a partition, as far as this VM has read it.
func (s *Service) OpenPools(index int) []string {
	t := s.opts.View.Get().Tables
	if t == nil {
		return nil
	}
	var pools []string
	p := s.partitions[index]
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, sub := range p.index.submissions {
		if sub.done() {
			continue
		}
		if route := sub.head.route(t); route != nil && !slices.Contains(pools, route.Pool) {
			pools = append(pools, route.Pool)
		}
	}
	return pools
}
