package batch

import (
	"testing"

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
