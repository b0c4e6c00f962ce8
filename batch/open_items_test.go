package batch

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/organisation"
	"github.com/ibistrail/ibistrail/store"
)

// TestSubmissionsBeyondTheOpenItemsAreRefused guards against submissions that are all accepted, until the VM that holds their items has no memory
// left. A refused one has left nothing in the log; one that was accepted before is not refused, and one that is alone always fits.
func TestSubmissionsBeyondTheOpenItemsAreRefused(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{partitions: map[store.Partition][][]byte{}}
	v := newRouteVM(t, log, 1, "pool")
	p := v.partitionOf("pool")
	submit := func(id string) error {
		err := v.submit(t, id)
		is.NoErr(p.sync(t.Context()))
		return err
	}
	is.NoErr(submit("first"))
	size := p.index.submissions["first"].itemBytes
	is.True(size > 0)
	v.opts.MaxOpenItemBytes = 2 * size
	is.NoErr(submit("second"))
	var unavailable *UnavailableError
	is.True(errors.As(submit("third"), &unavailable))
	is.True(unavailable.RetryAfter > 0)
	is.NoErr(submit("second"))
	is.Equal(len(copies(t, log, "third")), 0)
	is.NoErr(v.End(t.Context(), organisation.Caller{}, "first"))
	is.NoErr(p.sync(t.Context()))
	is.NoErr(submit("third"))
	is.NoErr(v.End(t.Context(), organisation.Caller{}, "second"))
	is.NoErr(v.End(t.Context(), organisation.Caller{}, "third"))
	is.NoErr(p.sync(t.Context()))
	v.opts.MaxOpenItemBytes = 1
	is.NoErr(submit("alone"))
}

// TestRefusalForOpenItemsIsUpToDate guards against a VM that refuses submissions for good, as it has read of open ones in a partition that it does
// not follow: they have ended since.
func TestRefusalForOpenItemsIsUpToDate(t *testing.T) {
	is := is.New(t)
	pools := poolsInOrder(true)
	log := &memoryLog{partitions: map[store.Partition][][]byte{}}
	former := newRouteVM(t, log, 1, pools[0])
	is.NoErr(former.submit(t, "open"))
	v := newDiscoverer(t, log, 2, pools[1])
	v.DiscoverOpenWork()
	is.Equal(v.await(t), PartitionOf(pools[0], 12).Index)
	v.opts.MaxOpenItemBytes = 1
	isUnavailable(is, v.submit(t, "b"))
	is.NoErr(former.End(t.Context(), organisation.Caller{}, "open"))
	is.NoErr(v.submit(t, "b"))
	is.NoErr(v.partitionOf(pools[1]).sync(t.Context()))
	log.setRefuseRead(func(store.Partition) bool { return true })
	isUnavailable(is, v.submit(t, "c")) // what can't be read counts as it was
}

// TestItemsWaitForRoom guards against a VM that holds the items of all open submissions, which others have accepted.
func TestItemsWaitForRoom(t *testing.T) {
	is := is.New(t)
	p := &partition{index: newIndexState()}
	r := &runner{maxOpenItemBytes: 100, owned: map[*partition]bool{p: true}, jobs: map[string]map[string]*job{}}
	for _, sub := range []struct {
		id            string
		bytes         int64
		ended, opened bool
	}{{"ended", 500, true, false}, {"opened", 60, false, true}, {"waiting", 500, false, false}} {
		p.index.submissions[sub.id] = &submissionState{head: &Head{ID: sub.id}, itemCount: 1, itemBytes: sub.bytes, ended: sub.ended}
		if sub.opened {
			r.jobs[sub.id] = map[string]*job{}
		}
	}
	room := r.newItemRoom()
	is.True(!room.take(41))
	is.True(room.take(40))
	is.True(!room.take(1))
	r.jobs = map[string]map[string]*job{}
	room = r.newItemRoom()
	is.True(room.take(500)) // alone
	is.True(!room.take(1))
	p.index.submissions["waiting"].loading = true
	is.True(!r.newItemRoom().take(1))
	r.maxOpenItemBytes = 0
	is.True(r.newItemRoom().take(1 << 40))
}
