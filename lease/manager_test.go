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
	now           time.Time
	log           []trial.Record // all records, truncated ones included
	firstRetained trial.Offset
	inFlight      []trial.NewRecord
	processes     []*process
	retention     time.Duration
	tokens        map[string]int64 // by holder, the newest fencing token that it could act with
	reader        *Manager         // reads every record
}

type process struct {
	*Manager
	name   string
	paused bool
}

func newCluster(n int) *cluster {
	c := &cluster{now: time.Unix(1000, 0), firstRetained: 1, tokens: map[string]int64{}, reader: NewManager(Options{Holder: "reader", TTL: testTTL})}
	for i := range n {
		c.addProcess(fmt.Sprintf("n%d/1", i))
	}
	return c
}

func (c *cluster) addProcess(name string) *process {
	p := &process{name: name, Manager: NewManager(Options{Holder: name, TTL: testTTL, Seed: uint64(len(c.processes))})}
	p.SetWanted(map[string]time.Duration{testKey: 0})
	c.processes = append(c.processes, p)
	return p
}

func (c *cluster) append(r trial.NewRecord) {
	c.log = append(c.log, trial.Record{Offset: trial.Offset(len(c.log) + 1), ID: r.ID, Data: r.Data})
	c.read(c.reader, len(c.log))
}

// read applies up to n records to m and reports whether m has reached the end of the log.
func (c *cluster) read(m *Manager, n int) bool {
	m.SetFirstRetained(c.now, c.firstRetained)
	for range n {
		next := m.Next()
		if int(next) > len(c.log) {
			break
		}
		if next < c.firstRetained {
			m.SetFirstRetained(c.now, c.firstRetained)
			continue
		}
		m.Apply(c.now, c.log[next-1])
	}
	if int(m.Next()) > len(c.log) {
		m.CaughtUp(c.now)
		return true
	}
	return false
}

func (p *process) step(c *cluster) []trial.NewRecord {
	if p.paused {
		return nil
	}
	return p.Step(c.now, c.retention)
}

// checkSingleHolder fails the test if two processes may act at the same time or a fencing token decreases.
func (c *cluster) checkSingleHolder(t interface{ Fatalf(string, ...any) }) {
	holder := ""
	for _, p := range c.processes {
		if p.paused {
			continue // a paused process checks MayAct again before it acts
		}
		token, ok := p.MayAct(c.now, testKey, false)
		if !ok {
			continue
		}
		if holder != "" {
			t.Fatalf("%s and %s may both act at %s", holder, p.name, c.now)
		}
		holder = p.name
		for other, old := range c.tokens {
			if other != p.name && old >= token {
				t.Fatalf("token %d of %s is not above token %d of %s", token, p.name, old, other)
			}
		}
		if c.tokens[p.name] > token {
			t.Fatalf("token of %s decreased from %d to %d", p.name, c.tokens[p.name], token)
		}
	}
	if holder != "" {
		token, _ := c.find(holder).MayAct(c.now, testKey, false)
		c.tokens = map[string]int64{holder: token}
	}
}

func (c *cluster) find(name string) *process {
	for _, p := range c.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

func TestAtMostOneHolderAtATime(t *testing.T) {
	acquired := 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3)
		c.retention = 20 * time.Second
		serial := 0
		pick := func() *process { return c.processes[rapid.IntRange(0, len(c.processes)-1).Draw(t, "proc")] }
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(10, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"pause":  func(t *rapid.T) { pick().paused = true },
			"resume": func(t *rapid.T) { pick().paused = false },
			"read": func(t *rapid.T) {
				if p := pick(); !p.paused {
					c.read(p.Manager, rapid.IntRange(1, 8).Draw(t, "records"))
				}
			},
			"turn of one": func(t *rapid.T) {
				if p := pick(); !p.paused {
					c.read(p.Manager, len(c.log)+1)
					for _, r := range p.step(c) {
						c.append(r)
					}
				}
			},
			"turn of one, append delayed": func(t *rapid.T) {
				if p := pick(); !p.paused {
					c.read(p.Manager, len(c.log)+1)
					c.inFlight = append(c.inFlight, p.step(c)...)
				}
			},
			"step, stale, append delayed": func(t *rapid.T) { c.inFlight = append(c.inFlight, pick().step(c)...) },
			"step, append lost":           func(t *rapid.T) { pick().step(c) },
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
			"calm": func(t *rapid.T) {
				for range 8 {
					c.now = c.now.Add(time.Second)
					for _, p := range c.processes {
						p.paused = false
						c.read(p.Manager, len(c.log))
						for _, r := range p.step(c) {
							c.append(r)
						}
						c.read(p.Manager, len(c.log))
						c.checkSingleHolder(t)
					}
				}
				for _, p := range c.processes {
					if _, ok := p.MayAct(c.now, testKey, false); ok {
						acquired++
					}
				}
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(c.processes)-1).Draw(t, "proc")
				serial++
				p := c.addProcess(fmt.Sprintf("n%d/r%d", i, serial))
				c.processes[i], c.processes = p, c.processes[:len(c.processes)-1]
			},
			"retention passes": func(t *rapid.T) {
				c.firstRetained = trial.Offset(rapid.IntRange(int(c.firstRetained), max(int(c.firstRetained), len(c.log))).Draw(t, "first"))
			},
			"": func(t *rapid.T) {
				c.checkSingleHolder(t)
				c.checkStatesAgree(t)
			},
		})
	})
	if acquired == 0 {
		t.Error("no process acquired the lease in any run, so that the test checked nothing")
	}
}

// checkStatesAgree fails the test if a process at the same offset as the reader of all records has another state.
func (c *cluster) checkStatesAgree(t interface{ Fatalf(string, ...any) }) {
	for _, p := range c.processes {
		if p.table.Ready() && c.reader.table.Ready() && p.Next() == c.reader.Next() {
			if got, want := p.Leases(), c.reader.Leases(); !reflect.DeepEqual(got, want) {
				t.Fatalf("%s has leases %+v, a reader of all records has %+v", p.name, got, want)
			}
		}
	}
}

// stepAll advances the clock by 1 s; each running process reads to the end, steps once, and reads again.
func (c *cluster) stepAll() {
	c.now = c.now.Add(time.Second)
	for _, p := range c.processes {
		if !p.paused {
			c.read(p.Manager, len(c.log)+1)
			for _, r := range p.step(c) {
				c.append(r)
			}
			c.read(p.Manager, len(c.log)+1)
		}
	}
}

func (c *cluster) holder() *process {
	for _, p := range c.processes {
		if _, ok := p.MayAct(c.now, testKey, false); ok && !p.paused {
			return p
		}
	}
	return nil
}

func TestPausedHolderIsReplacedAndLosesLease(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	c.stepAll()
	old := c.holder()
	is.True(old != nil)
	oldToken, _ := old.MayAct(c.now, testKey, true)
	old.paused = true
	for range 6 {
		c.stepAll()
	}
	next := c.holder()
	is.True(next != nil && next != old)
	token, _ := next.MayAct(c.now, testKey, false)
	is.True(token > oldToken)
	_, ok := old.MayAct(c.now, testKey, false)
	is.True(!ok) // its validity has expired by its own clock
	_, ok = old.MayAct(c.now, testKey, true)
	is.True(ok) // it has not read the new holder's record yet; engines that check tokens reject its token
	c.read(old.Manager, len(c.log))
	_, ok = old.MayAct(c.now, testKey, true)
	is.True(!ok)
}

func TestExpiredHolderMayActOnlyWithFencingCheck(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	c.stepAll()
	c.now = c.now.Add(2 * testTTL)
	_, ok := c.processes[0].MayAct(c.now, testKey, false)
	is.True(!ok)
	_, ok = c.processes[0].MayAct(c.now, testKey, true)
	is.True(ok)
}

func TestResentAppendAppliesOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	p := c.processes[0]
	c.read(p.Manager, 1)
	r := p.Step(c.now, 0)
	is.Equal(len(r), 1)
	c.append(r[0]) // the response is lost, so the process resends the record
	c.now = c.now.Add(ResendAfter)
	resent := p.Step(c.now, 0)
	is.Equal(resent[0].ID, r[0].ID)
	c.append(resent[0])
	c.read(p.Manager, 2)
	token, ok := p.MayAct(c.now, testKey, false)
	is.True(ok)
	is.Equal(token, int64(1))
	is.Equal(p.Leases()[0].Offset, trial.Offset(1)) // the duplicate had no effect
	c.now = time.Unix(1000, 0).Add(testTTL - margin(testTTL))
	_, ok = p.MayAct(c.now, testKey, false)
	is.True(!ok) // contenders count from the first copy
}

func TestValidityStartsAtFirstSend(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	p := c.processes[0]
	c.read(p.Manager, 1)
	r := p.Step(c.now, 0)
	c.now = c.now.Add(testTTL) // the append takes as long as the TTL
	c.append(r[0])
	c.read(p.Manager, 1)
	_, ok := p.MayAct(c.now, testKey, false)
	is.True(!ok)
}

func TestReleasedLeaseIsAcquiredWithoutWaitingForTTL(t *testing.T) {
	is := is.New(t)
	c := newCluster(2)
	c.stepAll()
	old := c.holder()
	old.SetWanted(nil)
	for _, r := range old.Step(c.now, 0) {
		c.append(r)
	}
	_, ok := old.MayAct(c.now, testKey, true)
	is.True(!ok)
	c.stepAll()
	c.stepAll()
	is.True(c.holder() != nil && c.holder() != old)
}

func TestSnapshotOutlivesRetention(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	c.retention = 10 * time.Second
	for range 20 {
		c.stepAll()
	}
	snapshots := 0
	for _, r := range c.log {
		if d, err := decode(r.Data); err == nil && d.Type == TypeSnapshot {
			snapshots++
			c.firstRetained = d.Through + 1
		}
	}
	is.True(snapshots >= 2)
	lateReader := c.addProcess("late/1")
	c.read(lateReader.Manager, 2*len(c.log))
	is.True(lateReader.table.Ready())
	c.checkStatesAgree(t)
}

func TestLostStateIsResetAndLeaseWaitsForMaxTTL(t *testing.T) {
	is := is.New(t)
	c := newCluster(1)
	c.stepAll()
	c.firstRetained = trial.Offset(len(c.log) + 1) // all records were truncated, without a snapshot
	c.processes[0].paused = true
	lateReader := c.addProcess("late/1")
	for c.now.Before(time.Unix(1000, 0).Add(MaxTTL)) {
		c.stepAll()
		_, ok := lateReader.MayAct(c.now, testKey, true)
		is.True(!ok)
	}
	for range 20 {
		c.stepAll()
	}
	_, ok := lateReader.MayAct(c.now, testKey, false)
	is.True(ok)
}
