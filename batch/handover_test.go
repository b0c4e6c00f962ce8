package batch

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/store"
)

// appendLog is a log whose appends take some time.
type appendLog struct {
	store.Log
	delay time.Duration
}

func (l *appendLog) Append(ctx context.Context, _ store.Partition, _ [][]byte) (int64, error) {
	process.Sleep(ctx, l.delay)
	return 0, nil
}

// TestHandoverDoesNotWaitForLaterResults guards against a handover that takes its whole timeout, during which nobody places items: results
// of the items that go on keep the writer busy.
func TestHandoverDoesNotWaitForLaterResults(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := New(ctx, Options{
		Partitions: 1, MaxRecordBytes: 1 << 16, MaxAppendBytes: 1 << 20, Store: &appendLog{delay: 4 * time.Millisecond}, View: fleet.NewView(),
		Log: slog.New(slog.DiscardHandler), Metrics: process.NewMetrics(),
	})
	go func() {
		for ; ctx.Err() == nil; time.Sleep(2 * time.Millisecond) {
			s.appendResult(s.partitions[0], "b", resultMeta{ItemID: "i"}, "text")
		}
	}()
	time.Sleep(50 * time.Millisecond)
	start := time.Now()
	is.True(s.Handover())
	is.True(time.Since(start) < handoverTimeout/2)
}
