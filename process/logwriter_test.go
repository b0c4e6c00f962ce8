package process

import (
	"bytes"
	"io"
	"log/slog"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedWriter blocks until release is closed, like a standard output that nobody reads.
type blockedWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return b.written.Write(p)
}

func TestLogWriterNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	is := is.New(t)
	b := &blockedWriter{release: make(chan struct{})}
	w := NewLogWriter(b)
	log := NewLogger(w, slog.LevelInfo, "test", "vm")
	start := time.Now()
	const lines = 20_000
	for i := range lines {
		log.Info("event", "n", i, "filler", strings.Repeat("x", 60))
	}
	is.True(time.Since(start) < 5*time.Second)
	is.True(w.Dropped() > 0)
	close(b.release)
	w.Flush(5 * time.Second)
	log.Info("last")
	w.Flush(5 * time.Second)
	got := b.written.String()
	is.True(strings.Contains(got, "msg=last"))
	reportedDrops := int64(0)
	for _, m := range regexp.MustCompile(`msg=log_lines_dropped count=(\d+)`).FindAllStringSubmatch(got, -1) {
		n, err := strconv.ParseInt(m[1], 10, 64)
		is.NoErr(err)
		reportedDrops += n
	}
	is.Equal(reportedDrops, w.Dropped())                              // the log reports every dropped line
	is.Equal(strings.Count(got, "msg=event"), lines-int(w.Dropped())) // each line is written or counted
}

// BenchmarkRequestLine measures the cost of logging a typical request.
func BenchmarkRequestLine(b *testing.B) {
	w := NewLogWriter(io.Discard)
	log := NewLogger(w, slog.LevelInfo, "entry", "vm")
	for b.Loop() {
		log.Info("request", "id", "4f755c76a86b3106", "route", "r-cmmqy28", "tables", 2, "pool", "fise10b", "status", 200, "sends", 1,
			"target", "i-bfc87b5a5a", "ms", 12, "reason", "")
	}
}
