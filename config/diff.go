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

// Split returns the table and the name of a row.
func (k RowKey) Split() (table, name string) {
	table, name, _ = strings.Cut(string(k), "/")
	return table, name
}

func (k RowKey) valid() bool {
	table, name := k.Split()
	return name != "" && (table == "routes" || table == "pools")
}

// Diff returns the change that turns the tables of old into next: rows that next lacks are
// deleted. The caller gives the change its ID.
func Diff(old Snapshot, next Tables, author string) Change {
	c := Change{Author: author, Base: old.Revision}
	for i := range next.Pools {
		p := &next.Pools[i]
		if was := old.Tables.Pool(p.Name); was == nil || !reflect.DeepEqual(normalPool(*was), normalPool(*p)) {
			c.Edits = append(c.Edits, Edit{Key: PoolKey(p.Name), Replaces: old.replaces(PoolKey(p.Name)), Pool: p})
		}
	}
	for i := range next.Routes {
		r := &next.Routes[i]
		if was := old.Tables.Route(r.Name); was == nil || !reflect.DeepEqual(normalRoute(*was), normalRoute(*r)) {
			c.Edits = append(c.Edits, Edit{Key: RouteKey(r.Name), Replaces: old.replaces(RouteKey(r.Name)), Route: r})
		}
	}
	return withDeletes(c, old, next)
}

func withDeletes(c Change, old Snapshot, next Tables) Change {
	for i := range old.Tables.Routes {
		if name := old.Tables.Routes[i].Name; next.Route(name) == nil {
			c.Edits = append(c.Edits, Edit{Key: RouteKey(name), Replaces: old.replaces(RouteKey(name)), Delete: true})
		}
	}
	for i := range old.Tables.Pools {
		if name := old.Tables.Pools[i].Name; next.Pool(name) == nil {
			c.Edits = append(c.Edits, Edit{Key: PoolKey(name), Replaces: old.replaces(PoolKey(name)), Delete: true})
		}
	}
	return c
}

// Overlay returns the tables of base with the rows of over put in the place of those of the same names.
func Overlay(base, over Tables) Tables {
	t := sorted(base)
	for i := range over.Routes {
		t.Routes, _ = put(t.Routes, over.Routes[i].Name, &over.Routes[i], routeName)
	}
	for i := range over.Pools {
		t.Pools, _ = put(t.Pools, over.Pools[i].Name, &over.Pools[i], poolName)
	}
	return t
}

// replaces returns the revision that an edit of the row must name.
func (s *Snapshot) replaces(k RowKey) trial.Offset {
	if r, ok := s.Rows[k]; ok {
		return r.Revision
	}
	return s.Deleted[k].Revision
}

// normalRoute and normalPool make an absent list equal to an empty one.
func normalRoute(r Route) Route {
	if r.Callers == nil {
		r.Callers = []Caller{}
	}
	return r
}

func normalPool(p Pool) Pool {
	if p.Targets == nil {
		p.Targets = []Target{}
	}
	if len(p.Adapters) == 0 {
		p.Adapters = nil
	}
	return p
}

// Without returns the tables without a row, which must be there.
func Without(t Tables, key RowKey) (Tables, error) {
	next, problems := join(sorted(t), []Edit{{Key: key, Delete: true}})
	if !key.valid() || len(problems) > 0 {
		return t, fmt.Errorf("there is no row %q; a row is named routes/NAME or pools/NAME", key)
	}
	return next, nil
}

// MovedSince returns the rows that change edits and that were moved after revision, or may have
// been: a row that is not there may have been deleted before what now remembers.
func MovedSince(now Snapshot, revision trial.Offset, change Change) []Conflict {
	var out []Conflict
	for i := range change.Edits {
		key := change.Edits[i].Key
		info, exists := now.Rows[key]
		known := exists
		if !exists {
			info, known = now.Deleted[key]
		}
		switch {
		case known && info.Revision > revision:
			out = append(out, Conflict{Key: key, Now: info.Revision, By: info.By, Remedy: remedyFor(exists, key)})
		case !known && now.Revision-revision > DecidedWindow:
			out = append(out, Conflict{Key: key, Remedy: fmt.Sprintf("the row may have been deleted since revision %d, which is too long ago to tell; apply it from a file without a revision to add it", revision)})
		}
	}
	return out
}
