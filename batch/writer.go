package batch

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/store"
)

// Times of the writer.
const (
	// gatherFor is how long a record waits for others to share its append.
	gatherFor = 20 * time.Millisecond
	// appendRetry is the pause after an append that failed.
	appendRetry = 150 * time.Millisecond
)

// writer appends results to one partition, several at a time. Results wait in memory while the store
// is out; a copy of a result that was appended already changes nothing.
type writer struct {
	log   store.Log
	id    store.Partition
	out   *slog.Logger
	limit int // bytes of one append

	mu      sync.Mutex
	queue   [][]byte
	running bool
}

// add queues a record.
func (w *writer) add(ctx context.Context, data []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(w.queue, data)
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
		sleep(ctx, gatherFor)
		batch := w.take()
		if batch == nil {
			return
		}
		for {
			_, err := w.log.Append(ctx, w.id, batch)
			if err == nil || ctx.Err() != nil {
				break
			}
			w.out.Warn("results_append", "partition", w.id.Index, "records", len(batch), "outcome", "failed",
				"done", !errors.Is(err, store.ErrUnavailable), "err", err)
			sleep(ctx, appendRetry)
		}
	}
}

// take removes what fits into one append, or ends the writer where nothing waits.
func (w *writer) take() [][]byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		w.running = false
		return nil
	}
	size, n := 0, 0
	for n < len(w.queue) && (n == 0 || size+len(w.queue[n])+4 <= w.limit) {
		size += len(w.queue[n]) + 4
		n++
	}
	batch := w.queue[:n:n]
	w.queue = w.queue[n:]
	return batch
}
