package claims

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/trial"
	"github.com/ibistrail/ibistrail/wire"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func hash(n int) string { return fmt.Sprintf("%064x", n) }

func claimOf(key int, id string) wire.ClaimParams {
	return wire.ClaimParams{Key: hash(key), Fingerprint: hash(1), GateID: "g", GateIncarnation: "i", ClaimID: id}
}

// world is a log with relays and readers on it.
type world struct {
	now      time.Time
	log      []trial.Record
	first    trial.Offset
	relays   []*Relay
	inFlight []trial.NewRecord
	won      map[string]map[string]bool // claim IDs that any reader called the holder, by key
	keyOf    map[string]string          // by claim ID
}

const testRetention = 20 * time.Second

func newWorld(n int) *world {
	w := &world{now: time.Unix(1000, 0), first: 1, won: map[string]map[string]bool{}, keyOf: map[string]string{}}
	for range n {
		w.add()
	}
	return w
}

func (w *world) add() *Relay {
	r := NewRelay(fmt.Sprintf("n%d", len(w.relays)), uint64(len(w.relays)))
	r.table = newTable(time.Hour, 8)
	w.relays = append(w.relays, r)
	return r
}

func (w *world) append(r trial.NewRecord) {
	w.log = append(w.log, trial.Record{Offset: trial.Offset(len(w.log) + 1), ID: r.ID, Data: r.Data})
}

// read lets a relay read up to n records and notes whom it calls a holder.
func (w *world) read(r *Relay, n int) {
	r.Missed(w.first)
	for range n {
		next := r.Next()
		if int(next) > len(w.log) {
			break
		}
		if next < w.first {
			r.Missed(w.first)
			continue
		}
		for _, d := range r.Apply(w.now, w.log[next-1], testRetention) {
			if d.Holder != nil {
				w.note(w.keyOf[d.ClaimID], d.Holder)
			}
		}
	}
	if int(r.Next()) > len(w.log) {
		r.CaughtUp(w.now)
	}
}

func (w *world) note(key string, holder *wire.ClaimResult) {
	if w.won[key] == nil {
		w.won[key] = map[string]bool{}
	}
	w.won[key][holder.ClaimID] = true
}

func (w *world) step(r *Relay) []trial.NewRecord {
	return r.Step(w.now, w.now.UnixMilli(), testRetention)
}

func TestOneWinnerAKeyAndAllReadersAgree(t *testing.T) {
	decided, truncated := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		serial := 0
		pick := func() *Relay { return w.relays[rapid.IntRange(0, len(w.relays)-1).Draw(t, "relay")] }
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(50, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"claim": func(t *rapid.T) {
				serial++
				p := claimOf(rapid.IntRange(1, 12).Draw(t, "key"), fmt.Sprintf("c%d", serial))
				w.keyOf[p.ClaimID] = p.Key
				if res, err := pick().Add(w.now, p); res != nil && err == nil {
					w.note(p.Key, res)
				}
			},
			"read":                 func(t *rapid.T) { w.read(pick(), rapid.IntRange(1, 6).Draw(t, "records")) },
			"read all":             func(t *rapid.T) { w.read(pick(), 3*len(w.log)+1) },
			"step, append lost":    func(t *rapid.T) { w.step(pick()) },
			"step, append delayed": func(t *rapid.T) { w.inFlight = append(w.inFlight, w.step(pick())...) },
			"step": func(t *rapid.T) {
				for _, r := range w.step(pick()) {
					w.append(r)
				}
			},
			"delayed append lands": func(t *rapid.T) {
				if len(w.inFlight) > 0 {
					i := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "which")
					w.append(w.inFlight[i])
					if rapid.Bool().Draw(t, "and again") {
						w.append(w.inFlight[i])
					}
					w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
				}
			},
			"retention passes": func(t *rapid.T) {
				w.first = trial.Offset(rapid.IntRange(int(w.first), max(int(w.first), len(w.log))).Draw(t, "first"))
			},
			"new reader": func(t *rapid.T) {
				w.relays[rapid.IntRange(1, len(w.relays)-1).Draw(t, "relay")] = w.add()
				w.relays = w.relays[:len(w.relays)-1]
			},
			"": func(t *rapid.T) {
				for key, ids := range w.won {
					if len(ids) > 1 {
						t.Fatalf("key %s was given to %v", key, ids)
					}
					decided++
				}
				if w.agree(t) && w.first > 1 {
					truncated++
				}
			},
		})
	})
	if decided == 0 || truncated == 0 {
		t.Errorf("decided=%d agreements over a truncated log=%d: the test shows nothing", decided, truncated)
	}
}

// agree fails the test where two readers at one offset know different claims; it tells whether
// there were two.
func (w *world) agree(t interface{ Fatalf(string, ...any) }) bool {
	states := map[trial.Offset]map[digest]entry{}
	two := false
	for _, r := range w.relays {
		if !r.table.Ready() {
			continue
		}
		now := map[digest]entry{}
		for k, e := range r.table.entries {
			now[k] = *e
		}
		if other, ok := states[r.Next()]; ok {
			two = true
			if !reflect.DeepEqual(other, now) {
				t.Fatalf("two readers at %d know %v and %v", r.Next(), other, now)
			}
		}
		states[r.Next()] = now
	}
	return two
}

func TestClaimsAreCarriedPastRetention(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	r := w.relays[0]
	w.read(r, 1)
	_, err := r.Add(w.now, claimOf(1, "c1"))
	is.NoErr(err)
	for range 60 {
		for _, rec := range w.step(r) {
			w.append(rec)
		}
		w.read(r, len(w.log))
		w.now = w.now.Add(time.Second)
	}
	is.True(len(w.log) > 2)            // the claim and snapshots
	w.first = trial.Offset(len(w.log)) // the claim's record is gone
	late := w.add()
	w.read(late, 2*len(w.log))
	res, ok := late.Table().Lookup(hash(1))
	is.True(ok)
	is.Equal(res.ClaimID, "c1")
	is.Equal(res.Offset, trial.Offset(1))
}

func TestReaderWithoutTheWindowDecidesNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	r := w.relays[0]
	w.read(r, 1)
	_, err := r.Add(w.now, claimOf(1, "c1"))
	is.NoErr(err)
	for _, rec := range w.step(r) {
		w.append(rec)
	}
	w.first = 2
	late := w.add()
	w.read(late, 1)
	_, err = late.Add(w.now, claimOf(1, "c2"))
	is.True(errors.Is(err, ErrNotReady))
	_, ok := late.Table().Lookup(hash(1))
	is.True(!ok)
}

func TestLogOutRefusesAtOnceButDecidedClaimsAnswer(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	r := w.relays[0]
	w.read(r, 1)
	_, err := r.Add(w.now, claimOf(1, "c1"))
	is.NoErr(err)
	for _, rec := range w.step(r) {
		w.append(rec)
	}
	w.read(r, 1)
	r.Appended(w.now, &trial.ErrUnavailable{Service: "log"})
	_, err = r.Add(w.now, claimOf(2, "c2"))
	is.True(errors.Is(err, ErrLogOut))
	w.now = w.now.Add(FreshFor + time.Second)
	_, err = r.Add(w.now, claimOf(2, "c2"))
	is.True(errors.Is(err, ErrLogOut)) // the end of the stream was not read for too long
	res, err := r.Add(w.now, claimOf(1, "c3"))
	is.NoErr(err)
	is.Equal(res.ClaimID, "c1")
}

func TestFullTableRefusesAndForgetsAfterTheWindow(t *testing.T) {
	is := is.New(t)
	table := newTable(time.Hour, 1)
	rec := func(at trial.Offset, clock time.Duration, key int, id string) trial.Record {
		p := claimOf(key, id)
		c := Claim{Key: p.Key, Fingerprint: p.Fingerprint, ClaimID: id, GateID: "g", GateIncarnation: "i"}
		return trial.Record{Offset: at, ID: fmt.Sprint(at), Data: encode(Record{Type: TypeClaims, ClockMs: clock.Milliseconds() + 1, Claims: []Claim{c}})}
	}
	d := table.Apply(rec(1, 0, 1, "c1"))
	is.Equal(d[0].Holder.ClaimID, "c1")
	d = table.Apply(rec(2, time.Second, 2, "c2"))
	is.True(d[0].Holder == nil) // void for each reader
	at, clock := trial.Offset(3), time.Duration(0)
	for clock = 0; clock <= time.Hour+2*time.Minute; clock += MaxClockStep {
		table.Apply(rec(at, clock, 1, "again"))
		at++
	}
	d = table.Apply(rec(at, clock, 1, "c3"))
	is.True(d[0].Holder.ClaimID == "again" || d[0].Holder.ClaimID == "c3")
}

func TestWriterWithAFastClockEndsNoClaimEarly(t *testing.T) {
	is := is.New(t)
	table := newTable(time.Hour, 8)
	add := func(at trial.Offset, clock time.Duration, id string) Decision {
		p := claimOf(1, id)
		c := Claim{Key: p.Key, Fingerprint: p.Fingerprint, ClaimID: id, GateID: "g", GateIncarnation: "i"}
		return table.Apply(trial.Record{Offset: at, ID: id, Data: encode(Record{Type: TypeClaims, ClockMs: clock.Milliseconds() + 1, Claims: []Claim{c}})})[0]
	}
	is.Equal(add(1, 0, "c1").Holder.ClaimID, "c1")
	is.Equal(add(2, 1000*time.Hour, "c2").Holder.ClaimID, "c1")
	is.Equal(add(3, time.Second, "c3").Holder.ClaimID, "c1")
}

func TestBadClaimsAreRefused(t *testing.T) {
	is := is.New(t)
	good := claimOf(1, "c1")
	is.NoErr(Check(&good))
	for _, f := range []func(p *wire.ClaimParams){
		func(p *wire.ClaimParams) { p.Key = "x" },
		func(p *wire.ClaimParams) { p.Fingerprint = strings.Repeat("g", 64) },
		func(p *wire.ClaimParams) { p.ClaimID = "" },
		func(p *wire.ClaimParams) { p.GateID = strings.Repeat("x", MaxIDBytes+1) },
	} {
		bad := good
		f(&bad)
		is.True(Check(&bad) != nil)
	}
}

// fill returns a table that holds n claims, and its next offset.
func fill(t *testing.T, n int) *Table {
	t.Helper()
	table := newTable(time.Hour, n)
	for i := range n {
		p := claimOf(i, fmt.Sprintf("c%d", i))
		r := Record{Type: TypeClaims, ClockMs: int64(i + 1), Claims: []Claim{{Key: p.Key, Fingerprint: p.Fingerprint, ClaimID: p.ClaimID, GateID: "g", GateIncarnation: "i"}}}
		table.Apply(trial.Record{Offset: trial.Offset(i + 1), ID: p.ClaimID, Data: encode(r)})
	}
	if table.Len() != n {
		t.Fatalf("table holds %d claims, not %d", table.Len(), n)
	}
	return table
}

func TestSnapshotIsAdoptedOnlyWholeAndWithoutAGap(t *testing.T) {
	is := is.New(t)
	const n = MaxPerRecord + 10
	parts := fill(t, n).Snapshot("s")
	is.Equal(len(parts), 2)
	read := func(first trial.Offset, records ...Record) *Table {
		late := newTable(time.Hour, n)
		late.Missed(first)
		for i, r := range records {
			late.Apply(trial.Record{Offset: first + trial.Offset(i), ID: fmt.Sprint(i), Data: encode(r)})
		}
		return late
	}
	is.True(!read(n+1, parts[0]).Ready())           // a part is missing
	is.True(!read(n+1, parts[0], parts[0]).Ready()) // twice the same
	is.True(!read(n+2, parts[0], parts[1]).Ready()) // record n+1 is lost
	late := read(n+1, parts[1], parts[0])           // in any order
	is.True(late.Ready() && late.Len() == n)        //
	is.Equal(late.Next(), trial.Offset(n+1))        // the records behind it are read again
	is.Equal(late.clockMs, int64(n))                // so that claims end for each reader alike
	res, ok := late.Lookup(hash(5))
	is.True(ok)
	is.Equal(res.Offset, trial.Offset(6))
}
