// Package weightstore is a stand-in of the platform's rate-limited weight store: trainers publish
// versions, engines fetch them, a few at a time.
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

// Bounds where the options name none.
const (
	// DefaultLoadRate is how many engines the store serves at a time.
	DefaultLoadRate = 4
	// DefaultFetchMs is how long one fetch of weights takes, in milliseconds.
	DefaultFetchMs = 200
)

// Options configure the stand-in.
type Options struct {
	LoadRate int   `json:"load_rate,omitempty"`
	FetchMs  int64 `json:"fetch_ms,omitempty"`
	// Versions are the newest versions at the start, by model.
	Versions map[string]int64 `json:"versions,omitempty"`
}

// Faults are the switches of the weight store.
type Faults struct {
	// Crash closes all connections and refuses new ones.
	Crash bool `json:"crash,omitempty"`
	// Outage answers each request with status 503.
	Outage bool `json:"outage,omitempty"`
	// FetchOutage answers fetches of weights with status 503.
	FetchOutage bool `json:"fetch_outage,omitempty"`
	// Hang holds each request until its caller gives up.
	Hang bool `json:"hang,omitempty"`
	// SlowFactor multiplies the time of a fetch; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// LatestLag is how many versions the answer to latest lags behind.
	LatestLag int64 `json:"latest_lag,omitempty"`
}

// Crashed implements faults.Crasher.
func (f Faults) Crashed() bool { return f.Crash }

// Store is the stand-in.
type Store struct {
	faults.Switches[Faults]
	opts    Options
	mu      sync.Mutex
	latest  map[string]int64
	loading int
	journal Journal
}

// Journal counts fetches.
type Journal struct {
	Fetched int64 `json:"fetched"`
	Refused int64 `json:"refused"`
	// MostAtOnce is the largest number of fetches at a time.
	MostAtOnce int              `json:"most_at_once"`
	Latest     map[string]int64 `json:"latest"`
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

// Routes adds the switches and the journal.
func (s *Store) Routes(r *mux.Router) {
	s.RegisterFaults(r)
	faults.HandleJournal(r, s.Journal)
}

// Journal returns the counters.
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

// Publish makes version the newest of model unless a newer one is there.
func (s *Store) Publish(model string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest[model] = max(s.latest[model], version)
}

// admit applies the faults that all requests share and tells whether to go on.
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
	took := time.Duration(s.opts.FetchMs) * time.Millisecond
	if f.SlowFactor > 0 {
		took = time.Duration(float64(took) * f.SlowFactor)
	}
	if !s.begin() {
		faults.Refuse(w, took, "as many engines are loading as the store serves; try again")
		return
	}
	defer s.end()
	if faults.Pause(r.Context(), took) {
		w.WriteHeader(http.StatusNoContent)
	}
}

// begin takes a place for a fetch and tells whether there was one.
func (s *Store) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loading >= s.opts.LoadRate {
		s.journal.Refused++
		return false
	}
	s.loading++
	s.journal.Fetched++
	s.journal.MostAtOnce = max(s.journal.MostAtOnce, s.loading)
	return true
}

func (s *Store) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading--
}
