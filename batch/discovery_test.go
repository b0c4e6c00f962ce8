package batch

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/organisation"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/store"
)

// discoverer is a VM that competes for the partition of one pool, and records in which partitions it has found open work.
type discoverer struct {
	*routeVM
	found chan int
}

func newDiscoverer(t *testing.T, log store.Log, version int64, pool string) *discoverer {
	v := &discoverer{routeVM: newRouteVM(t, log, version, pool), found: make(chan int, 100)}
	for i, p := range v.partitions {
		p.openWork = func() { v.found <- i }
	}
	v.Compete(PartitionOf(pool, 12).Index, false)
	go v.Run()
	return v
}

// await waits until open work is found and returns its partition.
func (v *discoverer) await(t *testing.T) int {
	t.Helper()
	select {
	case i := <-v.found:
		return i
	case <-time.After(5 * time.Second):
		t.Fatal("no open work is found")
		return 0
	}
}

// TestOpenWorkOfOtherPartitionsIsDiscovered guards against open submissions that no VM runs: their pool left the tables before the VM started.
// A partition that can't be read is read later, and delays the others by no more than one try.
func TestOpenWorkOfOtherPartitionsIsDiscovered(t *testing.T) {
	is := is.New(t)
	pools := poolsInOrder(true)
	log := &memoryLog{partitions: map[store.Partition][][]byte{}}
	is.NoErr(newRouteVM(t, log, 1, pools[0]).submit(t, "a"))
	is.NoErr(newRouteVM(t, log, 2, pools[1]).submit(t, "b"))
	dark, open := PartitionOf(pools[0], 12), PartitionOf(pools[1], 12)
	tried := make(chan struct{}, 1)
	log.setRefuseRead(func(p store.Partition) bool {
		if p == dark {
			process.Notify(tried)
		}
		return p == dark
	})
	v := newDiscoverer(t, log, 3, pools[2])
	v.DiscoverOpenWork()
	is.Equal(v.await(t), open.Index)
	<-tried
	log.setRefuseRead(nil)
	is.Equal(v.await(t), dark.Index)
	found := v.OpenPartitions()
	slices.Sort(found)
	is.Equal(found, []int{dark.Index, open.Index})
	is.Equal(v.OpenPools(open.Index), []string{pools[2]}) // where the route goes now
	is.True(!v.partitionOf(pools[2]).isRead())            // the tenure's candidates read it
}

// TestDiscoveryReadsEachPartitionOnce guards against reads of the store for partitions without work.
func TestDiscoveryReadsEachPartitionOnce(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	reads := map[int]int{}
	log := &memoryLog{partitions: map[store.Partition][][]byte{}}
	log.setBeforeRead(func(p store.Partition) {
		mu.Lock()
		defer mu.Unlock()
		reads[p.Index]++
	})
	v := newDiscoverer(t, log, 1, "a")
	v.DiscoverOpenWork()
	allRead := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(reads) == 11
	}
	for deadline := time.Now().Add(5 * time.Second); !allRead(); time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(deadline))
	}
	time.Sleep(4 * discoveryPause)
	mu.Lock()
	defer mu.Unlock()
	for _, n := range reads {
		is.Equal(n, 1)
	}
	is.Equal(reads[PartitionOf("a", 12).Index], 0)
}

// TestVoidSubmissionWithoutARouteIsFound guards against a submission that is placed in a partition of no pool, as its route is gone or a plain one has
// taken its path, and that no VM runs when there is a route for it.
func TestVoidSubmissionWithoutARouteIsFound(t *testing.T) {
	for name, routes := range map[string][]fleet.Route{
		"its route is gone":          nil,
		"a plain route has its path": {batchRoute("/r/"), plainRoute("/r/b")},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pools := poolsInOrder(true)
			log := &memoryLog{partitions: map[store.Partition][][]byte{}}
			late := newRouteVM(t, log, 1, pools[0])
			is.NoErr(late.submit(t, "earlier"))
			is.NoErr(newRouteVM(t, log, 2, pools[1]).submit(t, "other")) // begins an epoch
			is.NoErr(late.submit(t, "b"))                                // void
			v := newDiscoverer(t, log, 2, pools[1])
			v.version++
			v.directory.SetTables(&fleet.Tables{Version: v.version, Routes: routes})
			v.opts.View.Set(&fleet.Snapshot{Tables: v.directory.Tables(), BatchRouting: v.directory.BatchRouting()})
			_, err := v.find(t.Context(), organisation.Caller{}, "b")
			isUnavailable(is, err) // v places it
			for want := v.partitionOf("b").id.Index; v.await(t) != want; {
			}
			is.Equal(copies(t, log, "b"), []int{v.partitionOf("b").id.Index})
		})
	}
}
