package promptcache

import (
	"container/list"
	"time"
)

// Bounds of the estimates.
const (
	// maxAge is how long a part counts as held after its last use. Engines also run requests of which this VM does not know.
	maxAge = time.Minute
	// totalParts bounds the parts of all caches of a process together; a part takes about 200 bytes.
	totalParts = 1 << 16
	// minParts and maxParts bound the parts of one cache.
	minParts, maxParts = 16, 512
)

// PartsPerCache returns the number of parts that each of n caches may hold.
func PartsPerCache(n int) int { return min(maxParts, max(minParts, totalParts/max(1, n))) }

// Cache estimates what one incarnation of an engine holds in its memory.
type Cache struct {
	capacity, limit int
	entries         map[uint64]*list.Element
	recent          list.List // of *entry, the most recently used first
	// stored is the number of tokens of the entries, used that of entries with users, outputs that of the outputs of running requests.
	stored, used, outputs int
	versions              map[string]int64
}

// entry is a part of a prompt with all parts before it.
type entry struct {
	key    uint64
	model  string
	tokens int
	// users counts the running requests that use the part; it is not evicted before they end.
	users  int
	usedAt time.Time
	// removed is set once the cache no longer holds the entry.
	removed bool
}

// New returns an empty cache of a memory of capacity tokens that holds at most parts parts.
func New(capacity, parts int) *Cache {
	c := &Cache{entries: map[uint64]*list.Element{}, versions: map[string]int64{}}
	c.Resize(capacity, parts)
	return c
}

// Resize sets the capacity in tokens and the number of parts.
func (c *Cache) Resize(capacity, parts int) {
	if c.capacity == capacity && c.limit == parts {
		return
	}
	c.capacity, c.limit = capacity, parts
	c.evict()
}

// Held returns the number of tokens of the prompt that the engine need not read: those of the parts that are held along with all
// parts before them.
func (c *Cache) Held(now time.Time, p *Prompt) int {
	held := 0
	for i, key := range p.keys {
		el := c.entries[key]
		if el == nil {
			break
		}
		if e := el.Value.(*entry); e.users == 0 && now.Sub(e.usedAt) > maxAge {
			break
		}
		held += p.tokens[i]
	}
	return held
}

// Free returns the number of tokens that fit in without evicting a part.
func (c *Cache) Free() int { return max(0, c.capacity-c.stored-c.outputs) }

// InUse returns the number of tokens that running requests use, with their expected outputs.
func (c *Cache) InUse() int { return c.used + c.outputs }

// Len returns the number of parts.
func (c *Cache) Len() int { return len(c.entries) }

// Stored returns the number of tokens held, without the outputs of running requests.
func (c *Cache) Stored() int { return c.stored }

// Run is a running request.
type Run struct {
	entries []*entry
	// added are those of the entries that the request brought.
	added []*entry
	// own is the number of tokens of the last part, output that of the expected output.
	own, output int
}

// Start records that a request was sent to the engine, which is expected to make output tokens.
func (c *Cache) Start(now time.Time, p *Prompt, output int) *Run {
	c.expire(now)
	r := &Run{own: p.ownTokens(), output: max(0, output)}
	c.outputs += r.output
	for i, key := range p.keys {
		el := c.entries[key]
		if el == nil {
			el = c.recent.PushFront(&entry{key: key, model: p.model, tokens: p.tokens[i]})
			c.entries[key] = el
			c.stored += p.tokens[i]
			r.added = append(r.added, el.Value.(*entry))
		}
		e := el.Value.(*entry)
		if e.users++; e.users == 1 {
			c.used += e.tokens
		}
		r.entries = append(r.entries, e)
	}
	c.use(now, r)
	c.evict()
	return r
}

// End records that a request has ended. If the engine has read the prompt, it and the output tokens stay in the memory until they are
// evicted; otherwise what the request brought is forgotten.
func (c *Cache) End(now time.Time, r *Run, read bool, output int) {
	c.outputs -= r.output
	for _, e := range r.entries {
		if e.users--; e.users == 0 && !e.removed {
			c.used -= e.tokens
		}
	}
	if !read {
		for _, e := range r.added {
			if e.users == 0 && !e.removed {
				c.remove(c.entries[e.key])
			}
		}
	} else {
		last := r.entries[len(r.entries)-1]
		if more := r.own + output - last.tokens; more > 0 && !last.removed {
			last.tokens += more
			c.stored += more
			if last.users > 0 {
				c.used += more
			}
		}
		c.use(now, r)
	}
	*r = Run{}
	c.evict()
}

// use marks the parts of a request as used, the first as the most recent, since those after it are of no use without it.
func (c *Cache) use(now time.Time, r *Run) {
	for i := len(r.entries) - 1; i >= 0; i-- {
		e := r.entries[i]
		e.usedAt = now
		if !e.removed {
			c.recent.MoveToFront(c.entries[e.key])
		}
	}
}

// evict removes the least recently used parts until the rest fits in.
func (c *Cache) evict() {
	for el := c.recent.Back(); el != nil && (c.stored+c.outputs > c.capacity || len(c.entries) > c.limit); {
		previous := el.Prev()
		if el.Value.(*entry).users == 0 {
			c.remove(el)
		}
		el = previous
	}
}

func (c *Cache) remove(el *list.Element) {
	e := el.Value.(*entry)
	c.recent.Remove(el)
	delete(c.entries, e.key)
	c.stored -= e.tokens
	if e.users > 0 {
		c.used -= e.tokens
	}
	e.removed = true
}

// expire removes the parts that were not used for maxAge.
func (c *Cache) expire(now time.Time) {
	for el := c.recent.Back(); el != nil; {
		e, previous := el.Value.(*entry), el.Prev()
		if e.users == 0 {
			if now.Sub(e.usedAt) <= maxAge {
				return // the others were used later
			}
			c.remove(el)
		}
		el = previous
	}
}

// SetVersion records that the engine runs a version of a model, and forgets the model's parts if it ran another one before.
func (c *Cache) SetVersion(model string, version int64) {
	if known := c.versions[model]; known != 0 && known != version {
		c.Forget(model)
	}
	c.versions[model] = version
}

// Forget removes the parts of a model, also those of running requests, which go on with the text that they have.
func (c *Cache) Forget(model string) {
	for el := c.recent.Front(); el != nil; {
		next := el.Next()
		if el.Value.(*entry).model == model {
			c.remove(el)
		}
		el = next
	}
}
