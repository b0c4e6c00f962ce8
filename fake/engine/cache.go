package engine

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/ibistrail/ibistrail/fake/answer"
	"github.com/ibistrail/ibistrail/trial"
)

// maxCacheEvents bounds the retained cache events.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of prompt prefixes in blocks of trial.PrefixBytes. The last block of
// a prompt may be shorter.
type prefixCache struct {
	capacity int // tokens
	used     int // tokens
	blocks   map[uint64]*list.Element
	lru      *list.List // of *block, the most recently used first
	events   []cacheEvent
	seq      int64
}

type block struct {
	hash   uint64
	tokens int
	first  bool // first block of its prompt
}

type cacheEvent struct {
	trial.CacheEvent
	time time.Time
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, blocks: map[uint64]*list.Element{}, lru: list.New()}
}

// lookupAndFill returns how many leading tokens of prompt are cached, and adds the missing blocks.
func (c *prefixCache) lookupAndFill(now time.Time, prompt string) int {
	cached, prefixHit := 0, true
	for start := 0; start < len(prompt); start += trial.PrefixBytes {
		end := min(start+trial.PrefixBytes, len(prompt))
		h := xxhash.Sum64String(prompt[:end])
		tokens := answer.PromptTokens(prompt[start:end])
		e, ok := c.blocks[h]
		if ok {
			c.lru.MoveToFront(e)
		} else {
			c.store(now, block{hash: h, tokens: tokens, first: start == 0})
		}
		if prefixHit = prefixHit && ok; prefixHit {
			cached += tokens
		}
	}
	return cached
}

func (c *prefixCache) store(now time.Time, b block) {
	if b.tokens > c.capacity {
		return
	}
	for c.used+b.tokens > c.capacity {
		c.evict(now, c.lru.Back())
	}
	c.blocks[b.hash] = c.lru.PushFront(&b)
	c.used += b.tokens
	c.recordEvent(now, b, false)
}

func (c *prefixCache) evict(now time.Time, e *list.Element) {
	b := c.lru.Remove(e).(*block)
	delete(c.blocks, b.hash)
	c.used -= b.tokens
	c.recordEvent(now, *b, true)
}

// clear evicts all blocks: the KV cache of other weights is invalid.
func (c *prefixCache) clear(now time.Time) {
	for c.lru.Len() > 0 {
		c.evict(now, c.lru.Back())
	}
}

// recordEvent records an event of a first block; published events identify prefixes by their first block only.
func (c *prefixCache) recordEvent(now time.Time, b block, evicted bool) {
	if !b.first {
		return
	}
	c.seq++
	c.events = append(c.events, cacheEvent{trial.CacheEvent{Seq: c.seq, PrefixHash: b.hash, Evicted: evicted}, now})
	if len(c.events) > maxCacheEvents {
		c.events = append([]cacheEvent(nil), c.events[len(c.events)-maxCacheEvents/2:]...)
	}
}

// since returns the events after seq that are at least lag old, and the sequence number of the last event considered.
// Events whose sequence number gapEvery divides are left out; 0 or less keeps all.
func (c *prefixCache) since(now time.Time, seq int64, lag time.Duration, gapEvery int64) ([]trial.CacheEvent, int64) {
	events, next := []trial.CacheEvent{}, seq
	for _, e := range c.events {
		if e.Seq <= seq {
			continue
		}
		if now.Sub(e.time) < lag {
			break
		}
		next = e.Seq
		if gapEvery > 0 && e.Seq%gapEvery == 0 {
			continue
		}
		events = append(events, e.CacheEvent)
	}
	return events, next
}
