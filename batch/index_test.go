package batch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func encodeRecord(r record) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // the record is built by the test
	}
	return data
}

func submitRecord(id string, total int) []byte {
	return encodeRecord(record{Kind: recordSubmit, ID: id, Head: &Head{ID: id, AcceptedMs: 1000}, Total: total, Items: []span{{0, 1}}})
}

func resultRecord(id, item, score string) []byte {
	return encodeRecord(record{Kind: recordResult, ID: id, Result: &resultMeta{ItemID: item, Score: score, Text: span{7, 1}}})
}

func TestFirstSubmissionAndResultRecordsWin(t *testing.T) {
	is := is.New(t)
	ix := newIndexState()
	for i, r := range [][]byte{
		resultRecord("b", "i0", "too early"), submitRecord("b", 2), submitRecord("b", 9), resultRecord("b", "i1", "first"), resultRecord("b", "i1", "second"),
		[]byte("noise"), resultRecord("b", "i2", "x"), resultRecord("b", "i3", "beyond the total"),
	} {
		_, err := ix.apply(int64(i), r)
		is.Equal(err != nil, string(r) == "noise")
	}
	sub := ix.submissions["b"]
	is.Equal(sub.itemCount, 2)
	is.Equal(len(sub.results), 2)
	is.Equal(sub.results[0].Score, "first")
	is.True(sub.done())
	changed, err := ix.apply(3, resultRecord("b", "i9", "an old offset"))
	is.NoErr(err)
	is.True(!changed)
}

// TestOverlappingReadsGiveSameResultOrder applies random records to two index states, some of them more than once to the
// second, and compares the results after each record.
func TestOverlappingReadsGiveSameResultOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := [][]byte{}
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			id := fmt.Sprint("b", rapid.IntRange(0, 2).Draw(t, "batch"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				records = append(records, submitRecord(id, rapid.IntRange(1, 5).Draw(t, "total")))
			case 3:
				records = append(records, encodeRecord(record{Kind: recordEnd, ID: id}))
			default:
				records = append(records, resultRecord(id, fmt.Sprint("i", rapid.IntRange(0, 5).Draw(t, "item")), fmt.Sprint(len(records))))
			}
		}
		one, two := newIndexState(), newIndexState()
		for i, r := range records {
			if _, err := one.apply(int64(i), r); err != nil {
				t.Fatal(err)
			}
			before := map[string]int{}
			for id, sub := range one.submissions {
				before[id] = len(sub.results)
			}
			for k := max(0, i-rapid.IntRange(0, 5).Draw(t, "again")); k <= i; k++ { // earlier records are read again
				if _, err := two.apply(int64(k), records[k]); err != nil {
					t.Fatal(err)
				}
			}
			for id, sub := range two.submissions {
				if len(sub.results) != before[id] {
					t.Fatalf("%s: second reader has %d results, first reader %d", id, len(sub.results), before[id])
				}
				for n, result := range sub.results {
					if result.Score != one.submissions[id].results[n].Score {
						t.Fatalf("%s: the readers' results at position %d differ", id, n)
					}
				}
			}
		}
	})
}

func TestReusedResultMatchesVersionsAndScorer(t *testing.T) {
	is := is.New(t)
	ix := newIndexState()
	apply := func(r []byte) {
		_, err := ix.apply(ix.next, r)
		is.NoErr(err)
	}
	apply(submitRecord("b1", 2))
	apply(encodeRecord(record{Kind: recordResult, ID: "b1", Result: &resultMeta{ItemID: "i", Versions: []int64{3, 4}, ScorerID: "s"}}))
	it := &Item{ID: "i", Scorer: &Scorer{ID: "s"}}
	_, ok := ix.reusableResult(&Head{ID: "b2", MinVersion: 3}, it, false)
	is.True(ok)
	_, ok = ix.reusableResult(&Head{ID: "b2", MinVersion: 4}, it, false)
	is.True(!ok) // one of its versions is too old
	_, ok = ix.reusableResult(&Head{ID: "b2", MinVersion: 3}, it, true)
	is.True(!ok) // it has two versions
	_, ok = ix.reusableResult(&Head{ID: "b2"}, &Item{ID: "i", Scorer: &Scorer{ID: "other"}}, false)
	is.True(!ok) // scored by another request
}

func TestPartialTextNeverJoinsPartsOfTwoWriters(t *testing.T) {
	is := is.New(t)
	part := func(writer string, from, n int) *Progress {
		p := &Progress{ItemID: "i", Writer: writer, From: from}
		for k := range n {
			p.Events = append(p.Events, fmt.Sprint(writer, from+k))
			p.Versions = append(p.Versions, 1)
		}
		return p
	}
	text := &partialText{}
	text.add(part("a", 0, 3))
	text.add(part("a", 3, 2))
	is.Equal(len(text.events), 5)
	text.add(part("b", 5, 2)) // continues the text, but from another writer
	is.Equal(len(text.events), 5)
	text.add(part("a", 9, 2)) // leaves a gap
	is.Equal(len(text.events), 5)
	text.add(part("b", 0, 2)) // starts over with a shorter text
	is.Equal(text.writer, "a")
	text.add(part("b", 0, 6))
	text.add(part("a", 6, 1))
	is.Equal(len(text.events), 6)
	is.Equal(text.events[0], "b0")
}

func TestExpireRemovesOnlyCompletedSubmissions(t *testing.T) {
	is := is.New(t)
	ix := newIndexState()
	for i, r := range [][]byte{submitRecord("done", 1), resultRecord("done", "i", ""), submitRecord("open", 1)} {
		_, err := ix.apply(int64(i), r)
		is.NoErr(err)
	}
	is.Equal(ix.expire(time.UnixMilli(1000)), 0)
	is.Equal(ix.expire(time.UnixMilli(1001)), 1)
	is.True(ix.submissions["open"] != nil)
	is.Equal(len(ix.resultsByItem), 0)
}

func FuzzApplyIndexRecord(f *testing.F) {
	f.Add(submitRecord("b", 2))
	f.Add(resultRecord("b", "i", "s"))
	f.Add([]byte(`{"kind":"progress","id":"b","saved_parts":{"offset":3,"items":["i","j"],"counts":[-1]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		ix := newIndexState()
		if _, err := ix.apply(0, submitRecord("b", 2)); err != nil {
			t.Fatal(err)
		}
		_, _ = ix.apply(1, data) // errors are allowed
		if sub := ix.submissions["b"]; sub == nil || len(sub.results) > sub.itemCount {
			t.Fatal("a record removed the submission or added more results than it has items")
		}
	})
}

// FuzzReadDataRecord reads arbitrary records of the data topic, as another release may have written them.
func FuzzReadDataRecord(f *testing.F) {
	f.Add([]byte(`[{"ID":"i","Path":"/i"}]`))
	f.Add([]byte(`{"item":"i","writer":"w","from":0,"events":["a"],"versions":[1]}`))
	f.Add([]byte(`{"item":"i","writer":"w","from":2,"events":["a"],"versions":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d := newDataPartition(&oneRecordLog{records: [][]byte{data}}, 0)
		if items, err := d.readItems(t.Context(), []span{{Offset: 0, Count: 1}}); err == nil {
			setItems(items)
		}
		texts, err := d.readTexts(t.Context(), map[string][]span{"i": {{Offset: 0, Count: 1}}})
		if err == nil && texts["i"] != nil && len(texts["i"].events) != len(texts["i"].versions) {
			t.Fatal("the text has different numbers of events and versions")
		}
	})
}

func setItems(items []Item) {
	sub := &submissionState{}
	sub.setItems(items)
}

// TestPartsOfATextThatWasBegunAnewAreNotJoinedToTheOldOne covers a text that is begun anew by the same process: its later parts can begin
// where the old text ends.
func TestPartsOfATextThatWasBegunAnewAreNotJoinedToTheOldOne(t *testing.T) {
	is := is.New(t)
	j := &job{item: &Item{ID: "i"}, events: []string{"a1", "a2", "a3"}, versions: []int64{1, 1, 1}, software: "v1"}
	saved := &partialText{}
	save := func() {
		saved.add(j.unsavedProgress("w"))
		j.savedEvents = len(j.events)
	}
	save()
	j.dropText()
	j.software = "v2"
	for _, ev := range []string{"b1", "b2", "b3", "b4"} {
		j.events, j.versions = append(j.events, ev), append(j.versions, 2)
		save()
	}
	for i, ev := range saved.events {
		is.Equal(ev[0], saved.events[0][0]) // the events of one text
		is.Equal(saved.versions[i], saved.versions[0])
	}
	is.True(saved.software == "v1" && saved.events[0] == "a1" || saved.software == "v2" && saved.events[0] == "b1")
}
