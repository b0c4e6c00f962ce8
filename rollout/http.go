package rollout

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/config"
)

// Authorize returns the caller of a request and the row of the routes table that admits it.
type Authorize func(r *http.Request, kind config.RouteKind, route string) (caller string, row *config.Route, err *api.Error)

// handlers serves the trainers' HTTP API.
type handlers struct {
	m          *Manager
	authorize  Authorize
	writeError func(http.ResponseWriter, *api.Error)
}

// RegisterHTTP adds the trainers' HTTP API to r. The route is taken from the specification or from ?route=.
func RegisterHTTP(r *mux.Router, m *Manager, authorize func(r *http.Request, kind config.RouteKind, route string) (caller string, row *config.Route, err *api.Error), writeError func(http.ResponseWriter, *api.Error)) {
	h := &handlers{m: m, authorize: authorize, writeError: writeError}
	r.HandleFunc("/v1/steps", h.submit).Methods(http.MethodPost)
	r.HandleFunc("/v1/steps/{id}/pull", h.pull).Methods(http.MethodPost)
	r.HandleFunc("/v1/steps/{id}", h.release).Methods(http.MethodDelete)
}

func (h *handlers) submit(w http.ResponseWriter, r *http.Request) {
	if route := r.URL.Query().Get("route"); route != "" {
		if _, _, err := h.authorize(r, config.RouteSteps, route); err != nil {
			h.writeError(w, err)
			return
		}
	}
	var spec api.StepSpec
	if err := decode(w, r, &spec, MaxSpecBytes); err != nil {
		h.writeError(w, err)
		return
	}
	caller, row, err := h.authorize(r, config.RouteSteps, spec.Route)
	if err != nil {
		h.writeError(w, err)
		return
	}
	accepted, err := h.m.Submit(r.Context(), caller, row, spec)
	if err == nil {
		h.m.Supersede(caller, spec.ID, r.URL.Query().Get("previous"))
	}
	h.writeResult(w, http.StatusAccepted, accepted, err)
}

func (h *handlers) pull(w http.ResponseWriter, r *http.Request) {
	caller, _, err := h.authorize(r, config.RouteSteps, r.URL.Query().Get("route"))
	if err != nil {
		h.writeError(w, err)
		return
	}
	var req api.PullRequest
	if err := decode(w, r, &req, MaxPullBytes); err != nil {
		h.writeError(w, err)
		return
	}
	resp, err := h.m.Pull(r.Context(), caller, mux.Vars(r)["id"], req)
	h.writeResult(w, http.StatusOK, resp, err)
}

func (h *handlers) release(w http.ResponseWriter, r *http.Request) {
	caller, _, err := h.authorize(r, config.RouteSteps, r.URL.Query().Get("route"))
	if err != nil {
		h.writeError(w, err)
		return
	}
	if err := h.m.ReleaseAt(r.Context(), caller, mux.Vars(r)["id"], r.URL.Query().Get("owner")); err != nil {
		h.writeError(w, err)
		return
	}
	w.Header().Set(api.HeaderOutcome, string(api.OutcomeDone))
	w.WriteHeader(http.StatusNoContent)
}

func (h *handlers) writeResult(w http.ResponseWriter, status int, v any, err *api.Error) {
	if err != nil {
		h.writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.Header().Set(api.HeaderOutcome, string(api.OutcomeDone))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // on an error the trainer repeats the request with the same cursor
}

// decode reads one JSON document of at most limit bytes into v and rejects unknown fields.
func decode(w http.ResponseWriter, r *http.Request, v any, limit int64) *api.Error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return tooLarge("body exceeds %d bytes; split the step", limit)
		}
		return badRequest("body does not decode: %v; see docs/openapi.json", err)
	}
	if d.More() {
		return badRequest("body holds more than one JSON document; send one")
	}
	return nil
}
