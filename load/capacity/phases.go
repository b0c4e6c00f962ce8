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

// plan holds the sizes and repetitions of all phases.
type plan struct {
	Nodes      []int     `json:"nodes"`
	Targets    []int     `json:"targets"`
	Rates      []float64 `json:"changes_per_second"`
	WindowS    int       `json:"window_seconds"`
	CutChanges int       `json:"changes_with_two_zones_cut"`
	Deaths     int       `json:"deaths"`
	Freezes    int       `json:"freezes"`
	Starts     int       `json:"starts"`
	Seed       uint64    `json:"seed"`
	FixedNodes int       `json:"nodes_of_the_other_phases"`
}

// Timeouts and sizes of the phases.
const (
	joinLimit   = 60 * time.Second
	detectLimit = 30 * time.Second
	changeLimit = 20 * time.Second
	freezeTime  = 2 * time.Second
	// freezeObservation is how long member tables are checked after a freeze has ended.
	freezeObservation = 6 * time.Second
	// targetsPerNode is the ratio at the design size; it stays constant while the number of nodes varies.
	targetsPerNode = 6
	// fixedTargets is the number of targets in the comparison of fetch strategies.
	fixedTargets = 180
)

// settleTime is the pause before a cluster is measured: nodes transfer leases to their preferred holders half a minute
// after the last change of members or tables.
const settleTime = 36 * time.Second

// results holds all measurements.
type results struct {
	Plan           plan              `json:"plan"`
	Started        time.Time         `json:"started"`
	Seconds        float64           `json:"seconds"`
	BaseMB         float64           `json:"empty_process_rss_mb"`
	ByNodes        map[int]sample    `json:"by_nodes"`
	ByTargets      map[int]sample    `json:"by_targets"`
	ByRate         map[string]sample `json:"by_changes_per_second"`
	ChangeS        []float64         `json:"change_on_all_nodes_seconds"`
	DetectS        []float64         `json:"dead_node_known_everywhere_seconds"`
	FalseDead      int               `json:"live_nodes_declared_dead"`
	ReadyUpS       []float64         `json:"start_to_ready_platform_up_seconds"`
	ReadyDownS     []float64         `json:"start_to_ready_platform_down_seconds"`
	RolloutS       float64           `json:"weights_on_all_engines_seconds"`
	RolloutEngines int               `json:"engines_of_the_model"`
	ClaimBytes     float64           `json:"memory_per_claim_bytes"`
	Failures       []string          `json:"failures,omitempty"`
	editCount      int               // number of edits so far, for unique change IDs
}

// runner runs the phases.
type runner struct {
	out      io.Writer
	plan     plan
	res      *results
	rng      *rand.Rand
	baseHeap float64
}

func (r *runner) printf(format string, args ...any) { fmt.Fprintf(r.out, format+"\n", args...) }

func (r *runner) window() time.Duration { return time.Duration(r.plan.WindowS) * time.Second }

// recordFailure records and prints an operation that failed or exceeded its time limit.
func (r *runner) recordFailure(format string, args ...any) {
	msg := fmt.Sprintf(format, args...)
	r.res.Failures = append(r.res.Failures, msg)
	r.printf("FAILED %s", msg)
}

// measureNodeCounts measures clusters of each size of the plan and runs the fault phases at the largest size.
func (r *runner) measureNodeCounts() error {
	for _, n := range r.plan.Nodes {
		if err := r.measureNodeCount(n, n == slices.Max(r.plan.Nodes)); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) measureNodeCount(n int, faults bool) error {
	r.baseHeap = heapBytes()
	c, e := newCluster(""), newEngines()
	defer e.close()
	defer c.close()
	if err := e.grow(targetsPerNode * n); err != nil {
		return err
	}
	if err := c.grow(n); err != nil {
		return err
	}
	if err := c.awaitJoined(joinLimit); err != nil {
		return err
	}
	if err := r.addPools(c, e, 0); err != nil {
		return err
	}
	time.Sleep(settleTime)
	s := c.measure(r.window(), r.baseHeap)
	r.res.ByNodes[n] = s
	r.printf("nodes=%d control_bytes=%.0f busiest=%.0f relay=%.0f cpu=%.2f%% heap=%.2fMB appends=%.1f/s", n, s.BytesMean, s.BytesMax, s.RelayBytes, s.CPUPercent, s.HeapMB, s.Appends)
	r.printByKind(s)
	if !faults {
		return nil
	}
	r.measureWeightRollout(c, e)
	r.measureDeaths(c)
	r.measureFreezes(c)
	r.measureStarts(c)
	return r.measureChangesWithCutZones(c, e)
}

// printByKind prints the mean bytes per second and node by kind: payloads of each method and totals of connections.
func (r *runner) printByKind(s sample) {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(s.ByKind)) {
		if s.ByKind[k] >= 1 {
			parts = append(parts, fmt.Sprintf("%s=%.0f", k, s.ByKind[k]))
		}
	}
	r.printf("  by kind: %s", strings.Join(parts, " "))
}

// addPools publishes the rows of all pools with an index of at least from.
func (r *runner) addPools(c *cluster, e *engines, from int) error {
	change := config.Change{ID: fmt.Sprintf("pools-%d-%d", from, e.poolCount()), Author: "capacity"}
	for i := from; i < e.poolCount(); i++ {
		p := e.poolConfig(i)
		change.Edits = append(change.Edits, config.Edit{Key: config.PoolKey(p.Name), Pool: &p})
	}
	if len(change.Edits) == 0 {
		return nil
	}
	_, err := c.apply(c.running()[0], change)
	return err
}

// measureDeaths cuts nodes off without a leave message and measures the time until all others declare them dead.
func (r *runner) measureDeaths(c *cluster) {
	for range r.plan.Deaths {
		nodes := c.running()
		victim := nodes[r.rng.IntN(len(nodes))]
		c.remove(victim)
		victim.dialer.SetUnreachable(c.stewardAddresses()) // it cannot announce that it leaves
		victim.freezer.freeze(detectLimit + joinLimit)
		elapsed, ok := waitUntil(detectLimit, func() bool {
			for _, n := range c.running() {
				if n.statusOf(victim.settings.ID) != wire.StatusDead {
					return false
				}
			}
			return true
		})
		if !ok {
			r.recordFailure("death of %s not known everywhere after %s", victim.settings.ID, detectLimit)
		}
		r.res.DetectS = append(r.res.DetectS, elapsed.Seconds())
		go victim.stop() // returns only after its frozen connections have ended
	}
	r.printf("dead node known everywhere: %.2f s", r.res.DetectS)
}

// stewardAddresses returns the addresses of all running stewards.
func (c *cluster) stewardAddresses() []string {
	var out []string
	for _, n := range c.running() {
		out = append(out, n.settings.StewardAddress)
	}
	return out
}

// measureFreezes freezes nodes for freezeTime and counts the freezes in which a live node was declared dead or left.
func (r *runner) measureFreezes(c *cluster) {
	for range r.plan.Freezes {
		nodes := c.running()
		n := nodes[r.rng.IntN(len(nodes))]
		n.freezer.freeze(freezeTime)
		n.dialer.SetUnreachable(c.stewardAddresses())
		time.AfterFunc(freezeTime, func() { n.dialer.SetUnreachable(nil) })
		_, dead := waitUntil(freezeTime+freezeObservation, func() bool { return c.anyDeclaredDead(nodes) })
		if dead {
			r.res.FalseDead++
		}
	}
	r.printf("live nodes declared dead under %d freezes of %s: %d", r.plan.Freezes, freezeTime, r.res.FalseDead)
}

// anyDeclaredDead reports whether any of the live nodes has another one of them as dead or left.
func (c *cluster) anyDeclaredDead(live []*node) bool {
	ids := map[string]bool{}
	for _, n := range live {
		ids[n.settings.ID] = true
	}
	for _, n := range live {
		for _, m := range n.members() {
			if ids[m.Node.ID] && (m.Status == wire.StatusDead || m.Status == wire.StatusLeft) {
				return true
			}
		}
	}
	return false
}

// measureStarts measures the time from the start of a node until its gate is ready, with and without the platform.
func (r *runner) measureStarts(c *cluster) {
	for _, down := range []bool{false, true} {
		list := &r.res.ReadyUpS
		if down {
			list = &r.res.ReadyDownS
			c.setPlatformOutage(true)
		}
		for range r.plan.Starts {
			n, err := c.start()
			if err != nil {
				r.recordFailure("start: %v", err)
				return
			}
			if _, ok := waitUntil(changeLimit, func() bool { _, ready := n.ready(); return ready }); !ok {
				r.recordFailure("node not ready after %s, platform down: %t", changeLimit, down)
			}
			elapsed, _ := n.ready()
			*list = append(*list, elapsed.Seconds())
			n.stop()
			c.remove(n)
		}
	}
	c.setPlatformOutage(false)
	r.printf("start to ready: platform up %.2f s, down %.2f s", r.res.ReadyUpS, r.res.ReadyDownS)
}

// measureChangesWithCutZones cuts two of four zones off from the platform and measures how long changes take to reach
// all nodes.
func (r *runner) measureChangesWithCutZones(c *cluster, e *engines) error {
	c.cutFromPlatform(func(n *node) bool { return n.settings.AvailabilityZone <= zoneName(1) })
	time.Sleep(logtail.MaxSourceLag)
	list, err := r.timeChanges(c, e, r.plan.CutChanges)
	r.res.ChangeS = list
	r.printf("change on all %d nodes, two zones cut from the platform: p50 %.2f s, p99 %.2f s", len(c.running()), quantile(list, 0.5), quantile(list, 0.99))
	return err
}

// cutFromPlatform cuts the nodes for which isCut returns true off from the platform and reconnects all others.
func (c *cluster) cutFromPlatform(isCut func(n *node) bool) {
	for _, n := range c.running() {
		if isCut(n) {
			n.dialer.SetUnreachable(c.platformAddresses())
		} else {
			n.dialer.SetUnreachable(nil)
		}
	}
}

// timeChanges applies count changes one after the other, through a node of the last zone, which reaches the platform. It
// returns the seconds until each change is applied on all nodes.
func (r *runner) timeChanges(c *cluster, e *engines, count int) ([]float64, error) {
	nodes := c.running()
	var publisher *node
	for _, n := range nodes {
		if n.settings.AvailabilityZone == zoneName(zoneCount-1) {
			publisher = n
		}
	}
	var out []float64
	for i := range count {
		start := time.Now()
		offset, err := c.apply(publisher, r.newPoolEdit(publisher, e, i))
		if err != nil {
			return out, err
		}
		_, ok := waitUntil(changeLimit, func() bool {
			for _, n := range nodes {
				if n.appliedRevision() < offset {
					return false
				}
			}
			return true
		})
		if !ok {
			r.recordFailure("change %d not in force everywhere after %s", i, changeLimit)
		}
		out = append(out, time.Since(start).Seconds())
		time.Sleep(time.Duration(r.rng.IntN(500)) * time.Millisecond)
	}
	return out, nil
}

// newPoolEdit returns a change of one random pool's row, based on the tables of node n.
func (r *runner) newPoolEdit(n *node, e *engines, i int) config.Change {
	row := r.rng.IntN(e.poolCount())
	p := e.poolConfig(row)
	p.ConcurrencyPerTarget = 8 + i%8
	snap := n.Snapshot()
	key := config.PoolKey(p.Name)
	r.res.editCount++
	return config.Change{ID: fmt.Sprintf("edit-%d-%d", r.plan.Seed, r.res.editCount), Author: "capacity", Edits: []config.Edit{{Key: key, Replaces: snap.Rows[key].Revision, Pool: &p}}}
}
