package batch

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/store"
)

// oneRecordLog is a log that returns one record per read.
type oneRecordLog struct {
	store.Log
	records [][]byte
}

func (l *oneRecordLog) Read(_ context.Context, _ store.Partition, from int64, _ time.Duration, _ int) (store.Batch, error) {
	b := store.Batch{From: from, End: int64(len(l.records))}
	if from < b.End {
		b.Records = l.records[from : from+1]
	}
	return b, nil
}

// TestPartitionNotCaughtUpUntilReadToEnd guards against running the items of an ended submission: a new owner reads
// the submission before the record of its end.
func TestPartitionNotCaughtUpUntilReadToEnd(t *testing.T) {
	is := is.New(t)
	p := &partition{
		store: &oneRecordLog{records: [][]byte{submitRecord("b", 2), encodeRecord(record{Kind: recordEnd, ID: "b"})}},
		log:   slog.New(slog.DiscardHandler), retention: noExpiry, index: newIndexState(), changed: make(chan struct{}), wake: func() {},
	}
	p.owned, p.ownedAt = true, time.Now()
	is.NoErr(p.read(t.Context(), 0))
	is.True(!p.index.submissions["b"].done())
	is.True(!p.caughtUp()) // there may be more records
	is.NoErr(p.read(t.Context(), 0))
	is.True(p.caughtUp())
	is.True(p.index.submissions["b"].done())
	// A partition that is taken over again has to be read to its end again.
	p.ownedAt = time.Now().Add(time.Millisecond)
	is.True(!p.caughtUp())
}

func TestSyncReadsRecordsAppendedBeforeCall(t *testing.T) {
	is := is.New(t)
	log := &oneRecordLog{}
	p := &partition{
		store: log, log: slog.New(slog.DiscardHandler), retention: noExpiry, index: newIndexState(), changed: make(chan struct{}), wake: func() {},
	}
	is.NoErr(p.sync(t.Context()))
	log.records = [][]byte{submitRecord("b", 2), resultRecord("b", "i", "s")}
	is.NoErr(p.sync(t.Context()))
	_, results, open, _ := p.resultsAfter("b", 0)
	is.Equal(len(results), 1)
	is.True(open)
}

// noExpiry is a retention that keeps the submissions of the tests, which were accepted in 1970.
const noExpiry = 200 * 365 * 24 * time.Hour

// TestRegainedPartitionLoadsProgressOfOtherVM guards against restarting an item with an outdated text: a VM loses a
// partition and regains it after another VM has saved a text.
func TestRegainedPartitionLoadsProgressOfOtherVM(t *testing.T) {
	is := is.New(t)
	items, err := json.Marshal([]Item{{ID: "i", Path: "/i"}})
	is.NoErr(err)
	saved, err := json.Marshal(&Progress{ItemID: "i", Writer: "other", Events: []string{"e1", "e2"}, Versions: []int64{1, 1}})
	is.NoErr(err)
	indexLog := &oneRecordLog{records: [][]byte{submitRecord("b", 1)}}
	p := &partition{
		store: indexLog, data: newDataPartition(&oneRecordLog{records: [][]byte{items, saved}}, 0), log: slog.New(slog.DiscardHandler), retention: noExpiry,
		index: newIndexState(), changed: make(chan struct{}), wake: func() {},
	}
	view := fleet.NewView()
	view.Set(&fleet.Snapshot{Tables: &fleet.Tables{}})
	r := newRunner(Options{View: view, Log: slog.New(slog.DiscardHandler), Metrics: process.NewMetrics()})
	setOwner := func(owned bool) {
		p.mu.Lock()
		p.owned, p.ownedAt = owned, time.Now()
		p.mu.Unlock()
		is.NoErr(p.sync(t.Context()))
		r.setOwned(map[*partition]bool{p: owned})
		if !owned {
			r.setOwned(nil)
		}
		r.schedule(t.Context())
	}
	waitForJob := func() *job {
		for range 100 {
			r.mu.Lock()
			j := r.jobs["b"]["i"]
			r.mu.Unlock()
			if j != nil {
				return j
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatal("the submission was not opened within 1 s")
		return nil
	}
	setOwner(true)
	is.Equal(len(waitForJob().events), 0)
	setOwner(false)
	indexLog.records = append(indexLog.records, encodeRecord(record{Kind: recordProgress, ID: "b", SavedParts: &savedParts{Offset: 1, Items: []string{"i"}}}))
	setOwner(true)
	is.Equal(waitForJob().events, []string{"e1", "e2"})
}

// waitingLog is an empty log whose reads take the full wait.
type waitingLog struct {
	store.Log
	waits chan struct{}
}

func (l *waitingLog) Read(ctx context.Context, _ store.Partition, from int64, wait time.Duration, _ int) (store.Batch, error) {
	if wait > 0 {
		select {
		case l.waits <- struct{}{}:
		default: // the test only needs one
		}
		process.Sleep(ctx, wait)
	}
	return store.Batch{From: from, End: from}, nil
}

// TestNewOwnerCatchesUpDuringWaitingRead guards against a delayed takeover: a VM that already reads the partition for
// callers has a read in flight, which may wait for a record that the lost owner never writes.
func TestNewOwnerCatchesUpDuringWaitingRead(t *testing.T) {
	is := is.New(t)
	woken := make(chan struct{}, 8)
	log := &waitingLog{waits: make(chan struct{}, 1)}
	p := &partition{
		store: log, log: slog.New(slog.DiscardHandler), retention: noExpiry, index: newIndexState(), changed: make(chan struct{}),
		wake: func() { woken <- struct{}{} },
	}
	p.mu.Lock()
	p.requestedAt = time.Now()
	p.follow(t.Context())
	p.mu.Unlock()
	<-log.waits
	p.setOwned(t.Context(), true)
	select {
	case <-woken:
	case <-time.After(readWait / 2):
		t.Fatal("the new owner did not catch up while a read was waiting")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	is.True(p.caughtUp())
}

// TestFirstCandidateKeepsUpWithThePartition guards against a slow takeover: a VM that is first in line has read the
// partition when it becomes its owner.
func TestFirstCandidateKeepsUpWithThePartition(t *testing.T) {
	is := is.New(t)
	p := &partition{
		store: &oneRecordLog{records: [][]byte{submitRecord("a", 1), submitRecord("b", 1)}}, log: slog.New(slog.DiscardHandler), retention: noExpiry,
		index: newIndexState(), changed: make(chan struct{}), wake: func() {},
	}
	p.setCandidate(t.Context())
	for range 100 {
		p.mu.Lock()
		n := len(p.index.submissions)
		p.mu.Unlock()
		if n == 2 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	is.Equal(len(p.index.submissions), 2)
	is.True(p.needed(time.Now().Add(time.Hour)))
	p.candidate = false
	is.True(!p.needed(time.Now().Add(time.Hour)))
}
