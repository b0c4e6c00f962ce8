package fleet

import (
	"testing"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/config"
)

// TestBatchRoutingChangesWithThePoolsOfBatches guards against a batch that is accepted again after its route has moved: the VM must notice
// each move, also one that was undone.
func TestBatchRoutingChangesWithThePoolsOfBatches(t *testing.T) {
	route := func(prefix, pool string, batch bool) Route {
		return Route{Route: config.Route{PathPrefix: prefix, Pool: pool}, Host: "h", Batch: batch}
	}
	for _, tc := range []struct {
		name   string
		tables [][]Route
		since  int64 // the version that brought the routing of the last tables
	}{
		{"the first tables", [][]Route{{route("/a/", "p", true)}}, 1},
		{"no move", [][]Route{{route("/a/", "p", true)}, {route("/a/", "p", true)}}, 1},
		{"a plain route is added", [][]Route{{route("/a/", "p", true)}, {route("/c/", "q", false), route("/a/", "p", true)}}, 1},
		{"another order", [][]Route{{route("/a/", "p", true), route("/c/", "q", true)}, {route("/c/", "q", true), route("/a/", "p", true)}}, 1},
		{"a move", [][]Route{{route("/a/", "p", true)}, {route("/a/", "q", true)}}, 2},
		{"moved and moved back", [][]Route{{route("/a/", "p", true)}, {route("/a/", "q", true)}, {route("/a/", "p", true)}}, 3},
		{"a longer route is added", [][]Route{{route("/a/", "p", true)}, {route("/a/", "p", true), route("/a/b/", "q", true)}}, 2},
		{"a longer route is removed", [][]Route{{route("/a/", "p", true), route("/a/b/", "q", true)}, {route("/a/", "p", true)}}, 2},
		{"a longer plain route is added", [][]Route{{route("/a/", "p", true)}, {route("/a/", "p", true), route("/a/b/", "q", false)}}, 2},
		{"removed and added again", [][]Route{{route("/a/", "p", true)}, nil, {route("/a/", "q", true)}}, 3},
		{"no batch route", [][]Route{{route("/a/", "p", false)}, {route("/a/", "q", false)}}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			d := NewDirectory()
			digests := map[string]int64{}
			for i, routes := range tc.tables {
				is.True(d.SetTables(&Tables{Version: int64(i + 1), Routes: routes}))
				r := d.BatchRouting()
				if r.Since == int64(i+1) {
					digests[r.Digest] = r.Since
				}
			}
			is.Equal(d.BatchRouting().Since, tc.since)
			is.Equal(digests[d.BatchRouting().Digest], tc.since)
		})
	}
}
