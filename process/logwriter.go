package process

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// maxBufferedBytes is the maximum size of the buffered log lines, some seconds of a busy process.
const maxBufferedBytes = 256 << 10

// LogWriter writes log lines in the background, so that logging does not block if the reader of the log stalls. If
// its buffer is full, it drops lines and counts them; the next line that it writes reports the count.
type LogWriter struct {
	out  io.Writer
	wake chan struct{}

	mu              sync.Mutex
	buffer          []byte
	spare           []byte
	unreportedDrops int64
	totalDropped    int64
	writing         bool
}

// NewLogWriter returns a writer to out. Its goroutine runs until the process exits.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write adds a line to the buffer, or drops it if the buffer is full. It never blocks and always succeeds.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > maxBufferedBytes {
		w.unreportedDrops++
		w.totalDropped++
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	select {
	case w.wake <- struct{}{}:
	default: // run has been notified already
	}
	return len(line), nil
}

// Dropped returns the total number of dropped lines.
func (w *LogWriter) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDropped
}

// Flush waits until the buffered lines have been written, or until the timeout expires.
func (w *LogWriter) Flush(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		w.mu.Lock()
		idle := len(w.buffer) == 0 && !w.writing
		w.mu.Unlock()
		if idle {
			return
		}
	}
}

func (w *LogWriter) run() {
	for range w.wake {
		w.mu.Lock()
		data := w.buffer
		w.buffer, w.spare = w.spare[:0], nil
		if w.unreportedDrops > 0 {
			data = fmt.Appendf(data, "time=%s level=WARN msg=log_lines_dropped count=%d\n", time.Now().UTC().Format(time.RFC3339Nano), w.unreportedDrops)
			w.unreportedDrops = 0
		}
		w.writing = true
		w.mu.Unlock()
		_, _ = w.out.Write(data) // a failure to write the log cannot be logged
		w.mu.Lock()
		w.spare, w.writing = data[:0], false
		w.mu.Unlock()
	}
}
