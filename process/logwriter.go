package process

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// logBuffer bounds the log lines that wait to be written, in bytes: some seconds of a busy process.
const logBuffer = 256 << 10

// LogWriter writes lines in the background, so that a reader that stands still never holds up who
// logs. Lines that find its buffer full are dropped and counted, and the count is a line of its own.
type LogWriter struct {
	out  io.Writer
	wake chan struct{}

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int64
	total   int64
	writing bool
}

// NewLogWriter returns a writer to out that works until the process ends.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write queues a line. It never blocks.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > logBuffer {
		w.dropped++
		w.total++
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	select {
	case w.wake <- struct{}{}:
	default: // the writer is about to look
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped so far.
func (w *LogWriter) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Flush waits until what is queued has been written, at most for a time.
func (w *LogWriter) Flush(within time.Duration) {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
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
		if w.dropped > 0 {
			data = fmt.Appendf(data, "time=%s level=WARN msg=log_lines_dropped count=%d\n", time.Now().UTC().Format(time.RFC3339Nano), w.dropped)
			w.dropped = 0
		}
		w.writing = true
		w.mu.Unlock()
		_, _ = w.out.Write(data) // there is no other place to tell it
		w.mu.Lock()
		w.spare, w.writing = data[:0], false
		w.mu.Unlock()
	}
}
