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

// cluster is a simulated log with relays that read and append to it.
type cluster struct {
	now           time.Time
	log           []trial.Record
	firstRetained trial.Offset
	relays        []*Relay
	inFlight      []trial.NewRecord
	winners       map[string]map[string]bool // by key, the claim IDs that any reader reported as the holder
	keyOf         map[string]string          // by claim ID
}

const testRetention = 20 * time.Second

func newCluster(n int) *cluster {
	c := &cluster{now: time.Unix(1000, 0), firstRetained: 1, winners: map[string]map[string]bool{}, keyOf: map[string]string{}}
	for range n {
		c.addRelay()
	}
	return c
}

func (c *cluster) addRelay() *Relay {
	r := NewRelay(fmt.Sprintf("n%d", len(c.relays)), uint64(len(c.relays)))
	r.table = newTable(time.Hour, 8)
	c.relays = append(c.relays, r)
	return r
}

func (c *cluster) append(r trial.NewRecord) {
	c.log = append(c.log, trial.Record{Offset: trial.Offset(len(c.log) + 1), ID: r.ID, Data: r.Data})
}

// read applies up to n records to r and records the holders that it reports.
func (c *cluster) read(r *Relay, n int) {
	r.SetFirstRetained(c.firstRetained)
	for range n {
		next := r.Next()
		if int(next) > len(c.log) {
			break
		}
		if next < c.firstRetained {
			r.SetFirstRetained(c.firstRetained)
			continue
		}
		for _, d := range r.Apply(c.now, c.log[next-1], testRetention) {
			if d.Holder != nil {
				c.recordWinner(c.keyOf[d.ClaimID], d.Holder)
			}
		}
	}
	if int(r.Next()) > len(c.log) {
		r.CaughtUp(c.now)
	}
}

func (c *cluster) recordWinner(key string, holder *wire.ClaimResult) {
	if c.winners[key] == nil {
		c.winners[key] = map[string]bool{}
	}
	c.winners[key][holder.ClaimID] = true
}

func (c *cluster) step(r *Relay) []trial.NewRecord {
	return r.Step(c.now, c.now.UnixMilli(), testRetention)
}

func TestEachKeyHasOneWinnerAndReadersAgree(t *testing.T) {
	decided, truncated := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3)
		serial := 0
		pick := func() *Relay { return c.relays[rapid.IntRange(0, len(c.relays)-1).Draw(t, "relay")] }
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(50, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"claim": func(t *rapid.T) {
				serial++
				p := claimOf(rapid.IntRange(1, 12).Draw(t, "key"), fmt.Sprintf("c%d", serial))
				c.keyOf[p.ClaimID] = p.Key
				if res, err := pick().Add(c.now, p); res != nil && err == nil {
					c.recordWinner(p.Key, res)
				}
			},
			"read":                 func(t *rapid.T) { c.read(pick(), rapid.IntRange(1, 6).Draw(t, "records")) },
			"read all":             func(t *rapid.T) { c.read(pick(), 3*len(c.log)+1) },
			"step, append lost":    func(t *rapid.T) { c.step(pick()) },
			"step, append delayed": func(t *rapid.T) { c.inFlight = append(c.inFlight, c.step(pick())...) },
			"step": func(t *rapid.T) {
				for _, r := range c.step(pick()) {
					c.append(r)
				}
			},
			"delayed append lands": func(t *rapid.T) {
				if len(c.inFlight) > 0 {
					i := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "which")
					c.append(c.inFlight[i])
					if rapid.Bool().Draw(t, "and again") {
						c.append(c.inFlight[i])
					}
					c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
				}
			},
			"retention passes": func(t *rapid.T) {
				c.firstRetained = trial.Offset(rapid.IntRange(int(c.firstRetained), max(int(c.firstRetained), len(c.log))).Draw(t, "first"))
			},
			"new reader": func(t *rapid.T) {
				c.relays[rapid.IntRange(1, len(c.relays)-1).Draw(t, "relay")] = c.addRelay()
				c.relays = c.relays[:len(c.relays)-1]
			},
			"": func(t *rapid.T) {
				for key, ids := range c.winners {
					if len(ids) > 1 {
						t.Fatalf("key %s has more than one winner: %v", key, ids)
					}
					decided++
				}
				if c.checkStatesAgree(t) && c.firstRetained > 1 {
					truncated++
				}
			},
		})
	})
	if decided == 0 || truncated == 0 {
		t.Errorf("decided claims=%d, state comparisons on a truncated log=%d: both must be above 0, else the test checked nothing", decided, truncated)
	}
}

// checkStatesAgree fails the test if two readers at the same offset have different claims. It reports
// whether there were two readers to compare.
func (c *cluster) checkStatesAgree(t interface{ Fatalf(string, ...any) }) bool {
	states := map[trial.Offset]map[digest]entry{}
	compared := false
	for _, r := range c.relays {
		if !r.table.Ready() {
			continue
		}
		state := map[digest]entry{}
		for k, e := range r.table.entries {
			state[k] = *e
		}
		if other, ok := states[r.Next()]; ok {
			compared = true
			if !reflect.DeepEqual(other, state) {
				t.Fatalf("two readers at offset %d have different claims: %v and %v", r.Next(), other, state)
			}
		}
		states[r.Next()] = state
	}
	return compared
}

func TestSnapshotPreservesClaimsPastRetention(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	r := c.relays[0]
	c.read(r, 1)
	_, err := r.Add(c.now, claimOf(1, "c1"))
	is.NoErr(err)
	for range 60 {
		for _, rec := range c.step(r) {
			c.append(rec)
		}
		c.read(r, len(c.log))
		c.now = c.now.Add(time.Second)
	}
	is.True(len(c.log) > 2)                    // the claim's record and snapshots
	c.firstRetained = trial.Offset(len(c.log)) // the claim's record is truncated
	lateReader := c.addRelay()
	c.read(lateReader, 2*len(c.log))
	res, ok := lateReader.Table().Lookup(hash(1))
	is.True(ok)
	is.Equal(res.ClaimID, "c1")
	is.Equal(res.Offset, trial.Offset(1))
}

func TestReaderWithoutFullStateRejectsClaims(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	r := c.relays[0]
	c.read(r, 1)
	_, err := r.Add(c.now, claimOf(1, "c1"))
	is.NoErr(err)
	for _, rec := range c.step(r) {
		c.append(rec)
	}
	c.firstRetained = 2
	lateReader := c.addRelay()
	c.read(lateReader, 1)
	_, err = lateReader.Add(c.now, claimOf(1, "c2"))
	is.True(errors.Is(err, ErrNotReady))
	_, ok := lateReader.Table().Lookup(hash(1))
	is.True(!ok)
}

func TestLogOutageRejectsNewClaimsButAnswersDecidedOnes(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	r := c.relays[0]
	c.read(r, 1)
	_, err := r.Add(c.now, claimOf(1, "c1"))
	is.NoErr(err)
	for _, rec := range c.step(r) {
		c.append(rec)
	}
	c.read(r, 1)
	r.HandleAppendResult(c.now, &trial.UnavailableError{Service: "log"})
	_, err = r.Add(c.now, claimOf(2, "c2"))
	is.True(errors.Is(err, ErrLogUnavailable))
	c.now = c.now.Add(MaxReadAge + time.Second)
	_, err = r.Add(c.now, claimOf(2, "c2"))
	is.True(errors.Is(err, ErrLogUnavailable)) // the end of the stream was not read within MaxReadAge
	res, err := r.Add(c.now, claimOf(1, "c3"))
	is.NoErr(err)
	is.Equal(res.ClaimID, "c1")
}

func TestFullTableRejectsNewKeysUntilTTLExpires(t *testing.T) {
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
	is.True(d[0].Holder == nil) // rejected: the table is full
	at, clock := trial.Offset(3), time.Duration(0)
	for clock = 0; clock <= time.Hour+2*time.Minute; clock += MaxClockStep {
		table.Apply(rec(at, clock, 1, "again"))
		at++
	}
	d = table.Apply(rec(at, clock, 1, "c3"))
	is.True(d[0].Holder.ClaimID == "again" || d[0].Holder.ClaimID == "c3")
}

func TestWriterWithFastClockDoesNotExpireClaimsEarly(t *testing.T) {
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

func TestInvalidClaimsAreRejected(t *testing.T) {
	is := is.New(t)
	good := claimOf(1, "c1")
	is.NoErr(Validate(&good))
	for _, f := range []func(p *wire.ClaimParams){
		func(p *wire.ClaimParams) { p.Key = "x" },
		func(p *wire.ClaimParams) { p.Fingerprint = strings.Repeat("g", 64) },
		func(p *wire.ClaimParams) { p.ClaimID = "" },
		func(p *wire.ClaimParams) { p.GateID = strings.Repeat("x", MaxIDBytes+1) },
	} {
		bad := good
		f(&bad)
		is.True(Validate(&bad) != nil)
	}
}

// fill returns a table with n claims.
func fill(t *testing.T, n int) *Table {
	t.Helper()
	table := newTable(time.Hour, n)
	for i := range n {
		p := claimOf(i, fmt.Sprintf("c%d", i))
		r := Record{Type: TypeClaims, ClockMs: int64(i + 1), Claims: []Claim{{Key: p.Key, Fingerprint: p.Fingerprint, ClaimID: p.ClaimID, GateID: "g", GateIncarnation: "i"}}}
		table.Apply(trial.Record{Offset: trial.Offset(i + 1), ID: p.ClaimID, Data: encode(r)})
	}
	if table.Len() != n {
		t.Fatalf("table holds %d claims, want %d", table.Len(), n)
	}
	return table
}

func TestSnapshotIsRestoredOnlyWhenCompleteAndContiguous(t *testing.T) {
	is := is.New(t)
	const n = MaxPerRecord + 10
	parts := fill(t, n).Snapshot("s")
	is.Equal(len(parts), 2)
	read := func(first trial.Offset, records ...Record) *Table {
		lateReader := newTable(time.Hour, n)
		lateReader.SetFirstRetained(first)
		for i, r := range records {
			lateReader.Apply(trial.Record{Offset: first + trial.Offset(i), ID: fmt.Sprint(i), Data: encode(r)})
		}
		return lateReader
	}
	is.True(!read(n+1, parts[0]).Ready())           // a part is missing
	is.True(!read(n+1, parts[0], parts[0]).Ready()) // the same part twice
	is.True(!read(n+2, parts[0], parts[1]).Ready()) // record n+1 is truncated
	lateReader := read(n+1, parts[1], parts[0])     // parts may come in any order
	is.True(lateReader.Ready() && lateReader.Len() == n)
	is.Equal(lateReader.Next(), trial.Offset(n+1)) // the records after Through are read again
	is.Equal(lateReader.clockMs, int64(n))         // so that claims expire at the same offset for all readers
	res, ok := lateReader.Lookup(hash(5))
	is.True(ok)
	is.Equal(res.Offset, trial.Offset(6))
}
