package batch

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

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
