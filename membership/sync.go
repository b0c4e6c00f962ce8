package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/ibistrail/ibistrail/wire"
)

// Limits of the table sync (anti-entropy).
const (
	// Buckets is the number of hash buckets into which members are divided to compare tables.
	Buckets = 16
	// BucketsPerSync is the maximum number of buckets that one message synchronizes.
	BucketsPerSync = 2
	// MaxSyncMembers is the maximum number of members in one sync message.
	MaxSyncMembers = 64
	// MismatchesBeforeSync is the number of consecutive exchanges with differing hashes before a
	// sync: hashes differ for a moment while a change is being disseminated.
	MismatchesBeforeSync = 3
	// MinSyncInterval is the minimum time between two syncs in the steady state.
	MinSyncInterval = 2 * time.Second
	// smallTable is the number of members up to which a node syncs at the first mismatch, as it has
	// just started.
	smallTable = 2
)

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % Buckets) }

// memberHash returns the hash of ID and incarnation. The status is left out: only live members are
// hashed, and a suspicion ends by itself.
func memberHash(m *member) uint64 {
	b := make([]byte, 0, len(m.Node.ID)+8)
	b = append(b, m.Node.ID...)
	for i := range 8 {
		b = append(b, byte(m.Incarnation>>(8*i)))
	}
	return xxhash.Sum64(b)
}

func (c *Core) tableHash() uint64 {
	var h uint64
	for _, m := range c.members {
		if m.live() {
			h ^= memberHash(m)
		}
	}
	return h
}

func (c *Core) bucketHashes() []uint64 {
	out := make([]uint64, Buckets)
	for id, m := range c.members {
		if m.live() {
			out[bucketOf(id)] ^= memberHash(m)
		}
	}
	return out
}

// nextUpdates returns up to MaxUpdates entries that have sends left, those with the most first, and counts
// one send of each. The receiver's own entry is included only if the receiver must refute it.
func (c *Core) nextUpdates(to string) []wire.Member {
	var pending []*member
	for _, m := range c.members {
		if m.sendsLeft > 0 && (m.Node.ID != to || m.Status != wire.StatusAlive) {
			pending = append(pending, m)
		}
	}
	slices.SortFunc(pending, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.sendsLeft, a.sendsLeft), cmp.Compare(a.Node.ID, b.Node.ID))
	})
	pending = pending[:min(MaxUpdates, len(pending))]
	out := make([]wire.Member, len(pending))
	for i, m := range pending {
		m.sendsLeft--
		out[i] = m.Member
	}
	return out
}

// HandleGossip merges a message and returns the response. The caller must run the probe that p.Probe
// asks for and set ProbeOK.
func (c *Core) HandleGossip(now time.Time, p wire.GossipParams) wire.GossipResult {
	var res wire.GossipResult
	received := map[string]wire.Member{}
	for _, in := range p.Members {
		c.merge(now, in)
		received[in.Node.ID] = in
		if m := c.members[in.Node.ID]; m != nil && supersedes(&m.Member, &in) {
			res.Members = append(res.Members, m.Member)
		}
	}
	if from, ok := received[p.From]; ok && from.Status == wire.StatusAlive {
		res.Members = append(res.Members, c.self.Member) // a joining node has to learn who answers
	} else if m := c.members[p.From]; m != nil && m.Status != wire.StatusAlive {
		res.Members = append(res.Members, m.Member) // so that it refutes
	}
	if len(p.Sync) > 0 {
		res.Members = append(res.Members, c.membersInBuckets(p.Sync, received)...)
	} else {
		res.Members = append(res.Members, c.nextUpdates(p.From)...)
	}
	if p.MembersHash != c.tableHash() {
		res.Buckets = c.bucketHashes()
	}
	return res
}

// membersInBuckets returns up to MaxSyncMembers members of the given buckets that differ from those received.
func (c *Core) membersInBuckets(buckets []int, received map[string]wire.Member) []wire.Member {
	var out []wire.Member
	for _, m := range c.Members() {
		t, ok := received[m.Node.ID]
		same := ok && t.Incarnation == m.Incarnation && t.Status == m.Status
		if !same && slices.Contains(buckets, bucketOf(m.Node.ID)) && len(out) < MaxSyncMembers {
			out = append(out, m)
		}
	}
	return out
}

// nextSync returns the next sync message to a peer that reported differing hashes, or nil. A sync
// that made progress continues at once; otherwise MismatchesBeforeSync and MinSyncInterval apply.
func (c *Core) nextSync(now time.Time, s Send, r *wire.GossipResult) []Send {
	differing := c.differingBuckets(r.Buckets)
	if len(differing) == 0 {
		c.mismatches = 0
		return nil
	}
	c.mismatches++
	chained := len(s.Params.Sync) > 0 && s.Params.Sync[0] != differing[0]
	isSmall := len(c.members) <= smallTable
	if !chained && !isSmall && (c.mismatches < MismatchesBeforeSync || now.Before(c.nextSyncAt)) {
		return nil
	}
	c.nextSyncAt = now.Add(MinSyncInterval)
	next := c.newSend(s.To, sendGossip)
	next.Params.Sync, next.Params.Members = c.syncPart(differing)
	return []Send{next}
}

// differingBuckets returns the buckets whose hashes differ from those of a peer.
func (c *Core) differingBuckets(theirs []uint64) []int {
	if len(theirs) != Buckets {
		return nil
	}
	var out []int
	for i, h := range c.bucketHashes() {
		if h != theirs[i] {
			out = append(out, i)
		}
	}
	return out
}

// syncPart returns the first BucketsPerSync differing buckets and this node's members of them.
func (c *Core) syncPart(differing []int) (buckets []int, members []wire.Member) {
	buckets = differing[:min(BucketsPerSync, len(differing))]
	return buckets, c.membersInBuckets(buckets, nil)
}
