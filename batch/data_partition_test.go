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

	mu              sync.Mutex
	reads, returned int // calls and records
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
	b := store.Batch{From: from, End: end, Records: l.records[from:min(end, from+int64(max(1, maxBytes/typicalTextBytes)))]}
	l.returned += len(b.Records)
	return b, nil
}

// savedTexts appends saves of n texts each to a log, with other records between the saves, and returns the spans of the parts by item.
func savedTexts(t *testing.T, l *slowLog, n, saves, gap int) map[string][]span {
	saved := map[string][]span{}
	for save := range saves {
		for i := range n {
			item := fmt.Sprintf("i%d", i)
			data, err := json.Marshal(&Progress{ItemID: item, Writer: "w", From: save, Events: []string{fmt.Sprint(save)}, Versions: []int64{1}})
			if err != nil {
				t.Fatal(err)
			}
			saved[item] = append(saved[item], span{Offset: int64(len(l.records)), Count: 1})
			l.records = append(l.records, data)
		}
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
		name      string
		gap       int
		needed    int // texts without a result
		maxReads  int
		maxRecord int // records read
	}{
		{"neighboring saves, all texts", 0, 30, 20, 1200},
		{"saves far apart, all texts", 100, 30, 40, 1200},
		{"one text: the others have results", 0, 1, 40, 40},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			l := &slowLog{latency: 10 * time.Millisecond}
			saved := savedTexts(t, l, 30, 40, tc.gap)
			for i := tc.needed; i < 30; i++ {
				delete(saved, fmt.Sprintf("i%d", i))
			}
			begin := time.Now()
			texts, err := newDataPartition(l, 0).readTexts(t.Context(), saved)
			took := time.Since(begin)
			is.NoErr(err)
			is.Equal(len(texts), tc.needed)
			for _, text := range texts {
				is.Equal(len(text.events), 40)
				is.Equal(text.events[39], "39")
			}
			is.True(l.reads <= tc.maxReads)
			is.True(l.returned <= tc.maxRecord)
			is.True(took < 40*l.latency/2) // one after the other they would take 40 latencies or more
		})
	}
}

func TestTruncatedPartsOfTextsAreSkipped(t *testing.T) {
	is := is.New(t)
	l := &slowLog{}
	saved := savedTexts(t, l, 1, 4, 0)
	l.first = 2
	d := newDataPartition(l, 0)
	texts, err := d.readTexts(t.Context(), saved)
	is.NoErr(err)
	is.Equal(len(texts["i0"].events), 0) // the first part is missing
	texts, err = d.readTexts(t.Context(), savedTexts(t, l, 2, 1, 0))
	is.NoErr(err)
	is.Equal(len(texts["i0"].events)+len(texts["i1"].events), 2)
}

// TestSavedPartsAreShortInTheIndex checks the size of a save of 100 texts, four times a second for each open step on the large
// deployment, and that parts of several records keep theirs.
func TestSavedPartsAreShortInTheIndex(t *testing.T) {
	is := is.New(t)
	saved := &savedParts{Offset: 7}
	for i := range 100 {
		saved.Items = append(saved.Items, fmt.Sprintf("%016x", i))
	}
	data, err := json.Marshal(record{Kind: recordProgress, ID: "b", SavedParts: saved})
	is.NoErr(err)
	is.True(len(data) < 2100)
	is.Equal(saved.spans()[99], span{106, 1})
	several := savedParts{Offset: 7, Items: []string{"a", "b", "c"}, Counts: []int{1, 3, 1}}
	is.Equal(several.spans(), []span{{7, 1}, {8, 3}, {11, 1}})
}
