package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/store"
)

// slowLog is a log whose reads take latency and return as many records as were asked for in bytes, assuming typical texts.
type slowLog struct {
	store.Log
	latency time.Duration
	first   int64 // older records were truncated
	records [][]byte

	mu    sync.Mutex
	reads int
}

func (l *slowLog) Read(_ context.Context, _ store.Partition, from int64, _ time.Duration, maxBytes int) (store.Batch, error) {
	time.Sleep(l.latency)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if from < l.first {
		return store.Batch{}, &store.TruncatedError{First: l.first}
	}
	end := int64(len(l.records))
	return store.Batch{From: from, End: end, Records: l.records[from:min(end, from+int64(max(1, maxBytes/typicalTextBytes)))]}, nil
}

// savedTexts appends saves of n texts each to a log, with other records between them, and returns their spans.
func savedTexts(t *testing.T, l *slowLog, n, saves, gap int) []span {
	var saved []span
	for save := range saves {
		var parts []*Progress
		for i := range n {
			parts = append(parts, &Progress{ItemID: fmt.Sprintf("i%d", i), Writer: "w", From: save, Events: []string{fmt.Sprint(save)}, Versions: []int64{1}})
		}
		data, err := json.Marshal(parts)
		if err != nil {
			t.Fatal(err)
		}
		saved = append(saved, span{Offset: int64(len(l.records)), Count: 1})
		l.records = append(l.records, data)
		for range gap {
			l.records = append(l.records, []byte("other"))
		}
	}
	return saved
}

// TestSuccessorReadsSavedTextsTogether replays the loss of a holder on the large deployment, whose successor needed 0.4 s to
// read the parts of 30 texts one after the other, while new steps took the engines.
func TestSuccessorReadsSavedTextsTogether(t *testing.T) {
	for _, tc := range []struct {
		name     string
		gap      int
		maxReads int
	}{{"neighboring saves", 0, 2}, {"saves far apart", maxTextGap + 1, 40}} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			l := &slowLog{latency: 10 * time.Millisecond}
			saved := savedTexts(t, l, 30, 40, tc.gap)
			begin := time.Now()
			texts, err := newDataPartition(l, 0).readTexts(t.Context(), saved)
			took := time.Since(begin)
			is.NoErr(err)
			is.Equal(len(texts), 30)
			for _, text := range texts {
				is.Equal(len(text.events), 40)
				is.Equal(text.events[39], "39")
			}
			is.True(l.reads <= tc.maxReads)
			is.True(took < 40*l.latency/2) // one after the other they would take 40 latencies
		})
	}
}

func TestTruncatedPartsOfTextsAreSkipped(t *testing.T) {
	is := is.New(t)
	l := &slowLog{}
	saved := savedTexts(t, l, 1, 4, 0)
	l.first = 2
	texts, err := newDataPartition(l, 0).readTexts(t.Context(), saved)
	is.NoErr(err)
	is.Equal(len(texts["i0"].events), 0) // the first part is missing
	again := savedTexts(t, l, 2, 1, 0)
	texts, err = newDataPartition(l, 0).readTexts(t.Context(), append(saved, again...))
	is.NoErr(err)
	is.Equal(len(texts), 2)
}
