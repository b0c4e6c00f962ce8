package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/batch"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/tenure"
	"github.com/ibistrail/ibistrail/versions"
)

// work holds the tenures of this VM, and runs what they stand for: the items of batches and the
// orders of weight versions of the pools in a partition.
type work struct {
	p       *Process
	process string

	mu      sync.Mutex
	stopped bool
	tenures map[int]*tenure.Tenure
	duties  map[string]context.CancelFunc // by pool
}

func newWork(p *Process) *work {
	return &work{
		p: p, process: fmt.Sprintf("%s/%d", p.parts.Settings.VM, time.Now().UnixNano()),
		tenures: map[int]*tenure.Tenure{}, duties: map[string]context.CancelFunc{},
	}
}

// run follows the tables until the process ends.
func (w *work) run() {
	for w.p.life.Err() == nil {
		changed := w.p.View.Changed()
		w.update()
		select {
		case <-w.p.life.Done():
		case <-changed:
		}
	}
}

// wanted returns the partitions of pools that batches run on or that have versions to order.
func wanted(t *fleet.Tables, partitions int) map[int][]string {
	out := map[int][]string{}
	if t == nil {
		return out
	}
	for i := range t.Pools {
		pool := &t.Pools[i]
		used := pool.Engine != nil
		for j := range t.Routes {
			used = used || t.Routes[j].Batch && t.Routes[j].Uses(pool.Name)
		}
		if used {
			n := batch.PartitionOf(pool.Name, partitions).Index
			out[n] = append(out[n], pool.Name)
		}
	}
	return out
}

// update starts and ends tenures and duties.
func (w *work) update() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	s := w.p.parts.Settings
	want := wanted(w.p.View.Get().Tables, s.Partitions)
	for n := range want {
		if w.tenures[n] == nil {
			t := tenure.New(tenure.Options{
				Store: w.p.parts.Store, Partition: n, Machine: s.IP, Process: w.process, Handover: s.OrderHandover,
				Standby: w.p.standby(), Clock: w.p.parts.BootTime, Log: w.p.parts.Log, Changed: func() { go w.update() },
			})
			w.tenures[n] = t
			go t.Run(w.p.life)
		}
	}
	held := map[int]bool{}
	duties := map[string]*tenure.Tenure{}
	for n, t := range w.tenures {
		if _, ok := t.Held(); ok {
			held[n] = true
			for _, pool := range want[n] {
				duties[pool] = t
			}
		}
	}
	w.p.Batches.Own(held)
	w.updateDuties(duties)
}

// updateDuties runs the version orders of the pools whose tenure is held.
func (w *work) updateDuties(wanted map[string]*tenure.Tenure) {
	for name, cancel := range w.duties {
		if wanted[name] == nil {
			cancel()
			delete(w.duties, name)
		}
	}
	for name, t := range wanted {
		if w.duties[name] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(w.p.life)
		w.duties[name] = cancel
		d := &versions.Duty{
			Pool: name, View: w.p.View, Engines: w.p.parts.Engines, Log: w.p.parts.Log, Holder: w.p.parts.Settings.IP,
			Needs: w.p.Batches.Needs(name),
			Loads: w.p.Batches.Loads(), Tenure: t,
		}
		go d.Run(ctx)
	}
}

// stop writes down unfinished work and gives the tenures up.
func (w *work) stop() {
	w.p.Batches.Handover()
	w.mu.Lock()
	w.stopped = true
	tenures := w.tenures
	w.updateDuties(nil)
	w.mu.Unlock()
	w.p.Batches.Own(nil)
	ctx, cancel := context.WithTimeout(w.p.life, leaveTimeout)
	defer cancel()
	for _, t := range tenures {
		t.Release(ctx)
	}
}

// holds tells whether this VM holds the tenure of a pool's partition.
func (w *work) holds(pool string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tenures[batch.PartitionOf(pool, w.p.parts.Settings.Partitions).Index]
	if t == nil {
		return false
	}
	_, held := t.Held()
	return held
}

// state shows the tenures by partition.
func (w *work) state() map[int]tenure.State {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[int]tenure.State{}
	for n, t := range w.tenures {
		out[n] = t.State()
	}
	return out
}
