package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fleet"
)

func batchRoute(prefix string) fleet.Route {
	return fleet.Route{Route: config.Route{Name: prefix, PathPrefix: prefix}, Host: "h", Batch: true}
}

func plainRoute(prefix string) fleet.Route {
	r := batchRoute(prefix)
	r.Batch = false
	return r
}

// TestRouteOfAnOpenSubmission guards against submissions whose items follow a route that is not theirs. Records of builds that did not record the
// route name none.
func TestRouteOfAnOpenSubmission(t *testing.T) {
	other := batchRoute("/a/")
	other.Host = "other"
	for _, tc := range []struct {
		name           string
		routes         []fleet.Route
		recorded, none string // prefix of the route of a submission at /a/b/c with the recorded prefix /a/, and of one without
	}{
		{"the same", []fleet.Route{batchRoute("/a/")}, "/a/", "/a/"},
		{"a longer plain one beside it", []fleet.Route{batchRoute("/a/"), plainRoute("/a/b/")}, "/a/", "/a/"},
		{"a longer one of batches beside it", []fleet.Route{batchRoute("/a/b/"), batchRoute("/a/")}, "/a/", "/a/b/"},
		{"a plain one in its place", []fleet.Route{plainRoute("/a/")}, "", ""},
		{"gone, with a shorter one", []fleet.Route{batchRoute("/"), plainRoute("/a/b/")}, "/", "/"},
		{"gone, with a longer one", []fleet.Route{batchRoute("/"), batchRoute("/a/b/")}, "/a/b/", "/a/b/"},
		{"gone", []fleet.Route{batchRoute("/b/"), other}, "", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			for accepted, want := range map[*AcceptedRoute]string{{PathPrefix: "/a/"}: tc.recorded, nil: tc.none} {
				got := ""
				if r := (&Head{Host: "H", Path: "/a/b/c", Route: accepted}).route(&fleet.Tables{Routes: tc.routes}); r != nil {
					got = r.Name
				}
				is.Equal(got, want)
			}
		})
	}
}

// TestRouteThatStandsInAllowsNoMore guards against texts of two weight versions, and items that are given up early, in a batch whose own route is
// back soon: another one has its path meanwhile.
func TestRouteThatStandsInAllowsNoMore(t *testing.T) {
	own, other := batchRoute("/a/b/"), batchRoute("/a/")
	own.SingleVersion, own.Retention = true, 40*time.Second
	other.Retention = time.Second
	head := &Head{Host: "h", Path: "/a/b/c", Route: newAcceptedRoute(&own)}
	for _, tc := range []struct {
		name      string
		route     fleet.Route
		single    bool
		retention time.Duration
	}{
		{"its own", own, true, 40 * time.Second},
		{"another", other, true, 40 * time.Second},
		{"another without a retention", batchRoute("/a/"), true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tables := &fleet.Tables{Routes: []fleet.Route{tc.route}}
			is.Equal(head.route(tables).SingleVersion, tc.single)
			is.Equal(head.singleVersion(tables), tc.single)
			is.Equal(head.retention(tables), tc.retention)
			is.Equal(tables.Routes[0].SingleVersion, tc.route.SingleVersion) // the tables are as they were
		})
	}
}
