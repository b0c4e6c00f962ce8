package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"github.com/ibistrail/ibistrail/trial"
	"pgregory.net/rapid"
)

// cluster is a log, a reference reader that has read all of it, and nodes that restart and read at
// any time and append changes and snapshots based on their own state.
type cluster struct {
	log       *stream
	reference *Machine
	// decisions are those of reference, by offset.
	decisions map[trial.Offset]Decision
	// decidedIDs holds the IDs of all decided changes.
	decidedIDs  map[string]bool
	nodes       []*Machine
	changeCount int
}

const propWindow = 12

func newSmallWindowMachine() *Machine {
	m := NewMachine()
	m.window = propWindow
	return m
}

// readReference lets the reference reader read all records. It fails if a copy of a decided change is
// accepted or the tables become invalid.
func (c *cluster) readReference(t *rapid.T) {
	for int(c.reference.Next()) <= len(c.log.records) {
		if d := c.reference.Apply(c.log.records[c.reference.Next()-1]); d != nil {
			if d.Accepted && c.decidedIDs[d.Change.ID] {
				t.Fatalf("offset %d: a copy of change %s was accepted after the change was decided", d.Offset, d.Change.ID)
			}
			c.decisions[d.Offset], c.decidedIDs[d.Change.ID] = *d, true
		}
	}
	if p := Validate(c.reference.Tables()); len(p) > 0 {
		t.Fatalf("tables in force are invalid: %v", p)
	}
}

// readRecords lets node m read up to n records and compares each decision with that of reference.
func (c *cluster) readRecords(t *rapid.T, m *Machine, n int) {
	for range n {
		before := m.Revision()
		m.SetFirstRetained(max(1, c.log.first))
		if int(m.Next()) > len(c.log.records) {
			return
		}
		d := m.Apply(c.log.records[m.Next()-1])
		if m.Revision() < before {
			t.Fatalf("revision decreased from %d to %d", before, m.Revision())
		}
		if d == nil {
			continue
		}
		if want := c.decisions[d.Offset]; !reflect.DeepEqual(*d, want) {
			t.Fatalf("offset %d: got decision\n%+v\nwant that of the reference reader\n%+v", d.Offset, *d, want)
		}
	}
}

// encodedSnapshot returns the state of m as it is encoded in a snapshot record.
func encodedSnapshot(t *rapid.T, m *Machine) string {
	raw, err := json.Marshal(m.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

var propRowNames = []string{"a", "b", "c"}

// appendChange appends a random change of the tables of node m.
func (c *cluster) appendChange(t *rapid.T, m *Machine) {
	seen := m.Snapshot()
	next := Tables{Routes: append([]Route{}, seen.Tables.Routes...), Pools: append([]Pool{}, seen.Tables.Pools...)}
	for range rapid.IntRange(1, 2).Draw(t, "edits") {
		name := rapid.SampledFrom(propRowNames).Draw(t, "row")
		switch rapid.SampledFrom([]string{"pool", "route", "drop pool", "drop route"}).Draw(t, "edit") {
		case "pool":
			p := servicePool(name, 1+int(name[0]))
			p.ConcurrencyPerTarget = rapid.IntRange(0, 3).Draw(t, "limit")
			next.Pools, _ = putRow(next.Pools, name, p, poolName)
		case "route":
			next.Routes, _ = putRow(next.Routes, name, httpRoute(name, rapid.SampledFrom(propRowNames).Draw(t, "to")), routeName)
		case "drop pool":
			next.Pools, _ = putRow(next.Pools, name, nil, poolName)
		case "drop route":
			next.Routes, _ = putRow(next.Routes, name, nil, routeName)
		}
	}
	change := Diff(seen, next, fmt.Sprintf("op%d", c.changeCount))
	if len(change.Edits) == 0 {
		return
	}
	c.changeCount++
	change.ID = fmt.Sprintf("change%d", c.changeCount)
	rec, err := EncodeChange(change)
	if err != nil {
		t.Fatal(err)
	}
	c.log.append(rec)
}

func (c *cluster) appendSnapshot(t *rapid.T, m *Machine) {
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
			t.Skip("node is not ready") // rapid draws another action
		}
		return m
	}
	return map[string]func(*rapid.T){
		"write": func(t *rapid.T) { c.appendChange(t, ready(t)) },
		"copy": func(t *rapid.T) {
			if len(c.log.records) > 0 {
				r := c.log.records[rapid.IntRange(0, len(c.log.records)-1).Draw(t, "record")]
				c.log.append(trial.NewRecord{ID: r.ID, Data: r.Data})
			}
		},
		"junk": func(t *rapid.T) { c.log.append(trial.NewRecord{ID: "junk", Data: []byte(`{"format":1}`)}) },
		"snapshot": func(t *rapid.T) {
			c.appendSnapshot(t, ready(t))
		},
		"read":    func(t *rapid.T) { c.readRecords(t, node(t), rapid.IntRange(1, 8).Draw(t, "records")) },
		"replace": func(t *rapid.T) { c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node")] = newSmallWindowMachine() },
		"fetch": func(t *rapid.T) {
			m := node(t)
			before := m.Revision()
			if m.Restore(ready(t).Snapshot()); m.Revision() < before {
				t.Fatalf("revision decreased from %d to %d", before, m.Revision())
			}
		},
		"expire": func(t *rapid.T) {
			c.log.first = max(c.log.first, trial.Offset(rapid.IntRange(1, len(c.log.records)+1).Draw(t, "first")))
		},
		"": func(t *rapid.T) { c.readReference(t) },
	}
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{log: &stream{}, reference: newSmallWindowMachine(), decisions: map[trial.Offset]Decision{}, decidedIDs: map[string]bool{}, nodes: []*Machine{newSmallWindowMachine(), newSmallWindowMachine(), newSmallWindowMachine()}}
	c.reference.SetFirstRetained(1)
	c.readRecords(t, c.nodes[0], 1)
	return c
}

// TestReadersMakeEqualDecisions runs nodes that append concurrently, restart, fetch snapshots from each
// other and lose old records. Each decision must equal that of a reader that has read all records, and
// after a new snapshot all nodes must have equal states.
func TestReadersMakeEqualDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		t.Repeat(c.actions())
		c.appendSnapshot(t, c.reference)
		c.readReference(t)
		c.checkConverged(t)
	})
}

// checkConverged lets each node read to the end of the log and compares its state with that of
// reference.
func (c *cluster) checkConverged(t *rapid.T) {
	for i, m := range c.nodes {
		c.readRecords(t, m, 2*len(c.log.records)+2)
		if got, want := encodedSnapshot(t, m), encodedSnapshot(t, c.reference); !m.Ready() || m.Scanning() || got != want {
			t.Fatalf("got state of node %d\n%s\nwant that of the reference reader\n%s", i, got, want)
		}
	}
}

// TestStateOutlivesRetention lets records expire only up to the state in the snapshot at
// LastSnapshot, which holds if nodes append snapshots in time. Each node, including one that starts or
// resumes at any moment, must then reach the newest state by reading the log alone.
func TestStateOutlivesRetention(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		actions := c.actions()
		actions["expire"] = func(t *rapid.T) {
			if last := c.reference.LastSnapshot(); last > 0 {
				c.log.first = max(c.log.first, trial.Offset(rapid.IntRange(1, int(c.snapshotRevision(t, last))+1).Draw(t, "first")))
			}
		}
		actions["converge"] = func(t *rapid.T) { c.checkConverged(t) }
		t.Repeat(actions)
		c.checkConverged(t)
	})
}

// snapshotRevision returns the revision in the snapshot record at offset.
func (c *cluster) snapshotRevision(t *rapid.T, offset trial.Offset) trial.Offset {
	r, err := DecodeRecord(c.log.records[offset-1].Data)
	if err != nil {
		t.Fatal(err)
	}
	return r.Snapshot.Revision
}
