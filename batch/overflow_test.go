package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOverflowSpreadsTextsBeyondTheMainPart replays a pool whose recent texts grow beyond what a partition keeps, and fall again.
func TestOverflowSpreadsTextsBeyondTheMainPart(t *testing.T) {
	is := is.New(t)
	const limit, step = 1600, 100
	o := overflow{limit: limit, parts: 5}
	recent := make([]int64, o.parts)
	for range 2400 / 10 {
		o.update(recent)
		recent[o.texts] += 10
	}
	is.Equal(recent[mainPart], int64(limit/2))
	is.Equal(recent[progressPart], int64(0)) // only unfinished texts
	is.Equal(o.progress(), progressPart)
	for part := firstTextPart; part < o.parts; part++ {
		is.True(recent[part] <= int64(1600/3+step)) // spread evenly
	}
	recent[mainPart] = limit/2 - step
	o.update(recent)
	is.True(o.texts != mainPart) // does not alternate around the bound
	recent[mainPart]--
	o.update(recent)
	is.Equal(o.texts, mainPart)
	is.Equal(o.progress(), mainPart)
}

// TestOverflowOfItems guards against large submissions that push the texts out of the main part.
func TestOverflowOfItems(t *testing.T) {
	is := is.New(t)
	o := overflow{limit: 200 << 20, parts: 13}
	is.Equal(o.items("b", 100<<10), mainPart)
	large := o.items("b", 1<<20)
	is.True(large >= firstTextPart && large < o.parts)
	is.Equal(o.items("b", 1<<20), large) // a repeated submission goes to the same part
	unlimited := overflow{parts: 13}
	is.Equal(unlimited.items("b", 1<<30), mainPart)
	few := overflow{limit: 200 << 20, parts: 2}
	is.Equal(few.items("b", 1<<30), mainPart) // a topic of one partition has no room for more
}

// TestTrimKeepsWhatIsNeededAndWhatIsNew guards against trims of data that a batch needs, or that a record is about to refer to.
func TestTrimKeepsWhatIsNeededAndWhatIsNew(t *testing.T) {
	is := is.New(t)
	p := trimPlanner{trimmed: map[int]int64{}}
	now := time.Now()
	at := func(offset int64) int64 { return location(firstTextPart, offset) }
	ends := func(main, overflow int64) map[int]int64 {
		return map[int]int64{mainPart: main, firstTextPart: at(overflow)}
	}
	is.Equal(len(p.plan(now, nil, ends(100, 50))), 0) // no record is old enough
	now = now.Add(trimDelay / 2)
	is.Equal(len(p.plan(now, nil, ends(200, 90))), 0)
	now = now.Add(trimDelay / 2)
	needed := map[int]int64{firstTextPart: at(20)}
	is.Equal(p.plan(now, needed, ends(300, 95)), map[int]int64{mainPart: 100, firstTextPart: at(20)})
	p.trimmed = map[int]int64{mainPart: 100, firstTextPart: at(20)}
	is.Equal(len(p.plan(now, needed, ends(300, 95))), 0) // nothing more
	now = now.Add(trimDelay / 2)
	is.Equal(p.plan(now, map[int]int64{mainPart: 40}, ends(400, 95)), map[int]int64{firstTextPart: at(90)})
}

// TestNeededDataCoversReusedResults guards against trims of a text to which the result of a later batch refers.
func TestNeededDataCoversReusedResults(t *testing.T) {
	is := is.New(t)
	ix := newIndexState()
	now := time.Now()
	offset := int64(0)
	add := func(r record) {
		_, err := ix.apply(offset, encodeRecord(r))
		is.NoErr(err)
		offset++
	}
	submit := func(id string, acceptedAt time.Time, items int64) {
		add(record{Kind: recordSubmit, ID: id, Head: &Head{ID: id, AcceptedMs: acceptedAt.UnixMilli()}, Total: 2, Items: []span{{Offset: items, Count: 1}}, DataBytes: 7})
	}
	text := span{Offset: location(firstTextPart, 30), Count: 1}
	submit("old", now.Add(-time.Hour), 10)
	add(record{Kind: recordResult, ID: "old", Result: &resultMeta{ItemID: "i", Text: text}, DataBytes: 100})
	add(record{Kind: recordEnd, ID: "old"})
	is.Equal(len(ix.neededData(now.Add(-time.Minute))), 0)
	submit("new", now, 40)
	add(record{Kind: recordResult, ID: "new", Result: &resultMeta{ItemID: "i", Text: text}})
	add(record{Kind: recordProgress, ID: "new", OverflowParts: &savedParts{Offset: location(progressPart, 5), Items: []string{"j"}}, DataBytes: 11})
	is.Equal(ix.neededData(now.Add(-time.Minute)), map[int]int64{mainPart: 40, progressPart: location(progressPart, 5), firstTextPart: text.Offset})
	is.Equal(ix.dataSince(now.Add(-time.Minute), 3), []int64{7, 11, 0})
	add(record{Kind: recordEnd, ID: "new"})
	is.Equal(ix.neededData(now.Add(-time.Minute)), map[int]int64{firstTextPart: text.Offset}) // listed results stay readable
}

// TestMalformedRecordsNameNoPart guards against a process that ends because of a record whose location is in no part.
func TestMalformedRecordsNameNoPart(t *testing.T) {
	is := is.New(t)
	ix := newIndexState()
	for i, offset := range []int64{-1, location(100, 0), 1 << 62} {
		_, err := ix.apply(int64(2*i), encodeRecord(record{Kind: recordSubmit, ID: "b", Head: &Head{ID: "b"}, Total: 1, Items: []span{{Offset: offset, Count: 1}}, DataBytes: 5}))
		is.NoErr(err)
		_, err = ix.apply(int64(2*i+1), encodeRecord(record{Kind: recordResult, ID: "b", Result: &resultMeta{ItemID: "i", Text: span{Offset: offset, Count: 1}}, DataBytes: 5}))
		is.NoErr(err)
	}
	is.Equal(ix.dataSince(time.Unix(0, 0), 3), []int64{0, 0, 0})
}
