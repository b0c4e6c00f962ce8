package batch

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
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

// TestLargeSavesDoNotBlockResults guards against a step whose results are never listed: a new holder saves all running texts at once, which together
// exceed an append, as may one of them.
func TestLargeSavesDoNotBlockResults(t *testing.T) {
	const maxAppendBytes, items, events = 64 << 10, 20, 40
	for _, eventBytes := range []int{200, 3000} {
		t.Run(fmt.Sprintf("events of %d bytes", eventBytes), func(t *testing.T) {
			is := is.New(t)
			log := &memoryLog{partitions: map[store.Partition][][]byte{}, maxAppendBytes: maxAppendBytes}
			s := New(t.Context(), Options{
				Partitions: 1, MaxRecordBytes: maxAppendBytes / 8, MaxAppendBytes: maxAppendBytes, Store: log, View: fleet.NewView(),
				Log: slog.New(slog.DiscardHandler), Metrics: process.NewMetrics(),
			})
			p := s.partitions[0]
			_, err := p.index.apply(0, encodeRecord(record{Kind: recordSubmit, ID: "b", Head: &Head{ID: "b", AcceptedMs: time.Now().UnixMilli()}, Total: items + 2, Items: []span{{0, 1}}}))
			is.NoErr(err)
			p.index.next = 0 // the records that follow are those of the log
			var texts []*Progress
			for i := range items {
				text := &Progress{ItemID: fmt.Sprintf("i%d", i), Writer: "w", Versions: make([]int64, events)}
				for n := range events {
					text.Events = append(text.Events, strings.Repeat(string(rune('a'+n%26)), eventBytes))
				}
				texts = append(texts, text)
			}
			s.appendProgress(p, "b", texts)
			s.appendResult(p, "b", resultMeta{ItemID: "large"}, strings.Repeat("x", maxAppendBytes+1))
			s.appendResult(p, "b", resultMeta{ItemID: "done"}, "text")
			sub := p.index.submissions["b"]
			for deadline := time.Now().Add(5 * time.Second); len(sub.results) < 2; time.Sleep(10 * time.Millisecond) {
				is.True(time.Now().Before(deadline)) // the results are listed
				is.NoErr(p.sync(t.Context()))
			}
			is.True(sub.results[0].Abandoned) // no append can hold its text
			is.Equal(sub.results[1].ItemID, "done")
			saved, err := p.data.readTexts(t.Context(), sub.savedParts)
			is.NoErr(err)
			is.Equal(len(saved), items)
			for _, text := range texts {
				is.Equal(saved[text.ItemID].events, text.Events)
			}
		})
	}
}
