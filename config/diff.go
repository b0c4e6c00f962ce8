package config

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/ibistrail/ibistrail/trial"
)

const (
	routesPrefix = "routes/"
	poolsPrefix  = "pools/"
)

// Split returns the table and the row name of the key.
func (k RowKey) Split() (table, name string) {
	table, name, _ = strings.Cut(string(k), "/")
	return table, name
}

func (k RowKey) valid() bool {
	table, name := k.Split()
	return name != "" && (table == "routes" || table == "pools")
}

// Diff returns the change that turns the tables of old into next; rows that are not in next are
// deleted. The change has no ID: the caller sets it.
func Diff(old Snapshot, next Tables, author string) Change {
	c := Change{Author: author, Base: old.Revision}
	for i := range next.Pools {
		p := &next.Pools[i]
		if oldPool := old.Tables.Pool(p.Name); oldPool == nil || !reflect.DeepEqual(normalPool(*oldPool), normalPool(*p)) {
			c.Edits = append(c.Edits, Edit{Key: PoolKey(p.Name), Replaces: old.revisionOf(PoolKey(p.Name)), Pool: p})
		}
	}
	for i := range next.Routes {
		r := &next.Routes[i]
		if oldRoute := old.Tables.Route(r.Name); oldRoute == nil || !reflect.DeepEqual(normalRoute(*oldRoute), normalRoute(*r)) {
			c.Edits = append(c.Edits, Edit{Key: RouteKey(r.Name), Replaces: old.revisionOf(RouteKey(r.Name)), Route: r})
		}
	}
	return appendDeletes(c, old, next)
}

// appendDeletes adds to c a deletion of each row of old that is not in next.
func appendDeletes(c Change, old Snapshot, next Tables) Change {
	for i := range old.Tables.Routes {
		if name := old.Tables.Routes[i].Name; next.Route(name) == nil {
			c.Edits = append(c.Edits, Edit{Key: RouteKey(name), Replaces: old.revisionOf(RouteKey(name)), Delete: true})
		}
	}
	for i := range old.Tables.Pools {
		if name := old.Tables.Pools[i].Name; next.Pool(name) == nil {
			c.Edits = append(c.Edits, Edit{Key: PoolKey(name), Replaces: old.revisionOf(PoolKey(name)), Delete: true})
		}
	}
	return c
}

// Overlay returns base with the rows of overlay added; a row of overlay replaces the row of base
// with the same name.
func Overlay(base, overlay Tables) Tables {
	t := sortedTables(base)
	for i := range overlay.Routes {
		t.Routes, _ = putRow(t.Routes, overlay.Routes[i].Name, &overlay.Routes[i], routeName)
	}
	for i := range overlay.Pools {
		t.Pools, _ = putRow(t.Pools, overlay.Pools[i].Name, &overlay.Pools[i], poolName)
	}
	return t
}

// revisionOf returns the revision of the row, of its deletion if it was deleted within the last
// DecisionWindow offsets, or 0. An edit of the row must name it in Replaces.
func (s *Snapshot) revisionOf(k RowKey) trial.Offset {
	if r, ok := s.Rows[k]; ok {
		return r.Revision
	}
	return s.Deleted[k].Revision
}

// normalRoute returns r with an absent list of callers replaced by an empty one, so that the two
// compare equal.
func normalRoute(r Route) Route {
	if r.Callers == nil {
		r.Callers = []Caller{}
	}
	return r
}

// normalPool returns p with absent and empty lists made equal.
func normalPool(p Pool) Pool {
	if p.Targets == nil {
		p.Targets = []Target{}
	}
	if len(p.Adapters) == 0 {
		p.Adapters = nil
	}
	return p
}

// WithoutRow returns t without the row named by key, or an error if there is no such row.
func WithoutRow(t Tables, key RowKey) (Tables, error) {
	next, problems := applyEdits(sortedTables(t), []Edit{{Key: key, Delete: true}})
	if !key.valid() || len(problems) > 0 {
		return t, fmt.Errorf("there is no row %q; a row is named routes/NAME or pools/NAME", key)
	}
	return next, nil
}

// ChangedSince returns a conflict for each row edited by change that was itself edited or deleted
// after revision. It also returns one for a missing row if more than DecisionWindow offsets have
// passed since: now does not remember deletions for longer, so the row may have been deleted.
func ChangedSince(current Snapshot, revision trial.Offset, change Change) []Conflict {
	var out []Conflict
	for i := range change.Edits {
		key := change.Edits[i].Key
		info, exists := current.Rows[key]
		known := exists
		if !exists {
			info, known = current.Deleted[key]
		}
		switch {
		case known && info.Revision > revision:
			out = append(out, Conflict{Key: key, CurrentRevision: info.Revision, Author: info.Author, Remedy: conflictRemedy(exists, key)})
		case !known && current.Revision-revision > DecisionWindow:
			out = append(out, Conflict{Key: key, Remedy: fmt.Sprintf("the row may have been deleted since revision %d, and deletions that long ago are no longer known; to add the row, apply it from a file without a revision", revision)})
		}
	}
	return out
}
