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

// Periods and limits of leases.
const (
	leasePeriod = 200 * time.Millisecond
	// candidatesPerShard is how many nodes contend for the leases of one shard.
	candidatesPerShard = 3
	// candidateDelay is the delay per rank before a candidate acquires a free lease.
	candidateDelay = 2 * time.Second
	// A candidate of a later rank yields a lease to the first candidate once tables and members have been
	// unchanged for yieldStableTime. It then does not contend for the lease for yieldPause, and yields it again
	// after yieldInterval at the earliest.
	yieldStableTime = 30 * time.Second
	yieldPause      = 5 * time.Second
	yieldInterval   = 5 * time.Minute
)

// shard identifies a lease stream: one of the shards of a zone.
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
	// contended holds the pools that this node contends for, with its rank among the candidates. It is
	// computed from inputs.
	contended   map[shard]map[string]int
	inputs      inputVersion
	inputsSince time.Time // when inputs last changed
}

// inputVersion identifies the tables and the membership that a value was computed from.
type inputVersion struct {
	tables  *config.Tables
	members uint64
}

// shardLeases holds the lease manager of one shard and the tail of its stream.
type shardLeases struct {
	mu        sync.Mutex
	manager   *lease.Manager
	tail      *logtail.Tail
	appending bool // an append is in progress
	// yieldedAt is when this node last yielded a pool's lease to the first candidate.
	yieldedAt map[string]time.Time
}

func newLeases(steward *Steward) *leases {
	return &leases{steward: steward, shards: map[shard]*shardLeases{}}
}

// Next implements logtail.Consumer.
func (sl *shardLeases) Next() trial.Offset {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	return sl.manager.Next()
}

// Apply implements logtail.Consumer.
func (sl *shardLeases) Apply(now time.Time, r trial.Record) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	sl.manager.Apply(now, r)
}

// SetFirstRetained implements logtail.Consumer.
func (sl *shardLeases) SetFirstRetained(now time.Time, first trial.Offset) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	sl.manager.SetFirstRetained(now, first)
}

// CaughtUp implements logtail.Consumer.
func (sl *shardLeases) CaughtUp(at time.Time) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	sl.manager.CaughtUp(at)
}

func (l *leases) run(ctx context.Context) error { return runPeriodically(ctx, leasePeriod, l.step) }

// step sets the wanted leases of each shard and appends the managers' records.
func (l *leases) step(ctx context.Context) {
	now := time.Now()
	contended := l.updateContended(now)
	l.mu.Lock()
	for k := range contended {
		if l.shards[k] == nil {
			l.shards[k] = l.follow(k)
		}
	}
	shards, stable := maps.Clone(l.shards), now.Sub(l.inputsSince) > yieldStableTime
	l.mu.Unlock()
	for k, sl := range shards {
		sl.step(ctx, l.steward, k.stream(), sl.leaseDelays(now, contended[k], stable))
	}
}

func (l *leases) follow(k shard) *shardLeases {
	sl := &shardLeases{yieldedAt: map[string]time.Time{}, manager: lease.NewManager(lease.Options{
		Holder: l.steward.holder(), TTL: time.Duration(l.steward.opts.Settings.LeaseTTLMs) * time.Millisecond, Seed: l.steward.seed,
	})}
	followers := func() []wire.Node { return candidatesOf(l.steward.gossip.Alive(), k) }
	sl.tail = l.steward.tails.add(k.stream(), sl, followers, 0)
	return sl
}

// leaseDelays returns the pools whose leases are wanted, with the delay before acquiring each. It leaves out the
// leases that this node yields, so that after a failure the first candidates hold them again and the load is even.
func (sl *shardLeases) leaseDelays(now time.Time, ranks map[string]int, stable bool) map[string]time.Duration {
	out := make(map[string]time.Duration, len(ranks))
	sl.mu.Lock()
	defer sl.mu.Unlock()
	for pool, rank := range ranks {
		sinceYield := now.Sub(sl.yieldedAt[pool])
		switch {
		case rank > 0 && sinceYield < yieldPause:
			continue
		case rank > 0 && stable && sinceYield > yieldInterval && sl.manager.Holds(pool):
			sl.yieldedAt[pool] = now
			continue
		}
		out[pool] = time.Duration(rank) * candidateDelay
	}
	return out
}

// step appends the manager's pending records, one append at a time.
func (sl *shardLeases) step(ctx context.Context, s *Steward, stream string, wanted map[string]time.Duration) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	sl.manager.SetWanted(wanted)
	if sl.appending {
		return
	}
	records := sl.manager.Step(time.Now(), sl.tail.Retention())
	if len(records) == 0 {
		return
	}
	sl.appending = true
	go func() {
		actx, cancel := context.WithTimeout(ctx, AppendTimeout)
		defer cancel()
		if _, err := s.platformLog.Append(actx, stream, records); err != nil {
			// The append may still have succeeded: the manager retries the records that are not read back.
			s.opts.Log.Warn("lease_append_unanswered", "stream", stream, "err", err)
		}
		sl.mu.Lock()
		sl.appending = false
		sl.mu.Unlock()
	}()
}

// updateContended returns the pools that this node contends for; it recomputes them if the tables or the
// members have changed.
func (l *leases) updateContended(now time.Time) map[shard]map[string]int {
	tb, _, ready := l.steward.tables.active()
	if !ready {
		return nil
	}
	inputs := inputVersion{tb, l.steward.gossip.version()}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inputs != inputs {
		l.inputs, l.inputsSince = inputs, now
		l.contended = contendedBy(tb, l.steward.gossip.Alive(), l.steward.self.ID)
	}
	return l.contended
}

// contendedBy returns the pools for whose leases the node self contends, with its rank for each, by shard.
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

// candidatesOf returns the nodes that contend for the leases of a shard. They are taken from the shard's zone, or
// from all nodes if the zone has none, and differ between the shards of a zone.
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

// candidateRank returns the rank of the node self among the candidates for a pool, and false if it is none of them.
// A hash of the pool's name selects the first candidate.
func candidateRank(group []wire.Node, self, pool string) (int, bool) {
	group = slices.Clone(group)
	slices.SortFunc(group, func(a, b wire.Node) int { return strings.Compare(a.ID, b.ID) })
	i := slices.IndexFunc(group, func(n wire.Node) bool { return n.ID == self })
	if i < 0 {
		return 0, false
	}
	h := fnv.New32()
	_, _ = h.Write([]byte(pool)) // never fails
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

// hashRank sorts nodes by a hash of key and node ID (rendezvous hashing) and returns the index of the node self,
// or -1.
func hashRank(nodes []wire.Node, self, key string) int {
	score := func(id string) string {
		h := fnv.New64a()
		_, _ = h.Write([]byte(key + "|" + id)) // never fails
		return strconv.FormatUint(h.Sum64(), 16) + id
	}
	slices.SortFunc(nodes, func(a, b wire.Node) int { return strings.Compare(score(a.ID), score(b.ID)) })
	return slices.IndexFunc(nodes, func(n wire.Node) bool { return n.ID == self })
}

// contendedPools returns the names of the pools that this node contends for, by zone.
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

// mayOrder reports whether this node may send orders to the engines of p in zone az now, and returns the fencing
// token to send with them.
func (l *leases) mayOrder(az string, p *config.Pool) (token int64, ok bool) {
	l.mu.Lock()
	sl := l.shards[shard{az, lease.ShardOf(p.Name)}]
	l.mu.Unlock()
	if sl == nil {
		return 0, false
	}
	sl.mu.Lock()
	defer sl.mu.Unlock()
	return sl.manager.MayAct(time.Now(), p.Name, p.FencingChecked)
}

// release releases all leases at a planned stop. All orders must have ended before.
func (l *leases) release(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var wg sync.WaitGroup
	for k, sl := range l.shards {
		sl.mu.Lock()
		sl.manager.SetWanted(nil)
		records := sl.manager.Step(time.Now(), 0)
		sl.mu.Unlock()
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

// status returns the leases for the state dump, by stream.
func (l *leases) status() map[string][]lease.Lease {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string][]lease.Lease{}
	for k, sl := range l.shards {
		sl.mu.Lock()
		out[k.stream()] = sl.manager.Leases()
		sl.mu.Unlock()
	}
	return out
}
