package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/ibistrail/ibistrail/trial"
)

// decide judges a change read back at offset at: it holds if each edited row still has the
// revision that the edit names and the joined tables are valid.
func (m *Machine) decide(at trial.Offset, c *Change) (Tables, []Conflict, []Problem) {
	if p := m.checkBase(at, c); p != nil {
		return Tables{}, nil, p
	}
	var conflicts []Conflict
	for i := range c.Edits {
		if conflict := m.conflict(at, &c.Edits[i]); conflict != nil {
			conflicts = append(conflicts, *conflict)
		}
	}
	if len(conflicts) > 0 {
		return Tables{}, conflicts, nil
	}
	next, problems := join(m.state.Tables, c.Edits)
	if len(problems) == 0 {
		problems = validateRows(c.Edits)
	}
	if len(problems) == 0 {
		problems = validateJoins(&next)
	}
	return next, nil, problems
}

// checkBase refuses a change whose author saw tables from outside the window of remembered
// decisions: a late copy of a change that was decided long ago must not hold.
func (m *Machine) checkBase(at trial.Offset, c *Change) []Problem {
	if c.Base >= 0 && c.Base < at && at-c.Base <= m.window {
		return nil
	}
	return []Problem{{
		Path:    "/base",
		Message: fmt.Sprintf("the change was made against revision %d and read back at %d, which is not within %d offsets", c.Base, at, m.window),
		Remedy:  "get the tables again, redo the edit and apply it under a new change ID",
	}}
}

// conflict returns why e cannot replace its row, or nil.
func (m *Machine) conflict(at trial.Offset, e *Edit) *Conflict {
	row, exists := m.state.Rows[e.Key]
	known := exists
	if !exists {
		row, known = m.state.Deleted[e.Key]
	}
	if known && row.Revision == e.Replaces {
		return nil
	}
	if !known && e.Replaces <= max(0, at-m.window) {
		return nil // never there, or deleted before the window, which the author's Base lies in
	}
	return &Conflict{Key: e.Key, Now: row.Revision, By: row.By, Remedy: remedyFor(exists, e.Key)}
}

// remedyFor tells the author of an edit to a row that moved what to do.
func remedyFor(exists bool, key RowKey) string {
	table, name := key.Split()
	if exists {
		return fmt.Sprintf("run `ibisctl get %s %s`, redo the edit on that row and apply again", table, name)
	}
	return fmt.Sprintf("the row is not there any more; run `ibisctl get %s`, then apply again to add it or leave it out", table)
}

// join returns the tables with the edits made, rows in order of their names.
func join(t Tables, edits []Edit) (Tables, []Problem) {
	next := Tables{Routes: slices.Clone(t.Routes), Pools: slices.Clone(t.Pools)}
	for i := range edits {
		e := &edits[i]
		name, isRoute := strings.CutPrefix(string(e.Key), routesPrefix)
		var found bool
		if isRoute {
			next.Routes, found = put(next.Routes, name, e.Route, routeName)
		} else {
			next.Pools, found = put(next.Pools, strings.TrimPrefix(string(e.Key), poolsPrefix), e.Pool, poolName)
		}
		if e.Delete && !found {
			return Tables{}, []Problem{{Path: "/" + string(e.Key), Message: fmt.Sprintf("row %s is not there to be deleted", e.Key), Remedy: "leave the deletion out"}}
		}
	}
	return next, nil
}

// put replaces, adds or, if row is nil, removes the row called name in rows, which are sorted.
func put[R any](rows []R, name string, row *R, nameOf func(R) string) ([]R, bool) {
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

// sorted returns the tables with rows in order of their names.
func sorted(t Tables) Tables {
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
