// Package rumor keeps small facts that all nodes should soon know, besides membership: leaving
// targets, weight versions, engine deaths with suspects. Entries expire; the larger Seq of one
// kind and key wins. They travel on the messages of membership.
package rumor

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/ibistrail/ibistrail/wire"
)

// Kinds of rumors.
const (
	// KindLeaving has a target's address as its key and the reason as its value; an empty reason
	// means that the target is not leaving any more.
	KindLeaving = "leaving"
	// KindVersion has a model as its key and the weight version as its Seq.
	KindVersion = "version"
	// KindDeath tells of an engine that died while a request ran on it.
	KindDeath = "death"
	// KindCleared tells that a request proved harmless; its key is the fingerprint.
	KindCleared = "cleared"
	// KindLoadRate tells how many engines the weight store serves at a time; its key is "store".
	KindLoadRate = "load-rate"
	// KindEngines tells what the engines of a pool run; it stays inside a zone.
	KindEngines = "engines"
)

// Bounds of a Store.
const (
	// MaxEntries bounds the entries.
	MaxEntries = 8192
	// MaxValueBytes bounds the value of an entry.
	MaxValueBytes = 4096
	// MaxKeyBytes bounds the key of an entry.
	MaxKeyBytes = 512
	// MaxNews bounds the rumors that one message carries as news.
	MaxNews = 16
	// MaxSync bounds the rumors that one message carries to compare tables.
	MaxSync = 64
	// MaxTTL bounds how long an entry may live.
	MaxTTL = 24 * time.Hour
	// Buckets is the number of parts whose digests are compared.
	Buckets = 16
	// minSends is the least number of messages that carry a piece of news.
	minSends = 3
	// nodesBits stands for the size of the deployment in the number of sendings.
	nodesBits = 3
)

type key struct{ kind, key string }

type entry struct {
	wire.Rumor
	hash  uint64
	sends int
}

// Store holds the rumors that a node knows. It has no clock and is not safe for concurrent use.
type Store struct {
	entries map[key]*entry
	fresh   bool
	version uint64
}

// New returns an empty store.
func New() *Store { return &Store{entries: map[key]*entry{}} }

// zoneOnly tells whether rumors of a kind stay inside an availability zone.
func zoneOnly(kind string) bool { return kind == KindEngines }

// Put adds a rumor of this node's own or from a peer and tells whether it was news.
func (s *Store) Put(now time.Time, r wire.Rumor) bool {
	ms := now.UnixMilli()
	if r.Expires <= ms || r.Expires > ms+MaxTTL.Milliseconds() || len(r.Value) > MaxValueBytes || len(r.Key) > MaxKeyBytes {
		return false
	}
	k := key{r.Kind, r.Key}
	old := s.entries[k]
	if old != nil && (r.Seq < old.Seq || (r.Seq == old.Seq && r.Expires <= old.Expires)) {
		return false
	}
	if old == nil && !s.makeRoom(r) {
		return false
	}
	if old != nil && old.Seq == r.Seq {
		old.Expires = r.Expires // the same fact, kept for longer
		return false
	}
	s.entries[k] = &entry{Rumor: r, hash: hash(r), sends: minSends + nodesBits}
	s.fresh = true
	s.version++
	return true
}

// makeRoom drops the entry that expires first where the store is full, unless r expires before it.
func (s *Store) makeRoom(r wire.Rumor) bool {
	if len(s.entries) < MaxEntries {
		return true
	}
	var first *entry
	for _, e := range s.entries {
		if first == nil || e.Expires < first.Expires {
			first = e
		}
	}
	if first.Expires >= r.Expires {
		return false
	}
	delete(s.entries, key{first.Kind, first.Key})
	return true
}

// Merge adds rumors from a peer and tells whether any was news.
func (s *Store) Merge(now time.Time, rumors []wire.Rumor) bool {
	news := false
	for _, r := range rumors {
		news = s.Put(now, r) || news
	}
	return news
}

// Expire forgets what has expired.
func (s *Store) Expire(now time.Time) {
	ms := now.UnixMilli()
	for k, e := range s.entries {
		if e.Expires <= ms {
			delete(s.entries, k)
			s.version++
		}
	}
}

// Version grows with each change of the content.
func (s *Store) Version() uint64 { return s.version }

// Len returns the number of entries.
func (s *Store) Len() int { return len(s.entries) }

// Fresh tells whether something was added since the last call.
func (s *Store) Fresh() bool {
	f := s.fresh
	s.fresh = false
	return f
}

// Kind returns the rumors of a kind, by key.
func (s *Store) Kind(kind string) []wire.Rumor {
	var out []wire.Rumor
	for k, e := range s.entries {
		if k.kind == kind {
			out = append(out, e.Rumor)
		}
	}
	slices.SortFunc(out, func(a, b wire.Rumor) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// hash covers what identifies a fact; the time when it expires may differ between nodes.
func hash(r wire.Rumor) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Kind) // a hash takes every write
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(r.Key)
	_, _ = d.Write([]byte{0, byte(r.Seq), byte(r.Seq >> 8), byte(r.Seq >> 16), byte(r.Seq >> 24), byte(r.Seq >> 32), byte(r.Seq >> 40), byte(r.Seq >> 48), byte(r.Seq >> 56)})
	return d.Sum64()
}

func bucketOf(k key) int { return int(xxhash.Sum64String(k.kind+"\x00"+k.key) % Buckets) }

// Hash is the digest of all that a peer should know too.
func (s *Store) Hash(sameZone bool) uint64 {
	var h uint64
	for k, e := range s.entries {
		if sameZone || !zoneOnly(k.kind) {
			h ^= e.hash
		}
	}
	return h
}

// Digests are the digests of the parts.
func (s *Store) Digests(sameZone bool) []uint64 {
	out := make([]uint64, Buckets)
	for k, e := range s.entries {
		if sameZone || !zoneOnly(k.kind) {
			out[bucketOf(k)] ^= e.hash
		}
	}
	return out
}

// Differing returns the parts whose digest is not that of theirs.
func (s *Store) Differing(theirs []uint64, sameZone bool) []int {
	if len(theirs) != Buckets {
		return nil
	}
	var out []int
	for i, h := range s.Digests(sameZone) {
		if h != theirs[i] {
			out = append(out, i)
		}
	}
	return out
}

// News returns rumors that still have to be spread and uses up one sending of each.
func (s *Store) News(sameZone bool) []wire.Rumor {
	var fresh []*entry
	for k, e := range s.entries {
		if e.sends > 0 && (sameZone || !zoneOnly(k.kind)) {
			fresh = append(fresh, e)
		}
	}
	slices.SortFunc(fresh, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key))
	})
	fresh = fresh[:min(MaxNews, len(fresh))]
	out := make([]wire.Rumor, len(fresh))
	for i, e := range fresh {
		e.sends--
		out[i] = e.Rumor
	}
	return out
}

// InBuckets returns the rumors of parts, except those that the other side has told.
func (s *Store) InBuckets(buckets []int, told []wire.Rumor, sameZone bool) []wire.Rumor {
	known := make(map[key]int64, len(told))
	for _, r := range told {
		known[key{r.Kind, r.Key}] = r.Seq
	}
	var out []wire.Rumor
	for k, e := range s.entries {
		seq, ok := known[k]
		if (sameZone || !zoneOnly(k.kind)) && slices.Contains(buckets, bucketOf(k)) && (!ok || seq < e.Seq) {
			out = append(out, e.Rumor)
		}
	}
	slices.SortFunc(out, func(a, b wire.Rumor) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key))
	})
	return out[:min(len(out), MaxSync)]
}
