package batch

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/memory"
	"github.com/ibistrail/ibistrail/organisation"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/store"
)

// Size of the deployment of the property test.
const (
	propPartitions = 4
	propVMs        = 3
	propItems      = 2
	minSteps       = 20
	maxSteps       = 80
	// propChecks is the number of draws unless -rapid.checks is set.
	propChecks = "3000"
)

// Durations in virtual time.
const (
	// callTime is how long a call of the store takes at least.
	callTime = time.Millisecond
	// slowCallTime is how long a slow append takes.
	slowCallTime = 20 * callTime
)

// propLog is a log whose calls can fail.
type propLog struct {
	memoryLog
	faults map[store.Partition]storeFault
	late   []lateAppend
}

func (l *propLog) fault(p store.Partition) storeFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults[p]
}

func (l *propLog) setFault(p store.Partition, f storeFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[p] = f
}

func (l *propLog) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.faults)
}

// propLink is a VM's connection to the log. Each has its own call time, so that the order of calls does not depend on the scheduler.
type propLink struct {
	*propLog
	callTime time.Duration
}

type lateAppend struct {
	partition store.Partition
	records   [][]byte
}

// storeFault is what the store does with the calls to a partition.
type storeFault int

const (
	noFault storeFault = iota
	refusesAppends
	refusesReads
	refusesAll
	hangsReads
	losesAnswers
	appendsLater
	appendsSlowly
)

func (l *propLink) Append(ctx context.Context, p store.Partition, records [][]byte) (int64, error) {
	time.Sleep(l.callTime)
	switch l.fault(p) {
	case appendsSlowly:
		time.Sleep(slowCallTime)
	case refusesAppends, refusesAll:
		return 0, store.ErrUnavailable
	case losesAnswers:
		if _, err := l.memoryLog.Append(ctx, p, records); err != nil {
			return 0, err
		}
		return 0, errors.New("no answer")
	case appendsLater:
		l.mu.Lock()
		l.late = append(l.late, lateAppend{p, records})
		l.mu.Unlock()
		return 0, errors.New("no answer")
	}
	return l.memoryLog.Append(ctx, p, records)
}

func (l *propLink) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration, maxBytes int) (store.Batch, error) {
	time.Sleep(l.callTime)
	switch l.fault(p) {
	case refusesReads, refusesAll:
		return store.Batch{}, store.ErrUnavailable
	case hangsReads:
		<-ctx.Done()
		return store.Batch{}, ctx.Err()
	}
	return l.memoryLog.Read(ctx, p, from, wait, maxBytes)
}

// deliver carries out the oldest late append, and reports whether there was one.
func (l *propLog) deliver() bool {
	l.mu.Lock()
	if len(l.late) == 0 {
		l.mu.Unlock()
		return false
	}
	a := l.late[0]
	l.late = l.late[1:]
	l.mu.Unlock()
	if _, err := l.memoryLog.Append(context.Background(), a.partition, a.records); err != nil {
		panic(err) // it has no fault of its own
	}
	return true
}

// propVM is a VM with its own knowledge of the tables. Its process ends with cancel.
type propVM struct {
	*Service
	cancel    context.CancelFunc
	directory *fleet.Directory
	known     int // the number of versions of the tables that it has learned of
}

// propWorld is a deployment and what its callers have been told.
type propWorld struct {
	t       *rapid.T
	log     *propLog
	pools   []string
	tables  []*fleet.Tables
	vms     []*propVM
	started int

	mu      sync.Mutex // guards what follows: some steps overlap
	batches map[string]*propBatch
	broken  string // the first broken promise
}

// propBatch is what callers know of a batch.
type propBatch struct {
	attempts, refused int
	accepted, ended   bool
	read              []string // the items of its results
}

// propBatches are the IDs of the batches.
var propBatches = []string{"a/1", "b/1"}

// breaks records a broken promise. The caller holds mu.
func (w *propWorld) breaks(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

func newPropWorld(t *rapid.T) *propWorld {
	w := &propWorld{
		t: t, log: &propLog{memoryLog: memoryLog{partitions: map[store.Partition][][]byte{}}, faults: map[store.Partition]storeFault{}},
		batches: map[string]*propBatch{},
	}
	for _, id := range propBatches {
		w.batches[id] = &propBatch{}
	}
	for i := 0; len(w.pools) < propPartitions; i++ {
		if name := fmt.Sprintf("pool-%d", i); PartitionOf(name, propPartitions).Index == len(w.pools) {
			w.pools = append(w.pools, name)
		}
	}
	w.publish(w.pools[0], "")
	for range propVMs {
		w.vms = append(w.vms, w.startVM())
	}
	return w
}

// publish appends tables in which the route goes to a pool, and a longer one to another unless that is "".
func (w *propWorld) publish(pool, longer string) {
	route := func(prefix, pool string) fleet.Route {
		return fleet.Route{Route: config.Route{Name: prefix, PathPrefix: prefix, Pool: pool}, Host: "h", Batch: true}
	}
	t := &fleet.Tables{Version: int64(len(w.tables) + 1)}
	if pool != "" {
		t.Routes = append(t.Routes, route("/r/", pool))
	}
	if longer != "" {
		t.Routes = append(t.Routes, route("/r/b/", longer))
	}
	w.tables = append(w.tables, t)
}

// startVM returns a VM that has listed the newest tables.
func (w *propWorld) startVM() *propVM {
	ctx, cancel := context.WithCancel(context.Background())
	w.started++
	link := &propLink{w.log, callTime + time.Duration(w.started)*time.Microsecond}
	v := &propVM{cancel: cancel, directory: fleet.NewDirectory(), known: len(w.tables), Service: New(ctx, Options{
		Partitions: propPartitions, MaxRecordBytes: 1 << 16, MaxAppendBytes: 1 << 20, Retention: time.Hour, Store: link, View: fleet.NewView(),
		Log: slog.New(slog.DiscardHandler), Metrics: process.NewMetrics(),
	})}
	v.apply(w.tables[v.known-1])
	return v
}

func (v *propVM) apply(t *fleet.Tables) {
	v.directory.SetTables(t)
	v.opts.View.Set(&fleet.Snapshot{Tables: v.directory.Tables(), BatchRouting: v.directory.BatchRouting()})
}

// learn makes a VM know the next version of the tables, or the newest one after it has missed those before.
func (w *propWorld) learn(v *propVM, newest bool) {
	if v.known == len(w.tables) {
		return
	}
	if v.known++; newest {
		v.known = len(w.tables)
	}
	v.apply(w.tables[v.known-1])
}

func (w *propWorld) submit(v *propVM, id string) {
	sub := &Submission{Head: Head{ID: id, Host: "h", Path: "/r/" + id, AcceptedMs: time.Now().UnixMilli()}}
	for i := range propItems {
		sub.Items = append(sub.Items, Item{ID: fmt.Sprintf("%s-%d", id, i), Path: "/i"})
	}
	w.mu.Lock()
	b := w.batches[id]
	b.attempts++
	w.mu.Unlock()
	err := v.Submit(context.Background(), sub)
	w.mu.Lock()
	defer w.mu.Unlock()
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		b.refused++
	}
	b.accepted = b.accepted || err == nil
}

// work lets a VM run the submissions of a partition as its holder does: it places void ones, and lists an item of each open one.
func (w *propWorld) work(v *propVM, p *partition) {
	ctx := context.Background()
	if p.sync(ctx) != nil {
		return
	}
	var voids []*voidSubmission
	listed := map[string]int{} // the results of the open submissions
	p.mu.Lock()
	for _, void := range p.index.void {
		voids = append(voids, void)
	}
	for id, sub := range p.index.submissions {
		if !sub.done() {
			listed[id] = len(sub.results)
		}
	}
	p.mu.Unlock()
	for _, void := range voids {
		v.placeVoid(ctx, p, void)
	}
	for _, id := range propBatches {
		n, ok := listed[id]
		if !ok {
			continue
		}
		w.mu.Lock()
		b := w.batches[id]
		if b.ended {
			w.breaks("%s runs in partition %d after its end was confirmed", id, p.id.Index)
		}
		if b.refused == b.attempts {
			w.breaks("%s runs, and was refused each time", id)
		}
		w.mu.Unlock()
		item := fmt.Sprintf("%s-%d", id, n)
		if p.id.Index%2 == 1 { // holders do not agree on which item ends first
			item = fmt.Sprintf("%s-%d", id, propItems-1-n)
		}
		data, err := json.Marshal(record{Kind: recordResult, ID: id, Result: &resultMeta{ItemID: item, Abandoned: true}})
		if err != nil {
			panic(err)
		}
		if _, err := p.store.Append(ctx, p.id, [][]byte{data}); err != nil {
			return
		}
	}
}

// readBatch reads a batch from its start.
func (w *propWorld) readBatch(v *propVM, id string) {
	ctx := context.Background()
	p, err := v.find(ctx, organisation.Caller{}, id)
	var page *Page
	if err == nil {
		page, err = p.pageAfterSync(ctx, id, 0, 1<<20, memory.NewBudget(1<<30).Hold())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.batches[id]
	var unavailable *UnavailableError
	switch {
	case errors.As(err, &unavailable):
		return
	case errors.Is(err, ErrNotFound) && !b.accepted && len(b.read) == 0:
		return
	case err != nil:
		w.breaks("%s was accepted or read before, and is answered: %v", id, err)
		return
	}
	var items []string
	for _, r := range page.Results {
		items = append(items, r.ItemID)
	}
	if len(items) < len(b.read) || !slices.Equal(items[:len(b.read)], b.read) {
		w.breaks("%s lists %v, and listed %v before", id, items, b.read)
	}
	b.read = items
}

func (w *propWorld) end(v *propVM, id string) {
	if v.End(context.Background(), organisation.Caller{}, id) == nil {
		w.batches[id].ended = true
	}
}

// step does something that is drawn.
func (w *propWorld) step() {
	t := w.t
	v := rapid.IntRange(0, propVMs-1).Draw(t, "vm")
	id := rapid.SampledFrom(propBatches).Draw(t, "batch")
	partition := rapid.IntRange(0, propPartitions-1).Draw(t, "partition")
	switch action := rapid.SampledFrom([]string{
		"submit", "submit", "submit", "overlap", "overlap", "move", "learn", "learn", "restart", "restart all", "work", "work", "read", "read", "end", "fault", "heal", "deliver",
	}).Draw(t, "action"); action {
	case "submit":
		w.submit(w.vms[v], id)
	case "overlap":
		w.overlap()
	case "move":
		longer := rapid.SampledFrom([]string{"", "", w.pools[2], w.pools[3]}).Draw(t, "longer route to")
		w.publish(rapid.SampledFrom([]string{w.pools[0], w.pools[0], w.pools[1], w.pools[2], ""}).Draw(t, "to"), longer)
	case "learn":
		w.learn(w.vms[v], rapid.Bool().Draw(t, "newest"))
	case "restart":
		w.vms[v].cancel()
		w.vms[v] = w.startVM()
	case "restart all":
		for i := range w.vms {
			w.vms[i].cancel()
			w.vms[i] = w.startVM()
		}
	case "work":
		w.work(w.vms[v], w.vms[v].partitions[partition])
	case "read":
		w.readBatch(w.vms[v], id)
	case "end":
		w.end(w.vms[v], id)
	case "fault":
		p := w.vms[v].partitions[partition].id
		if rapid.Bool().Draw(t, "data") {
			p = dataPart(partition, mainPart)
		}
		w.log.setFault(p, storeFault(rapid.IntRange(int(refusesAppends), int(appendsSlowly)).Draw(t, "fault")))
	case "heal":
		w.log.heal()
	case "deliver":
		w.log.deliver()
	}
}

// overlap lets each VM submit a batch, learn of moves, or run a partition, with drawn delays in between.
func (w *propWorld) overlap() {
	var all sync.WaitGroup
	for i, v := range w.vms {
		delay := time.Duration(rapid.IntRange(0, 10).Draw(w.t, "delay")) * callTime
		id := rapid.SampledFrom(propBatches).Draw(w.t, "batch")
		p := v.partitions[rapid.IntRange(0, propPartitions-1).Draw(w.t, "partition")]
		learns, works := rapid.Bool().Draw(w.t, "learns"), rapid.Bool().Draw(w.t, "works")
		all.Go(func() {
			time.Sleep(delay + time.Duration(i)*time.Microsecond)
			if learns {
				w.learn(v, true)
			}
			if works {
				w.work(v, p)
			} else {
				w.submit(v, id)
			}
		})
	}
	all.Wait()
}

// settle ends all faults, and checks that each accepted batch is in one partition for all VMs and a new one.
func (w *propWorld) settle() {
	w.log.heal()
	for w.log.deliver() {
	}
	w.vms = append(w.vms, w.startVM())
	for range 2 { // void submissions may be placed in a partition that was looked at before
		for _, v := range w.vms {
			w.learn(v, true)
			for _, p := range v.partitions {
				w.work(v, p)
			}
		}
	}
	for _, v := range w.vms {
		if err := v.syncAll(context.Background()); err != nil {
			w.t.Fatal(err)
		}
		for _, id := range propBatches {
			var in []int
			for _, p := range v.partitions {
				p.mu.Lock()
				if p.index.submissions[id] != nil {
					in = append(in, p.id.Index)
				}
				p.mu.Unlock()
			}
			if accepted := w.batches[id].accepted; len(in) > 1 || accepted && len(in) == 0 {
				w.breaks("%s is in the partitions %v; it was accepted: %v", id, in, accepted)
			}
			w.readBatch(v, id)
		}
	}
}

// bubbleT has no deadline, for which a test in virtual time must not ask.
type bubbleT struct{ *testing.T }

func (bubbleT) Deadline() (time.Time, bool) { return time.Time{}, false }

// TestBatchIsAcceptedOnceWhateverVMsKnow guards against batches that are accepted twice, or lost: while routes move, also back and to longer
// ones, VMs learn of it at different times, restart or miss versions, and the store refuses calls, hangs, loses answers or is late.
func TestBatchIsAcceptedOnceWhateverVMsKnow(t *testing.T) {
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set(propChecks) // a decimal number always parses
	}
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleT{t}, func(t *rapid.T) {
			w := newPropWorld(t)
			defer func() {
				for _, v := range w.vms {
					v.cancel()
				}
			}()
			for range rapid.IntRange(minSteps, maxSteps).Draw(t, "steps") {
				w.step()
				if w.broken != "" {
					t.Fatal(w.broken)
				}
			}
			if w.settle(); w.broken != "" {
				t.Fatal(w.broken)
			}
		})
	})
}
