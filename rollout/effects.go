package rollout

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/dispatch"
)

// scoreTimeout limits one score call.
const scoreTimeout = 10 * time.Second

// progress is the output of an attempt so far. The dispatcher writes it, the runner reads it.
type progress struct {
	mu           sync.Mutex
	now          func() time.Time
	text         strings.Builder
	tokens       []int
	spans        []api.Span
	firstTokenAt time.Time
	lastTokenAt  time.Time
	engine       string
}

// add appends a piece of the output.
func (p *progress) add(piece dispatch.Piece) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.text.WriteString(piece.Text)
	p.tokens = append(p.tokens, piece.Tokens...)
	p.spans = appendSpan(p.spans, piece.Version, len(piece.Tokens))
	p.lastTokenAt, p.engine = p.now(), piece.Engine
	if p.firstTokenAt.IsZero() {
		p.firstTokenAt = p.lastTokenAt
	}
}

func appendSpan(spans []api.Span, version int64, tokens int) []api.Span {
	if tokens == 0 {
		return spans
	}
	if n := len(spans); n > 0 && spans[n-1].Version == version {
		spans[n-1].Tokens += tokens
		return spans
	}
	return append(spans, api.Span{Version: version, Tokens: tokens})
}

func (p *progress) report(id AttemptID) (Progress, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastTokenAt.IsZero() {
		return Progress{}, false
	}
	out := Progress{ID: id, Tokens: len(p.tokens), FirstTokenAt: p.firstTokenAt, LastTokenAt: p.lastTokenAt}
	for _, s := range p.spans {
		if s.Version > 0 && (out.OldestVersion == 0 || s.Version < out.OldestVersion) {
			out.OldestVersion = s.Version
		}
	}
	return out, true
}

func (p *progress) copy() (string, []int, []api.Span, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.String(), append([]int(nil), p.tokens...), append([]api.Span(nil), p.spans...), p.engine
}

// perform executes the effects that the step returned.
func (r *runner) perform(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case StartAttempt:
			r.startAttempt(e)
		case CancelAttempt:
			if k := r.tasks[e.ID]; k != nil {
				k.cancel()
				delete(r.tasks, e.ID)
			}
		case StartScore:
			r.startScore(e)
		}
	}
}

func (r *runner) startAttempt(e StartAttempt) {
	call := r.newCall(e)
	p := &progress{now: r.m.opts.Now}
	if k := r.tasks[e.ContinueFrom]; e.ContinueFrom != "" && k != nil {
		text, tokens, spans, engine := k.progress.copy()
		if _, ok := oldestVersion(tokens, spans); ok {
			call.Text, call.Tokens, call.Spans = text, tokens, spans
		}
		call.Avoid = []string{engine}
		r.m.recordEvent("hedged", r.key.id, "attempt", e.ID, "from", e.ContinueFrom, "tokens", len(call.Tokens), "engine", engine)
	}
	p.text.WriteString(call.Text)
	p.tokens = append(p.tokens, call.Tokens...)
	p.spans = append(p.spans, call.Spans...)
	call.OnTokens = p.add
	ctx, cancel := context.WithCancel(r.ctx)
	r.tasks[e.ID] = &task{cancel: cancel, progress: p}
	r.wg.Go(func() {
		defer cancel()
		res, err := r.m.opts.Completer.Complete(ctx, call)
		r.send(newAttemptEnded(e.ID, p, res, err))
	})
}

func newAttemptEnded(id AttemptID, p *progress, res *dispatch.Result, err *api.Error) AttemptEnded {
	p.mu.Lock()
	first := p.firstTokenAt
	p.mu.Unlock()
	if err != nil {
		text, tokens, spans, engine := p.copy()
		return AttemptEnded{ID: id, Text: text, Tokens: tokens, Spans: spans, Engine: engine, FirstTokenAt: first, Err: err}
	}
	return AttemptEnded{ID: id, Text: res.Text, Tokens: res.Tokens, Spans: res.Spans, Engine: res.Engine, FirstTokenAt: first}
}

func (r *runner) newCall(e StartAttempt) dispatch.Call {
	return dispatch.Call{
		RequestID: string(e.ID), Customer: r.route.Customer, Route: r.route.Name, Caller: r.key.trainer,
		Pool: r.route.Pool, Model: r.m.model(r.route.Pool), Prompt: e.Prompt, MaxTokens: r.spec.MaxTokens, Seed: e.Seed,
		Priority: int(r.route.Priority), Deadline: r.deadline,
		Tokens: e.Tokens, Text: e.Text, Spans: e.Spans, MinVersion: e.MinVersion, Rollout: true,
	}
}

// scoreRequest is the JSON body of a score call.
type scoreRequest struct {
	Step   string `json:"step"`
	Slot   int    `json:"slot"`
	Group  string `json:"group"`
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

type scoreResponse struct {
	Score *float64 `json:"score"`
}

func (r *runner) startScore(e StartScore) {
	ctx, cancel := context.WithTimeout(r.ctx, scoreTimeout)
	r.tasks[e.ID] = &task{cancel: cancel}
	r.wg.Go(func() {
		defer cancel()
		score, err := r.score(ctx, e)
		r.send(ScoreEnded{ID: e.ID, Score: score, Err: err})
	})
}

// score calls the step's scorer once. The attempt's ID is the idempotency key, so that a scorer can
// recognize a retry.
func (r *runner) score(ctx context.Context, e StartScore) (float64, *api.Error) {
	tables, _ := r.m.opts.Directory.Tables()
	if tables == nil || tables.Route(r.spec.Scorer) == nil {
		return 0, errorf(api.CodeNoRoute, http.StatusServiceUnavailable, time.Second, "route %q of the scorer is gone; add it again", r.spec.Scorer)
	}
	row := tables.Route(r.spec.Scorer)
	body, err := json.Marshal(scoreRequest{Step: r.key.id, Slot: e.Sample.Slot, Group: e.Sample.Group, Prompt: e.Prompt, Text: e.Sample.Text})
	if err != nil {
		return 0, badRequest("score request does not encode: %v", err)
	}
	deadline, _ := ctx.Deadline()
	ans, cerr := r.m.opts.Services.CallService(ctx, dispatch.ServiceCall{
		RequestID: string(e.ID) + "-score", Route: row.Name, Customer: row.Customer, Caller: r.key.trainer, Path: strings.TrimSuffix(row.PathPrefix, "/") + "/score", Method: http.MethodPost,
		Header: http.Header{"Content-Type": {"application/json"}}, Body: body, Deadline: deadline,
		Idempotent: true, IdempotencyKey: string(e.ID),
	})
	if cerr != nil {
		return 0, cerr
	}
	var out scoreResponse
	if ans.Status != http.StatusOK || json.Unmarshal(ans.Body, &out) != nil || out.Score == nil {
		return 0, errorf(api.CodeTargetFailed, http.StatusBadGateway, 0, "scorer %s answered status %d without a score; see its log", row.Name, ans.Status)
	}
	return *out.Score, nil
}
