package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/batch"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/scaling"
	"github.com/ibistrail/ibistrail/tenure"
	"github.com/ibistrail/ibistrail/versions"
)

// tenureManager competes for the tenures of partitions. While this VM holds one, it dispatches the batch items
// and orders the weight versions and the targets of the pools in that partition.
type tenureManager struct {
	p         *Process
	processID string

	mu          sync.Mutex
	stopped     bool
	tenures     map[int]*tenure.Tenure
	controllers map[string]context.CancelFunc // stops the version controller of a pool, by pool
	scalers     map[string]*scaler            // those that order targets, by pool
}

// scaler orders the targets of a pool until cancel is called.
type scaler struct {
	*scaling.Runner
	cancel context.CancelFunc
}

// newTenureManager returns a manager whose tenures name the process by processID.
func newTenureManager(p *Process, processID string) *tenureManager {
	return &tenureManager{
		p: p, processID: processID,
		tenures: map[int]*tenure.Tenure{}, controllers: map[string]context.CancelFunc{}, scalers: map[string]*scaler{},
	}
}

// run updates the tenures after each change of the view until the process ends. When the routing of batches changes, pools may have left the
// tables since their partitions got open work.
func (m *tenureManager) run() {
	var routing fleet.BatchRouting
	m.p.View.Follow(m.p.ctx, func(s *fleet.Snapshot) {
		m.syncTenures()
		if s.Tables != nil && s.BatchRouting != routing {
			routing = s.BatchRouting
			m.p.Batches.DiscoverOpenWork()
		}
	})
}

// poolsByPartition returns, by partition, the pools that need a holder: those that run batches or have engines,
// whose versions are ordered. With ordersTargets, those whose targets are ordered need one, too.
func poolsByPartition(t *fleet.Tables, partitions int, ordersTargets bool) map[int][]string {
	out := map[int][]string{}
	if t == nil {
		return out
	}
	for i := range t.Pools {
		pool := &t.Pools[i]
		used := pool.Engine != nil || ordersTargets && pool.Scaling != nil
		for j := range t.Routes {
			used = used || t.Routes[j].Batch && t.Routes[j].UsesPool(pool.Name)
		}
		if used {
			n := batch.PartitionOf(pool.Name, partitions).Index
			out[n] = append(out[n], pool.Name)
		}
	}
	return out
}

// syncTenures joins the partitions of the current tables and those with open work, and starts and stops work according to the tenures that are
// held.
func (m *tenureManager) syncTenures() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	s := m.p.opts.Settings
	tables := m.p.View.Get().Tables
	if tables == nil {
		return // it is not known which partitions have pools
	}
	pools := poolsByPartition(tables, s.Partitions, m.ordersTargets())
	needed := slices.Collect(maps.Keys(pools))
	for _, n := range m.p.Batches.OpenPartitions() {
		if len(pools[n]) == 0 {
			needed = append(needed, n)
		}
	}
	for _, n := range needed {
		if m.tenures[n] == nil {
			t := tenure.New(tenure.Options{
				Store: m.p.opts.Store, Partition: n, Machine: s.IP, Process: m.processID, HandoverDelay: s.OrderHandover,
				Standby: m.p.standby(), Able: func() bool { return m.reachesEngines(n) }, Clock: m.p.opts.BootTime, Log: m.p.opts.Log, OnChange: func() { go m.syncTenures() },
			})
			m.tenures[n] = t
			// If all candidates read the index when all VMs start, the store is busy for a second.
			m.p.Batches.Compete(n, t.FirstInLine())
			if len(pools[n]) == 0 {
				m.p.opts.Log.Info("open_work_found", "partition", n)
			}
			go t.Run(m.p.ctx)
		}
	}
	held := map[int]bool{}
	poolTenures := map[string]*tenure.Tenure{}
	for n, t := range m.tenures {
		if _, ok := t.Held(); ok {
			held[n] = true
			for _, pool := range pools[n] {
				poolTenures[pool] = t
			}
		}
	}
	m.p.Batches.SetOwnedPartitions(held)
	m.syncControllers(poolTenures)
	m.syncScalers(poolTenures)
}

// syncControllers runs a version controller for each pool in poolTenures and stops the others.
func (m *tenureManager) syncControllers(poolTenures map[string]*tenure.Tenure) {
	for name, cancel := range m.controllers {
		if poolTenures[name] == nil {
			cancel()
			delete(m.controllers, name)
		}
	}
	for name, t := range poolTenures {
		if m.controllers[name] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(m.p.ctx)
		m.controllers[name] = cancel
		controller := &versions.Controller{
			Pool: name, View: m.p.View, Engines: m.p.opts.Engines, Log: m.p.opts.Log, Holder: m.p.opts.Settings.IP,
			Demand:       m.p.Batches.Demand(name),
			LoadObserver: m.p.Batches.LoadObserver(), Tenure: t,
		}
		go controller.Run(ctx)
	}
}

// ordersTargets reports whether VMs order the targets of pools.
func (m *tenureManager) ordersTargets() bool {
	return m.p.opts.Settings.Duties.OrderTargets && m.p.opts.DutyAPI != nil
}

// syncScalers orders the targets of each pool in poolTenures whose number of targets is ours to choose, and of no other.
func (m *tenureManager) syncScalers(poolTenures map[string]*tenure.Tenure) {
	if !m.ordersTargets() {
		return
	}
	scaled := map[string]bool{}
	if t := m.p.View.Get().Tables; t != nil {
		for i := range t.Pools {
			scaled[t.Pools[i].Name] = t.Pools[i].Scaling != nil && poolTenures[t.Pools[i].Name] != nil
		}
	}
	for name, s := range m.scalers {
		if !scaled[name] {
			s.cancel()
			delete(m.scalers, name)
		}
	}
	for name, ok := range scaled {
		if !ok || m.scalers[name] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(m.p.ctx)
		s := &scaler{cancel: cancel, Runner: &scaling.Runner{
			Pool: name, VM: m.p.opts.Settings.VM, View: m.p.View, API: m.p.opts.DutyAPI, Tenure: poolTenures[name],
			Load:     func() scaling.Load { return m.p.Batches.OpenWork(name) },
			Draining: m.p.targets.Draining, ViewAge: func() time.Duration { return m.p.follower.age(m.p.opts.Sources) },
			CallsPerSecond: m.p.opts.Settings.Duties.CallsPerSecond, Log: m.p.opts.Log, Metrics: m.p.opts.Metrics,
		}}
		m.scalers[name] = s
		go s.Run(ctx)
	}
}

// scalingStates returns the state of the orders of targets by pool; nil if this VM orders none.
func (m *tenureManager) scalingStates() map[string]scaling.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out map[string]scaling.State
	for name, s := range m.scalers {
		if out == nil {
			out = map[string]scaling.State{}
		}
		out[name] = s.State()
	}
	return out
}

// partitionEngines returns the registered targets that do the work of a partition: those of its pools, and of the pools to which the routes of
// its open batches go now.
func (m *tenureManager) partitionEngines(n int) []*fleet.Instance {
	snap := m.p.View.Get()
	pools := poolsByPartition(snap.Tables, m.p.opts.Settings.Partitions, m.ordersTargets())[n]
	for _, pool := range m.p.Batches.OpenPools(n) {
		if !slices.Contains(pools, pool) {
			pools = append(pools, pool)
		}
	}
	var out []*fleet.Instance
	for _, pool := range pools {
		out = append(out, snap.Pool(pool)...)
	}
	return out
}

// reachesEngines reports whether this VM reaches engines of a partition's pools, so that it can run their work.
func (m *tenureManager) reachesEngines(n int) bool {
	return m.p.detour.Reaches(m.p.ctx, m.partitionEngines(n))
}

// handOnInterval is the time between two tries to hand tenures on.
const handOnInterval = 500 * time.Millisecond

// handOn hands the held tenures on to VMs that reach the targets, for as long as this VM reaches none. If no other VM does, it keeps them.
func (m *tenureManager) handOn() {
	for m.p.ctx.Err() == nil && m.p.detour.Stranded() && !m.p.ShuttingDown() {
		m.handOnHeld()
		process.Sleep(m.p.ctx, handOnInterval)
	}
}

// handOnHeld saves the unfinished texts and yields the tenures whose engines another VM reaches.
func (m *tenureManager) handOnHeld() {
	var yielded []*tenure.Tenure
	m.mu.Lock()
	tenures := maps.Clone(m.tenures)
	m.mu.Unlock()
	for n, t := range tenures {
		engines := m.partitionEngines(n)
		if _, held := t.Held(); held && len(engines) > 0 && m.p.detour.OthersReach(m.p.ctx, engines[0]) {
			yielded = append(yielded, t)
		}
	}
	if len(yielded) == 0 {
		return
	}
	m.p.Batches.Handover()
	ctx, cancel := context.WithTimeout(m.p.ctx, releaseTimeout)
	defer cancel()
	for _, t := range yielded {
		t.Yield(ctx)
	}
}

// stop records unfinished batch work in the store and ends the tenures, so that another VM continues at once. While the store does not take
// that, no other VM could continue, so this VM goes on with the work, until a deadline. The returned channel is closed when all work has ended.
func (m *tenureManager) stop(deadline time.Time) (ended <-chan struct{}) {
	done := make(chan struct{})
	if m.handOver() {
		m.release()
		close(done)
		return done
	}
	m.p.opts.Log.Info("handover_waits", "until_ms", time.Until(deadline).Milliseconds())
	go func() {
		defer close(done)
		for time.Now().Before(deadline) && !m.handOver() {
			process.Sleep(m.p.ctx, handOverRetryDelay)
		}
		m.release()
	}()
	return done
}

// handOverRetryDelay is the pause after a handover that the store did not take.
const handOverRetryDelay = 100 * time.Millisecond

// handOver saves the unfinished texts and ends the tenures in the store. It reports whether the store took both.
func (m *tenureManager) handOver() bool {
	if !m.p.Batches.Handover() {
		return false
	}
	m.mu.Lock()
	tenures := maps.Clone(m.tenures)
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(m.p.ctx, releaseTimeout)
	defer cancel()
	ended := true
	for _, t := range tenures {
		ended = t.Yield(ctx) && ended
	}
	return ended
}

// release ends all work of this VM for partitions and releases their tenures.
func (m *tenureManager) release() {
	m.mu.Lock()
	m.stopped = true
	tenures := m.tenures
	m.syncControllers(nil)
	m.syncScalers(nil)
	m.mu.Unlock()
	m.p.Batches.SetOwnedPartitions(nil)
	ctx, cancel := context.WithTimeout(m.p.ctx, releaseTimeout)
	defer cancel()
	for _, t := range tenures {
		t.Release(ctx)
	}
}

// holdsPool reports whether this VM holds the tenure of a pool's partition.
func (m *tenureManager) holdsPool(pool string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.tenures[batch.PartitionOf(pool, m.p.opts.Settings.Partitions).Index]
	if t == nil {
		return false
	}
	_, held := t.Held()
	return held
}

// states returns the state of the tenures by partition.
func (m *tenureManager) states() map[int]tenure.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[int]tenure.State{}
	for n, t := range m.tenures {
		out[n] = t.State()
	}
	return out
}
