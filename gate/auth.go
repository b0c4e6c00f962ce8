package gate

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/dispatch"
)

// bearerTokenHash returns the hex SHA-256 of the request's bearer token, or "" if it has none.
func bearerTokenHash(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// findCaller returns the route's caller with the given token hash, or nil.
func findCaller(route *config.Route, tokenHash string) *config.Caller {
	for i := range route.Callers {
		c := &route.Callers[i]
		if subtle.ConstantTimeCompare([]byte(strings.ToLower(c.TokenSHA256)), []byte(tokenHash)) == 1 {
			return c
		}
	}
	return nil
}

func errNoToken() *api.Error {
	return dispatch.NewError(http.StatusUnauthorized, api.CodeUnauthorized, api.OutcomeNotRun, 0, "no known bearer token; send Authorization: Bearer TOKEN with a token of the route")
}

func errForbidden(resource string) *api.Error {
	return dispatch.NewError(http.StatusForbidden, api.CodeForbidden, api.OutcomeNotRun, 0, "the token may not use %s; ask the operator to add its caller to the route", resource)
}

func errNotReady() *api.Error {
	return dispatch.NewError(http.StatusServiceUnavailable, api.CodeNotReady, api.OutcomeNotRun, notReadyRetryAfter, "%v", errNoConfiguration)
}

// authorization is the route of a request and the caller that may use it.
type authorization struct {
	route  *config.Route
	caller *config.Caller
}

// authorize returns the first route that match accepts and that has a caller with the request's bearer
// token. resource names what the caller asked for in error messages.
func (g *Gate) authorize(r *http.Request, resource string, match func(*config.Route) bool) (*authorization, *api.Error) {
	tables, _ := g.state.Tables()
	if tables == nil {
		return nil, errNotReady()
	}
	tokenHash := bearerTokenHash(r)
	if tokenHash == "" {
		return nil, errNoToken()
	}
	routeMatched, tokenKnown := false, false
	for i := range tables.Routes {
		route := &tables.Routes[i]
		c := findCaller(route, tokenHash)
		tokenKnown = tokenKnown || c != nil
		if !match(route) {
			continue
		}
		if routeMatched = true; c != nil {
			return &authorization{route: route, caller: c}, nil
		}
	}
	switch {
	case !tokenKnown:
		return nil, errNoToken()
	case routeMatched:
		return nil, errForbidden(resource)
	}
	return nil, dispatch.NewError(http.StatusNotFound, api.CodeNoRoute, api.OutcomeNotRun, 0, "no route serves %s; see GET /v1/models or ask the operator", resource)
}

// authorizeSteps authorizes a trainer and returns its caller name and route. An empty routeName means any
// route of the kind that the token may use.
func (g *Gate) authorizeSteps(r *http.Request, kind config.RouteKind, routeName string) (string, *config.Route, *api.Error) {
	resource := "steps of any route"
	if routeName != "" {
		resource = "steps of route " + routeName
	}
	auth, err := g.authorize(r, resource, func(route *config.Route) bool {
		return route.Kind == kind && (routeName == "" || route.Name == routeName)
	})
	if err != nil {
		return "", nil, err
	}
	return auth.caller.Name, auth.route, nil
}
