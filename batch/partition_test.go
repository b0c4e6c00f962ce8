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

// oneByOne is a log of which each read returns one record.
type oneByOne struct {
	store.Log
	records [][]byte
}

func (l *oneByOne) Read(_ context.Context, _ store.Partition, from int64, _ time.Duration, _ int) (store.Batch, error) {
	b := store.Batch{From: from, End: int64(len(l.records))}
	if from < b.End {
		b.Records = l.records[from : from+1]
	}
	return b, nil
}

// TestNothingRunsBeforeTheEndOfThePartitionIsKnown: a VM that starts reads the submission before the
// record of its end, and must not run its items in between.
func TestNothingRunsBeforeTheEndOfThePartitionIsKnown(t *testing.T) {
	is := is.New(t)
	p := &partition{
		store: &oneByOne{records: [][]byte{submitRecord("b", 2), encode(record{Kind: recordEnd, ID: "b"})}},
		log:   slog.New(slog.DiscardHandler), keep: forever, book: newBook(), changed: make(chan struct{}), wake: func() {},
	}
	p.owned, p.ownedAt = true, time.Now()
	is.NoErr(p.read(t.Context(), 0))
	is.True(!p.book.entries["b"].done())
	is.True(!p.current()) // more may follow
	is.NoErr(p.read(t.Context(), 0))
	is.True(p.current())
	is.True(p.book.entries["b"].done())
	// A partition that is taken over again counts as unread until it was read since.
	p.ownedAt = time.Now().Add(time.Millisecond)
	is.True(!p.current())
}

func TestSyncReadsWhatCameBeforeIt(t *testing.T) {
	is := is.New(t)
	log := &oneByOne{}
	p := &partition{
		store: log, log: slog.New(slog.DiscardHandler), keep: forever, book: newBook(), changed: make(chan struct{}), wake: func() {},
	}
	is.NoErr(p.sync(t.Context()))
	log.records = [][]byte{submitRecord("b", 2), resultRecord("b", "i", "s")}
	is.NoErr(p.sync(t.Context()))
	_, listed, open, _ := p.look("b", 0)
	is.Equal(len(listed), 1)
	is.True(open)
}

// forever keeps the tests' submissions, which were accepted in 1970.
const forever = 200 * 365 * 24 * time.Hour

// TestRegainedPartitionContinuesWhatOthersSaved: a VM that lost a partition and holds it again must not
// start over where another VM has saved a text meanwhile.
func TestRegainedPartitionContinuesWhatOthersSaved(t *testing.T) {
	is := is.New(t)
	items, err := json.Marshal([]Item{{ID: "i", Path: "/i"}})
	is.NoErr(err)
	saved, err := json.Marshal(&Progress{ItemID: "i", Writer: "other", Events: []string{"e1", "e2"}, Versions: []int64{1, 1}})
	is.NoErr(err)
	index := &oneByOne{records: [][]byte{submitRecord("b", 1)}}
	p := &partition{
		store: index, data: newData(&oneByOne{records: [][]byte{items, saved}}, 0), log: slog.New(slog.DiscardHandler), keep: forever,
		book: newBook(), changed: make(chan struct{}), wake: func() {},
	}
	view := fleet.NewView()
	view.Set(&fleet.Snapshot{Tables: &fleet.Tables{}})
	r := newRunner(Options{View: view, Log: slog.New(slog.DiscardHandler), Metrics: process.NewMetrics()})
	own := func(yes bool) {
		p.mu.Lock()
		p.owned, p.ownedAt = yes, time.Now()
		p.mu.Unlock()
		is.NoErr(p.sync(t.Context()))
		r.own(map[*partition]bool{p: yes})
		if !yes {
			r.own(nil)
		}
		r.look(t.Context())
	}
	opened := func() *job {
		for range 100 {
			r.mu.Lock()
			j := r.jobs["b"]["i"]
			r.mu.Unlock()
			if j != nil {
				return j
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatal("the batch was not opened")
		return nil
	}
	own(true)
	is.Equal(len(opened().text), 0)
	own(false)
	index.records = append(index.records, encode(record{Kind: recordProgress, ID: "b", Saved: &saving{ItemID: "i", Data: span{1, 1}}}))
	own(true)
	is.Equal(opened().text, []string{"e1", "e2"})
}

// waitingLog is an empty log whose waiting reads last as long as they may.
type waitingLog struct {
	store.Log
	waits chan struct{}
}

func (l *waitingLog) Read(ctx context.Context, _ store.Partition, from int64, wait time.Duration, _ int) (store.Batch, error) {
	if wait > 0 {
		select {
		case l.waits <- struct{}{}:
		default: // one is enough for the test
		}
		process.Sleep(ctx, wait)
	}
	return store.Batch{From: from, End: from}, nil
}

// TestNewOwnerDoesNotWaitForAReadInFlight: a VM whose readers keep it reading has a read under way when
// it takes the partition over; that one may wait for a record that the lost holder never writes.
func TestNewOwnerDoesNotWaitForAReadInFlight(t *testing.T) {
	is := is.New(t)
	woken := make(chan struct{}, 8)
	log := &waitingLog{waits: make(chan struct{}, 1)}
	p := &partition{
		store: log, log: slog.New(slog.DiscardHandler), keep: forever, book: newBook(), changed: make(chan struct{}),
		wake: func() { woken <- struct{}{} },
	}
	p.mu.Lock()
	p.askedAt = time.Now()
	p.follow(t.Context())
	p.mu.Unlock()
	<-log.waits
	p.own(t.Context(), true)
	select {
	case <-woken:
	case <-time.After(followWait / 2):
		t.Fatal("the new owner waits for the read in flight")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	is.True(p.current())
}
