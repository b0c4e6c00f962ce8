package config

import (
	"slices"
	"strconv"
	"strings"
)

// reservedPaths are the path prefixes that gates serve themselves.
var reservedPaths = []string{"/v1", "/healthz", "/readyz"}

func (v *validation) checkRoutes() {
	names := make(map[string]bool, len(v.tables.Routes))
	for i := range v.tables.Routes {
		r := &v.tables.Routes[i]
		if names[r.Name] {
			v.add(rowPath("routes", i, "name"), "give each route its own name", "route %q stands twice", r.Name)
		}
		names[r.Name] = true
		v.checkRoutePool(i, r)
		v.checkRouteFields(i, r)
		switch r.Kind {
		case RouteCompletions:
			if r.Model == "" {
				v.add(rowPath("routes", i), "add the model that callers ask for", "route %q of completions has no model", r.Name)
			}
		case RouteHTTP:
			v.checkPathPrefix(i, r)
		case RouteSteps:
		}
	}
}

func (v *validation) checkRoutePool(i int, r *Route) {
	p := v.poolsByName[r.Pool]
	if p == nil {
		v.add(rowPath("routes", i, "pool"), "add a pool of that name or name one of "+v.poolNames(), "route %q names pool %q, which is not in the pools table", r.Name, r.Pool)
		return
	}
	want := PoolEngines
	if r.Kind == RouteHTTP {
		want = PoolServices
	}
	if p.Kind != want {
		v.add(rowPath("routes", i, "pool"), "name a pool of "+string(want), "route %q of kind %s goes to pool %q of %s", r.Name, r.Kind, r.Pool, p.Kind)
		return
	}
	if r.Model != "" && p.Kind == PoolEngines && r.Model != p.Model && !slices.Contains(p.Adapters, r.Model) {
		v.add(rowPath("routes", i, "model"), "name the pool's model or one of its adapters, or another pool", "pool %q does not run model %q", r.Pool, r.Model)
	}
}

func (v *validation) poolNames() string {
	if len(v.tables.Pools) == 0 {
		return "them (there are none)"
	}
	names := make([]string, len(v.tables.Pools))
	for i := range v.tables.Pools {
		names[i] = v.tables.Pools[i].Name
	}
	slices.Sort(names)
	return strings.Join(slices.Compact(names), ", ")
}

// checkRouteFields reports fields that do not apply to the route's kind.
func (v *validation) checkRouteFields(i int, r *Route) {
	for _, f := range []struct {
		name  string
		set   bool
		kinds []RouteKind
	}{
		{"model", r.Model != "", []RouteKind{RouteCompletions, RouteSteps}},
		{"path_prefix", r.PathPrefix != "", []RouteKind{RouteHTTP}},
		{"non_idempotent", r.NonIdempotent, []RouteKind{RouteHTTP}},
		{"max_staleness_versions", r.MaxStalenessVersions != 0, []RouteKind{RouteSteps}},
	} {
		if f.set && !slices.Contains(f.kinds, r.Kind) {
			v.add(rowPath("routes", i, f.name), "leave it out, or make the route's kind "+string(f.kinds[0]), "route %q of kind %s cannot have %s", r.Name, r.Kind, f.name)
		}
	}
}

func (v *validation) checkPathPrefix(i int, r *Route) {
	if r.PathPrefix == "" {
		v.add(rowPath("routes", i), "add the path prefix of its requests, such as /desk", "route %q of kind http has no path_prefix", r.Name)
		return
	}
	p := trimSlash(r.PathPrefix) + "/"
	for _, reserved := range reservedPaths {
		if strings.HasPrefix(p, reserved+"/") {
			v.add(rowPath("routes", i, "path_prefix"), "choose a prefix outside "+strings.Join(reservedPaths, ", "), "path_prefix %s is served by the gates themselves", r.PathPrefix)
		}
	}
}

func trimSlash(p string) string { return strings.TrimSuffix(p, "/") }

// checkTokens reports a token that two callers share, or that a route lists twice.
func (v *validation) checkTokens() {
	callerOfToken := map[string]string{}
	for i := range v.tables.Routes {
		inRoute := map[string]bool{}
		for j := range v.tables.Routes[i].Callers {
			c := &v.tables.Routes[i].Callers[j]
			tokenPath := func() string { return rowPath("routes", i, "callers", strconv.Itoa(j), "token_sha256") }
			if inRoute[c.TokenSHA256] {
				v.add(tokenPath(), "list each token once a route", "the token stands twice in route %q", v.tables.Routes[i].Name)
			}
			inRoute[c.TokenSHA256] = true
			if other, ok := callerOfToken[c.TokenSHA256]; ok && other != c.Name {
				v.add(tokenPath(), "give each caller its own token", "callers %q and %q have the same token", other, c.Name)
			}
			callerOfToken[c.TokenSHA256] = c.Name
		}
	}
}

// checkOverlappingRoutes reports routes that match the same requests: http routes with the same path
// prefix, and completions routes with the same model and token.
func (v *validation) checkOverlappingRoutes() {
	type modelAndToken struct{ model, token string }
	byModelAndToken, byPrefix := map[modelAndToken]string{}, map[string]string{}
	for i := range v.tables.Routes {
		r := &v.tables.Routes[i]
		switch {
		case r.Kind == RouteHTTP && r.PathPrefix != "":
			p := trimSlash(r.PathPrefix)
			if other, ok := byPrefix[p]; ok {
				v.add(rowPath("routes", i, "path_prefix"), "give each route its own prefix; a longer one wins", "routes %q and %q overlap: both have path_prefix %s", other, r.Name, r.PathPrefix)
			}
			byPrefix[p] = r.Name
		case r.Kind == RouteCompletions:
			for j := range r.Callers {
				key := modelAndToken{r.Model, r.Callers[j].TokenSHA256}
				if other, ok := byModelAndToken[key]; ok && other != r.Name {
					v.add(rowPath("routes", i, "callers", strconv.Itoa(j)), "list the caller in one of them", "routes %q and %q overlap: both carry model %q for caller %q", other, r.Name, r.Model, r.Callers[j].Name)
				}
				byModelAndToken[key] = r.Name
			}
		}
	}
}
