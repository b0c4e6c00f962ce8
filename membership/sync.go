package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/ibistrail/ibistrail/wire"
)

// Bounds of the exchange of tables.
const (
	// Buckets is the number of parts whose digests are compared.
	Buckets = 16
	// BucketsPerSync is how many parts one message compares.
	BucketsPerSync = 2
	// MaxSyncMembers bounds the members that one message of the exchange carries.
	MaxSyncMembers = 64
	// MismatchesBeforeSync is how many exchanges in a row must differ before tables are compared:
	// news on their way make digests differ for a moment.
	MismatchesBeforeSync = 3
	// SyncPause is the least time between two exchanges in the steady state.
	SyncPause = 2 * time.Second
	// knowsFew is the size of a table below which a node asks at once.
	knowsFew = 2
)

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % Buckets) }

// memberHash covers identity, incarnation and whether the member lives; suspicion is left out,
// since it ends by itself.
func memberHash(m *member) uint64 {
	b := make([]byte, 0, len(m.Node.ID)+8)
	b = append(b, m.Node.ID...)
	for i := range 8 {
		b = append(b, byte(m.Incarnation>>(8*i)))
	}
	return xxhash.Sum64(b)
}

func (c *Core) hash() uint64 {
	var h uint64
	for _, m := range c.members {
		if m.live() {
			h ^= memberHash(m)
		}
	}
	return h
}

func (c *Core) buckets() []uint64 {
	out := make([]uint64, Buckets)
	for id, m := range c.members {
		if m.live() {
			out[bucketOf(id)] ^= memberHash(m)
		}
	}
	return out
}

// news returns entries that still have to be spread, the most recent first, and uses up one
// sending of each. The receiver's own entry is not sent to it unless it is accused.
func (c *Core) news(to string) []wire.Member {
	var fresh []*member
	for _, m := range c.members {
		if m.sends > 0 && (m.Node.ID != to || m.Status != wire.StatusAlive) {
			fresh = append(fresh, m)
		}
	}
	slices.SortFunc(fresh, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.Node.ID, b.Node.ID))
	})
	fresh = fresh[:min(MaxNews, len(fresh))]
	out := make([]wire.Member, len(fresh))
	for i, m := range fresh {
		m.sends--
		out[i] = m.Member
	}
	return out
}

// HandleGossip merges a message and returns the answer. A Probe is left to the shell.
func (c *Core) HandleGossip(now time.Time, p wire.GossipParams) wire.GossipResult {
	var res wire.GossipResult
	told := map[string]wire.Member{}
	for _, in := range p.Members {
		c.merge(now, in)
		told[in.Node.ID] = in
		if m := c.members[in.Node.ID]; m != nil && newer(&m.Member, &in) {
			res.Members = append(res.Members, m.Member)
		}
	}
	if from, ok := told[p.From]; ok && from.Status == wire.StatusAlive {
		res.Members = append(res.Members, c.self.Member) // a node that introduces itself wants to know who answers
	} else if m := c.members[p.From]; m != nil && m.Status != wire.StatusAlive {
		res.Members = append(res.Members, m.Member) // so that it refutes
	}
	if len(p.Sync) > 0 {
		res.Members = append(res.Members, c.inBuckets(p.Sync, told)...)
	} else {
		res.Members = append(res.Members, c.news(p.From)...)
	}
	if p.MembersHash != c.hash() {
		res.Buckets = c.buckets()
	}
	return res
}

// inBuckets returns the members of buckets that differ from what the other side told.
func (c *Core) inBuckets(buckets []int, told map[string]wire.Member) []wire.Member {
	var out []wire.Member
	for _, m := range c.Members() {
		t, ok := told[m.Node.ID]
		same := ok && t.Incarnation == m.Incarnation && t.Status == m.Status
		if !same && slices.Contains(buckets, bucketOf(m.Node.ID)) && len(out) < MaxSyncMembers {
			out = append(out, m)
		}
	}
	return out
}

// sync decides after an answer whether tables have to be compared and with which buckets.
func (c *Core) sync(now time.Time, s Send, r *wire.GossipResult) []Send {
	differ := c.differing(r.Buckets)
	if len(differ) == 0 {
		c.mismatch = 0
		return nil
	}
	c.mismatch++
	chained := len(s.Params.Sync) > 0 && s.Params.Sync[0] != differ[0]
	few := len(c.members) <= knowsFew
	if !chained && !few && (c.mismatch < MismatchesBeforeSync || now.Before(c.syncAt)) {
		return nil
	}
	c.syncAt = now.Add(SyncPause)
	next := c.send(s.To, sendGossip)
	next.Params.Sync, next.Params.Members = c.part(differ)
	return []Send{next}
}

// differing returns the buckets whose digest is not that of theirs.
func (c *Core) differing(theirs []uint64) []int {
	if len(theirs) != Buckets {
		return nil
	}
	var out []int
	for i, h := range c.buckets() {
		if h != theirs[i] {
			out = append(out, i)
		}
	}
	return out
}

// part takes the first of the differing buckets, with the own members of them.
func (c *Core) part(differ []int) (buckets []int, members []wire.Member) {
	buckets = differ[:min(BucketsPerSync, len(differ))]
	return buckets, c.inBuckets(buckets, nil)
}
