package fleet

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BatchRouting identifies the pools to which the batch routes of some tables go.
type BatchRouting struct {
	// Digest is equal for tables under which each batch goes to the same pool.
	Digest string
	// Since is the version of the tables that brought the routing. It is a newer one if the routing has changed and changed back.
	Since int64
}

// batchRouting returns the routing of t; before is that of the tables before it.
func (t *Tables) batchRouting(before BatchRouting) BatchRouting {
	digest := t.batchRoutingDigest()
	if digest == before.Digest {
		return before
	}
	return BatchRouting{digest, t.Version}
}

// batchRoutingDigest includes the other routes, since their prefixes take paths away from batch routes.
func (t *Tables) batchRoutingDigest() string {
	lines := make([]string, 0, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		host, pool := strings.ToLower(r.Host), ""
		if r.Batch {
			pool = r.Pool
		} else if !t.nestedInBatchRoute(r) {
			continue
		}
		lines = append(lines, strconv.Quote(host)+strconv.Quote(r.PathPrefix)+strconv.Quote(pool))
	}
	slices.Sort(lines)
	return strconv.FormatUint(xxhash.Sum64String(strings.Join(lines, "\n")), 16)
}

// nestedInBatchRoute reports whether a route takes paths that would otherwise select a batch route.
func (t *Tables) nestedInBatchRoute(r *Route) bool {
	return slices.ContainsFunc(t.Routes, func(b Route) bool {
		return b.Batch && strings.EqualFold(b.Host, r.Host) && strings.HasPrefix(r.PathPrefix, b.PathPrefix)
	})
}
