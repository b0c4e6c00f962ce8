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
	"github.com/ibistrail/ibistrail/platform"
	"github.com/ibistrail/ibistrail/wire"
)

// Times and bounds of leases.
const (
	leaseTick = 200 * time.Millisecond
	// candidates is how many nodes contend for one lease; the others stay out of the way.
	candidates = 3
	// candidateDelay is how much longer each next candidate waits.
	candidateDelay = 2 * time.Second
)

// leases runs a lease manager for each zone in which this node is a candidate.
type leases struct {
	s     *Steward
	mu    sync.Mutex
	zones map[string]*zoneLeases
	// duties is what this node is a candidate for, at the tables and members of basis.
	duties map[string]map[string]time.Duration
	basis  basis
}

// basis names the tables and members that a derived value was made from.
type basis struct {
	tables  *config.Tables
	members uint64
}

// zoneLeases is the manager of one zone's stream.
type zoneLeases struct {
	mu      sync.Mutex
	manager *lease.Manager
	tail    *logtail.Tail
	busy    bool // an append is under way
}

func newLeases(s *Steward) *leases {
	return &leases{s: s, zones: map[string]*zoneLeases{}}
}

// Next implements logtail.Consumer.
func (z *zoneLeases) Next() platform.Offset {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.manager.Next()
}

// Apply implements logtail.Consumer.
func (z *zoneLeases) Apply(now time.Time, r platform.Record) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.manager.Apply(now, r)
}

// Missed implements logtail.Consumer.
func (z *zoneLeases) Missed(now time.Time, first platform.Offset) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.manager.Missed(now, first)
}

// CaughtUp implements logtail.Consumer.
func (z *zoneLeases) CaughtUp(at time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.manager.CaughtUp(at)
}

func (l *leases) run(ctx context.Context) error {
	tick := time.NewTicker(leaseTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			l.step(ctx)
		}
	}
}

// step says what is wanted in each zone and appends what the managers ask for.
func (l *leases) step(ctx context.Context) {
	wanted := l.wanted()
	l.mu.Lock()
	for _, az := range append(slices.Collect(maps.Keys(wanted)), l.s.self.AvailabilityZone) {
		if l.zones[az] == nil {
			l.zones[az] = l.follow(az)
		}
	}
	zones := make(map[string]*zoneLeases, len(l.zones))
	for az, z := range l.zones {
		zones[az] = z
	}
	l.mu.Unlock()
	for az, z := range zones {
		z.step(ctx, l.s, lease.Stream(az), wanted[az])
	}
}

// followers returns the nodes that read a zone's stream: its own nodes.
func (l *leases) followers(az string) []wire.Node {
	if az != l.s.self.AvailabilityZone {
		return nil
	}
	return slices.DeleteFunc(l.s.members.Alive(), func(n wire.Node) bool { return n.AvailabilityZone != az })
}

func (l *leases) follow(az string) *zoneLeases {
	z := &zoneLeases{manager: lease.NewManager(lease.Options{
		Holder: l.s.holder(), TTL: time.Duration(l.s.opts.Settings.LeaseTTLMs) * time.Millisecond, Seed: l.s.seed,
	})}
	z.tail = l.s.tails.add(lease.Stream(az), z, func() []wire.Node { return l.followers(az) }, 0)
	return z
}

// step appends the manager's records together, one append at a time.
func (z *zoneLeases) step(ctx context.Context, s *Steward, stream string, want map[string]time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.manager.Want(want)
	if z.busy {
		return
	}
	records := z.manager.Step(time.Now(), z.tail.Retention())
	if len(records) == 0 {
		return
	}
	z.busy = true
	go func() {
		actx, cancel := context.WithTimeout(ctx, AppendTimeout)
		defer cancel()
		if _, err := s.log.Append(actx, stream, records); err != nil {
			// What takes effect is seen at read-back; the manager sends again what is not.
			s.opts.Log.Warn("lease_append_unanswered", "stream", stream, "err", err)
		}
		z.mu.Lock()
		z.busy = false
		z.mu.Unlock()
	}()
}

// wanted returns for each zone the pools whose lease this node contends for, with its delay.
func (l *leases) wanted() map[string]map[string]time.Duration {
	tb, _, ready := l.s.tables.inForce()
	if !ready {
		return nil
	}
	now := basis{tb, l.s.members.version()}
	if l.basis == now {
		return l.duties
	}
	duties := l.candidacies(tb)
	l.mu.Lock()
	l.basis, l.duties = now, duties
	l.mu.Unlock()
	return duties
}

func (l *leases) candidacies(tb *config.Tables) map[string]map[string]time.Duration {
	out := map[string]map[string]time.Duration{}
	live := l.s.members.Alive()
	for i := range tb.Pools {
		p := &tb.Pools[i]
		if p.Kind != config.PoolEngines {
			continue
		}
		for _, az := range zonesOf(p) {
			rank, ok := candidateRank(live, l.s.self.ID, az, p.Name)
			if !ok {
				continue
			}
			if out[az] == nil {
				out[az] = map[string]time.Duration{}
			}
			out[az][p.Name] = time.Duration(rank) * candidateDelay
		}
	}
	return out
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

// candidateRank returns this node's place among the candidates for a pool's lease in a zone: the
// zone's own nodes, or all where the zone has none.
func candidateRank(live []wire.Node, self, az, pool string) (int, bool) {
	in := slices.DeleteFunc(slices.Clone(live), func(n wire.Node) bool { return n.AvailabilityZone != az })
	if len(in) == 0 {
		in = slices.Clone(live)
	}
	rank := rankOf(in, self, pool+"/"+az)
	return rank, rank >= 0 && rank < candidates
}

// rankOf orders nodes by a hash of their ID and what they are wanted for, which spreads the work.
func rankOf(nodes []wire.Node, self, what string) int {
	score := func(id string) string {
		h := fnv.New64a()
		_, _ = h.Write([]byte(what + "|" + id)) // a hash takes every write
		return strconv.FormatUint(h.Sum64(), 16) + id
	}
	slices.SortFunc(nodes, func(a, b wire.Node) int { return strings.Compare(score(a.ID), score(b.ID)) })
	return slices.IndexFunc(nodes, func(n wire.Node) bool { return n.ID == self })
}

// candidate returns what this node is a candidate for, by zone and pool.
func (l *leases) candidate() map[string]map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.duties
}

// may tells whether this node may order the engines of pool in az now.
func (l *leases) may(az string, p *config.Pool) (token int64, ok bool) {
	l.mu.Lock()
	z := l.zones[az]
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
	for az, z := range l.zones {
		z.mu.Lock()
		z.manager.Want(nil)
		records := z.manager.Step(time.Now(), 0)
		z.mu.Unlock()
		if len(records) == 0 {
			continue
		}
		if _, err := l.s.log.Append(ctx, lease.Stream(az), records); err != nil {
			l.s.opts.Log.Warn("leases_not_released", "az", az, "err", err)
		}
	}
}

// status is the leases' part of the state dump, by zone.
func (l *leases) status() map[string][]lease.Lease {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string][]lease.Lease{}
	for az, z := range l.zones {
		z.mu.Lock()
		out[az] = z.manager.Leases()
		z.mu.Unlock()
	}
	return out
}
