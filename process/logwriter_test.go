package process

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedWriter stands still until it is released, as a standard output that nobody reads does.
type blockedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return b.out.Write(p)
}

func TestLogWriterNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	is := is.New(t)
	b := &blockedWriter{release: make(chan struct{})}
	w := NewLogWriter(b)
	log := NewLogger(w, slog.LevelInfo, "test", "vm")
	began := time.Now()
	const lines = 20_000
	for i := range lines {
		log.Info("event", "n", i, "filler", strings.Repeat("x", 60))
	}
	is.True(time.Since(began) < 5*time.Second)
	is.True(w.Dropped() > 0)
	close(b.release)
	w.Flush(5 * time.Second)
	log.Info("last")
	w.Flush(5 * time.Second)
	got := b.out.String()
	is.True(strings.Contains(got, "msg=last"))
	is.True(strings.Contains(got, fmt.Sprintf("msg=log_lines_dropped count=%d", w.Dropped())))
	is.Equal(strings.Count(got, "msg=event"), lines-int(w.Dropped())) // each line is written or counted
}
