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

// Delays of the writer.
const (
	// appendDelay is how long records are collected for one append.
	appendDelay = 20 * time.Millisecond
	// appendRetryDelay is the pause after a failed append.
	appendRetryDelay = 150 * time.Millisecond
)

// pending is an index record that waits to be appended, together with its data records.
type pending struct {
	record record
	// data is appended first, then setSpan stores its span in the record. Both are nil if the record has no data.
	data    [][]byte
	setSpan func(r *record, s span)
	// progress is set if the data are unfinished texts.
	progress bool
}

// size returns the approximate size of the record and its data in bytes.
func (p *pending) size() int {
	n := recordOverheadBytes
	for _, d := range p.data {
		n += len(d)
	}
	return n
}

// writer appends the records of one partition, several at a time. While the store is unavailable, records are queued
// in memory. Appends with an unknown outcome are retried: a second copy of a record has no effect.
type writer struct {
	store          store.Log
	index          store.Partition
	data           *dataPartition
	parts          *dataParts
	log            *slog.Logger
	maxAppendBytes int

	mu      sync.Mutex
	queue   []pending
	running bool
	// added and written are the numbers of records that were queued and appended.
	added, written int
}

// add queues a record and starts the writer if it is idle.
func (w *writer) add(ctx context.Context, p pending) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(w.queue, p)
	w.added++
	if !w.running {
		w.running = true
		go w.run(ctx)
	}
}

// queued returns the number of records that were queued so far.
func (w *writer) queued() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.added
}

// hasWritten reports whether the first n records were appended.
func (w *writer) hasWritten(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written >= n
}

func (w *writer) run(ctx context.Context) {
	for ctx.Err() == nil {
		process.Sleep(ctx, appendDelay)
		batch := w.nextBatch()
		if batch == nil {
			return
		}
		w.write(ctx, batch)
		w.mu.Lock()
		w.written += len(batch)
		w.mu.Unlock()
	}
}

// nextBatch removes and returns the queued records that fit into one append. If the queue is empty, it returns nil and
// marks the writer as idle.
func (w *writer) nextBatch() []pending {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		w.running = false
		return nil
	}
	size, n := 0, 0
	for n < len(w.queue) && (n == 0 || size+w.queue[n].size() <= w.maxAppendBytes) {
		size += w.queue[n].size()
		n++
	}
	batch := w.queue[:n:n]
	w.queue = w.queue[n:]
	return batch
}

// write appends the data of a batch of records and then the records.
func (w *writer) write(ctx context.Context, batch []pending) {
	textPart, progressPart := w.parts.choose()
	w.writeData(ctx, batch, textPart, func(p *pending) bool { return !p.progress })
	w.writeData(ctx, batch, progressPart, func(p *pending) bool { return p.progress })
	records := make([][]byte, 0, len(batch))
	for _, p := range batch {
		r, err := json.Marshal(p.record)
		if err != nil {
			w.log.Error("record_lost", "partition", w.index.Index, "batch", p.record.ID, "err", err)
			continue
		}
		records = append(records, r)
	}
	w.appendUntilDone(ctx, w.index, records)
}

// writeData appends the data of the selected records to a part and stores their spans in the records.
func (w *writer) writeData(ctx context.Context, batch []pending, part int, selected func(*pending) bool) {
	var data [][]byte
	for i := range batch {
		if selected(&batch[i]) {
			data = append(data, batch[i].data...)
		}
	}
	if len(data) == 0 {
		return
	}
	at, size := location(part, w.appendUntilDone(ctx, dataPart(w.index.Index, part), data)), int64(0)
	for i := range batch {
		p := &batch[i]
		if p.data == nil || !selected(p) {
			continue
		}
		p.setSpan(&p.record, span{Offset: at, Count: len(p.data)})
		for _, d := range p.data {
			w.data.cache(at, d)
			p.record.DataBytes += int64(len(d))
			at++
		}
		size += p.record.DataBytes
	}
	w.parts.appended(ctx, size, at)
}

// appendUntilDone retries an append until it succeeds or ctx ends, and returns the offset of the first record.
func (w *writer) appendUntilDone(ctx context.Context, id store.Partition, records [][]byte) int64 {
	var outage process.Outage
	for {
		offset, err := w.store.Append(ctx, id, records)
		if err == nil || ctx.Err() != nil {
			outage.Recovered(w.log, "results_append", "topic", id.Topic, "partition", id.Index)
			return offset
		}
		outage.Failed(w.log, "results_append", err, "topic", id.Topic, "partition", id.Index, "records", len(records),
			"maybe_done", !errors.Is(err, store.ErrUnavailable))
		process.Sleep(ctx, appendRetryDelay)
	}
}
