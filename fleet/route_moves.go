package fleet

import (
	"slices"
	"strings"
	"time"
)

// RouteMove tells that the batches of a host and path prefix went to another pool before.
type RouteMove struct {
	Host, PathPrefix string
	FormerPool       string
	// At is when this VM learned of the move.
	At time.Time
}

// routeMoves returns the moves of batch routes between two tables. The prefixes of both are compared: a path without a route of its own
// selects a shorter one.
func routeMoves(now time.Time, before, after *Tables) []RouteMove {
	if before == nil {
		return nil
	}
	var out []RouteMove
	for _, routes := range [][]Route{before.Routes, after.Routes} {
		for i := range routes {
			r := &routes[i]
			old, current := before.Match(r.Host, r.PathPrefix), after.Match(r.Host, r.PathPrefix)
			if old == nil || !old.Batch || current != nil && current.Pool == old.Pool {
				continue
			}
			move := RouteMove{r.Host, r.PathPrefix, old.Pool, now}
			if !slices.Contains(out, move) {
				out = append(out, move)
			}
		}
	}
	return out
}

// FormerPools returns the pools to which batches of a host and path went before, if that has changed since the given time. They may
// include the current pool.
func (s *Snapshot) FormerPools(host, path string, since time.Time) []string {
	var out []string
	for _, m := range s.RouteMoves {
		if m.At.After(since) && strings.EqualFold(m.Host, host) && strings.HasPrefix(path, m.PathPrefix) && !slices.Contains(out, m.FormerPool) {
			out = append(out, m.FormerPool)
		}
	}
	return out
}
