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

// stream is a log in memory whose records from first on are retained.
type stream struct {
	records []trial.Record
	first   trial.Offset
}

func (s *stream) append(r trial.NewRecord) trial.Offset {
	at := trial.Offset(len(s.records) + 1)
	s.records = append(s.records, trial.Record{Offset: at, ID: r.ID, Data: r.Data})
	return at
}

func (s *stream) change(t testing.TB, c Change) trial.Offset {
	t.Helper()
	r, err := EncodeChange(c)
	if err != nil {
		t.Fatal(err)
	}
	return s.append(r)
}

func (s *stream) snapshot(t testing.TB, snap Snapshot) trial.Offset {
	t.Helper()
	r, err := EncodeSnapshot(snap, fmt.Sprintf("snapshot-%d", len(s.records)))
	if err != nil {
		t.Fatal(err)
	}
	return s.append(r)
}

// read lets m read all that is retained and returns its decisions.
func (s *stream) read(m *Machine) []Decision {
	var out []Decision
	for {
		m.Missed(max(1, s.first))
		if int(m.Next()) > len(s.records) {
			return out
		}
		if d := m.Apply(s.records[m.Next()-1]); d != nil {
			out = append(out, *d)
		}
	}
}

func add(id, author string, base trial.Offset, rows ...any) Change {
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

func started(t testing.TB) (*stream, *Machine) {
	t.Helper()
	s, m := &stream{}, NewMachine()
	s.change(t, add("c1", "ana", 0, servicePool("desk", 1), httpRoute("desk", "desk")))
	if d := s.read(m); len(d) != 1 || !d[0].Accepted {
		t.Fatalf("first change: %+v", d)
	}
	return s, m
}

func TestNewMachineIsReadyOnlyWithTheWholeStream(t *testing.T) {
	is := is.New(t)
	m := NewMachine()
	is.True(!m.Ready())
	m.Missed(1) // an empty stream
	is.True(m.Ready())
	is.Equal(m.Revision(), trial.Offset(0))
	late := NewMachine()
	late.Missed(7)
	is.True(!late.Ready())
	is.Equal(late.Next(), trial.Offset(7))
	is.Equal(late.Apply(trial.Record{Offset: 9}), nil) // a gap is not passed over
	is.Equal(late.Next(), trial.Offset(7))
}

func TestRaceOnOneRowHasOneWinner(t *testing.T) {
	is := is.New(t)
	s, m := started(t)
	seen := m.Snapshot()
	for _, author := range []string{"ben", "cy"} {
		next := Overlay(seen.Tables, Tables{Pools: []Pool{*servicePool("desk", 2)}})
		if author == "cy" {
			next.Pools[0].ConcurrencyPerTarget = 4
		}
		c := Diff(seen, next, author)
		c.ID = author
		s.change(t, c)
	}
	d := s.read(m)
	is.Equal(len(d), 2)
	is.True(d[0].Accepted)
	is.True(!d[1].Accepted)
	is.Equal(d[1].Conflicts[0].Key, PoolKey("desk"))
	is.Equal(d[1].Conflicts[0].By, "ben")
	is.Equal(d[1].Conflicts[0].Now, d[0].Offset)
	is.True(strings.Contains(d[1].Conflicts[0].Remedy, "ibisctl get pools desk"))
	is.Equal(m.Tables().Pool("desk").ConcurrencyPerTarget, 0)
}

func TestRaceOnTwoRowsNeverJoinsBadly(t *testing.T) {
	is := is.New(t)
	s, m := started(t)
	s.change(t, add("c2", "ana", m.Revision(), servicePool("spare", 3)))
	s.read(m)
	seen := m.Snapshot()
	// One operator moves a route to the spare pool while another deletes that pool.
	move := Diff(seen, Overlay(seen.Tables, Tables{Routes: []Route{*httpRoute("desk", "spare")}}), "ben")
	move.ID = "move"
	gone := Change{ID: "gone", Author: "cy", Base: seen.Revision, Edits: []Edit{{Key: PoolKey("spare"), Replaces: 2, Delete: true}}}
	s.change(t, move)
	s.change(t, gone)
	d := s.read(m)
	is.True(d[0].Accepted)
	is.True(!d[1].Accepted)
	is.Equal(d[1].Problems[0].Path, "/routes/0/pool")
	is.True(m.Tables().Pool("spare") != nil)
}

func TestChangeHoldsWholeOrNotAtAll(t *testing.T) {
	is := is.New(t)
	s, m := started(t)
	before := m.Snapshot().Tables
	s.change(t, add("c2", "ben", 1, servicePool("new", 4), httpRoute("other", "missing")))
	d := s.read(m)
	is.True(!d[0].Accepted)
	is.Equal(m.Snapshot().Tables, before)
}

func TestDeletedRowIsNotBroughtBackByAnOldEdit(t *testing.T) {
	is := is.New(t)
	s, m := started(t)
	seen := m.Snapshot()
	s.change(t, Change{ID: "del", Author: "ben", Base: 1, Edits: []Edit{{Key: RouteKey("desk"), Replaces: 1, Delete: true}}})
	edit := Diff(seen, Overlay(seen.Tables, Tables{Routes: []Route{{Name: "desk", Kind: RouteHTTP, Customer: "magnolia", PathPrefix: "/x", Pool: "desk", Callers: httpRoute("desk", "desk").Callers, TimeoutMs: 5}}}), "cy")
	edit.ID = "edit"
	s.change(t, edit)
	blind := add("blind", "dee", 1, httpRoute("desk", "desk"))
	s.change(t, blind)
	d := s.read(m)
	is.True(d[0].Accepted)
	is.True(!d[1].Accepted)
	is.Equal(d[1].Conflicts[0].By, "ben")
	is.True(!d[2].Accepted) // adds without having seen the deletion
	again := Diff(m.Snapshot(), Overlay(m.Snapshot().Tables, Tables{Routes: []Route{*httpRoute("desk", "desk")}}), "eve")
	again.ID = "again"
	s.change(t, again)
	is.True(s.read(m)[0].Accepted)
}

func TestSecondCopyOfARejectedChangeNeverHolds(t *testing.T) {
	is := is.New(t)
	s, m := started(t)
	dangling := add("route", "ben", 1, httpRoute("menu", "menu"))
	s.change(t, dangling)
	s.change(t, add("pool", "cy", 1, servicePool("menu", 5)))
	d := s.read(m)
	is.True(!d[0].Accepted)
	is.True(d[1].Accepted)
	s.change(t, dangling) // its append was repeated after a lost answer
	is.Equal(len(s.read(m)), 0)
	is.Equal(m.Stats().Duplicates, int64(1))
	is.True(m.Tables().Route("menu") == nil)
	got, ok := m.Lookup("route")
	is.True(ok)
	is.True(!got.Accepted)
	for i := range DecidedWindow { // past the window, the Base is what keeps it out
		s.append(trial.NewRecord{ID: fmt.Sprint("filler", i), Data: []byte(`{}`)})
	}
	s.change(t, dangling)
	d = s.read(m)
	is.Equal(len(d), 1)
	is.Equal(d[0].Problems[0].Path, "/base")
	is.True(m.Tables().Route("menu") == nil)
}

func TestRecordsNotUnderstoodStayOutOfForce(t *testing.T) {
	is := is.New(t)
	s, m := started(t)
	for i, data := range []string{
		`{"format":2,"type":"change","novel":true}`, `{"format":1,"type":"change","change":{"id":"x"}}`, `{"format":1,"type":"change"}`,
		`not json`, `null`, `{"format":1,"type":"change","change":{"id":"x","author":"a","base":0,"edits":[],"novel":1}}`, `{"format":0}`,
	} {
		s.append(trial.NewRecord{ID: fmt.Sprint("odd", i), Data: []byte(data)})
	}
	is.Equal(len(s.read(m)), 0)
	is.Equal(m.Stats().Newer, int64(1))
	is.Equal(m.Stats().Malformed, int64(6))
	is.True(m.Snapshot().Incomplete) // its tables may lack the newer change
	fresh := NewMachine()
	is.True(fresh.Restore(m.Snapshot()))
	is.True(fresh.Snapshot().Incomplete)
	s.change(t, add("c2", "ben", 1, servicePool("next", 6)))
	is.True(s.read(m)[0].Accepted)
}

func TestRestoreOnlyGoesForward(t *testing.T) {
	is := is.New(t)
	s, m := started(t)
	old := m.Snapshot()
	s.change(t, add("c2", "ben", 1, servicePool("next", 6)))
	s.read(m)
	is.True(!m.Restore(old))
	is.True(!m.Restore(m.Snapshot()))
	node := NewMachine()
	is.True(node.Restore(old)) // from a peer that is behind
	is.Equal(node.Next(), trial.Offset(2))
	is.Equal(len(s.read(node)), 1)
	is.Equal(node.Snapshot(), m.Snapshot())
	broken := m.Snapshot()
	broken.Revision, broken.Rows = 99, nil
	is.True(!node.Restore(broken))
}

func TestStateStaysInForceWhileRecordsAreMissing(t *testing.T) {
	is := is.New(t)
	s, m := started(t)
	behind := NewMachine()
	s.read(behind)
	s.change(t, add("c2", "ben", 1, servicePool("p2", 2)))
	s.change(t, add("c3", "ben", 1, servicePool("p3", 3)))
	s.read(m)
	s.first = 3 // record 2 has gone
	s.read(behind)
	is.True(behind.Ready())
	is.True(behind.Scanning())
	is.Equal(behind.Revision(), trial.Offset(1))
	is.True(behind.Tables().Pool("desk") != nil)
	is.Equal(behind.Stats().Undecided, int64(1))
	s.snapshot(t, m.Snapshot())
	s.read(m)
	s.read(behind)
	is.True(!behind.Scanning())
	is.Equal(behind.Snapshot(), m.Snapshot())
}

func TestLastSnapshotIsOneThatCarriesTheStateForward(t *testing.T) {
	is := is.New(t)
	s, m := started(t)
	old := m.Snapshot()
	s.change(t, add("c2", "ben", 1, servicePool("next", 6)))
	s.read(m)
	at := s.snapshot(t, m.Snapshot())
	s.snapshot(t, old) // by a node that was paused
	s.read(m)
	is.Equal(m.LastSnapshot(), at)
	newer := s.append(trial.NewRecord{ID: "n", Data: []byte(`{"format":2,"type":"snapshot"}`)})
	s.read(m)
	is.Equal(m.LastSnapshot(), newer) // newer nodes carry it forward
	is.True(!m.Snapshot().Incomplete)
}

func TestMovedSince(t *testing.T) {
	is := is.New(t)
	s, m := started(t)
	old := m.Snapshot()
	s.change(t, Change{ID: "del", Author: "ben", Base: 1, Edits: []Edit{{Key: RouteKey("desk"), Replaces: 1, Delete: true}}})
	s.read(m)
	edit := Diff(m.Snapshot(), old.Tables, "ana") // from a file of revision 1
	is.Equal(len(edit.Edits), 1)
	is.Equal(len(MovedSince(m.Snapshot(), 2, edit)), 0)
	c := MovedSince(m.Snapshot(), 1, edit)
	is.Equal(len(c), 1)
	is.Equal(c[0].By, "ben")
	for i := range DecidedWindow + 1 { // the deletion is forgotten
		s.append(trial.NewRecord{ID: fmt.Sprint("filler", i), Data: []byte(`{}`)})
	}
	s.read(m)
	is.Equal(len(m.Snapshot().Deleted), 0)
	c = MovedSince(m.Snapshot(), 1, edit)
	is.Equal(len(c), 1)
	is.True(strings.Contains(c[0].Remedy, "may have been deleted"))
}
