package routing

import (
	"github.com/cespare/xxhash/v2"
	"github.com/ibistrail/ibistrail/trial"
)

// Bounds of the prefix index.
const (
	// PrefixBlockBytes is the granularity of prefixes in bytes of the prompt, the same as that of cache events.
	PrefixBlockBytes = trial.PrefixBytes
	// maxPrefixBlocks is the maximum number of prefixes of one prompt.
	maxPrefixBlocks = 16
	// maxPrefixes is the maximum number of prefixes in a target's prefixSet.
	maxPrefixes = 8192
)

// Prefixes returns the hashes of the prompt's prefixes of whole blocks, the shortest first. A prompt shorter than one
// block has a single prefix, itself.
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

// prefixSet is a set of at most maxPrefixes prefix hashes, which evicts the oldest first.
type prefixSet struct {
	hashes map[uint64]bool
	order  []uint64 // in order of insertion
}

func (p *prefixSet) add(h uint64) {
	if p.hashes == nil {
		p.hashes = map[uint64]bool{}
	}
	if p.hashes[h] {
		return
	}
	for len(p.order) >= maxPrefixes {
		delete(p.hashes, p.order[0])
		p.order = p.order[1:]
	}
	p.hashes[h] = true
	p.order = append(p.order, h)
}

func (p *prefixSet) evict(h uint64) { delete(p.hashes, h) }

func (p *prefixSet) clear() { p.hashes, p.order = nil, nil }

// prefixIndex holds the prefixes that a target probably has in its cache: those that this gate sent to it, and as hints
// those from the target's cache events.
type prefixIndex struct {
	sent, hinted prefixSet
	// bootID identifies the target's incarnation, lastSeq is the sequence number of its last cache event that was applied.
	bootID  string
	lastSeq int64
}

// clear removes all prefixes, for a target whose cache is empty.
func (p *prefixIndex) clear() {
	p.sent.clear()
	p.hinted.clear()
}

// matchLength returns the number of leading prefixes that the target probably caches without a gap.
func (p *prefixIndex) matchLength(prefixes []uint64) int {
	n := 0
	for n < len(prefixes) && (p.sent.hashes[prefixes[n]] || p.hinted.hashes[prefixes[n]]) {
		n++
	}
	return n
}

// apply updates the index with cache events. A gap in the sequence clears the hints, since evictions may have been
// missed; a new incarnation of the target clears the whole index.
func (p *prefixIndex) apply(ev *trial.CacheEvents) {
	if p.bootID != ev.Boot {
		if p.bootID != "" {
			p.clear()
		}
		p.bootID, p.lastSeq = ev.Boot, 0
	}
	for _, e := range ev.Events {
		if e.Seq <= p.lastSeq {
			continue
		}
		if p.lastSeq > 0 && e.Seq != p.lastSeq+1 {
			p.hinted.clear()
		}
		p.lastSeq = e.Seq
		if e.Evicted {
			p.sent.evict(e.PrefixHash)
			p.hinted.evict(e.PrefixHash)
			continue
		}
		p.hinted.add(e.PrefixHash)
	}
	if ev.Next > p.lastSeq {
		if p.lastSeq > 0 {
			p.hinted.clear()
		}
		p.lastSeq = ev.Next
	}
}
