package faults

import (
	"fmt"
	"net/http"
	"sync"

	"github.com/gorilla/mux"
	"github.com/ibistrail/ibistrail/process"
)

const maxFaultsBytes = 1 << 16

// Standin is a stand-in with fault switches.
type Standin interface {
	// Routes adds the admin endpoints: GET and POST /faults, and GET /journal if the stand-in has one.
	Routes(r *mux.Router)
}

// Servable is a stand-in that a Server serves.
type Servable interface {
	// Handler returns the stand-in's HTTP handler.
	Handler() http.Handler
	// Attach sets the server that the crash switch acts on.
	Attach(server *Server)
}

// Admin serves the admin endpoints of several stand-ins, such as /NAME/faults, at an address that stays up while they
// are down.
type Admin struct {
	mu       sync.Mutex
	standins map[string]http.Handler
}

// NewAdmin returns an Admin without stand-ins.
func NewAdmin() *Admin { return &Admin{standins: map[string]http.Handler{}} }

// Add serves the admin endpoints of s under /name.
func (a *Admin) Add(name string, s Standin) {
	r := mux.NewRouter()
	s.Routes(r)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.standins[name] = http.StripPrefix("/"+name, r)
}

// ServeHTTP forwards the request to the stand-in that the first segment of the path names.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := firstSegment(r.URL.Path)
	a.mu.Lock()
	h, ok := a.standins[name]
	count := len(a.standins)
	a.mu.Unlock()
	if !ok {
		http.Error(w, fmt.Sprintf("no stand-in %q among %d; use /NAME/faults or /NAME/journal", name, count), http.StatusNotFound)
		return
	}
	h.ServeHTTP(w, r)
}

func firstSegment(path string) string {
	if path == "" {
		return ""
	}
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			return path[1:i]
		}
	}
	return path[1:]
}

// HandleFaults adds GET and POST /faults for a set of fault switches of type T. A POST replaces all of them, so {}
// clears all faults.
func HandleFaults[T any](r *mux.Router, get func() T, set func(T) error) {
	r.HandleFunc("/faults", func(w http.ResponseWriter, _ *http.Request) {
		process.WriteJSON(w, http.StatusOK, get())
	}).Methods(http.MethodGet)
	r.HandleFunc("/faults", func(w http.ResponseWriter, req *http.Request) {
		var f T
		if err := process.ReadJSON(w, req, &f, maxFaultsBytes); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := set(f); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		process.WriteJSON(w, http.StatusOK, get())
	}).Methods(http.MethodPost)
}
