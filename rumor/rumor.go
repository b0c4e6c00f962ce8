// Package rumor stores small, expiring facts that are disseminated to all nodes by gossip, such as
// leaving targets, weight versions and engine deaths. Of the rumors with the same kind and key, the
// one with the largest Seq wins. Rumors are sent on the messages of package membership.
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
	// KindLeaving announces that a target is leaving. Its key is the target's address and its value
	// the reason; an empty reason means that the target is no longer leaving.
	KindLeaving = "leaving"
	// KindVersion announces a weight version. Its key is the model and its Seq the version.
	KindVersion = "version"
	// KindDeath reports that an engine died while it ran a request; NewDeath gives its key and value.
	KindDeath = "death"
	// KindCleared reports that a suspect request did not cause a death; its key is the fingerprint.
	KindCleared = "cleared"
	// KindLoadRate announces how many engines the weight store serves concurrently; its key is "store".
	KindLoadRate = "load-rate"
	// KindEngines reports what the engines of a pool run. It is not sent to other availability zones.
	KindEngines = "engines"
)

// Limits of a Store.
const (
	// MaxEntries is the maximum number of entries.
	MaxEntries = 8192
	// MaxValueBytes is the maximum size of an entry's value.
	MaxValueBytes = 4096
	// MaxKeyBytes is the maximum size of an entry's key.
	MaxKeyBytes = 512
	// MaxUpdates is the maximum number of new rumors in one message.
	MaxUpdates = 16
	// MaxSync is the maximum number of rumors in one message that synchronizes two stores.
	MaxSync = 64
	// MaxTTL is the maximum time to live of an entry.
	MaxTTL = 24 * time.Hour
	// Buckets is the number of hash buckets into which entries are divided to compare stores.
	Buckets = 16
	// minSends is the minimum number of messages that carry a new rumor.
	minSends = 3
	// deploymentSizeBits is added to minSends; it stands for the bit length of the number of nodes.
	deploymentSizeBits = 3
)

type key struct{ kind, key string }

type entry struct {
	wire.Rumor
	hash      uint64
	sendsLeft int
}

// Store holds the rumors that a node knows. It reads no clock (callers pass the time) and is not safe
// for concurrent use.
type Store struct {
	entries map[key]*entry
	changed bool
	version uint64
}

// New returns an empty store.
func New() *Store { return &Store{entries: map[key]*entry{}} }

// zoneOnly reports whether rumors of a kind are not sent to other availability zones.
func zoneOnly(kind string) bool { return kind == KindEngines }

// Put adds a rumor of this node or of a peer and reports whether it was new. A rumor with an equal Seq
// only extends the expiry of the entry. Put ignores rumors that have expired, exceed a limit, or have a lower Seq.
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
		old.Expires = r.Expires // the same fact with a later expiry
		return false
	}
	s.entries[k] = &entry{Rumor: r, hash: hash(r), sendsLeft: minSends + deploymentSizeBits}
	s.changed = true
	s.version++
	return true
}

// makeRoom evicts the entry that expires first if the store is full. It reports whether there is room
// for r; there is none if r would expire first.
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

// Merge adds rumors from a peer and reports whether any was new.
func (s *Store) Merge(now time.Time, rumors []wire.Rumor) bool {
	added := false
	for _, r := range rumors {
		added = s.Put(now, r) || added
	}
	return added
}

// Expire removes expired entries.
func (s *Store) Expire(now time.Time) {
	ms := now.UnixMilli()
	for k, e := range s.entries {
		if e.Expires <= ms {
			delete(s.entries, k)
			s.version++
		}
	}
}

// Version returns a counter that increases when entries are added, replaced or expire.
func (s *Store) Version() uint64 { return s.version }

// Len returns the number of entries.
func (s *Store) Len() int { return len(s.entries) }

// TakeChanged reports whether an entry was added or replaced since the last call.
func (s *Store) TakeChanged() bool {
	changed := s.changed
	s.changed = false
	return changed
}

// ByKind returns the rumors of a kind, sorted by key.
func (s *Store) ByKind(kind string) []wire.Rumor {
	var out []wire.Rumor
	for k, e := range s.entries {
		if k.kind == kind {
			out = append(out, e.Rumor)
		}
	}
	slices.SortFunc(out, func(a, b wire.Rumor) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// hash returns the hash of kind, key and Seq. The expiry is left out, because it may differ between nodes.
func hash(r wire.Rumor) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Kind) // a hash.Hash never returns an error
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(r.Key)
	_, _ = d.Write([]byte{0, byte(r.Seq), byte(r.Seq >> 8), byte(r.Seq >> 16), byte(r.Seq >> 24), byte(r.Seq >> 32), byte(r.Seq >> 40), byte(r.Seq >> 48), byte(r.Seq >> 56)})
	return d.Sum64()
}

func bucketOf(k key) int { return int(xxhash.Sum64String(k.kind+"\x00"+k.key) % Buckets) }

// Hash returns the hash of all entries that a peer should have; sameZone means that the peer is in
// this node's availability zone.
func (s *Store) Hash(sameZone bool) uint64 {
	var h uint64
	for k, e := range s.entries {
		if sameZone || !zoneOnly(k.kind) {
			h ^= e.hash
		}
	}
	return h
}

// BucketHashes returns the hash of the entries of each bucket that a peer should have.
func (s *Store) BucketHashes(sameZone bool) []uint64 {
	out := make([]uint64, Buckets)
	for k, e := range s.entries {
		if sameZone || !zoneOnly(k.kind) {
			out[bucketOf(k)] ^= e.hash
		}
	}
	return out
}

// DifferingBuckets returns the buckets whose hashes differ from those of a peer.
func (s *Store) DifferingBuckets(theirs []uint64, sameZone bool) []int {
	if len(theirs) != Buckets {
		return nil
	}
	var out []int
	for i, h := range s.BucketHashes(sameZone) {
		if h != theirs[i] {
			out = append(out, i)
		}
	}
	return out
}

// NextUpdates returns up to MaxUpdates rumors that have sends left, those with the most first, and counts one
// send of each.
func (s *Store) NextUpdates(sameZone bool) []wire.Rumor {
	var pending []*entry
	for k, e := range s.entries {
		if e.sendsLeft > 0 && (sameZone || !zoneOnly(k.kind)) {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.sendsLeft, a.sendsLeft), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key))
	})
	pending = pending[:min(MaxUpdates, len(pending))]
	out := make([]wire.Rumor, len(pending))
	for i, e := range pending {
		e.sendsLeft--
		out[i] = e.Rumor
	}
	return out
}

// InBuckets returns up to MaxSync rumors of the given buckets, except those in received, the rumors that
// the peer has sent.
func (s *Store) InBuckets(buckets []int, received []wire.Rumor, sameZone bool) []wire.Rumor {
	known := make(map[key]int64, len(received))
	for _, r := range received {
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
