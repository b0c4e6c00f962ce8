package capacity

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/logtail"
	"github.com/ibistrail/ibistrail/wire"
)

// plan is how much is measured.
type plan struct {
	Nodes     []int     `json:"nodes"`
	Targets   []int     `json:"targets"`
	Rates     []float64 `json:"changes_per_second"`
	WindowS   int       `json:"window_seconds"`
	Cut       int       `json:"changes_with_two_zones_cut"`
	Deaths    int       `json:"deaths"`
	Freezes   int       `json:"freezes"`
	Starts    int       `json:"starts"`
	Seed      uint64    `json:"seed"`
	SmallSize int       `json:"nodes_of_the_other_phases"`
}

// Limits of the waits of a phase.
const (
	joinLimit   = 60 * time.Second
	detectLimit = 30 * time.Second
	changeLimit = 20 * time.Second
	freezeTime  = 2 * time.Second
	// afterFreeze is how long nodes are watched after a freeze.
	afterFreeze = 6 * time.Second
	// targetsPerNode is that of the size to design for, kept while the number of nodes varies.
	targetsPerNode = 6
	// fixedTargets is the number of targets in the comparison of peers to fetch from.
	fixedTargets = 180
)

// settleTime is how long a cluster is left alone before it is measured: nodes hand leases to their
// first candidates half a minute after the last change of members or tables.
const settleTime = 36 * time.Second

// results is all that was measured.
type results struct {
	Plan       plan              `json:"plan"`
	Started    time.Time         `json:"started"`
	Seconds    float64           `json:"seconds"`
	BaseMB     float64           `json:"empty_process_rss_mb"`
	ByNodes    map[int]sample    `json:"by_nodes"`
	ByTargets  map[int]sample    `json:"by_targets"`
	ByRate     map[string]sample `json:"by_changes_per_second"`
	ChangeS    []float64         `json:"change_on_all_nodes_seconds"`
	DetectS    []float64         `json:"dead_node_known_everywhere_seconds"`
	FalseDead  int               `json:"live_nodes_declared_dead"`
	ReadyUpS   []float64         `json:"start_to_ready_platform_up_seconds"`
	ReadyDownS []float64         `json:"start_to_ready_platform_down_seconds"`
	OrdersS    float64           `json:"weights_on_all_engines_seconds"`
	Ordered    int               `json:"engines_of_the_model"`
	ClaimBytes float64           `json:"memory_per_claim_bytes"`
	Failures   []string          `json:"failures,omitempty"`
	edits      int
}

// runner carries the phases out.
type runner struct {
	out  io.Writer
	plan plan
	res  *results
	rng  *rand.Rand
	base float64
}

func (r *runner) say(format string, args ...any) { fmt.Fprintf(r.out, format+"\n", args...) }

func (r *runner) window() time.Duration { return time.Duration(r.plan.WindowS) * time.Second }

// fail notes what did not come about within its limit; the verdict of its row says so.
func (r *runner) fail(format string, args ...any) {
	msg := fmt.Sprintf(format, args...)
	r.res.Failures = append(r.res.Failures, msg)
	r.say("FAILED %s", msg)
}

// nodes varies the number of nodes, then lets faults happen at the largest.
func (r *runner) nodes() error {
	for _, n := range r.plan.Nodes {
		if err := r.nodesAt(n, n == slices.Max(r.plan.Nodes)); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) nodesAt(n int, faults bool) error {
	r.base = heap()
	c, e := newCluster(""), newEngines()
	defer e.close()
	defer c.close()
	if err := e.grow(targetsPerNode * n); err != nil {
		return err
	}
	if err := c.grow(n); err != nil {
		return err
	}
	if err := c.joined(joinLimit); err != nil {
		return err
	}
	if err := r.addPools(c, e, 0); err != nil {
		return err
	}
	time.Sleep(settleTime)
	s := c.measure(r.window(), r.base)
	r.res.ByNodes[n] = s
	r.say("nodes=%d control_bytes=%.0f busiest=%.0f relay=%.0f cpu=%.2f%% heap=%.2fMB appends=%.1f/s", n, s.BytesMean, s.BytesMax, s.RelayBytes, s.CPUPercent, s.HeapMB, s.Appends)
	r.kinds(s)
	if !faults {
		return nil
	}
	r.orders(c, e)
	r.deaths(c)
	r.freezes(c)
	r.starts(c)
	return r.cutChanges(c, e)
}

// kinds prints the bytes a second of the mean node by kind, payloads of calls and whole connections.
func (r *runner) kinds(s sample) {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(s.ByKind)) {
		if s.ByKind[k] >= 1 {
			parts = append(parts, fmt.Sprintf("%s=%.0f", k, s.ByKind[k]))
		}
	}
	r.say("  by kind: %s", strings.Join(parts, " "))
}

// addPools publishes the rows of pools from the one given on.
func (r *runner) addPools(c *cluster, e *engines, from int) error {
	change := config.Change{ID: fmt.Sprintf("pools-%d-%d", from, e.pools()), Author: "capacity"}
	for i := from; i < e.pools(); i++ {
		p := e.pool(i)
		change.Edits = append(change.Edits, config.Edit{Key: config.PoolKey(p.Name), Pool: &p})
	}
	if len(change.Edits) == 0 {
		return nil
	}
	_, err := c.apply(c.running()[0], change)
	return err
}

// deaths ends nodes without a farewell and times until all others know.
func (r *runner) deaths(c *cluster) {
	for range r.plan.Deaths {
		nodes := c.running()
		victim := nodes[r.rng.IntN(len(nodes))]
		c.remove(victim)
		victim.dialer.SetUnreachable(c.addresses()) // it says no farewell
		victim.frozen.freeze(detectLimit + joinLimit)
		took, ok := until(detectLimit, func() bool {
			for _, n := range c.running() {
				if n.statusOf(victim.set.ID) != wire.StatusDead {
					return false
				}
			}
			return true
		})
		if !ok {
			r.fail("death of %s not known everywhere after %s", victim.set.ID, detectLimit)
		}
		r.res.DetectS = append(r.res.DetectS, took.Seconds())
		go victim.stop() // its frozen connections end later
	}
	r.say("dead node known everywhere: %.2f s", r.res.DetectS)
}

// addresses are those of all stewards.
func (c *cluster) addresses() []string {
	var out []string
	for _, n := range c.running() {
		out = append(out, n.set.StewardAddress)
	}
	return out
}

// freezes holds nodes up for two seconds and counts living ones that anyone declares dead.
func (r *runner) freezes(c *cluster) {
	for range r.plan.Freezes {
		nodes := c.running()
		n := nodes[r.rng.IntN(len(nodes))]
		n.frozen.freeze(freezeTime)
		n.dialer.SetUnreachable(c.addresses())
		time.AfterFunc(freezeTime, func() { n.dialer.SetUnreachable(nil) })
		_, dead := until(freezeTime+afterFreeze, func() bool { return c.anyDead(nodes) })
		if dead {
			r.res.FalseDead++
		}
	}
	r.say("live nodes declared dead under %d freezes of %s: %d", r.plan.Freezes, freezeTime, r.res.FalseDead)
}

// anyDead tells whether a node declares one of the living dead.
func (c *cluster) anyDead(living []*node) bool {
	ids := map[string]bool{}
	for _, n := range living {
		ids[n.set.ID] = true
	}
	for _, n := range living {
		for _, m := range n.members() {
			if ids[m.Node.ID] && (m.Status == wire.StatusDead || m.Status == wire.StatusLeft) {
				return true
			}
		}
	}
	return false
}

// starts times from the start of a node until its gate has the tables, with the platform and without.
func (r *runner) starts(c *cluster) {
	for _, down := range []bool{false, true} {
		list := &r.res.ReadyUpS
		if down {
			list = &r.res.ReadyDownS
			c.outage(true)
		}
		for range r.plan.Starts {
			n, err := c.start()
			if err != nil {
				r.fail("start: %v", err)
				return
			}
			if _, ok := until(changeLimit, func() bool { _, ready := n.ready(); return ready }); !ok {
				r.fail("node not ready after %s, platform down: %t", changeLimit, down)
			}
			took, _ := n.ready()
			*list = append(*list, took.Seconds())
			n.stop()
			c.remove(n)
		}
	}
	c.outage(false)
	r.say("start to ready: platform up %.2f s, down %.2f s", r.res.ReadyUpS, r.res.ReadyDownS)
}

// cutChanges cuts two of four zones from the platform and times changes until all nodes have them.
func (r *runner) cutChanges(c *cluster, e *engines) error {
	c.cut(func(n *node) bool { return n.set.AvailabilityZone <= zoneName(1) })
	time.Sleep(logtail.MaxAge)
	list, err := r.timeChanges(c, e, r.plan.Cut)
	r.res.ChangeS = list
	r.say("change on all %d nodes, two zones cut from the platform: p50 %.2f s, p99 %.2f s", len(c.running()), quantile(list, 0.5), quantile(list, 0.99))
	return err
}

// cut keeps the nodes that cut holds for from the platform, and joins the others to it.
func (c *cluster) cut(cut func(n *node) bool) {
	for _, n := range c.running() {
		if cut(n) {
			n.dialer.SetUnreachable(c.platformAddresses())
		} else {
			n.dialer.SetUnreachable(nil)
		}
	}
}

// timeChanges applies changes one after the other through a node that reaches the platform.
func (r *runner) timeChanges(c *cluster, e *engines, count int) ([]float64, error) {
	nodes := c.running()
	var through *node
	for _, n := range nodes {
		if n.set.AvailabilityZone == zoneName(zones-1) {
			through = n
		}
	}
	var out []float64
	for i := range count {
		began := time.Now()
		at, err := c.apply(through, r.edit(through, e, i))
		if err != nil {
			return out, err
		}
		_, ok := until(changeLimit, func() bool {
			for _, n := range nodes {
				if n.inForce() < at {
					return false
				}
			}
			return true
		})
		if !ok {
			r.fail("change %d not in force everywhere after %s", i, changeLimit)
		}
		out = append(out, time.Since(began).Seconds())
		time.Sleep(time.Duration(r.rng.IntN(500)) * time.Millisecond)
	}
	return out, nil
}

// edit is a change of one pool's row.
func (r *runner) edit(n *node, e *engines, i int) config.Change {
	row := r.rng.IntN(e.pools())
	p := e.pool(row)
	p.ConcurrencyPerTarget = 8 + i%8
	snap := n.Snapshot()
	key := config.PoolKey(p.Name)
	r.res.edits++
	return config.Change{ID: fmt.Sprintf("edit-%d-%d", r.plan.Seed, r.res.edits), Author: "capacity", Edits: []config.Edit{{Key: key, Replaces: snap.Rows[key].Revision, Pool: &p}}}
}
