package config

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/ibistrail/ibistrail/trial"
)

// FuzzTables checks that any document is either rejected, each problem with a message and a remedy, or
// gives valid tables that are unchanged by encoding and can be applied.
func FuzzTables(f *testing.F) {
	f.Add([]byte(validTables))
	f.Fuzz(func(t *testing.T, data []byte) {
		tables, problems := ParseTables(data)
		if (tables == nil) != (len(problems) > 0) {
			t.Fatalf("tables %v with problems %v", tables, problems)
		}
		for _, p := range problems {
			if p.Message == "" || p.Remedy == "" {
				t.Fatalf("problem without message or remedy: %+v", p)
			}
		}
		if tables == nil {
			return
		}
		if p := Validate(tables); len(p) > 0 {
			t.Fatalf("parsed tables are invalid: %v", p)
		}
		raw, err := json.Marshal(tables)
		if err != nil {
			t.Fatal(err)
		}
		reparsed, p := ParseTables(raw)
		if len(p) > 0 || len(Diff(Snapshot{Tables: *tables}, *reparsed, "").Edits) > 0 {
			t.Fatalf("encoding changed the tables: %v", p)
		}
		applyAll(t, tables)
	})
}

// applyAll checks that a change which adds all rows of tables is accepted.
func applyAll(t *testing.T, tables *Tables) {
	m := NewMachine()
	c := Diff(m.Snapshot(), *tables, "fuzz")
	if c.ID = "fuzz"; len(c.Edits) == 0 || len(c.Edits) > MaxEdits {
		return
	}
	rec, err := EncodeChange(c)
	if err != nil {
		t.Fatal(err)
	}
	d := m.Apply(trial.Record{Offset: 1, ID: rec.ID, Data: rec.Data})
	if d == nil || !d.Accepted {
		t.Fatalf("valid tables were not accepted: %+v", d)
	}
}

// FuzzRecord checks that a machine continues after a record with any content, that its tables stay
// valid, and that a snapshot of it restores the same state.
func FuzzRecord(f *testing.F) {
	first, err := EncodeChange(addRows("c1", "ana", 0, servicePool("desk", 1), httpRoute("desk", "desk")))
	if err != nil {
		f.Fatal(err)
	}
	f.Add("c1", []byte(first.Data))
	f.Fuzz(func(t *testing.T, id string, data []byte) {
		m := NewMachine()
		m.Apply(trial.Record{Offset: 1, ID: first.ID, Data: first.Data})
		before := m.Snapshot()
		d := m.Apply(trial.Record{Offset: 2, ID: id, Data: data})
		if m.Revision() != 2 || m.Next() != 3 {
			t.Fatalf("revision %d, next %d after record 2", m.Revision(), m.Next())
		}
		after := m.Snapshot()
		if (d == nil || !d.Accepted) && !reflect.DeepEqual(before.Tables, after.Tables) {
			t.Fatalf("tables changed without an accepted change: %+v", d)
		}
		if p := Validate(&after.Tables); len(p) > 0 {
			t.Fatalf("tables in force are invalid: %v", p)
		}
		fresh := NewMachine()
		if !fresh.Restore(after) || !reflect.DeepEqual(fresh.Tables(), m.Tables()) {
			t.Fatalf("a snapshot does not restore the state")
		}
		scanning := NewMachine()
		scanning.SetFirstRetained(2)
		scanning.Apply(trial.Record{Offset: 2, ID: id, Data: data})
		if scanning.Ready() && scanning.Next() > 2 {
			t.Fatalf("ready without the records after the snapshot: next %d", scanning.Next())
		}
	})
}
