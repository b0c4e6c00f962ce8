// Package service is a stand-in of a plain service: it executes calls, keeps a journal of them for a
// checker, scores samples, and fails on request at each point of a call.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/ibistrail/ibistrail/fake/answer"
	"github.com/ibistrail/ibistrail/fake/faults"
	"github.com/ibistrail/ibistrail/trial"
)

// HeaderCheck names a call in the journal, for a checker.
const HeaderCheck = "Check-Id"

// Bounds of the service.
const (
	maxBodyBytes    = 16 << 20
	maxJournalCalls = 1 << 17
	// journalBodyBytes bounds the part of a body that the journal keeps.
	journalBodyBytes = 4 << 10
)

// Options configure the stand-in.
type Options struct {
	Name string `json:"name"`
	// WorkMs is how long a call takes, in milliseconds.
	WorkMs int64 `json:"work_ms,omitempty"`
	// Concurrency bounds calls at a time; more are answered with 503. 0 means no bound.
	Concurrency int `json:"concurrency,omitempty"`
}

// Point is a place in the course of a call.
type Point string

// The points of a call, in order.
const (
	PointAccept   Point = "accept"    // the connection is closed before the request is read
	PointReceived Point = "received"  // the request is read, not executed
	PointExecuted Point = "executed"  // executed, no answer
	PointMidBody  Point = "mid-body"  // executed, half of the answer's body
	PointLastByte Point = "last-byte" // executed, all but the last byte
)

// Faults are the switches of the service.
type Faults struct {
	// Crash closes all connections and refuses new ones.
	Crash bool `json:"crash,omitempty"`
	// DieAt ends the connection of the next DieCalls calls at a point.
	DieAt Point `json:"die_at,omitempty"`
	// DieCalls is how many calls die; -1 means all.
	DieCalls int `json:"die_calls,omitempty"`
	// Hang holds each request before it is executed until its caller gives up.
	Hang bool `json:"hang,omitempty"`
	// DelayMs slows each call before it is executed, in milliseconds.
	DelayMs int64 `json:"delay_ms,omitempty"`
	// AnswerDelayMs holds each answer back after the call was executed, in milliseconds.
	AnswerDelayMs int64 `json:"answer_delay_ms,omitempty"`
	// Fail is how many of the next calls are answered with status 500 without being executed; -1 means all.
	Fail int `json:"fail,omitempty"`
	// Draining tells with each answer that the service is leaving; it goes on serving.
	Draining bool `json:"draining,omitempty"`
	// Refuse answers calls with 503 without executing them.
	Refuse bool `json:"refuse,omitempty"`
	// AnswerTwice sends each answer a second time on the same connection.
	AnswerTwice bool `json:"answer_twice,omitempty"`
	// CloseIdle closes each connection right after its answer, without announcing it.
	CloseIdle bool `json:"close_idle,omitempty"`
}

// Crashed implements faults.Crasher.
func (f Faults) Crashed() bool { return f.Crash }

// Call is one executed call.
type Call struct {
	Check          string    `json:"check"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	Body           string    `json:"body"`
	Time           time.Time `json:"time"`
	// Draining tells that the service had said that it was leaving.
	Draining bool `json:"draining,omitempty"`
}

// Journal lists executed calls, the oldest first, and counts received and refused ones.
type Journal struct {
	Name     string `json:"name"`
	Received int64  `json:"received"`
	Executed int64  `json:"executed"`
	Refused  int64  `json:"refused"`
	Calls    []Call `json:"calls"`
}

// Service is the stand-in.
type Service struct {
	faults.Switches[Faults]
	opts    Options
	mu      sync.Mutex
	journal Journal
	running int
}

// New returns a service without calls.
func New(opts Options) *Service {
	return &Service{opts: opts, journal: Journal{Name: opts.Name, Calls: []Call{}}}
}

// Handler returns the service's HTTP handler: POST /…/score scores a sample, any other path is
// executed and answered with what was received.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	s.Routes(r)
	r.PathPrefix("/").HandlerFunc(s.handle)
	return r
}

// Routes adds the switches and the journal.
func (s *Service) Routes(r *mux.Router) {
	s.RegisterFaults(r)
	faults.HandleJournal(r, s.Journal)
}

// Journal returns a copy of the journal.
func (s *Service) Journal() Journal {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.journal
	j.Calls = append([]Call{}, j.Calls...)
	return j
}

func (s *Service) handle(w http.ResponseWriter, r *http.Request) {
	if s.dies(PointAccept) {
		faults.Abort()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body does not read; send at most 16 MiB", http.StatusBadRequest)
		return
	}
	if !s.admit(w, r) {
		return
	}
	defer s.leave()
	if s.dies(PointReceived) {
		faults.Abort()
	}
	s.execute(r, body)
	if s.dies(PointExecuted) {
		faults.Abort()
	}
	f := s.Faults()
	if !faults.Pause(r.Context(), time.Duration(f.AnswerDelayMs)*time.Millisecond) {
		return
	}
	s.answer(w, r, body, f)
}

// dies uses up one count of the fault at point p and tells whether it holds.
func (s *Service) dies(p Point) (dies bool) {
	s.Use(func(f *Faults) {
		dies = f.DieAt == p && f.DieCalls != 0
		if dies && f.DieCalls > 0 {
			f.DieCalls--
		}
	})
	return dies
}

// admit takes a place for a call, or answers why there is none.
func (s *Service) admit(w http.ResponseWriter, r *http.Request) bool {
	var f Faults
	s.Use(func(all *Faults) {
		f = *all
		if f.Fail > 0 {
			all.Fail--
		}
	})
	s.mu.Lock()
	s.journal.Received++
	full := s.opts.Concurrency > 0 && s.running >= s.opts.Concurrency
	if f.Fail != 0 || f.Refuse || full {
		s.journal.Refused++
	} else {
		s.running++
	}
	s.mu.Unlock()
	if f.Draining {
		w.Header().Set(trial.HeaderDraining, "true")
	}
	switch {
	case f.Fail != 0:
		http.Error(w, "failure by fault switch; post {} to /faults to end it", http.StatusInternalServerError)
		return false
	case f.Refuse, full:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "not executed: refusing or full; use another target", http.StatusServiceUnavailable)
		return false
	}
	if f.Hang {
		<-r.Context().Done()
	}
	if !faults.Pause(r.Context(), time.Duration(f.DelayMs+s.opts.WorkMs)*time.Millisecond) {
		s.leave()
		return false
	}
	return true
}

func (s *Service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// execute is the effect of a call: its entry in the journal.
func (s *Service) execute(r *http.Request, body []byte) {
	c := Call{
		Check: r.Header.Get(HeaderCheck), IdempotencyKey: r.Header.Get("Idempotency-Key"), Method: r.Method,
		Path: r.URL.Path, Body: string(body[:min(len(body), journalBodyBytes)]), Time: time.Now(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Draining = s.Faults().Draining
	s.journal.Executed++
	if len(s.journal.Calls) < maxJournalCalls {
		s.journal.Calls = append(s.journal.Calls, c)
	}
}

// Answer is the body of an answer to any path but /score.
type Answer struct {
	Service string `json:"service"`
	Check   string `json:"check"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
}

// ScoreRequest asks for the score of a sample.
type ScoreRequest struct {
	Step   string `json:"step"`
	Slot   int    `json:"slot"`
	Group  string `json:"group"`
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

// ScoreAnswer carries a score.
type ScoreAnswer struct {
	Score float64 `json:"score"`
}

// result returns the status and the value of the answer.
func (s *Service) result(r *http.Request, body []byte) (int, any) {
	if !isScore(r) {
		return http.StatusOK, Answer{Service: s.opts.Name, Check: r.Header.Get(HeaderCheck), Method: r.Method, Path: r.URL.Path, Body: string(body)}
	}
	var req ScoreRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return http.StatusBadRequest, map[string]string{"error": fmt.Sprintf("body does not decode: %v; send step, slot, group, prompt and text", err)}
	}
	return http.StatusOK, ScoreAnswer{Score: answer.Score(req.Prompt, req.Text)}
}

func isScore(r *http.Request) bool {
	const suffix = "/score"
	p := r.URL.Path
	return r.Method == http.MethodPost && len(p) >= len(suffix) && p[len(p)-len(suffix):] == suffix
}
