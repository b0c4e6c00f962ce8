package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"github.com/ibistrail/ibistrail/trial"
	"pgregory.net/rapid"
)

// cluster is a log, one reader that read it from its beginning, and nodes that start, stop and
// read at any time; the nodes write changes and snapshots from what they know then.
type cluster struct {
	log   *stream
	truth *Machine
	// decisions are truth's, by offset.
	decisions map[trial.Offset]Decision
	// seen tells which change IDs were decided.
	seen  map[string]bool
	nodes []*Machine
	ids   int
}

const propWindow = 12

func smallMachine() *Machine {
	m := NewMachine()
	m.window = propWindow
	return m
}

func (c *cluster) readTruth(t *rapid.T) {
	for int(c.truth.Next()) <= len(c.log.records) {
		if d := c.truth.Apply(c.log.records[c.truth.Next()-1]); d != nil {
			if d.Accepted && c.seen[d.Change.ID] {
				t.Fatalf("offset %d: a late copy of change %s holds", d.Offset, d.Change.ID)
			}
			c.decisions[d.Offset], c.seen[d.Change.ID] = *d, true
		}
	}
	if p := Validate(c.truth.Tables()); len(p) > 0 {
		t.Fatalf("tables in force are invalid: %v", p)
	}
}

// step lets node m read up to n records and checks each decision against truth's.
func (c *cluster) step(t *rapid.T, m *Machine, n int) {
	for range n {
		before := m.Revision()
		m.Missed(max(1, c.log.first))
		if int(m.Next()) > len(c.log.records) {
			return
		}
		d := m.Apply(c.log.records[m.Next()-1])
		if m.Revision() < before {
			t.Fatalf("revision went back from %d to %d", before, m.Revision())
		}
		if d == nil {
			continue
		}
		if want := c.decisions[d.Offset]; !reflect.DeepEqual(*d, want) {
			t.Fatalf("offset %d decided as\n%+v, by the reader of all as\n%+v", d.Offset, *d, want)
		}
	}
}

// encoded is a machine's state as a snapshot record carries it.
func encoded(t *rapid.T, m *Machine) string {
	raw, err := json.Marshal(m.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

var propNames = []string{"a", "b", "c"}

// write appends a change that node m derives from the tables that it knows.
func (c *cluster) write(t *rapid.T, m *Machine) {
	seen := m.Snapshot()
	next := Tables{Routes: append([]Route{}, seen.Tables.Routes...), Pools: append([]Pool{}, seen.Tables.Pools...)}
	for range rapid.IntRange(1, 2).Draw(t, "edits") {
		name := rapid.SampledFrom(propNames).Draw(t, "row")
		switch rapid.SampledFrom([]string{"pool", "route", "drop pool", "drop route"}).Draw(t, "edit") {
		case "pool":
			p := servicePool(name, 1+int(name[0]))
			p.ConcurrencyPerTarget = rapid.IntRange(0, 3).Draw(t, "limit")
			next.Pools, _ = put(next.Pools, name, p, poolName)
		case "route":
			next.Routes, _ = put(next.Routes, name, httpRoute(name, rapid.SampledFrom(propNames).Draw(t, "to")), routeName)
		case "drop pool":
			next.Pools, _ = put(next.Pools, name, nil, poolName)
		case "drop route":
			next.Routes, _ = put(next.Routes, name, nil, routeName)
		}
	}
	change := Diff(seen, next, fmt.Sprintf("op%d", c.ids))
	if len(change.Edits) == 0 {
		return
	}
	c.ids++
	change.ID = fmt.Sprintf("change%d", c.ids)
	rec, err := EncodeChange(change)
	if err != nil {
		t.Fatal(err)
	}
	c.log.append(rec)
}

func (c *cluster) snapshot(t *rapid.T, m *Machine) {
	rec, err := EncodeSnapshot(m.Snapshot(), fmt.Sprintf("snapshot%d", len(c.log.records)))
	if err != nil {
		t.Fatal(err)
	}
	c.log.append(rec)
}

func (c *cluster) actions() map[string]func(*rapid.T) {
	node := func(t *rapid.T) *Machine { return rapid.SampledFrom(c.nodes).Draw(t, "node") }
	ready := func(t *rapid.T) *Machine {
		m := node(t)
		if !m.Ready() {
			t.Skip("node knows nothing") // rapid draws another action
		}
		return m
	}
	return map[string]func(*rapid.T){
		"write": func(t *rapid.T) { c.write(t, ready(t)) },
		"copy": func(t *rapid.T) {
			if len(c.log.records) > 0 {
				r := c.log.records[rapid.IntRange(0, len(c.log.records)-1).Draw(t, "record")]
				c.log.append(trial.NewRecord{ID: r.ID, Data: r.Data})
			}
		},
		"junk": func(t *rapid.T) { c.log.append(trial.NewRecord{ID: "junk", Data: []byte(`{"format":1}`)}) },
		"snapshot": func(t *rapid.T) {
			c.snapshot(t, ready(t))
		},
		"read":    func(t *rapid.T) { c.step(t, node(t), rapid.IntRange(1, 8).Draw(t, "records")) },
		"replace": func(t *rapid.T) { c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node")] = smallMachine() },
		"fetch": func(t *rapid.T) {
			m := node(t)
			before := m.Revision()
			if m.Restore(ready(t).Snapshot()); m.Revision() < before {
				t.Fatalf("revision went back from %d to %d", before, m.Revision())
			}
		},
		"expire": func(t *rapid.T) {
			c.log.first = max(c.log.first, trial.Offset(rapid.IntRange(1, len(c.log.records)+1).Draw(t, "first")))
		},
		"": func(t *rapid.T) { c.readTruth(t) },
	}
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{log: &stream{}, truth: smallMachine(), decisions: map[trial.Offset]Decision{}, seen: map[string]bool{}, nodes: []*Machine{smallMachine(), smallMachine(), smallMachine()}}
	c.truth.Missed(1)
	c.step(t, c.nodes[0], 1)
	return c
}

// TestReadersDecideAlike drives nodes that race, restart, fetch snapshots from each other and lose
// old records: each decision of each equals that of a reader that has read all, and after a fresh
// snapshot all hold equal states.
func TestReadersDecideAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		t.Repeat(c.actions())
		c.snapshot(t, c.truth)
		c.readTruth(t)
		c.checkConverged(t)
	})
}

// checkConverged lets each node read to the end of the log and compares its state with truth's.
func (c *cluster) checkConverged(t *rapid.T) {
	for i, m := range c.nodes {
		c.step(t, m, 2*len(c.log.records)+2)
		if got, want := encoded(t, m), encoded(t, c.truth); !m.Ready() || m.Scanning() || got != want {
			t.Fatalf("node %d holds\n%s\nthe reader of all\n%s", i, got, want)
		}
	}
}

// TestStateOutlivesRetention lets records expire only up to the state of the snapshot that
// LastSnapshot names, as nodes that carry it forward in time ensure. Each node, also one that
// starts at any moment and one that was away, then gets to the newest state by reading alone.
func TestStateOutlivesRetention(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		actions := c.actions()
		actions["expire"] = func(t *rapid.T) {
			if last := c.truth.LastSnapshot(); last > 0 {
				c.log.first = max(c.log.first, trial.Offset(rapid.IntRange(1, int(c.stateOf(t, last))+1).Draw(t, "first")))
			}
		}
		actions["converge"] = func(t *rapid.T) { c.checkConverged(t) }
		t.Repeat(actions)
		c.checkConverged(t)
	})
}

// stateOf returns the revision of the snapshot record at offset at.
func (c *cluster) stateOf(t *rapid.T, at trial.Offset) trial.Offset {
	r, err := DecodeRecord(c.log.records[at-1].Data)
	if err != nil {
		t.Fatal(err)
	}
	return r.Snapshot.Revision
}
