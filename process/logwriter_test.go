package process

import (
	"bytes"
	"log/slog"
	"regexp"
	"strconv"
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
	told := int64(0)
	for _, m := range regexp.MustCompile(`msg=log_lines_dropped count=(\d+)`).FindAllStringSubmatch(got, -1) {
		n, err := strconv.ParseInt(m[1], 10, 64)
		is.NoErr(err)
		told += n
	}
	is.Equal(told, w.Dropped())                                       // it says how many
	is.Equal(strings.Count(got, "msg=event"), lines-int(w.Dropped())) // each line is written or counted
}
