package batch

import "github.com/ibistrail/ibistrail/fleet"

// Routes change while submissions are open: they move to other pools, are removed and added again, and routes with longer prefixes take their
// paths. An open submission keeps the route by which it was accepted, and follows what the tables say of that route now.

// AcceptedRoute identifies the route by which a submission was accepted.
type AcceptedRoute struct {
	PathPrefix string `json:"path_prefix"`
}

// route returns the submission's route in some tables: that by which it was accepted, or if they don't have it, the one that its path selects
// among the routes of batches. It is nil if there is none; then the items wait.
func (h *Head) route(t *fleet.Tables) *fleet.Route {
	if h.Route != nil { // builds that did not record it left it out
		if r := t.BatchRoute(h.Host, h.Route.PathPrefix); r != nil {
			return r
		}
	}
	return t.MatchBatch(h.Host, h.Path)
}
