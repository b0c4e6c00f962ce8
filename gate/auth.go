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

// bearer returns the hex SHA-256 of the request's token; empty if it has none.
func bearer(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// callerOf returns the row's caller that has the token's hash, or nil.
func callerOf(row *config.Route, hash string) *config.Caller {
	for i := range row.Callers {
		c := &row.Callers[i]
		if subtle.ConstantTimeCompare([]byte(strings.ToLower(c.TokenSHA256)), []byte(hash)) == 1 {
			return c
		}
	}
	return nil
}

func errNoToken() *api.Error {
	return dispatch.NewError(http.StatusUnauthorized, api.CodeUnauthorized, api.OutcomeNotRun, 0, "no known bearer token; send Authorization: Bearer TOKEN with a token of the route")
}

func errForbidden(what string) *api.Error {
	return dispatch.NewError(http.StatusForbidden, api.CodeForbidden, api.OutcomeNotRun, 0, "the token may not use %s; ask the operator to add its caller to the route", what)
}

func errNotReady() *api.Error {
	return dispatch.NewError(http.StatusServiceUnavailable, api.CodeNotReady, api.OutcomeNotRun, retryNotReady, "%v", errNoConfiguration)
}

// admitted is a request's route and caller.
type admitted struct {
	row    *config.Route
	caller *config.Caller
}

// admit finds the route among those that match, by the caller's token.
func (g *Gate) admit(r *http.Request, what string, match func(*config.Route) bool) (*admitted, *api.Error) {
	tables, _ := g.state.Tables()
	if tables == nil {
		return nil, errNotReady()
	}
	hash := bearer(r)
	if hash == "" {
		return nil, errNoToken()
	}
	found, known := false, false
	for i := range tables.Routes {
		row := &tables.Routes[i]
		c := callerOf(row, hash)
		known = known || c != nil
		if !match(row) {
			continue
		}
		if found = true; c != nil {
			return &admitted{row: row, caller: c}, nil
		}
	}
	switch {
	case !known:
		return nil, errNoToken()
	case found:
		return nil, errForbidden(what)
	}
	return nil, dispatch.NewError(http.StatusNotFound, api.CodeNoRoute, api.OutcomeNotRun, 0, "no route serves %s; see GET /v1/models or ask the operator", what)
}

// authorizeSteps admits a trainer; an empty route means any steps route that its token opens.
func (g *Gate) authorizeSteps(r *http.Request, kind config.RouteKind, route string) (string, *config.Route, *api.Error) {
	what := "steps of any route"
	if route != "" {
		what = "steps of route " + route
	}
	a, err := g.admit(r, what, func(row *config.Route) bool {
		return row.Kind == kind && (route == "" || row.Name == route)
	})
	if err != nil {
		return "", nil, err
	}
	return a.caller.Name, a.row, nil
}
