package lease

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/ibistrail/ibistrail/trial"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	testTTL = 3 * time.Second
	testKey = "drafting"
)

// world is a log and the processes that contend for one lease on it.
type world struct {
	now       time.Time
	log       []trial.Record // all that was ever appended
	first     trial.Offset   // the oldest retained
	inFlight  []trial.NewRecord
	procs     []*proc
	retention time.Duration
	tokens    map[string]int64 // by holder, the newest fencing token it was allowed
	// history is the holder at each offset, as a reader of the whole stream sees it.
	reader *Manager
}

type proc struct {
	*Manager
	name   string
	paused bool
}

func newWorld(n int) *world {
	w := &world{now: time.Unix(1000, 0), first: 1, tokens: map[string]int64{}, reader: NewManager(Options{Holder: "reader", TTL: testTTL})}
	for i := range n {
		w.add(fmt.Sprintf("n%d/1", i))
	}
	return w
}

func (w *world) add(name string) *proc {
	p := &proc{name: name, Manager: NewManager(Options{Holder: name, TTL: testTTL, Seed: uint64(len(w.procs))})}
	p.Want(map[string]time.Duration{testKey: 0})
	w.procs = append(w.procs, p)
	return p
}

func (w *world) append(r trial.NewRecord) {
	w.log = append(w.log, trial.Record{Offset: trial.Offset(len(w.log) + 1), ID: r.ID, Data: r.Data})
	w.read(w.reader, len(w.log))
}

// read lets a manager read up to n records from where it is.
func (w *world) read(m *Manager, n int) bool {
	m.Missed(w.now, w.first)
	for range n {
		next := m.Next()
		if int(next) > len(w.log) {
			break
		}
		if next < w.first {
			m.Missed(w.now, w.first)
			continue
		}
		m.Apply(w.now, w.log[next-1])
	}
	if int(m.Next()) > len(w.log) {
		m.CaughtUp(w.now)
		return true
	}
	return false
}

func (p *proc) step(w *world) []trial.NewRecord {
	if p.paused {
		return nil
	}
	return p.Step(w.now, w.retention)
}

// check fails the test where two processes may act at a time, or a token falls.
func (w *world) check(t interface{ Fatalf(string, ...any) }) {
	holder := ""
	for _, p := range w.procs {
		if p.paused {
			continue // it checks again before it acts
		}
		token, ok := p.May(w.now, testKey, false)
		if !ok {
			continue
		}
		if holder != "" {
			t.Fatalf("%s and %s may act at %s", holder, p.name, w.now)
		}
		holder = p.name
		for other, old := range w.tokens {
			if other != p.name && old >= token {
				t.Fatalf("token %d of %s is not above %d of %s", token, p.name, old, other)
			}
		}
		if w.tokens[p.name] > token {
			t.Fatalf("token of %s fell from %d to %d", p.name, w.tokens[p.name], token)
		}
	}
	if holder != "" {
		token, _ := w.find(holder).May(w.now, testKey, false)
		w.tokens = map[string]int64{holder: token}
	}
}

func (w *world) find(name string) *proc {
	for _, p := range w.procs {
		if p.name == name {
			return p
		}
	}
	return nil
}

func TestOneHolderAtATime(t *testing.T) {
	acquired := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		w.retention = 20 * time.Second
		serial := 0
		pick := func() *proc { return w.procs[rapid.IntRange(0, len(w.procs)-1).Draw(t, "proc")] }
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(10, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"pause":  func(t *rapid.T) { pick().paused = true },
			"resume": func(t *rapid.T) { pick().paused = false },
			"read": func(t *rapid.T) {
				if p := pick(); !p.paused {
					w.read(p.Manager, rapid.IntRange(1, 8).Draw(t, "records"))
				}
			},
			"turn of one": func(t *rapid.T) {
				if p := pick(); !p.paused {
					w.read(p.Manager, len(w.log)+1)
					for _, r := range p.step(w) {
						w.append(r)
					}
				}
			},
			"turn of one, append delayed": func(t *rapid.T) {
				if p := pick(); !p.paused {
					w.read(p.Manager, len(w.log)+1)
					w.inFlight = append(w.inFlight, p.step(w)...)
				}
			},
			"step, stale, append delayed": func(t *rapid.T) { w.inFlight = append(w.inFlight, pick().step(w)...) },
			"step, append lost":           func(t *rapid.T) { pick().step(w) },
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
			"calm": func(t *rapid.T) {
				for range 8 {
					w.now = w.now.Add(time.Second)
					for _, p := range w.procs {
						p.paused = false
						w.read(p.Manager, len(w.log))
						for _, r := range p.step(w) {
							w.append(r)
						}
						w.read(p.Manager, len(w.log))
						w.check(t)
					}
				}
				for _, p := range w.procs {
					if _, ok := p.May(w.now, testKey, false); ok {
						acquired++
					}
				}
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(w.procs)-1).Draw(t, "proc")
				serial++
				p := w.add(fmt.Sprintf("n%d/r%d", i, serial))
				w.procs[i], w.procs = p, w.procs[:len(w.procs)-1]
			},
			"retention passes": func(t *rapid.T) {
				w.first = trial.Offset(rapid.IntRange(int(w.first), max(int(w.first), len(w.log))).Draw(t, "first"))
			},
			"": func(t *rapid.T) {
				w.check(t)
				w.agree(t)
			},
		})
	})
	if acquired == 0 {
		t.Error("no run ever had a holder: the test shows nothing")
	}
}

// agree fails the test where a reader that is as far as the whole stream's knows another state.
func (w *world) agree(t interface{ Fatalf(string, ...any) }) {
	for _, p := range w.procs {
		if p.table.Ready() && w.reader.table.Ready() && p.Next() == w.reader.Next() {
			if got, want := p.Leases(), w.reader.Leases(); !reflect.DeepEqual(got, want) {
				t.Fatalf("%s has %+v, a reader of all has %+v", p.name, got, want)
			}
		}
	}
}

// turn lets each process read all and step once, after a second.
func (w *world) turn() {
	w.now = w.now.Add(time.Second)
	for _, p := range w.procs {
		if !p.paused {
			w.read(p.Manager, len(w.log)+1)
			for _, r := range p.step(w) {
				w.append(r)
			}
			w.read(p.Manager, len(w.log)+1)
		}
	}
}

func (w *world) holder() *proc {
	for _, p := range w.procs {
		if _, ok := p.May(w.now, testKey, false); ok && !p.paused {
			return p
		}
	}
	return nil
}

func TestPausedHolderIsReplacedAndMayNotGoOn(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.turn()
	old := w.holder()
	is.True(old != nil)
	oldToken, _ := old.May(w.now, testKey, true)
	old.paused = true
	for range 6 {
		w.turn()
	}
	next := w.holder()
	is.True(next != nil && next != old)
	token, _ := next.May(w.now, testKey, false)
	is.True(token > oldToken)
	_, ok := old.May(w.now, testKey, false)
	is.True(!ok) // its time is over by its own clock
	_, ok = old.May(w.now, testKey, true)
	is.True(ok) // it has not read yet that it was replaced; engines that check refuse its token
	w.read(old.Manager, len(w.log))
	_, ok = old.May(w.now, testKey, true)
	is.True(!ok)
}

func TestHolderGoesOnWithoutTheLogOnlyWhereTokensAreChecked(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.turn()
	w.now = w.now.Add(2 * testTTL)
	_, ok := w.procs[0].May(w.now, testKey, false)
	is.True(!ok)
	_, ok = w.procs[0].May(w.now, testKey, true)
	is.True(ok)
}

func TestLostAnswerOfAnAppendCostsNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	p := w.procs[0]
	w.read(p.Manager, 1)
	r := p.Step(w.now, 0)
	is.Equal(len(r), 1)
	w.append(r[0]) // the answer is lost, so the process sends it again
	w.now = w.now.Add(ResendAfter)
	again := p.Step(w.now, 0)
	is.Equal(again[0].ID, r[0].ID)
	w.append(again[0])
	w.read(p.Manager, 2)
	token, ok := p.May(w.now, testKey, false)
	is.True(ok)
	is.Equal(token, int64(1))
	is.Equal(p.Leases()[0].Offset, trial.Offset(1)) // the second copy was void
	w.now = time.Unix(1000, 0).Add(testTTL - margin(testTTL))
	_, ok = p.May(w.now, testKey, false)
	is.True(!ok) // others count from the first copy
}

func TestValidityCountsFromBeforeTheFirstSend(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	p := w.procs[0]
	w.read(p.Manager, 1)
	r := p.Step(w.now, 0)
	w.now = w.now.Add(testTTL) // the append takes long
	w.append(r[0])
	w.read(p.Manager, 1)
	_, ok := p.May(w.now, testKey, false)
	is.True(!ok)
}

func TestReleaseLetsTheNextOneInAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.turn()
	old := w.holder()
	old.Want(nil)
	for _, r := range old.Step(w.now, 0) {
		w.append(r)
	}
	_, ok := old.May(w.now, testKey, true)
	is.True(!ok)
	w.turn()
	w.turn()
	is.True(w.holder() != nil && w.holder() != old)
}

func TestSnapshotOutlivesRetention(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.retention = 10 * time.Second
	for range 20 {
		w.turn()
	}
	snapshots := 0
	for _, r := range w.log {
		if d, err := decode(r.Data); err == nil && d.Type == TypeSnapshot {
			snapshots++
			w.first = d.Through + 1
		}
	}
	is.True(snapshots >= 2)
	late := w.add("late/1")
	w.read(late.Manager, 2*len(w.log))
	is.True(late.table.Ready())
	w.agree(t)
}

func TestLostStateIsResetAndNobodyActsEarly(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.turn()
	w.first = trial.Offset(len(w.log) + 1) // all is gone, and no snapshot
	w.procs[0].paused = true
	late := w.add("late/1")
	for w.now.Before(time.Unix(1000, 0).Add(MaxTTL)) {
		w.turn()
		_, ok := late.May(w.now, testKey, true)
		is.True(!ok)
	}
	for range 20 {
		w.turn()
	}
	_, ok := late.May(w.now, testKey, false)
	is.True(ok)
}
