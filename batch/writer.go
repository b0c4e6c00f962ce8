package batch

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/store"
)

// Times of the writer.
const (
	// gatherFor is how long a record waits for others to share its append.
	gatherFor = 20 * time.Millisecond
	// appendRetry is the pause after an append that failed.
	appendRetry = 150 * time.Millisecond
)

// pending is a record of the index that waits to be appended, after its data.
type pending struct {
	record record
	// data is appended first, and set is told its offset; nil where the record needs none.
	data [][]byte
	set  func(r *record, s span)
}

// size is about what the record and its data take, in bytes.
func (p *pending) size() int {
	n := recordOverhead
	for _, d := range p.data {
		n += len(d)
	}
	return n
}

// writer appends to one partition, several records at a time. They wait in memory while the store is
// out; a copy of a record that was appended already changes nothing.
type writer struct {
	store store.Log
	index store.Partition
	data  *data
	log   *slog.Logger
	limit int // bytes of one append

	mu      sync.Mutex
	queue   []pending
	running bool
}

// add queues a record.
func (w *writer) add(ctx context.Context, p pending) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(w.queue, p)
	if !w.running {
		w.running = true
		go w.run(ctx)
	}
}

// idle tells whether nothing waits to be appended.
func (w *writer) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.running
}

func (w *writer) run(ctx context.Context) {
	for ctx.Err() == nil {
		process.Sleep(ctx, gatherFor)
		batch := w.take()
		if batch == nil {
			return
		}
		w.write(ctx, batch)
	}
}

// take removes what fits into one append, or ends the writer where nothing waits.
func (w *writer) take() []pending {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		w.running = false
		return nil
	}
	size, n := 0, 0
	for n < len(w.queue) && (n == 0 || size+w.queue[n].size() <= w.limit) {
		size += w.queue[n].size()
		n++
	}
	batch := w.queue[:n:n]
	w.queue = w.queue[n:]
	return batch
}

// write appends the data of a batch and then its records.
func (w *writer) write(ctx context.Context, batch []pending) {
	var blobs [][]byte
	for _, p := range batch {
		blobs = append(blobs, p.data...)
	}
	offset := int64(0)
	if len(blobs) > 0 {
		offset = w.appendUntilDone(ctx, w.data.id, blobs)
	}
	records := make([][]byte, 0, len(batch))
	for _, p := range batch {
		if p.data != nil {
			p.set(&p.record, span{Offset: offset, Count: len(p.data)})
			for _, d := range p.data {
				w.data.put(offset, d)
				offset++
			}
		}
		r, err := json.Marshal(p.record)
		if err != nil {
			w.log.Error("record_lost", "partition", w.index.Index, "batch", p.record.ID, "err", err)
			continue
		}
		records = append(records, r)
	}
	w.appendUntilDone(ctx, w.index, records)
}

// appendUntilDone repeats an append until it succeeds or ctx ends, and returns its offset.
func (w *writer) appendUntilDone(ctx context.Context, id store.Partition, records [][]byte) int64 {
	var outage process.Outage
	for {
		offset, err := w.store.Append(ctx, id, records)
		if err == nil || ctx.Err() != nil {
			outage.Over(w.log, "results_append", "topic", id.Topic, "partition", id.Index)
			return offset
		}
		outage.Failed(w.log, "results_append", err, "topic", id.Topic, "partition", id.Index, "records", len(records),
			"maybe_done", !errors.Is(err, store.ErrUnavailable))
		process.Sleep(ctx, appendRetry)
	}
}
