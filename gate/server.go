package gate

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/dispatch"
	"github.com/ibistrail/ibistrail/process"
	"github.com/ibistrail/ibistrail/rollout"
)

// Timeouts and limits of callers' requests.
const (
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds the time to read a request body, so that a slow sender cannot hold a connection.
	readTimeout = 30 * time.Second
	// writeTimeout bounds each write of a streamed answer, so that a slow reader cannot hold a connection.
	writeTimeout   = 30 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
	// defaultMaxBodyBytes bounds a request body if max_body_bytes is not set.
	defaultMaxBodyBytes = 8 << 20
	// maxJSONDepth bounds the nesting depth of a JSON body.
	maxJSONDepth = 64
	// notReadyRetryAfter is the Retry-After sent while the gate has no configuration.
	notReadyRetryAfter = time.Second
)

// httpServer returns the HTTP server for callers and trainers. Requests are cancelled when ctx ends.
func (g *Gate) httpServer(ctx context.Context) *http.Server {
	return &http.Server{
		Handler: g.handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
}

func (g *Gate) handler() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") }).Methods(http.MethodGet)
	r.HandleFunc("/readyz", g.serveReady).Methods(http.MethodGet)
	r.HandleFunc("/v1/completions", g.serveCompletions).Methods(http.MethodPost)
	r.HandleFunc("/v1/chat/completions", g.serveChat).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", g.serveModels).Methods(http.MethodGet)
	r.HandleFunc("/v1/models/{model}", g.serveModel).Methods(http.MethodGet)
	r.HandleFunc("/v1/tickets", g.serveTickets).Methods(http.MethodPost)
	rollout.RegisterHTTP(r, g.rollouts, g.authorizeSteps, g.writeError)
	r.PathPrefix("/").HandlerFunc(g.serveService)
	return g.withRequestID(r)
}

// withRequestID sets the request ID and the configuration revision in the response headers, and bounds the
// time to read the body. During a planned stop it closes the connection after the answer, so that the
// balancer opens its next connection to another gate.
func (g *Gate) withRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := uuid.NewString()
		_, revision := g.state.Tables()
		w.Header().Set(api.HeaderRequestID, id)
		w.Header().Set(api.HeaderRevision, strconv.FormatInt(int64(revision), 10))
		if g.stop.stopping() {
			w.Header().Set("Connection", "close")
		}
		r.Body = newTimedBody(w, r.Body, g.readTimeout)
		next.ServeHTTP(w, r)
	})
}

// timedBody is a request body with a read deadline. The deadline is removed at the end of the body, so that
// it does not abort a long answer.
type timedBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

func newTimedBody(w http.ResponseWriter, body io.ReadCloser, timeout time.Duration) io.ReadCloser {
	if body == nil || body == http.NoBody {
		return body
	}
	b := &timedBody{ReadCloser: body, controller: http.NewResponseController(w)}
	_ = b.controller.SetReadDeadline(time.Now().Add(timeout)) // fails only on test connections without deadlines
	return b
}

// Read removes the read deadline when it reaches the end of the body.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.controller.SetReadDeadline(time.Time{}) // fails only on test connections without deadlines
	}
	return n, err
}

func requestID(w http.ResponseWriter) string { return w.Header().Get(api.HeaderRequestID) }

// readiness returns nil if the balancer may send requests to this gate, and otherwise the reason why not.
func (g *Gate) readiness() error {
	if g.stop.stopping() {
		return errStopping
	}
	return g.state.ready()
}

func (g *Gate) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := g.readiness(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n") // fails only if the balancer has disconnected
}

// writeError writes e in the form that OpenAI's clients parse, with the retry headers that they obey.
func (g *Gate) writeError(w http.ResponseWriter, e *api.Error) {
	if e.Outcome == "" {
		e.Outcome = api.OutcomeNotRun
	}
	h := w.Header()
	h.Set(api.HeaderOutcome, string(e.Outcome))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
		h.Set("Retry-After-Ms", strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
		e.RetryAfterMs = e.RetryAfter.Milliseconds()
	} else {
		h.Set("X-Should-Retry", "false")
	}
	if e.Status == 0 {
		e.Status = http.StatusInternalServerError
	}
	g.log.Info("request_refused", "id", requestID(w), "code", e.Code, "outcome", e.Outcome, "status", e.Status, "message", e.Message)
	h.Set("Content-Type", "application/json")
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(api.ErrorBody{Error: e}) // fails only if the caller has disconnected
}

// readBody reads the request body, within the limits on its size and on the time to read it.
func (g *Gate) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *api.Error) {
	limit := g.opts.Settings.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		return nil, dispatch.NewError(http.StatusRequestEntityTooLarge, api.CodeTooLarge, api.OutcomeNotRun, 0, "the body exceeds %d bytes; send less", limit)
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, dispatch.NewError(http.StatusRequestTimeout, api.CodeBadRequest, api.OutcomeNotRun, 0, "the body did not arrive within %s; send it faster", g.readTimeout)
	}
	return nil, badRequest("the body does not read: %v; send it whole", err)
}

func badRequest(format string, args ...any) *api.Error {
	return dispatch.NewError(http.StatusBadRequest, api.CodeBadRequest, api.OutcomeNotRun, 0, format, args...)
}

// decode decodes a JSON body of at most maxJSONDepth levels into v. Unknown fields are ignored: they are
// OpenAI options that the gate does not use.
func decode(body []byte, v any) *api.Error {
	if jsonDepth(body) > maxJSONDepth {
		return badRequest("the body nests deeper than %d levels; flatten it", maxJSONDepth)
	}
	if err := json.Unmarshal(body, v); err != nil {
		return badRequest("the body does not decode: %v; send one JSON document", err)
	}
	return nil
}

// jsonDepth returns the nesting depth of a JSON document, which need not be valid.
func jsonDepth(body []byte) int {
	deepest, level, quoted := 0, 0, false
	for i := 0; i < len(body); i++ {
		switch c := body[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			level++
			deepest = max(deepest, level)
		case c == '}' || c == ']':
			level--
		}
	}
	return deepest
}

// requestDeadline returns the deadline of a request: the smaller of the route's timeout and the timeout that
// the caller sent in HeaderDeadline, both in milliseconds from now.
func requestDeadline(r *http.Request, timeoutMs int64) (time.Time, *api.Error) {
	ms := timeoutMs
	if v := r.Header.Get(api.HeaderDeadline); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n <= 0 {
			return time.Time{}, badRequest("%s is %q; send a number of milliseconds above 0", api.HeaderDeadline, v)
		}
		ms = min(ms, n)
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond), nil
}

// debugServer returns the server for metrics, state and readiness. With the debug setting, tests can also
// make addresses unreachable through it.
func (g *Gate) debugServer() *process.DebugServer {
	d := &process.DebugServer{Metrics: g.opts.Metrics, State: g.dump, Ready: g.readiness}
	if g.opts.Settings.Debug {
		d.Routes = g.opts.Dialer.Routes
	}
	return d
}

// Dump is the gate's answer to /debug/state.
type Dump struct {
	ID          string         `json:"id"`
	Incarnation string         `json:"incarnation"`
	Ready       string         `json:"ready"`
	Revision    int64          `json:"revision"`
	State       any            `json:"state"`
	Dispatch    dispatch.State `json:"dispatch"`
	Steps       any            `json:"steps"`
	Keys        KeysState      `json:"keys"`
}

func (g *Gate) dump() any {
	_, revision := g.state.Tables()
	ready := "ready"
	if err := g.readiness(); err != nil {
		ready = err.Error()
	}
	g.state.mu.RLock()
	state := g.state.state
	g.state.mu.RUnlock()
	return Dump{
		ID: g.opts.Settings.ID, Incarnation: g.incarnation, Ready: ready, Revision: int64(revision), State: state,
		Dispatch: g.dispatcher.State(), Steps: g.rollouts.State(), Keys: g.keys.state(),
	}
}
