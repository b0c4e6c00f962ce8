package faults

import (
	"net/http"
	"sync"

	"github.com/gorilla/mux"
	"github.com/ibistrail/ibistrail/process"
)

// Crasher is a set of fault switches, one of which crashes the stand-in's server.
type Crasher interface {
	// Crashed reports whether the server must be down.
	Crashed() bool
}

// Switches holds the fault switches of the stand-in that embeds it.
type Switches[F Crasher] struct {
	mu     sync.Mutex
	faults F
	server *Server
}

// Attach sets the server that the crash switch acts on. It must not be called concurrently with SetFaults.
func (s *Switches[F]) Attach(server *Server) { s.server = server }

// Faults returns the current fault switches.
func (s *Switches[F]) Faults() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces all fault switches, and crashes or restarts the server accordingly. It fails if the server can't
// listen at its address again.
func (s *Switches[F]) SetFaults(f F) error {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	return SetCrashed(s.server, f.Crashed())
}

// Update calls update with the lock held, to read and change the switches in one step, such as to decrement a count.
func (s *Switches[F]) Update(update func(f *F)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.faults)
}

// RegisterFaults adds GET and POST /faults.
func (s *Switches[F]) RegisterFaults(r *mux.Router) { HandleFaults(r, s.Faults, s.SetFaults) }

// HandleJournal adds GET /journal, which returns the stand-in's journal.
func HandleJournal[T any](r *mux.Router, journal func() T) {
	r.HandleFunc("/journal", func(w http.ResponseWriter, _ *http.Request) {
		process.WriteJSON(w, http.StatusOK, journal())
	}).Methods(http.MethodGet)
}
