package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/ibistrail/ibistrail/trial"
)

// decide decides the change c, read back at offset. It is accepted if each edited row still has the
// revision that its edit names and the resulting tables are valid; otherwise decide returns the
// conflicts or the problems.
func (m *Machine) decide(offset trial.Offset, c *Change) (Tables, []Conflict, []Problem) {
	if p := m.checkBase(offset, c); p != nil {
		return Tables{}, nil, p
	}
	var conflicts []Conflict
	for i := range c.Edits {
		if conflict := m.findConflict(offset, &c.Edits[i]); conflict != nil {
			conflicts = append(conflicts, *conflict)
		}
	}
	if len(conflicts) > 0 {
		return Tables{}, conflicts, nil
	}
	next, problems := applyEdits(m.state.Tables, c.Edits)
	if len(problems) == 0 {
		problems = validateRows(c.Edits)
	}
	if len(problems) == 0 {
		problems = validateTables(&next)
	}
	return next, nil, problems
}

// checkBase rejects a change whose Base lies outside the window of remembered decisions. A copy of
// a decided change may be appended after its decision was forgotten, and must not be accepted then.
func (m *Machine) checkBase(offset trial.Offset, c *Change) []Problem {
	if c.Base >= 0 && c.Base < offset && offset-c.Base <= m.window {
		return nil
	}
	return []Problem{{
		Path:    "/base",
		Message: fmt.Sprintf("the change was made against revision %d and read back at %d, which is not within %d offsets", c.Base, offset, m.window),
		Remedy:  "get the tables again, redo the edit and apply it under a new change ID",
	}}
}

// findConflict returns why e, read back at offset, cannot replace its row, or nil.
func (m *Machine) findConflict(offset trial.Offset, e *Edit) *Conflict {
	row, exists := m.state.Rows[e.Key]
	known := exists
	if !exists {
		row, known = m.state.Deleted[e.Key]
	}
	if known && row.Revision == e.Replaces {
		return nil
	}
	if !known && e.Replaces <= max(0, offset-m.window) {
		return nil // the row never existed or was deleted before the window, and so before the change's Base
	}
	return &Conflict{Key: e.Key, CurrentRevision: row.Revision, Author: row.Author, Remedy: conflictRemedy(exists, e.Key)}
}

// conflictRemedy returns what the author of an edit can do after another change has edited or
// deleted the row; exists reports whether the row still exists.
func conflictRemedy(exists bool, key RowKey) string {
	table, name := key.Split()
	if exists {
		return fmt.Sprintf("run `ibisctl get %s %s`, redo the edit on that row and apply again", table, name)
	}
	return fmt.Sprintf("the row is not there any more; run `ibisctl get %s`, then apply again to add it or leave it out", table)
}

// applyEdits returns a copy of t with the edits applied and rows sorted by name. The rows of t must
// be sorted. Deleting a row that does not exist is a problem.
func applyEdits(t Tables, edits []Edit) (Tables, []Problem) {
	next := Tables{Routes: slices.Clone(t.Routes), Pools: slices.Clone(t.Pools)}
	for i := range edits {
		e := &edits[i]
		name, isRoute := strings.CutPrefix(string(e.Key), routesPrefix)
		var found bool
		if isRoute {
			next.Routes, found = putRow(next.Routes, name, e.Route, routeName)
		} else {
			next.Pools, found = putRow(next.Pools, strings.TrimPrefix(string(e.Key), poolsPrefix), e.Pool, poolName)
		}
		if e.Delete && !found {
			return Tables{}, []Problem{{Path: "/" + string(e.Key), Message: fmt.Sprintf("row %s is not there to be deleted", e.Key), Remedy: "leave the deletion out"}}
		}
	}
	return next, nil
}

// putRow replaces or inserts the named row in rows, which are sorted by name, or deletes it if row is
// nil. It modifies rows and returns the result and whether the row existed.
func putRow[R any](rows []R, name string, row *R, nameOf func(R) string) ([]R, bool) {
	i, found := slices.BinarySearchFunc(rows, name, func(r R, n string) int { return strings.Compare(nameOf(r), n) })
	switch {
	case found && row != nil:
		rows[i] = *row
	case found:
		rows = slices.Delete(rows, i, i+1)
	case row != nil:
		rows = slices.Insert(rows, i, *row)
	}
	return rows, found
}

func routeName(r Route) string { return r.Name }
func poolName(p Pool) string   { return p.Name }

// sortedTables returns a copy of t with rows sorted by name and without nil lists.
func sortedTables(t Tables) Tables {
	s := Tables{Routes: slices.Clone(t.Routes), Pools: slices.Clone(t.Pools)}
	slices.SortFunc(s.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Pools, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	if s.Routes == nil {
		s.Routes = []Route{}
	}
	if s.Pools == nil {
		s.Pools = []Pool{}
	}
	return s
}
