package gate

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/dispatch"
)

// Defaults and limits of completions.
const (
	defaultMaxTokens     = 16
	defaultChatMaxTokens = 256
	maxMaxTokens         = 1 << 16
	maxModelBytes        = 256
)

// completionRequest is the body of OpenAI's POST /v1/completions, reduced to the fields that the gate uses.
type completionRequest struct {
	Model         string         `json:"model"`
	Prompt        prompt         `json:"prompt"`
	MaxTokens     *int           `json:"max_tokens"`
	N             *int           `json:"n"`
	Seed          *int64         `json:"seed"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// prompt decodes from a string or from a list with one string.
type prompt string

func (p *prompt) UnmarshalJSON(data []byte) error {
	var s string
	if json.Unmarshal(data, &s) == nil {
		*p = prompt(s)
		return nil
	}
	var list []string
	if json.Unmarshal(data, &list) != nil || len(list) != 1 {
		return errors.New("prompt must be one string")
	}
	*p = prompt(list[0])
	return nil
}

// chatRequest is the body of OpenAI's POST /v1/chat/completions, reduced to the fields that the gate uses.
type chatRequest struct {
	Model               string         `json:"model"`
	Messages            []chatMessage  `json:"messages"`
	MaxTokens           *int           `json:"max_tokens"`
	MaxCompletionTokens *int           `json:"max_completion_tokens"`
	N                   *int           `json:"n"`
	Seed                *int64         `json:"seed"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
}

type chatMessage struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content decodes from a string or from a list of text parts, which are concatenated.
type content string

func (c *content) UnmarshalJSON(data []byte) error {
	var s string
	if json.Unmarshal(data, &s) == nil {
		*c = content(s)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(data, &parts) != nil {
		return errors.New("content must be a string or a list of text parts")
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return errors.New("content parts must be of type text")
		}
		b.WriteString(p.Text)
	}
	*c = content(b.String())
	return nil
}

// renderChatPrompt returns the prompt for a chat: one "role: content" line per message, then "assistant:".
func renderChatPrompt(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(string(m.Content))
		b.WriteByte('\n')
	}
	b.WriteString("assistant:")
	return b.String()
}

// completionParams are the parameters of a text or chat completion.
type completionParams struct {
	format       responseFormat
	model        string
	prompt       string
	maxTokens    int
	seed         int64
	stream       bool
	includeUsage bool
}

func (g *Gate) serveCompletions(w http.ResponseWriter, r *http.Request) {
	body, err := g.readBody(w, r)
	if err != nil {
		g.writeError(w, err)
		return
	}
	var req completionRequest
	if err := decode(body, &req); err != nil {
		g.writeError(w, err)
		return
	}
	params := completionParams{format: textFormat{}, model: req.Model, prompt: string(req.Prompt), stream: req.Stream, includeUsage: req.StreamOptions != nil && req.StreamOptions.IncludeUsage}
	params.maxTokens, params.seed = valueOr(req.MaxTokens, defaultMaxTokens), valueOr(req.Seed, 0)
	if err := params.validate(valueOr(req.N, 1)); err != nil {
		g.writeError(w, err)
		return
	}
	g.runCompletion(w, r, params)
}

func (g *Gate) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := g.readBody(w, r)
	if err != nil {
		g.writeError(w, err)
		return
	}
	var req chatRequest
	if err := decode(body, &req); err != nil {
		g.writeError(w, err)
		return
	}
	if len(req.Messages) == 0 {
		g.writeError(w, badRequest("messages is empty; send at least one"))
		return
	}
	params := completionParams{format: chatFormat{}, model: req.Model, prompt: renderChatPrompt(req.Messages), stream: req.Stream, includeUsage: req.StreamOptions != nil && req.StreamOptions.IncludeUsage}
	params.maxTokens = valueOr(req.MaxCompletionTokens, valueOr(req.MaxTokens, defaultChatMaxTokens))
	params.seed = valueOr(req.Seed, 0)
	if err := params.validate(valueOr(req.N, 1)); err != nil {
		g.writeError(w, err)
		return
	}
	g.runCompletion(w, r, params)
}

// valueOr returns *p, or def if p is nil.
func valueOr[T any](p *T, def T) T {
	if p == nil {
		return def
	}
	return *p
}

func (p *completionParams) validate(n int) *api.Error {
	switch {
	case p.model == "" || len(p.model) > maxModelBytes:
		return badRequest("model is missing or too long; see GET /v1/models")
	case p.prompt == "":
		return badRequest("prompt is empty; send text")
	case n != 1:
		return badRequest("n is %d; send one request for each answer", n)
	case p.maxTokens < 1 || p.maxTokens > maxMaxTokens:
		return badRequest("max_tokens is %d; send 1 to %d", p.maxTokens, maxMaxTokens)
	}
	return nil
}

// runCompletion authorizes and runs a completion, and writes the answer, streamed if params.stream is set.
func (g *Gate) runCompletion(w http.ResponseWriter, r *http.Request, params completionParams) {
	auth, err := g.authorize(r, "model "+params.model, func(route *config.Route) bool {
		return route.Kind == config.RouteCompletions && route.Model == params.model
	})
	if err != nil {
		g.writeError(w, err)
		return
	}
	deadline, err := requestDeadline(r, auth.route.TimeoutMs)
	if err != nil {
		g.writeError(w, err)
		return
	}
	call := g.dispatchCall(w, auth, params, deadline)
	started := time.Now()
	g.explain.Add(call.RequestID, "received", "route=%s caller=%s class=%d model=%s max_tokens=%d stream=%t", call.Route, call.Caller, call.Priority, params.model, params.maxTokens, params.stream)
	var res *dispatch.Result
	if params.stream {
		res, err = g.streamCompletion(w, r, params, call)
	} else {
		res, err = g.dispatcher.Complete(r.Context(), call)
		g.writeCompletion(w, params, call, res, err)
	}
	g.logRequest(call.RequestID, auth, started, res, err)
}

// dispatchCall returns the dispatcher's call for a completion. If the route's pool serves another model, the
// requested model is the name of an adapter on it.
func (g *Gate) dispatchCall(w http.ResponseWriter, auth *authorization, params completionParams, deadline time.Time) dispatch.Call {
	call := dispatch.Call{
		RequestID: requestID(w), Customer: auth.route.Customer, Route: auth.route.Name, Caller: auth.caller.Name, Pool: auth.route.Pool,
		Model: params.model, Prompt: params.prompt, MaxTokens: params.maxTokens, Seed: params.seed, Priority: int(auth.route.Priority), Deadline: deadline,
	}
	tables, _ := g.state.Tables()
	if pool := tables.Pool(auth.route.Pool); pool != nil && pool.Model != "" && pool.Model != params.model {
		call.Model, call.Adapter = pool.Model, params.model
	}
	return call
}

func (g *Gate) logRequest(id string, auth *authorization, started time.Time, res *dispatch.Result, err *api.Error) {
	outcome, code, attempts, tokens := api.OutcomeDone, api.Code(""), 0, 0
	if err != nil {
		outcome, code = err.Outcome, err.Code
	} else {
		attempts, tokens = res.Attempts, len(res.Tokens)
	}
	ms := time.Since(started).Milliseconds()
	g.explain.Add(id, "answered", "outcome=%s code=%s ms=%d", outcome, code, ms)
	g.log.Info("request", "id", id, "route", auth.route.Name, "caller", auth.caller.Name, "class", auth.route.Priority, "outcome", outcome,
		"code", code, "attempts", attempts, "tokens", tokens, "ms", ms)
}

func (g *Gate) writeCompletion(w http.ResponseWriter, params completionParams, call dispatch.Call, res *dispatch.Result, err *api.Error) {
	if err != nil {
		g.writeError(w, err)
		return
	}
	spans, merr := json.Marshal(res.Spans)
	if merr != nil {
		g.writeError(w, badRequest("spans do not encode: %v", merr))
		return
	}
	w.Header().Set(api.HeaderOutcome, string(api.OutcomeDone))
	w.Header().Set(api.HeaderSpans, string(spans))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(params.format.response(call.RequestID, params, res)) // fails only if the caller has disconnected
}

// streamCompletion runs a completion and streams its pieces as they arrive. The status line is sent with
// the first piece, so that an error before it gets its own status code.
func (g *Gate) streamCompletion(w http.ResponseWriter, r *http.Request, params completionParams, call dispatch.Call) (*dispatch.Result, *api.Error) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	pieces := make(chan dispatch.Piece, params.maxTokens+1) // each piece has at least one token
	call.OnTokens = func(p dispatch.Piece) {
		select {
		case pieces <- p:
		default:
			cancel()
		}
	}
	type result struct {
		res *dispatch.Result
		err *api.Error
	}
	done := make(chan result, 1)
	go func() {
		res, err := g.dispatcher.Complete(ctx, call)
		close(pieces)
		done <- result{res, err}
	}()
	stream := newStreamWriter(w, params, call.RequestID)
	for p := range pieces {
		if !stream.writePiece(p) {
			cancel()
		}
	}
	last := <-done
	if last.err != nil && !stream.started {
		g.writeError(w, last.err)
		return nil, last.err
	}
	stream.finish(last.res, last.err)
	return last.res, last.err
}

// modelList is the body of OpenAI's GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// listModels returns the models that the request's bearer token may use.
func (g *Gate) listModels(r *http.Request) ([]model, *api.Error) {
	tables, _ := g.state.Tables()
	if tables == nil {
		return nil, errNotReady()
	}
	tokenHash := bearerTokenHash(r)
	models, tokenKnown := []model{}, false
	for i := range tables.Routes {
		route := &tables.Routes[i]
		if tokenHash == "" || findCaller(route, tokenHash) == nil {
			continue
		}
		tokenKnown = true
		if route.Kind == config.RouteCompletions {
			models = append(models, model{ID: route.Model, Object: "model", OwnedBy: route.Customer})
		}
	}
	if !tokenKnown {
		return nil, errNoToken()
	}
	return models, nil
}

func (g *Gate) serveModels(w http.ResponseWriter, r *http.Request) {
	models, err := g.listModels(r)
	if err != nil {
		g.writeError(w, err)
		return
	}
	g.writeDone(w, modelList{Object: "list", Data: models})
}

func (g *Gate) serveModel(w http.ResponseWriter, r *http.Request) {
	models, err := g.listModels(r)
	if err != nil {
		g.writeError(w, err)
		return
	}
	id := mux.Vars(r)["model"]
	for _, m := range models {
		if m.ID == id {
			g.writeDone(w, m)
			return
		}
	}
	g.writeError(w, dispatch.NewError(http.StatusNotFound, api.CodeNoRoute, api.OutcomeNotRun, 0, "model %q is not served to this token; see GET /v1/models", id))
}

// writeDone writes v as JSON with OutcomeDone.
func (g *Gate) writeDone(w http.ResponseWriter, v any) {
	w.Header().Set(api.HeaderOutcome, string(api.OutcomeDone))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has disconnected
}
