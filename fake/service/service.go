// Package service implements a stand-in of a plain service: it executes calls, records them in a
// journal for checkers, scores samples, and can be made to fail at each point of a call.
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

// HeaderCheckID is the request header with which a checker identifies a call in the journal.
const HeaderCheckID = "Check-Id"

// Bounds of the service.
const (
	maxBodyBytes    = 16 << 20
	maxJournalCalls = 1 << 17
	// journalBodyBytes is the length to which the journal truncates bodies.
	journalBodyBytes = 4 << 10
)

// Options configure the stand-in.
type Options struct {
	Name string `json:"name"`
	// WorkMs is the duration of a call, in milliseconds.
	WorkMs int64 `json:"work_ms,omitempty"`
	// Concurrency bounds concurrent calls; further ones are answered with status 503. 0 means no bound.
	Concurrency int `json:"concurrency,omitempty"`
}

// Point is a point in the processing of a call at which a fault can end it.
type Point string

// The points of a call, in order.
const (
	PointAccept   Point = "accept"    // the connection is closed before the request is read
	PointReceived Point = "received"  // the request is read, not executed
	PointExecuted Point = "executed"  // executed, no answer
	PointMidBody  Point = "mid-body"  // executed, half of the response body is sent
	PointLastByte Point = "last-byte" // executed, all but the last byte is sent
)

// Faults are the fault switches of the service. The zero value has no faults.
type Faults struct {
	// Crash resets all connections and refuses new ones.
	Crash bool `json:"crash,omitempty"`
	// DieAt aborts the connections of the next DieCalls calls at a point.
	DieAt Point `json:"die_at,omitempty"`
	// DieCalls is how many calls DieAt applies to; -1 means all.
	DieCalls int `json:"die_calls,omitempty"`
	// Hang holds each request before it is executed until its caller cancels it.
	Hang bool `json:"hang,omitempty"`
	// DelayMs delays each call before it is executed, in milliseconds.
	DelayMs int64 `json:"delay_ms,omitempty"`
	// AnswerDelayMs delays each answer after the call is executed, in milliseconds.
	AnswerDelayMs int64 `json:"answer_delay_ms,omitempty"`
	// Fail is how many of the next calls are answered with status 500 without being executed; -1 means all.
	Fail int `json:"fail,omitempty"`
	// Draining reports in a header of each answer that the service drains; it keeps serving.
	Draining bool `json:"draining,omitempty"`
	// Refuse answers calls with status 503 without executing them.
	Refuse bool `json:"refuse,omitempty"`
	// AnswerTwice sends each answer a second time on the same connection.
	AnswerTwice bool `json:"answer_twice,omitempty"`
	// CloseIdle closes each connection right after its answer, without a header Connection: close.
	CloseIdle bool `json:"close_idle,omitempty"`
}

// Crashed returns the Crash switch, for faults.Crasher.
func (f Faults) Crashed() bool { return f.Crash }

// Call is one executed call.
type Call struct {
	CheckID        string    `json:"check"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	Body           string    `json:"body"`
	Time           time.Time `json:"time"`
	// Draining reports whether the service was announcing that it drains when the call was executed.
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

// Service is a plain service with fault switches that records its calls.
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

// Handler returns the service's HTTP handler. It executes each call; POST /…/score answers with the score of a
// sample, all others with an Answer that echoes the request.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	s.Routes(r)
	r.PathPrefix("/").HandlerFunc(s.handle)
	return r
}

// Routes adds the endpoints /faults and /journal.
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
	if s.takeDieFault(PointAccept) {
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
	defer s.endCall()
	if s.takeDieFault(PointReceived) {
		faults.Abort()
	}
	s.execute(r, body)
	if s.takeDieFault(PointExecuted) {
		faults.Abort()
	}
	f := s.Faults()
	if !faults.Pause(r.Context(), time.Duration(f.AnswerDelayMs)*time.Millisecond) {
		return
	}
	s.answer(w, r, body, f)
}

// takeDieFault uses up one count of DieCalls if DieAt is p, and reports whether the caller must abort the connection.
func (s *Service) takeDieFault(p Point) (applies bool) {
	s.Update(func(f *Faults) {
		applies = f.DieAt == p && f.DieCalls != 0
		if applies && f.DieCalls > 0 {
			f.DieCalls--
		}
	})
	return applies
}

// admit counts a call as running, applies the faults that precede its execution, and reports whether to execute the
// call. If it returns true, the caller must call endCall.
func (s *Service) admit(w http.ResponseWriter, r *http.Request) bool {
	var f Faults
	s.Update(func(switches *Faults) {
		f = *switches
		if f.Fail > 0 {
			switches.Fail--
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
		s.endCall()
		return false
	}
	return true
}

// endCall ends a call that admit has counted as running.
func (s *Service) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// execute executes a call; its effect is its entry in the journal.
func (s *Service) execute(r *http.Request, body []byte) {
	c := Call{
		CheckID: r.Header.Get(HeaderCheckID), IdempotencyKey: r.Header.Get("Idempotency-Key"), Method: r.Method,
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

// Answer is the response body of all calls but those that score a sample.
type Answer struct {
	Service string `json:"service"`
	CheckID string `json:"check"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
}

// ScoreRequest is the request body of POST /…/score: the sample to score.
type ScoreRequest struct {
	Step   string `json:"step"`
	Slot   int    `json:"slot"`
	Group  string `json:"group"`
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

// ScoreAnswer is the response body of POST /…/score; Score is between 0 and 1.
type ScoreAnswer struct {
	Score float64 `json:"score"`
}

// result returns the status and the body of the answer, the latter to be encoded as JSON.
func (s *Service) result(r *http.Request, body []byte) (int, any) {
	if !isScore(r) {
		return http.StatusOK, Answer{Service: s.opts.Name, CheckID: r.Header.Get(HeaderCheckID), Method: r.Method, Path: r.URL.Path, Body: string(body)}
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
