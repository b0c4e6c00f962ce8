package gate

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/dispatch"
	"github.com/ibistrail/ibistrail/ticket"
)

// maxKeyBytes bounds an idempotency key that a caller sends.
const maxKeyBytes = 256

// serveService serves calls to plain services by the path prefixes of their routes.
func (g *Gate) serveService(w http.ResponseWriter, r *http.Request) {
	auth, err := g.authorizeService(r)
	if err != nil {
		g.writeError(w, err)
		return
	}
	call, err := g.newServiceCall(w, r, auth)
	if err != nil {
		g.writeError(w, err)
		return
	}
	started := time.Now()
	g.explain.Add(call.RequestID, "received", "route=%s caller=%s class=%d method=%s path=%s", call.Route, call.Caller, auth.route.Priority, call.Method, call.Path)
	var answer *ticket.Answer
	replayed := false
	if auth.route.NonIdempotent {
		answer, replayed, err = g.keys.serve(r, auth, call)
	} else {
		answer, err = g.callOnce(r.Context(), call)
	}
	g.writeServiceAnswer(w, answer, replayed, err)
	g.logService(call.RequestID, auth, started, answer, err)
}

func (g *Gate) newServiceCall(w http.ResponseWriter, r *http.Request, auth *authorization) (dispatch.ServiceCall, *api.Error) {
	deadline, err := requestDeadline(r, auth.route.TimeoutMs)
	if err != nil {
		return dispatch.ServiceCall{}, err
	}
	body, err := g.readBody(w, r)
	if err != nil {
		return dispatch.ServiceCall{}, err
	}
	return dispatch.ServiceCall{
		RequestID: requestID(w), Route: auth.route.Name, Customer: auth.route.Customer, Caller: auth.caller.Name,
		Path: r.URL.RequestURI(), Method: r.Method, Header: r.Header, Body: body, Deadline: deadline,
		Idempotent: !auth.route.NonIdempotent, IdempotencyKey: r.Header.Get(api.HeaderIdempotencyKey),
	}, nil
}

// authorizeService authorizes a call for the routes with the longest path prefix that matches.
func (g *Gate) authorizeService(r *http.Request) (*authorization, *api.Error) {
	tables, _ := g.state.Tables()
	if tables == nil {
		return nil, errNotReady()
	}
	longest := -1
	for i := range tables.Routes {
		if route := &tables.Routes[i]; route.Kind == config.RouteHTTP && underPrefix(r.URL.Path, route.PathPrefix) {
			longest = max(longest, len(route.PathPrefix))
		}
	}
	return g.authorize(r, "path "+r.URL.Path, func(route *config.Route) bool {
		return route.Kind == config.RouteHTTP && len(route.PathPrefix) == longest && underPrefix(r.URL.Path, route.PathPrefix)
	})
}

// underPrefix reports whether path is prefix or lies under it.
func underPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	remainder, ok := strings.CutPrefix(path, prefix)
	return ok && (remainder == "" || remainder[0] == '/')
}

// callOnce runs a call and returns its answer in the form that is stored for replays.
func (g *Gate) callOnce(ctx context.Context, call dispatch.ServiceCall) (*ticket.Answer, *api.Error) {
	answer, err := g.dispatcher.CallService(ctx, call)
	if err != nil {
		return nil, err
	}
	return &ticket.Answer{Outcome: answer.Outcome, Status: answer.Status, Header: dispatch.ForwardableHeaders(answer.Header), Body: answer.Body}, nil
}

// writeServiceAnswer writes a target's answer without its Ibistrail- headers, which only the gate sets.
func (g *Gate) writeServiceAnswer(w http.ResponseWriter, answer *ticket.Answer, replayed bool, err *api.Error) {
	if err != nil {
		g.writeError(w, err)
		return
	}
	h := w.Header()
	for k, v := range answer.Header {
		if !strings.HasPrefix(k, "Ibistrail-") {
			h[k] = v
		}
	}
	h.Set(api.HeaderOutcome, string(answer.Outcome))
	if replayed {
		h.Set(api.HeaderReplayed, "true")
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body) // fails only if the caller has disconnected
}

func (g *Gate) logService(id string, auth *authorization, started time.Time, answer *ticket.Answer, err *api.Error) {
	outcome, code, status := api.Outcome(""), api.Code(""), 0
	if err != nil {
		outcome, code, status = err.Outcome, err.Code, err.Status
	} else {
		outcome, status = answer.Outcome, answer.Status
	}
	ms := time.Since(started).Milliseconds()
	g.explain.Add(id, "answered", "outcome=%s code=%s status=%d ms=%d", outcome, code, status, ms)
	g.log.Info("request", "id", id, "route", auth.route.Name, "caller", auth.caller.Name, "class", auth.route.Priority, "outcome", outcome,
		"code", code, "status", status, "ms", ms)
}

func (g *Gate) serveTickets(w http.ResponseWriter, r *http.Request) {
	if _, err := g.authorize(r, "tickets", func(*config.Route) bool { return true }); err != nil {
		g.writeError(w, err)
		return
	}
	t, err := g.keys.mint()
	if err != nil {
		g.writeError(w, err)
		return
	}
	g.writeDone(w, api.TicketResponse{Ticket: t, ExpiresMs: ticket.TTL.Milliseconds()})
}
