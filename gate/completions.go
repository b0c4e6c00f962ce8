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

// Bounds of completions.
const (
	defaultMaxTokens     = 16
	defaultChatMaxTokens = 256
	maxMaxTokens         = 1 << 16
	maxModelBytes        = 256
)

// completionRequest is the part of OpenAI's POST /v1/completions that the system needs.
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

// prompt is a string, or a list of one string.
type prompt string

// UnmarshalJSON implements json.Unmarshaler.
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

// chatRequest is the part of OpenAI's POST /v1/chat/completions that the system needs.
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

// content is a string, or a list of text parts.
type content string

// UnmarshalJSON implements json.Unmarshaler.
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

// render writes a chat as the prompt that the engine continues.
func render(messages []chatMessage) string {
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

// ask is a completion in either of OpenAI's forms.
type ask struct {
	form      form
	model     string
	prompt    string
	maxTokens int
	seed      int64
	stream    bool
	usage     bool
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
	a := ask{form: textForm{}, model: req.Model, prompt: string(req.Prompt), stream: req.Stream, usage: req.StreamOptions != nil && req.StreamOptions.IncludeUsage}
	a.maxTokens, a.seed = value(req.MaxTokens, defaultMaxTokens), value(req.Seed, 0)
	if err := a.check(value(req.N, 1)); err != nil {
		g.writeError(w, err)
		return
	}
	g.complete(w, r, a)
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
	a := ask{form: chatForm{}, model: req.Model, prompt: render(req.Messages), stream: req.Stream, usage: req.StreamOptions != nil && req.StreamOptions.IncludeUsage}
	a.maxTokens = value(req.MaxCompletionTokens, value(req.MaxTokens, defaultChatMaxTokens))
	a.seed = value(req.Seed, 0)
	if err := a.check(value(req.N, 1)); err != nil {
		g.writeError(w, err)
		return
	}
	g.complete(w, r, a)
}

func value[T any](p *T, def T) T {
	if p == nil {
		return def
	}
	return *p
}

func (a *ask) check(n int) *api.Error {
	switch {
	case a.model == "" || len(a.model) > maxModelBytes:
		return badRequest("model is missing or too long; see GET /v1/models")
	case a.prompt == "":
		return badRequest("prompt is empty; send text")
	case n != 1:
		return badRequest("n is %d; send one request for each answer", n)
	case a.maxTokens < 1 || a.maxTokens > maxMaxTokens:
		return badRequest("max_tokens is %d; send 1 to %d", a.maxTokens, maxMaxTokens)
	}
	return nil
}

// complete runs a completion and answers it, streamed or whole.
func (g *Gate) complete(w http.ResponseWriter, r *http.Request, a ask) {
	adm, err := g.admit(r, "model "+a.model, func(row *config.Route) bool { return row.Kind == config.RouteCompletions && row.Model == a.model })
	if err != nil {
		g.writeError(w, err)
		return
	}
	until, err := deadline(r, adm.row.TimeoutMs)
	if err != nil {
		g.writeError(w, err)
		return
	}
	c := g.call(w, adm, a, until)
	started := time.Now()
	g.explain.Add(c.RequestID, "received", "route=%s caller=%s class=%d model=%s max_tokens=%d stream=%t", c.Route, c.Caller, c.Priority, a.model, a.maxTokens, a.stream)
	var res *dispatch.Result
	if a.stream {
		res, err = g.stream(w, r, a, c)
	} else {
		res, err = g.dispatcher.Complete(r.Context(), c)
		g.answerWhole(w, a, c, res, err)
	}
	g.logRequest(c.RequestID, adm, started, res, err)
}

func (g *Gate) call(w http.ResponseWriter, adm *admitted, a ask, until time.Time) dispatch.Call {
	c := dispatch.Call{
		RequestID: requestID(w), Customer: adm.row.Customer, Route: adm.row.Name, Caller: adm.caller.Name, Pool: adm.row.Pool,
		Model: a.model, Prompt: a.prompt, MaxTokens: a.maxTokens, Seed: a.seed, Priority: int(adm.row.Priority), Deadline: until,
	}
	tables, _ := g.state.Tables()
	if p := tables.Pool(adm.row.Pool); p != nil && p.Model != "" && p.Model != a.model {
		c.Model, c.Adapter = p.Model, a.model
	}
	return c
}

func (g *Gate) logRequest(id string, adm *admitted, started time.Time, res *dispatch.Result, err *api.Error) {
	outcome, code, attempts, tokens := api.OutcomeDone, api.Code(""), 0, 0
	if err != nil {
		outcome, code = err.Outcome, err.Code
	} else {
		attempts, tokens = res.Attempts, len(res.Tokens)
	}
	ms := time.Since(started).Milliseconds()
	g.explain.Add(id, "answered", "outcome=%s code=%s ms=%d", outcome, code, ms)
	g.log.Info("request", "id", id, "route", adm.row.Name, "caller", adm.caller.Name, "class", adm.row.Priority, "outcome", outcome,
		"code", code, "attempts", attempts, "tokens", tokens, "ms", ms)
}

func (g *Gate) answerWhole(w http.ResponseWriter, a ask, c dispatch.Call, res *dispatch.Result, err *api.Error) {
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
	_ = json.NewEncoder(w).Encode(a.form.whole(c.RequestID, a, res)) // the caller has gone
}

// stream runs a completion and sends its pieces as they come. The status line waits for the first
// piece, so that a refusal has its own.
func (g *Gate) stream(w http.ResponseWriter, r *http.Request, a ask, c dispatch.Call) (*dispatch.Result, *api.Error) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	pieces := make(chan dispatch.Piece, a.maxTokens+1) // each piece has a token at least
	c.OnTokens = func(p dispatch.Piece) {
		select {
		case pieces <- p:
		default:
			cancel()
		}
	}
	type end struct {
		res *dispatch.Result
		err *api.Error
	}
	ended := make(chan end, 1)
	go func() {
		res, err := g.dispatcher.Complete(ctx, c)
		close(pieces)
		ended <- end{res, err}
	}()
	s := newSender(w, a, c.RequestID)
	for p := range pieces {
		if !s.piece(p) {
			cancel()
		}
	}
	e := <-ended
	if e.err != nil && !s.started {
		g.writeError(w, e.err)
		return nil, e.err
	}
	s.end(e.res, e.err)
	return e.res, e.err
}

// modelList is OpenAI's list of models.
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

func (g *Gate) models(r *http.Request) ([]model, *api.Error) {
	tables, _ := g.state.Tables()
	if tables == nil {
		return nil, errNotReady()
	}
	hash := bearer(r)
	out, known := []model{}, false
	for i := range tables.Routes {
		row := &tables.Routes[i]
		if hash == "" || callerOf(row, hash) == nil {
			continue
		}
		known = true
		if row.Kind == config.RouteCompletions {
			out = append(out, model{ID: row.Model, Object: "model", OwnedBy: row.Customer})
		}
	}
	if !known {
		return nil, errNoToken()
	}
	return out, nil
}

func (g *Gate) serveModels(w http.ResponseWriter, r *http.Request) {
	all, err := g.models(r)
	if err != nil {
		g.writeError(w, err)
		return
	}
	g.writeDone(w, modelList{Object: "list", Data: all})
}

func (g *Gate) serveModel(w http.ResponseWriter, r *http.Request) {
	all, err := g.models(r)
	if err != nil {
		g.writeError(w, err)
		return
	}
	id := mux.Vars(r)["model"]
	for _, m := range all {
		if m.ID == id {
			g.writeDone(w, m)
			return
		}
	}
	g.writeError(w, dispatch.NewError(http.StatusNotFound, api.CodeNoRoute, api.OutcomeNotRun, 0, "model %q is not served to this token; see GET /v1/models", id))
}

func (g *Gate) writeDone(w http.ResponseWriter, v any) {
	w.Header().Set(api.HeaderOutcome, string(api.OutcomeDone))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller has gone
}
