package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/config"
)

// TestFormerPoolsOfBatches guards against a batch that is accepted again after its route has moved: the VM must know where it went before.
func TestFormerPoolsOfBatches(t *testing.T) {
	route := func(prefix, pool string, batch bool) Route {
		return Route{Route: config.Route{PathPrefix: prefix, Pool: pool}, Host: "h", Batch: batch}
	}
	now := time.Now()
	for _, tc := range []struct {
		name   string
		tables [][]Route
		want   []string // former pools of /a/b/1
	}{
		{"the first tables", [][]Route{{route("/a/", "p", true)}}, nil},
		{"no move", [][]Route{{route("/a/", "p", true)}, {route("/a/", "p", true), route("/c/", "q", true)}}, nil},
		{"a move", [][]Route{{route("/a/", "p", true)}, {route("/a/", "q", true)}}, []string{"p"}},
		{"two moves", [][]Route{{route("/a/", "p", true)}, {route("/a/", "q", true)}, {route("/a/", "p", true)}}, []string{"p", "q"}},
		{"a longer route is added", [][]Route{{route("/a/", "p", true)}, {route("/a/", "p", true), route("/a/b/", "q", true)}}, []string{"p"}},
		{"a longer route is removed", [][]Route{{route("/a/", "p", true), route("/a/b/", "q", true)}, {route("/a/", "p", true)}}, []string{"q"}},
		{"removed and added again", [][]Route{{route("/a/", "p", true)}, nil, {route("/a/", "q", true)}}, []string{"p"}},
		{"no batch route", [][]Route{{route("/a/", "p", false)}, {route("/a/", "q", false)}}, nil},
		{"another prefix", [][]Route{{route("/c/", "p", true)}, {route("/c/", "q", true)}}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			d := NewDirectory()
			for i, routes := range tc.tables {
				is.True(d.SetTables(now.Add(time.Duration(i)*time.Second), &Tables{Version: int64(i + 1), Routes: routes}))
			}
			s := &Snapshot{Tables: d.Tables(), RouteMoves: d.RouteMoves()}
			is.Equal(s.FormerPools("h", "/a/b/1", now.Add(-time.Second)), tc.want)
			is.Equal(len(s.FormerPools("h", "/a/b/1", now.Add(time.Hour))), 0) // it moved long ago
			is.Equal(len(s.FormerPools("other", "/a/b/1", now.Add(-time.Second))), 0)
		})
	}
}
