package routing

import (
	"github.com/cespare/xxhash/v2"
	"github.com/ibistrail/ibistrail/trial"
)

// Bounds of prefix memory.
const (
	// PrefixBlockBytes is the granularity of prefixes, in bytes of the prompt: that of cache events.
	PrefixBlockBytes = trial.PrefixBytes
	// maxPrefixBlocks bounds the prefixes of one prompt.
	maxPrefixBlocks = 16
	// maxPrefixes bounds the prefixes that are remembered for one target.
	maxPrefixes = 8192
)

// Prefixes returns the hashes of the prompt's prefixes of whole blocks, the shortest first. A
// prompt below one block has one prefix, itself.
func Prefixes(prompt string) []uint64 {
	if len(prompt) < PrefixBlockBytes {
		return []uint64{trial.PrefixHash(prompt)}
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

// prefixSet is a bounded set of prefixes, the oldest forgotten first.
type prefixSet struct {
	held  map[uint64]bool
	order []uint64
}

func (p *prefixSet) add(h uint64) {
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

func (p *prefixSet) evict(h uint64) { delete(p.held, h) }

func (p *prefixSet) clear() { p.held, p.order = nil, nil }

// prefixIndex remembers which prefixes a target's cache probably holds: those that this gate sent
// there, and as hints those of the target's cache events.
type prefixIndex struct {
	sent, hinted prefixSet
	// boot and last follow the target's cache events.
	boot string
	last int64
}

// clear forgets all prefixes, as the target's cache is empty.
func (p *prefixIndex) clear() {
	p.sent.clear()
	p.hinted.clear()
}

// depth returns how many of the leading prefixes the target holds without a gap.
func (p *prefixIndex) depth(prefixes []uint64) int {
	n := 0
	for n < len(prefixes) && (p.sent.held[prefixes[n]] || p.hinted.held[prefixes[n]]) {
		n++
	}
	return n
}

// take reads cache events. A gap discards the hints, a new incarnation all that is remembered.
func (p *prefixIndex) take(ev *trial.CacheEvents) {
	if p.boot != ev.Boot {
		if p.boot != "" {
			p.clear()
		}
		p.boot, p.last = ev.Boot, 0
	}
	for _, e := range ev.Events {
		if e.Seq <= p.last {
			continue
		}
		if p.last > 0 && e.Seq != p.last+1 {
			p.hinted.clear()
		}
		p.last = e.Seq
		if e.Evicted {
			p.sent.evict(e.PrefixHash)
			p.hinted.evict(e.PrefixHash)
			continue
		}
		p.hinted.add(e.PrefixHash)
	}
	if ev.Next > p.last {
		if p.last > 0 {
			p.hinted.clear()
		}
		p.last = ev.Next
	}
}
