package routing

import (
	"github.com/cespare/xxhash/v2"
	"github.com/ibistrail/ibistrail/platform"
)

// Bounds of prefix memory.
const (
	// PrefixBlockBytes is the granularity of prefixes, in bytes of the prompt: that of cache events.
	PrefixBlockBytes = platform.PrefixBytes
	// maxPrefixBlocks bounds the prefixes of one prompt.
	maxPrefixBlocks = 16
	// maxPrefixes bounds the prefixes that are remembered for one target.
	maxPrefixes = 8192
)

// Prefixes returns the hashes of the prompt's prefixes of whole blocks, the shortest first. A
// prompt below one block has one prefix, itself.
func Prefixes(prompt string) []uint64 {
	if len(prompt) < PrefixBlockBytes {
		return []uint64{platform.PrefixHash(prompt)}
	}
	n := min(len(prompt)/PrefixBlockBytes, maxPrefixBlocks)
	out := make([]uint64, 0, n)
	d := xxhash.New()
	for i := range n {
		_, _ = d.WriteString(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		out = append(out, d.Sum64())
	}
	return out
}

// prefixIndex remembers which prefixes a target's cache probably holds, the oldest forgotten first.
type prefixIndex struct {
	held  map[uint64]bool
	order []uint64
	// boot and next follow the target's cache events.
	boot string
	next int64
}

func (p *prefixIndex) add(h uint64) {
	if p.held == nil {
		p.held = map[uint64]bool{}
	}
	if p.held[h] {
		return
	}
	for len(p.order) >= maxPrefixes {
		delete(p.held, p.order[0])
		p.order = p.order[1:]
	}
	p.held[h] = true
	p.order = append(p.order, h)
}

func (p *prefixIndex) evict(h uint64) { delete(p.held, h) }

// clear forgets all prefixes.
func (p *prefixIndex) clear() { p.held, p.order = nil, nil }

// depth returns how many of the leading prefixes the target holds without a gap.
func (p *prefixIndex) depth(prefixes []uint64) int {
	n := 0
	for n < len(prefixes) && p.held[prefixes[n]] {
		n++
	}
	return n
}
