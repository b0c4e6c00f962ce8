package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/ibistrail/ibistrail/fake/faults"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/trial"
)

// PathChat is OpenAI's path of chat completions.
const PathChat = "/v1/chat/completions"

// Handler returns the engine's HTTP handler.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	e.Routes(r)
	r.HandleFunc(trial.PathCompletions, e.handleCompletion).Methods(http.MethodPost)
	r.HandleFunc(PathChat, e.handleChat).Methods(http.MethodPost)
	r.HandleFunc(trial.PathStreams+"{id}", e.handleResume).Methods(http.MethodGet)
	r.HandleFunc(trial.PathStreams+"{id}", e.handleCancel).Methods(http.MethodDelete)
	r.HandleFunc(trial.PathKV+"/{id}", e.handleExportKV).Methods(http.MethodGet)
	r.HandleFunc(trial.PathKV, e.handleImportKV).Methods(http.MethodPost)
	r.HandleFunc(trial.PathLoad, e.handleLoad).Methods(http.MethodGet)
	r.HandleFunc(trial.PathCacheEvents, e.handleCacheEvents).Methods(http.MethodGet)
	r.HandleFunc(trial.PathStatus, e.handleStatus).Methods(http.MethodGet)
	r.HandleFunc(trial.PathOrders, e.handleOrder).Methods(http.MethodPost)
	return e.withDrainingHeader(r)
}

// Routes adds the endpoints /faults and /journal.
func (e *Engine) Routes(r *mux.Router) {
	faults.HandleFaults(r, e.Faults, e.SetFaults)
	r.HandleFunc("/journal", func(w http.ResponseWriter, _ *http.Request) {
		process.WriteJSON(w, http.StatusOK, e.Journal())
	}).Methods(http.MethodGet)
}

// withDrainingHeader sets HeaderDraining on each answer of a draining engine.
func (e *Engine) withDrainingHeader(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.Faults().Draining {
			w.Header().Set(trial.HeaderDraining, "true")
		}
		h.ServeHTTP(w, r)
	})
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	process.WriteJSON(w, http.StatusOK, e.Load())
}

func (e *Engine) handleStatus(w http.ResponseWriter, _ *http.Request) {
	process.WriteJSON(w, http.StatusOK, e.Status())
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, err := queryInt(r, "since")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	lag := time.Duration(e.opts.CacheEventLagMs) * time.Millisecond
	events, next := e.model.cache.since(time.Now(), since, lag, e.opts.CacheEventGapEvery)
	res := trial.CacheEvents{Boot: e.boot, Events: events, Next: next}
	e.mu.Unlock()
	process.WriteJSON(w, http.StatusOK, res)
}

func queryInt(r *http.Request, key string) (int64, error) {
	v := r.URL.Query().Get(key)
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < 0 {
		return 0, errors.New(key + " is no whole number; use 0 or more")
	}
	return n, nil
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	if e.takeDieFault(PointAccept) {
		faults.Abort()
	}
	req := new(trial.CompletionRequest)
	if err := readBody(w, r, req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.serve(w, r, req, completionFormat{model: req.Model})
}

// readBody decodes a request of OpenAI's API; unknown fields are ignored.
func readBody(w http.ResponseWriter, r *http.Request, v any) error {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		return fmt.Errorf("body does not decode: %w; send one JSON document", err)
	}
	return nil
}

// serve queues a request and sends its answer in a format, subject to the fault switches.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request, req *trial.CompletionRequest, f format) {
	if e.takeDieFault(PointReceived) {
		faults.Abort()
	}
	switches := e.Faults()
	if switches.Hang {
		<-r.Context().Done()
		return
	}
	if switches.Refuse {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "not queued: refused by fault switch; use another engine", http.StatusServiceUnavailable)
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	s, err := e.submit(time.Now(), req)
	if err != nil {
		rejectRequest(w, err)
		return
	}
	e.answer(w, r, s, 0, req.Stream, f)
}

// defaultMaxTokens is OpenAI's default of max_tokens.
const defaultMaxTokens = 16

// rejectRequest answers a request that submit has rejected.
func rejectRequest(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errQueueFull):
		faults.RespondRateLimited(w, time.Second, err.Error())
	case errors.Is(err, errModelNotLoaded):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, errNoWeights):
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case errors.Is(err, errDuplicateID):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// answer sends the answer of s starting at token index from.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, s *sequence, from int, stream bool, f format) {
	source := e.attach(s, from)
	defer source.close()
	a := &answerWriter{e: e, w: w, r: r, source: source, format: f, boot: e.Status().Boot, created: time.Now().Unix(), id: s.id}
	a.crossAnswer = e.takeFault(func(f *Faults) *int { return &f.CrossAnswers })
	if stream {
		a.sendStream()
		return
	}
	a.sendWhole()
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	from, err := queryInt(r, "from")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	s := e.sequences[mux.Vars(r)["id"]]
	model := e.modelName
	e.mu.Unlock()
	if s == nil {
		http.Error(w, "stream is not known here; send the request again with prefix_tokens", http.StatusNotFound)
		return
	}
	e.answer(w, r, s, int(from), true, completionFormat{model: model})
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sequences[mux.Vars(r)["id"]]
	if s == nil {
		http.Error(w, "stream is not known here; nothing to cancel", http.StatusNotFound)
		return
	}
	if !e.faults.IgnoreCancel {
		e.model.abort(time.Now(), s)
	}
	w.WriteHeader(http.StatusNoContent)
}
