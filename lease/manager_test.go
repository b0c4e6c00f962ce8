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

// cluster is a simulated log with processes that contend for one lease.
type cluster struct {
	now            time.Time
	log            []trial.Record // all records, truncated ones included
	oldestRetained trial.Offset
	inFlight       []trial.NewRecord
	processes      []*process
	retention      time.Duration
	tokens         map[string]int64 // by holder, the newest fencing token that it could act with
	reader         *Manager         // reads every record
}

type process struct {
	*Manager
	name   string
	paused bool
}

func newCluster(n int) *cluster {
	w := &cluster{now: time.Unix(1000, 0), oldestRetained: 1, tokens: map[string]int64{}, reader: NewManager(Options{Holder: "reader", TTL: testTTL})}
	for i := range n {
		w.addProcess(fmt.Sprintf("n%d/1", i))
	}
	return w
}

func (w *cluster) addProcess(name string) *process {
	p := &process{name: name, Manager: NewManager(Options{Holder: name, TTL: testTTL, Seed: uint64(len(w.processes))})}
	p.Want(map[string]time.Duration{testKey: 0})
	w.processes = append(w.processes, p)
	return p
}

func (w *cluster) append(r trial.NewRecord) {
	w.log = append(w.log, trial.Record{Offset: trial.Offset(len(w.log) + 1), ID: r.ID, Data: r.Data})
	w.read(w.reader, len(w.log))
}

// read applies up to n records to m and reports whether m has reached the end of the log.
func (w *cluster) read(m *Manager, n int) bool {
	m.Missed(w.now, w.oldestRetained)
	for range n {
		next := m.Next()
		if int(next) > len(w.log) {
			break
		}
		if next < w.oldestRetained {
			m.Missed(w.now, w.oldestRetained)
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

func (p *process) step(w *cluster) []trial.NewRecord {
	if p.paused {
		return nil
	}
	return p.Step(w.now, w.retention)
}

// checkSingleHolder fails the test if two processes may act at the same time or a fencing token decreases.
func (w *cluster) checkSingleHolder(t interface{ Fatalf(string, ...any) }) {
	holder := ""
	for _, p := range w.processes {
		if p.paused {
			continue // a paused process checks May again before it acts
		}
		token, ok := p.May(w.now, testKey, false)
		if !ok {
			continue
		}
		if holder != "" {
			t.Fatalf("%s and %s may both act at %s", holder, p.name, w.now)
		}
		holder = p.name
		for other, old := range w.tokens {
			if other != p.name && old >= token {
				t.Fatalf("token %d of %s is not above token %d of %s", token, p.name, old, other)
			}
		}
		if w.tokens[p.name] > token {
			t.Fatalf("token of %s decreased from %d to %d", p.name, w.tokens[p.name], token)
		}
	}
	if holder != "" {
		token, _ := w.find(holder).May(w.now, testKey, false)
		w.tokens = map[string]int64{holder: token}
	}
}

func (w *cluster) find(name string) *process {
	for _, p := range w.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

func TestAtMostOneHolderAtATime(t *testing.T) {
	acquired := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newCluster(3)
		w.retention = 20 * time.Second
		serial := 0
		pick := func() *process { return w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(t, "proc")] }
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
					for _, p := range w.processes {
						p.paused = false
						w.read(p.Manager, len(w.log))
						for _, r := range p.step(w) {
							w.append(r)
						}
						w.read(p.Manager, len(w.log))
						w.checkSingleHolder(t)
					}
				}
				for _, p := range w.processes {
					if _, ok := p.May(w.now, testKey, false); ok {
						acquired++
					}
				}
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(w.processes)-1).Draw(t, "proc")
				serial++
				p := w.addProcess(fmt.Sprintf("n%d/r%d", i, serial))
				w.processes[i], w.processes = p, w.processes[:len(w.processes)-1]
			},
			"retention passes": func(t *rapid.T) {
				w.oldestRetained = trial.Offset(rapid.IntRange(int(w.oldestRetained), max(int(w.oldestRetained), len(w.log))).Draw(t, "first"))
			},
			"": func(t *rapid.T) {
				w.checkSingleHolder(t)
				w.checkStatesAgree(t)
			},
		})
	})
	if acquired == 0 {
		t.Error("no process acquired the lease in any run, so that the test checked nothing")
	}
}

// checkStatesAgree fails the test if a process at the same offset as the reader of all records has another state.
func (w *cluster) checkStatesAgree(t interface{ Fatalf(string, ...any) }) {
	for _, p := range w.processes {
		if p.table.Ready() && w.reader.table.Ready() && p.Next() == w.reader.Next() {
			if got, want := p.Leases(), w.reader.Leases(); !reflect.DeepEqual(got, want) {
				t.Fatalf("%s has leases %+v, a reader of all records has %+v", p.name, got, want)
			}
		}
	}
}

// stepAll advances the clock by 1 s; each running process reads to the end, steps once, and reads again.
func (w *cluster) stepAll() {
	w.now = w.now.Add(time.Second)
	for _, p := range w.processes {
		if !p.paused {
			w.read(p.Manager, len(w.log)+1)
			for _, r := range p.step(w) {
				w.append(r)
			}
			w.read(p.Manager, len(w.log)+1)
		}
	}
}

func (w *cluster) holder() *process {
	for _, p := range w.processes {
		if _, ok := p.May(w.now, testKey, false); ok && !p.paused {
			return p
		}
	}
	return nil
}

func TestPausedHolderIsReplacedAndLosesLease(t *testing.T) {
	is := is.New(t)
	w := newCluster(2)
	w.stepAll()
	old := w.holder()
	is.True(old != nil)
	oldToken, _ := old.May(w.now, testKey, true)
	old.paused = true
	for range 6 {
		w.stepAll()
	}
	next := w.holder()
	is.True(next != nil && next != old)
	token, _ := next.May(w.now, testKey, false)
	is.True(token > oldToken)
	_, ok := old.May(w.now, testKey, false)
	is.True(!ok) // its validity has expired by its own clock
	_, ok = old.May(w.now, testKey, true)
	is.True(ok) // it has not read the new holder's record yet; engines that check tokens reject its token
	w.read(old.Manager, len(w.log))
	_, ok = old.May(w.now, testKey, true)
	is.True(!ok)
}

func TestExpiredHolderMayActOnlyWithFencingCheck(t *testing.T) {
	is := is.New(t)
	w := newCluster(1)
	w.stepAll()
	w.now = w.now.Add(2 * testTTL)
	_, ok := w.processes[0].May(w.now, testKey, false)
	is.True(!ok)
	_, ok = w.processes[0].May(w.now, testKey, true)
	is.True(ok)
}

func TestResentAppendAppliesOnce(t *testing.T) {
	is := is.New(t)
	w := newCluster(1)
	p := w.processes[0]
	w.read(p.Manager, 1)
	r := p.Step(w.now, 0)
	is.Equal(len(r), 1)
	w.append(r[0]) // the response is lost, so the process resends the record
	w.now = w.now.Add(ResendAfter)
	resent := p.Step(w.now, 0)
	is.Equal(resent[0].ID, r[0].ID)
	w.append(resent[0])
	w.read(p.Manager, 2)
	token, ok := p.May(w.now, testKey, false)
	is.True(ok)
	is.Equal(token, int64(1))
	is.Equal(p.Leases()[0].Offset, trial.Offset(1)) // the duplicate had no effect
	w.now = time.Unix(1000, 0).Add(testTTL - margin(testTTL))
	_, ok = p.May(w.now, testKey, false)
	is.True(!ok) // contenders count from the first copy
}

func TestValidityStartsAtFirstSend(t *testing.T) {
	is := is.New(t)
	w := newCluster(1)
	p := w.processes[0]
	w.read(p.Manager, 1)
	r := p.Step(w.now, 0)
	w.now = w.now.Add(testTTL) // the append takes as long as the TTL
	w.append(r[0])
	w.read(p.Manager, 1)
	_, ok := p.May(w.now, testKey, false)
	is.True(!ok)
}

func TestReleasedLeaseIsAcquiredWithoutWaitingForTTL(t *testing.T) {
	is := is.New(t)
	w := newCluster(2)
	w.stepAll()
	old := w.holder()
	old.Want(nil)
	for _, r := range old.Step(w.now, 0) {
		w.append(r)
	}
	_, ok := old.May(w.now, testKey, true)
	is.True(!ok)
	w.stepAll()
	w.stepAll()
	is.True(w.holder() != nil && w.holder() != old)
}

func TestSnapshotOutlivesRetention(t *testing.T) {
	is := is.New(t)
	w := newCluster(1)
	w.retention = 10 * time.Second
	for range 20 {
		w.stepAll()
	}
	snapshots := 0
	for _, r := range w.log {
		if d, err := decode(r.Data); err == nil && d.Type == TypeSnapshot {
			snapshots++
			w.oldestRetained = d.Through + 1
		}
	}
	is.True(snapshots >= 2)
	lateReader := w.addProcess("late/1")
	w.read(lateReader.Manager, 2*len(w.log))
	is.True(lateReader.table.Ready())
	w.checkStatesAgree(t)
}

func TestLostStateIsResetAndLeaseWaitsForMaxTTL(t *testing.T) {
	is := is.New(t)
	w := newCluster(1)
	w.stepAll()
	w.oldestRetained = trial.Offset(len(w.log) + 1) // all records were truncated, without a snapshot
	w.processes[0].paused = true
	lateReader := w.addProcess("late/1")
	for w.now.Before(time.Unix(1000, 0).Add(MaxTTL)) {
		w.stepAll()
		_, ok := lateReader.May(w.now, testKey, true)
		is.True(!ok)
	}
	for range 20 {
		w.stepAll()
	}
	_, ok := lateReader.May(w.now, testKey, false)
	is.True(ok)
}
