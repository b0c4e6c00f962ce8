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

// maxKeyBytes bounds a caller's own idempotency key.
const maxKeyBytes = 256

// serveService answers calls to plain services under their routes' path prefixes.
func (g *Gate) serveService(w http.ResponseWriter, r *http.Request) {
	adm, err := g.admitService(r)
	if err != nil {
		g.writeError(w, err)
		return
	}
	c, err := g.serviceCall(w, r, adm)
	if err != nil {
		g.writeError(w, err)
		return
	}
	started := time.Now()
	g.explain.Add(c.RequestID, "received", "route=%s caller=%s class=%d method=%s path=%s", c.Route, c.Caller, adm.row.Priority, c.Method, c.Path)
	var a *ticket.Answer
	replayed := false
	if adm.row.NonIdempotent {
		a, replayed, err = g.keys.serve(r, adm, c)
	} else {
		a, err = g.callOnce(r.Context(), c)
	}
	g.answerService(w, a, replayed, err)
	g.logService(c.RequestID, adm, started, a, err)
}

func (g *Gate) serviceCall(w http.ResponseWriter, r *http.Request, adm *admitted) (dispatch.ServiceCall, *api.Error) {
	until, err := deadline(r, adm.row.TimeoutMs)
	if err != nil {
		return dispatch.ServiceCall{}, err
	}
	body, err := g.readBody(w, r)
	if err != nil {
		return dispatch.ServiceCall{}, err
	}
	return dispatch.ServiceCall{
		RequestID: requestID(w), Route: adm.row.Name, Customer: adm.row.Customer, Caller: adm.caller.Name,
		Path: r.URL.RequestURI(), Method: r.Method, Header: r.Header, Body: body, Deadline: until,
		Idempotent: !adm.row.NonIdempotent, IdempotencyKey: r.Header.Get(api.HeaderIdempotencyKey),
	}, nil
}

// admitService admits a call by the longest path prefix that matches.
func (g *Gate) admitService(r *http.Request) (*admitted, *api.Error) {
	tables, _ := g.state.Tables()
	if tables == nil {
		return nil, errNotReady()
	}
	longest := -1
	for i := range tables.Routes {
		if row := &tables.Routes[i]; row.Kind == config.RouteHTTP && underPrefix(r.URL.Path, row.PathPrefix) {
			longest = max(longest, len(row.PathPrefix))
		}
	}
	return g.admit(r, "path "+r.URL.Path, func(row *config.Route) bool {
		return row.Kind == config.RouteHTTP && len(row.PathPrefix) == longest && underPrefix(r.URL.Path, row.PathPrefix)
	})
}

// underPrefix tells whether path is prefix or lies under it.
func underPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// callOnce runs a call and returns its answer in the form that is kept for replays.
func (g *Gate) callOnce(ctx context.Context, c dispatch.ServiceCall) (*ticket.Answer, *api.Error) {
	a, err := g.dispatcher.CallService(ctx, c)
	if err != nil {
		return nil, err
	}
	return &ticket.Answer{Outcome: a.Outcome, Status: a.Status, Header: dispatch.PassedHeaders(a.Header), Body: a.Body}, nil
}

func (g *Gate) answerService(w http.ResponseWriter, a *ticket.Answer, replayed bool, err *api.Error) {
	if err != nil {
		g.writeError(w, err)
		return
	}
	h := w.Header()
	for k, v := range a.Header {
		if !strings.HasPrefix(k, "Ibistrail-") {
			h[k] = v
		}
	}
	h.Set(api.HeaderOutcome, string(a.Outcome))
	if replayed {
		h.Set(api.HeaderReplayed, "true")
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // the caller has gone
}

func (g *Gate) logService(id string, adm *admitted, started time.Time, a *ticket.Answer, err *api.Error) {
	outcome, code, status := api.Outcome(""), api.Code(""), 0
	if err != nil {
		outcome, code, status = err.Outcome, err.Code, err.Status
	} else {
		outcome, status = a.Outcome, a.Status
	}
	ms := time.Since(started).Milliseconds()
	g.explain.Add(id, "answered", "outcome=%s code=%s status=%d ms=%d", outcome, code, status, ms)
	g.log.Info("request", "id", id, "route", adm.row.Name, "caller", adm.caller.Name, "class", adm.row.Priority, "outcome", outcome,
		"code", code, "status", status, "ms", ms)
}

func (g *Gate) serveTickets(w http.ResponseWriter, r *http.Request) {
	if _, err := g.admit(r, "tickets", func(*config.Route) bool { return true }); err != nil {
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
