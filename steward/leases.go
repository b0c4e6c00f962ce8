package steward

import (
	"context"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/lease"
	"github.com/ibistrail/ibistrail/logtail"
	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
)

// Times and bounds of leases.
const (
	leasePeriod = 200 * time.Millisecond
	// candidatesPerShard is how many nodes contend for one lease; the others stay out of the way.
	candidatesPerShard = 3
	// candidateDelay is how much longer each next candidate waits.
	candidateDelay = 2 * time.Second
	// yieldStableTime is how long tables and members must have been the same before a later candidate
	// gives a lease up; handBackPause how long it then leaves it; handBackEvery how rarely it does.
	yieldStableTime = 30 * time.Second
	yieldPause      = 5 * time.Second
	yieldInterval   = 5 * time.Minute
)

// shard names a stream of leases.
type shard struct {
	az    string
	index int
}

func (s shard) stream() string { return lease.Stream(s.az, s.index) }

// leases runs a lease manager for each shard in which this node is a candidate.
type leases struct {
	steward *Steward
	mu      sync.Mutex
	shards  map[shard]*shardLeases
	// contended are the pools that this node contends for, with its rank among the candidates, at the
	// tables and members of basis.
	contended   map[shard]map[string]int
	inputs      inputVersion
	inputsSince time.Time // of basis
}

// inputVersion names the tables and members that a derived value was made from.
type inputVersion struct {
	tables  *config.Tables
	members uint64
}

// shardLeases is the manager of one shard's stream.
type shardLeases struct {
	mu        sync.Mutex
	manager   *lease.Manager
	tail      *logtail.Tail
	appending bool // an append is under way
	// yieldedAt is when a pool's lease was last given up in favour of the first candidate.
	yieldedAt map[string]time.Time
}

func newLeases(steward *Steward) *leases {
	return &leases{steward: steward, shards: map[shard]*shardLeases{}}
}

// Next implements logtail.Consumer.
func (z *shardLeases) Next() trial.Offset {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.manager.Next()
}

// Apply implements logtail.Consumer.
func (z *shardLeases) Apply(now time.Time, r trial.Record) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.manager.Apply(now, r)
}

// Missed implements logtail.Consumer.
func (z *shardLeases) Missed(now time.Time, first trial.Offset) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.manager.Missed(now, first)
}

// CaughtUp implements logtail.Consumer.
func (z *shardLeases) CaughtUp(at time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.manager.CaughtUp(at)
}

func (l *leases) run(ctx context.Context) error { return runPeriodically(ctx, leasePeriod, l.step) }

// step says what is wanted in each shard and appends what the managers ask for.
func (l *leases) step(ctx context.Context) {
	now := time.Now()
	duties := l.updateContended(now)
	l.mu.Lock()
	for k := range duties {
		if l.shards[k] == nil {
			l.shards[k] = l.follow(k)
		}
	}
	shards, stable := maps.Clone(l.shards), now.Sub(l.inputsSince) > yieldStableTime
	l.mu.Unlock()
	for k, z := range shards {
		z.step(ctx, l.steward, k.stream(), z.leaseDelays(now, duties[k], stable))
	}
}

func (l *leases) follow(k shard) *shardLeases {
	z := &shardLeases{yieldedAt: map[string]time.Time{}, manager: lease.NewManager(lease.Options{
		Holder: l.steward.holder(), TTL: time.Duration(l.steward.opts.Settings.LeaseTTLMs) * time.Millisecond, Seed: l.steward.seed,
	})}
	followers := func() []wire.Node { return candidatesOf(l.steward.members.Alive(), k) }
	z.tail = l.steward.tails.add(k.stream(), z, followers, 0)
	return z
}

// leaseDelays turns ranks into delays. A node that holds a lease in place of the first candidate gives
// it up once the members have been stable, so that the work spreads evenly.
func (z *shardLeases) leaseDelays(now time.Time, ranks map[string]int, stable bool) map[string]time.Duration {
	out := make(map[string]time.Duration, len(ranks))
	z.mu.Lock()
	defer z.mu.Unlock()
	for pool, rank := range ranks {
		sinceYield := now.Sub(z.yieldedAt[pool])
		switch {
		case rank > 0 && sinceYield < yieldPause:
			continue
		case rank > 0 && stable && sinceYield > yieldInterval && z.manager.Holds(pool):
			z.yieldedAt[pool] = now
			continue
		}
		out[pool] = time.Duration(rank) * candidateDelay
	}
	return out
}

// step appends the manager's records together, one append at a time.
func (z *shardLeases) step(ctx context.Context, s *Steward, stream string, want map[string]time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.manager.Want(want)
	if z.appending {
		return
	}
	records := z.manager.Step(time.Now(), z.tail.Retention())
	if len(records) == 0 {
		return
	}
	z.appending = true
	go func() {
		actx, cancel := context.WithTimeout(ctx, AppendTimeout)
		defer cancel()
		if _, err := s.platformLog.Append(actx, stream, records); err != nil {
			// What takes effect is seen at read-back; the manager sends again what is not.
			s.opts.Log.Warn("lease_append_unanswered", "stream", stream, "err", err)
		}
		z.mu.Lock()
		z.appending = false
		z.mu.Unlock()
	}()
}

// updateContended works out what this node contends for, when the tables or the members have changed.
func (l *leases) updateContended(now time.Time) map[shard]map[string]int {
	tb, _, ready := l.steward.tables.active()
	if !ready {
		return nil
	}
	inputs := inputVersion{tb, l.steward.members.version()}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inputs != inputs {
		l.inputs, l.inputsSince = inputs, now
		l.contended = contendedBy(tb, l.steward.members.Alive(), l.steward.self.ID)
	}
	return l.contended
}

// contendedBy returns the pools for whose leases a node contends, with its rank.
func contendedBy(tb *config.Tables, live []wire.Node, self string) map[shard]map[string]int {
	out := map[shard]map[string]int{}
	groups := map[shard][]wire.Node{}
	for i := range tb.Pools {
		p := &tb.Pools[i]
		if p.Kind != config.PoolEngines {
			continue
		}
		for _, az := range zonesOf(p) {
			k := shard{az, lease.ShardOf(p.Name)}
			if _, ok := groups[k]; !ok {
				groups[k] = candidatesOf(live, k)
			}
			rank, ok := candidateRank(groups[k], self, p.Name)
			if !ok {
				continue
			}
			if out[k] == nil {
				out[k] = map[string]int{}
			}
			out[k][p.Name] = rank
		}
	}
	return out
}

// candidatesOf returns the nodes that contend for the leases of a shard: some of the zone's own,
// others for each shard, or of all nodes where the zone has none.
func candidatesOf(live []wire.Node, k shard) []wire.Node {
	eligible := slices.DeleteFunc(slices.Clone(live), func(n wire.Node) bool { return n.AvailabilityZone != k.az })
	if len(eligible) == 0 {
		eligible = slices.Clone(live)
	}
	if len(eligible) <= candidatesPerShard {
		return eligible
	}
	slices.SortFunc(eligible, func(a, b wire.Node) int { return strings.Compare(a.ID, b.ID) })
	out := make([]wire.Node, candidatesPerShard)
	for i := range out {
		out[i] = eligible[(k.index*candidatesPerShard+i)%len(eligible)]
	}
	return out
}

// candidateRank returns a node's place among the candidates for a pool; each pool begins with another one.
func candidateRank(group []wire.Node, self, pool string) (int, bool) {
	group = slices.Clone(group)
	slices.SortFunc(group, func(a, b wire.Node) int { return strings.Compare(a.ID, b.ID) })
	i := slices.IndexFunc(group, func(n wire.Node) bool { return n.ID == self })
	if i < 0 {
		return 0, false
	}
	h := fnv.New32()
	_, _ = h.Write([]byte(pool)) // a hash takes every write
	first := int(h.Sum32() % uint32(len(group)))
	return (i - first + len(group)) % len(group), true
}

func zonesOf(p *config.Pool) []string {
	var out []string
	for _, t := range p.Targets {
		if !slices.Contains(out, t.AvailabilityZone) {
			out = append(out, t.AvailabilityZone)
		}
	}
	return out
}

// hashRank orders nodes by a hash of their ID and what they are wanted for, which spreads the work.
func hashRank(nodes []wire.Node, self, key string) int {
	score := func(id string) string {
		h := fnv.New64a()
		_, _ = h.Write([]byte(key + "|" + id)) // a hash takes every write
		return strconv.FormatUint(h.Sum64(), 16) + id
	}
	slices.SortFunc(nodes, func(a, b wire.Node) int { return strings.Compare(score(a.ID), score(b.ID)) })
	return slices.IndexFunc(nodes, func(n wire.Node) bool { return n.ID == self })
}

// contendedPools returns the pools that this node contends for, by zone.
func (l *leases) contendedPools() map[string][]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string][]string{}
	for k, pools := range l.contended {
		for name := range pools {
			out[k.az] = append(out[k.az], name)
		}
	}
	return out
}

// mayOrder tells whether this node may order the engines of pool in az now.
func (l *leases) mayOrder(az string, p *config.Pool) (token int64, ok bool) {
	l.mu.Lock()
	z := l.shards[shard{az, lease.ShardOf(p.Name)}]
	l.mu.Unlock()
	if z == nil {
		return 0, false
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.manager.May(time.Now(), p.Name, p.FencingChecked)
}

// release gives up all leases, for a planned stop. The orders have ended before.
func (l *leases) release(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var wg sync.WaitGroup
	for k, z := range l.shards {
		z.mu.Lock()
		z.manager.Want(nil)
		records := z.manager.Step(time.Now(), 0)
		z.mu.Unlock()
		if len(records) == 0 {
			continue
		}
		wg.Go(func() {
			if _, err := l.steward.platformLog.Append(ctx, k.stream(), records); err != nil {
				l.steward.opts.Log.Warn("leases_not_released", "stream", k.stream(), "err", err)
			}
		})
	}
	wg.Wait()
}

// status is the leases' part of the state dump, by stream.
func (l *leases) status() map[string][]lease.Lease {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string][]lease.Lease{}
	for k, z := range l.shards {
		z.mu.Lock()
		out[k.stream()] = z.manager.Leases()
		z.mu.Unlock()
	}
	return out
}
