package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/ibistrail/ibistrail/trial"
	"github.com/matryer/is"
)

func token(n int) string { return fmt.Sprintf("%064x", n) }

func servicePool(name string, port int) *Pool {
	return &Pool{Name: name, Kind: PoolServices, Targets: []Target{
		{Name: "t1", Address: fmt.Sprintf("10.0.0.1:%d", port), AvailabilityZone: "dixie-east-a"},
	}}
}

func httpRoute(name, pool string) *Route {
	return &Route{Name: name, Kind: RouteHTTP, Customer: "magnolia", PathPrefix: "/" + name, Pool: pool,
		Callers: []Caller{{Name: "editor", TokenSHA256: token(1)}}, TimeoutMs: 1000}
}

// stream is an in-memory log that retains its records from offset first on.
type stream struct {
	records []trial.Record
	first   trial.Offset
}

func (s *stream) append(r trial.NewRecord) trial.Offset {
	at := trial.Offset(len(s.records) + 1)
	s.records = append(s.records, trial.Record{Offset: at, ID: r.ID, Data: r.Data})
	return at
}

func (s *stream) appendChange(t testing.TB, c Change) trial.Offset {
	t.Helper()
	r, err := EncodeChange(c)
	if err != nil {
		t.Fatal(err)
	}
	return s.append(r)
}

func (s *stream) appendSnapshot(t testing.TB, snap Snapshot) trial.Offset {
	t.Helper()
	r, err := EncodeSnapshot(snap, fmt.Sprintf("snapshot-%d", len(s.records)))
	if err != nil {
		t.Fatal(err)
	}
	return s.append(r)
}

// readAll applies all retained records to m and returns its decisions.
func (s *stream) readAll(m *Machine) []Decision {
	var out []Decision
	for {
		m.SetFirstRetained(max(1, s.first))
		if int(m.Next()) > len(s.records) {
			return out
		}
		if d := m.Apply(s.records[m.Next()-1]); d != nil {
			out = append(out, *d)
		}
	}
}

// addRows returns a change that adds rows, each a *Pool or a *Route.
func addRows(id, author string, base trial.Offset, rows ...any) Change {
	c := Change{ID: id, Author: author, Base: base}
	for _, row := range rows {
		switch r := row.(type) {
		case *Pool:
			c.Edits = append(c.Edits, Edit{Key: PoolKey(r.Name), Pool: r})
		case *Route:
			c.Edits = append(c.Edits, Edit{Key: RouteKey(r.Name), Route: r})
		}
	}
	return c
}

// newStreamAndMachine returns a stream with one accepted change, which adds a pool and a route called
// desk, and a machine that has applied it.
func newStreamAndMachine(t testing.TB) (*stream, *Machine) {
	t.Helper()
	s, m := &stream{}, NewMachine()
	s.appendChange(t, addRows("c1", "ana", 0, servicePool("desk", 1), httpRoute("desk", "desk")))
	if d := s.readAll(m); len(d) != 1 || !d[0].Accepted {
		t.Fatalf("first change: %+v", d)
	}
	return s, m
}

func TestNewMachineIsReadyOnlyIfStreamStartsAtOffset1(t *testing.T) {
	is := is.New(t)
	m := NewMachine()
	is.True(!m.Ready())
	m.SetFirstRetained(1) // an empty stream
	is.True(m.Ready())
	is.Equal(m.Revision(), trial.Offset(0))
	late := NewMachine()
	late.SetFirstRetained(7)
	is.True(!late.Ready())
	is.Equal(late.Next(), trial.Offset(7))
	is.Equal(late.Apply(trial.Record{Offset: 9}), nil) // a record after a gap is ignored
	is.Equal(late.Next(), trial.Offset(7))
}

func TestRaceOnOneRowHasOneWinner(t *testing.T) {
	is := is.New(t)
	s, m := newStreamAndMachine(t)
	seen := m.Snapshot()
	for _, author := range []string{"ben", "cy"} {
		next := Overlay(seen.Tables, Tables{Pools: []Pool{*servicePool("desk", 2)}})
		if author == "cy" {
			next.Pools[0].ConcurrencyPerTarget = 4
		}
		c := Diff(seen, next, author)
		c.ID = author
		s.appendChange(t, c)
	}
	d := s.readAll(m)
	is.Equal(len(d), 2)
	is.True(d[0].Accepted)
	is.True(!d[1].Accepted)
	is.Equal(d[1].Conflicts[0].Key, PoolKey("desk"))
	is.Equal(d[1].Conflicts[0].Author, "ben")
	is.Equal(d[1].Conflicts[0].CurrentRevision, d[0].Offset)
	is.True(strings.Contains(d[1].Conflicts[0].Remedy, "ibisctl get pools desk"))
	is.Equal(m.Tables().Pool("desk").ConcurrencyPerTarget, 0)
}

func TestConcurrentChangesOfTwoRowsNeverGiveInvalidTables(t *testing.T) {
	is := is.New(t)
	s, m := newStreamAndMachine(t)
	s.appendChange(t, addRows("c2", "ana", m.Revision(), servicePool("spare", 3)))
	s.readAll(m)
	seen := m.Snapshot()
	// One operator moves a route to the spare pool while another deletes that pool.
	moveRoute := Diff(seen, Overlay(seen.Tables, Tables{Routes: []Route{*httpRoute("desk", "spare")}}), "ben")
	moveRoute.ID = "move"
	deletePool := Change{ID: "gone", Author: "cy", Base: seen.Revision, Edits: []Edit{{Key: PoolKey("spare"), Replaces: 2, Delete: true}}}
	s.appendChange(t, moveRoute)
	s.appendChange(t, deletePool)
	d := s.readAll(m)
	is.True(d[0].Accepted)
	is.True(!d[1].Accepted)
	is.Equal(d[1].Problems[0].Path, "/routes/0/pool")
	is.True(m.Tables().Pool("spare") != nil)
}

func TestChangeWithOneInvalidEditIsRejectedAsAWhole(t *testing.T) {
	is := is.New(t)
	s, m := newStreamAndMachine(t)
	before := m.Snapshot().Tables
	s.appendChange(t, addRows("c2", "ben", 1, servicePool("new", 4), httpRoute("other", "missing")))
	d := s.readAll(m)
	is.True(!d[0].Accepted)
	is.Equal(m.Snapshot().Tables, before)
}

func TestDeletedRowIsNotBroughtBackByAnOldEdit(t *testing.T) {
	is := is.New(t)
	s, m := newStreamAndMachine(t)
	seen := m.Snapshot()
	s.appendChange(t, Change{ID: "del", Author: "ben", Base: 1, Edits: []Edit{{Key: RouteKey("desk"), Replaces: 1, Delete: true}}})
	edit := Diff(seen, Overlay(seen.Tables, Tables{Routes: []Route{{Name: "desk", Kind: RouteHTTP, Customer: "magnolia", PathPrefix: "/x", Pool: "desk", Callers: httpRoute("desk", "desk").Callers, TimeoutMs: 5}}}), "cy")
	edit.ID = "edit"
	s.appendChange(t, edit)
	unawareAdd := addRows("blind", "dee", 1, httpRoute("desk", "desk"))
	s.appendChange(t, unawareAdd)
	d := s.readAll(m)
	is.True(d[0].Accepted)
	is.True(!d[1].Accepted)
	is.Equal(d[1].Conflicts[0].Author, "ben")
	is.True(!d[2].Accepted) // its author has not seen the deletion
	awareAdd := Diff(m.Snapshot(), Overlay(m.Snapshot().Tables, Tables{Routes: []Route{*httpRoute("desk", "desk")}}), "eve")
	awareAdd.ID = "again"
	s.appendChange(t, awareAdd)
	is.True(s.readAll(m)[0].Accepted)
}

func TestCopyOfRejectedChangeIsNeverAccepted(t *testing.T) {
	is := is.New(t)
	s, m := newStreamAndMachine(t)
	dangling := addRows("route", "ben", 1, httpRoute("menu", "menu"))
	s.appendChange(t, dangling)
	s.appendChange(t, addRows("pool", "cy", 1, servicePool("menu", 5)))
	d := s.readAll(m)
	is.True(!d[0].Accepted)
	is.True(d[1].Accepted)
	s.appendChange(t, dangling) // the append was retried after its response was lost
	is.Equal(len(s.readAll(m)), 0)
	is.Equal(m.Stats().Duplicates, int64(1))
	is.True(m.Tables().Route("menu") == nil)
	got, ok := m.Lookup("route")
	is.True(ok)
	is.True(!got.Accepted)
	for i := range DecisionWindow { // after the window, the check of Base rejects it
		s.append(trial.NewRecord{ID: fmt.Sprint("filler", i), Data: []byte(`{}`)})
	}
	s.appendChange(t, dangling)
	d = s.readAll(m)
	is.Equal(len(d), 1)
	is.Equal(d[0].Problems[0].Path, "/base")
	is.True(m.Tables().Route("menu") == nil)
}

func TestNewerAndMalformedRecordsAreNotApplied(t *testing.T) {
	is := is.New(t)
	s, m := newStreamAndMachine(t)
	for i, data := range []string{
		`{"format":2,"type":"change","novel":true}`, `{"format":1,"type":"change","change":{"id":"x"}}`, `{"format":1,"type":"change"}`,
		`not json`, `null`, `{"format":1,"type":"change","change":{"id":"x","author":"a","base":0,"edits":[],"novel":1}}`, `{"format":0}`,
	} {
		s.append(trial.NewRecord{ID: fmt.Sprint("odd", i), Data: []byte(data)})
	}
	is.Equal(len(s.readAll(m)), 0)
	is.Equal(m.Stats().Newer, int64(1))
	is.Equal(m.Stats().Malformed, int64(6))
	is.True(m.Snapshot().Incomplete) // the tables may lack the newer change
	fresh := NewMachine()
	is.True(fresh.Restore(m.Snapshot()))
	is.True(fresh.Snapshot().Incomplete)
	s.appendChange(t, addRows("c2", "ben", 1, servicePool("next", 6)))
	is.True(s.readAll(m)[0].Accepted)
}

func TestRestoreRejectsOlderSnapshot(t *testing.T) {
	is := is.New(t)
	s, m := newStreamAndMachine(t)
	old := m.Snapshot()
	s.appendChange(t, addRows("c2", "ben", 1, servicePool("next", 6)))
	s.readAll(m)
	is.True(!m.Restore(old))
	is.True(!m.Restore(m.Snapshot()))
	node := NewMachine()
	is.True(node.Restore(old)) // from a peer that has read less
	is.Equal(node.Next(), trial.Offset(2))
	is.Equal(len(s.readAll(node)), 1)
	is.Equal(node.Snapshot(), m.Snapshot())
	broken := m.Snapshot()
	broken.Revision, broken.Rows = 99, nil
	is.True(!node.Restore(broken))
}

func TestTablesStayInForceWhileRecordsAreMissing(t *testing.T) {
	is := is.New(t)
	s, m := newStreamAndMachine(t)
	behind := NewMachine()
	s.readAll(behind)
	s.appendChange(t, addRows("c2", "ben", 1, servicePool("p2", 2)))
	s.appendChange(t, addRows("c3", "ben", 1, servicePool("p3", 3)))
	s.readAll(m)
	s.first = 3 // record 2 has expired
	s.readAll(behind)
	is.True(behind.Ready())
	is.True(behind.Scanning())
	is.Equal(behind.Revision(), trial.Offset(1))
	is.True(behind.Tables().Pool("desk") != nil)
	is.Equal(behind.Stats().Undecided, int64(1))
	s.appendSnapshot(t, m.Snapshot())
	s.readAll(m)
	s.readAll(behind)
	is.True(!behind.Scanning())
	is.Equal(behind.Snapshot(), m.Snapshot())
}

func TestLastSnapshotIgnoresSnapshotOfOlderState(t *testing.T) {
	is := is.New(t)
	s, m := newStreamAndMachine(t)
	old := m.Snapshot()
	s.appendChange(t, addRows("c2", "ben", 1, servicePool("next", 6)))
	s.readAll(m)
	at := s.appendSnapshot(t, m.Snapshot())
	s.appendSnapshot(t, old) // by a node that was paused
	s.readAll(m)
	is.Equal(m.LastSnapshot(), at)
	newer := s.append(trial.NewRecord{ID: "n", Data: []byte(`{"format":2,"type":"snapshot"}`)})
	s.readAll(m)
	is.Equal(m.LastSnapshot(), newer) // newer nodes preserve the state with it
	is.True(!m.Snapshot().Incomplete)
}

func TestChangedSinceReportsEditedAndDeletedRows(t *testing.T) {
	is := is.New(t)
	s, m := newStreamAndMachine(t)
	old := m.Snapshot()
	s.appendChange(t, Change{ID: "del", Author: "ben", Base: 1, Edits: []Edit{{Key: RouteKey("desk"), Replaces: 1, Delete: true}}})
	s.readAll(m)
	edit := Diff(m.Snapshot(), old.Tables, "ana") // from a file of revision 1
	is.Equal(len(edit.Edits), 1)
	is.Equal(len(ChangedSince(m.Snapshot(), 2, edit)), 0)
	c := ChangedSince(m.Snapshot(), 1, edit)
	is.Equal(len(c), 1)
	is.Equal(c[0].Author, "ben")
	for i := range DecisionWindow + 1 { // the deletion is forgotten
		s.append(trial.NewRecord{ID: fmt.Sprint("filler", i), Data: []byte(`{}`)})
	}
	s.readAll(m)
	is.Equal(len(m.Snapshot().Deleted), 0)
	c = ChangedSince(m.Snapshot(), 1, edit)
	is.Equal(len(c), 1)
	is.True(strings.Contains(c[0].Remedy, "may have been deleted"))
}
