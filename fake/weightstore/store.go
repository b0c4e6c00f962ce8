// Package weightstore implements a stand-in of the platform's weight store: trainers publish weight
// versions, and a limited number of engines fetch them at a time.
package weightstore

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/ibistrail/ibistrail/fake/faults"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/trial"
)

// Defaults of Options.
const (
	// DefaultLoadRate is the default of Options.LoadRate.
	DefaultLoadRate = 4
	// DefaultFetchMs is the default of Options.FetchMs.
	DefaultFetchMs = 200
)

// Options configure the stand-in.
type Options struct {
	// LoadRate is how many engines can fetch weights at a time; 0 means DefaultLoadRate.
	LoadRate int `json:"load_rate,omitempty"`
	// FetchMs is how long one fetch of weights takes, in milliseconds; 0 means DefaultFetchMs.
	FetchMs int64 `json:"fetch_ms,omitempty"`
	// Versions are the newest versions at the start, by model.
	Versions map[string]int64 `json:"versions,omitempty"`
}

// Faults are the fault switches of the weight store. The zero value has no faults.
type Faults struct {
	// Crash resets all connections and refuses new ones.
	Crash bool `json:"crash,omitempty"`
	// Outage answers each request with status 503.
	Outage bool `json:"outage,omitempty"`
	// FetchOutage answers fetches of weights with status 503.
	FetchOutage bool `json:"fetch_outage,omitempty"`
	// Hang holds each request until its caller cancels it.
	Hang bool `json:"hang,omitempty"`
	// SlowFactor multiplies the duration of a fetch; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// LatestLag is by how many versions the reported latest version is too old.
	LatestLag int64 `json:"latest_lag,omitempty"`
}

// Crashed returns the Crash switch, for faults.Crasher.
func (f Faults) Crashed() bool { return f.Crash }

// Store is a weight store that keeps version numbers only, with fault switches.
type Store struct {
	faults.Switches[Faults]
	opts          Options
	mu            sync.Mutex
	latest        map[string]int64
	activeFetches int
	journal       Journal
}

// Journal holds the counters of fetches and the newest version of each model.
type Journal struct {
	Fetched int64 `json:"fetched"`
	Refused int64 `json:"refused"`
	// MaxConcurrentFetches is the maximum number of concurrent fetches.
	MaxConcurrentFetches int              `json:"most_at_once"`
	Latest               map[string]int64 `json:"latest"`
}

// New returns a store with the versions of opts.
func New(opts Options) *Store {
	if opts.LoadRate == 0 {
		opts.LoadRate = DefaultLoadRate
	}
	if opts.FetchMs == 0 {
		opts.FetchMs = DefaultFetchMs
	}
	s := &Store{opts: opts, latest: map[string]int64{}}
	for m, v := range opts.Versions {
		s.latest[m] = v
	}
	return s
}

// Handler returns the store's HTTP handler.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter()
	s.Routes(r)
	r.HandleFunc("/v1/models/{model}/latest", s.handleLatest).Methods(http.MethodGet)
	r.HandleFunc("/v1/models/{model}/versions/{version}", s.handlePublish).Methods(http.MethodPut)
	r.HandleFunc("/v1/models/{model}/versions/{version}/weights", s.handleFetch).Methods(http.MethodGet)
	return r
}

// Routes adds the endpoints /faults and /journal.
func (s *Store) Routes(r *mux.Router) {
	s.RegisterFaults(r)
	faults.HandleJournal(r, s.Journal)
}

// Journal returns a copy of the journal.
func (s *Store) Journal() Journal {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.journal
	j.Latest = map[string]int64{}
	for m, v := range s.latest {
		j.Latest[m] = v
	}
	return j
}

// Publish makes version the newest one of model, unless a newer one is published already.
func (s *Store) Publish(model string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest[model] = max(s.latest[model], version)
}

// admit applies the faults that all requests share and reports whether the request may proceed.
func (s *Store) admit(w http.ResponseWriter, r *http.Request) bool {
	f := s.Faults()
	if f.Hang {
		<-r.Context().Done()
		return false
	}
	if f.Outage {
		http.Error(w, faults.ErrDown.Error(), http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *Store) handleLatest(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	model := mux.Vars(r)["model"]
	s.mu.Lock()
	v := s.latest[model]
	lag := s.Faults().LatestLag
	s.mu.Unlock()
	if v == 0 {
		http.Error(w, "no version of this model; publish one with PUT /v1/models/MODEL/versions/N", http.StatusNotFound)
		return
	}
	process.WriteJSON(w, http.StatusOK, trial.WeightVersion{Model: model, Version: max(1, v-lag), LoadRate: s.opts.LoadRate})
}

func (s *Store) handlePublish(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	v, err := strconv.ParseInt(mux.Vars(r)["version"], 10, 64)
	if err != nil || v <= 0 {
		http.Error(w, "version must be a whole number above 0", http.StatusBadRequest)
		return
	}
	s.Publish(mux.Vars(r)["model"], v)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) handleFetch(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	v, err := strconv.ParseInt(mux.Vars(r)["version"], 10, 64)
	s.mu.Lock()
	latest := s.latest[mux.Vars(r)["model"]]
	f := s.Faults()
	s.mu.Unlock()
	if err != nil || v <= 0 || v > latest {
		http.Error(w, "no such version; ask for the latest first", http.StatusNotFound)
		return
	}
	if f.FetchOutage {
		http.Error(w, faults.ErrDown.Error(), http.StatusServiceUnavailable)
		return
	}
	duration := time.Duration(s.opts.FetchMs) * time.Millisecond
	if f.SlowFactor > 0 {
		duration = time.Duration(float64(duration) * f.SlowFactor)
	}
	if !s.acquireFetchSlot() {
		faults.RespondRateLimited(w, duration, "as many engines are loading as the store serves; try again")
		return
	}
	defer s.releaseFetchSlot()
	if faults.Pause(r.Context(), duration) {
		w.WriteHeader(http.StatusNoContent)
	}
}

// acquireFetchSlot takes one of the LoadRate fetch slots and reports whether one was free.
func (s *Store) acquireFetchSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeFetches >= s.opts.LoadRate {
		s.journal.Refused++
		return false
	}
	s.activeFetches++
	s.journal.Fetched++
	s.journal.MaxConcurrentFetches = max(s.journal.MaxConcurrentFetches, s.activeFetches)
	return true
}

func (s *Store) releaseFetchSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeFetches--
}
