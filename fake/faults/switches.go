package faults

import (
	"net/http"
	"sync"

	"github.com/gorilla/mux"
	"github.com/ibistrail/ibistrail/process"
)

// Crasher is a set of switches, one of which crashes the stand-in's server.
type Crasher interface {
	// Crashed tells whether the server must be down.
	Crashed() bool
}

// Switches holds the fault switches of a stand-in, which embeds it.
type Switches[F Crasher] struct {
	mu     sync.Mutex
	faults F
	server *Server
}

// Attach lets the crash switch act on server.
func (s *Switches[F]) Attach(server *Server) { s.server = server }

// Faults returns the switches.
func (s *Switches[F]) Faults() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the switches.
func (s *Switches[F]) SetFaults(f F) error {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	return SetCrashed(s.server, f.Crashed())
}

// Use lets use read and change the switches, such as one that counts down.
func (s *Switches[F]) Use(use func(f *F)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	use(&s.faults)
}

// RegisterFaults adds GET and POST /faults.
func (s *Switches[F]) RegisterFaults(r *mux.Router) { Handle(r, s.Faults, s.SetFaults) }

// HandleJournal adds GET /journal, which tells what the stand-in has done.
func HandleJournal[T any](r *mux.Router, journal func() T) {
	r.HandleFunc("/journal", func(w http.ResponseWriter, _ *http.Request) {
		process.WriteJSON(w, http.StatusOK, journal())
	}).Methods(http.MethodGet)
}
