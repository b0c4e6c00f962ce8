package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fake/answer"
	"github.com/ibistrail/ibistrail/fake/service"
)

// CallerMix is a flow of callers' requests on one route.
type CallerMix struct {
	Route  string `json:"route"`
	Caller string `json:"caller"`
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// FromMs and ToMs bound the time of the flow; 0 means the whole run.
	FromMs int64 `json:"from_ms,omitempty"`
	ToMs   int64 `json:"to_ms,omitempty"`
	// DeadlineMs is how long the caller waits, in milliseconds.
	DeadlineMs  int64 `json:"deadline_ms"`
	MaxTokens   int   `json:"max_tokens,omitempty"`
	PromptBytes int   `json:"prompt_bytes,omitempty"`
	// SharedBytes of each prompt are one of SharedPrompts beginnings.
	SharedBytes   int `json:"shared_bytes,omitempty"`
	SharedPrompts int `json:"shared_prompts,omitempty"`
	// StreamPercent and ChatPercent are shares of completions.
	StreamPercent int `json:"stream_percent,omitempty"`
	ChatPercent   int `json:"chat_percent,omitempty"`
	// Tries bounds how often a caller sends a request; 0 means as often as fits.
	Tries int `json:"tries,omitempty"`
	// Prompt replaces the generated prompts.
	Prompt string `json:"prompt,omitempty"`
}

// arrivals returns the calls of a mix with exponential times between them.
func (m *CallerMix) arrivals(s *Site, route *config.Route, seed uint64, length time.Duration) []*call {
	rng := rand.New(rand.NewPCG(seed, uint64(len(m.Route))<<32+uint64(len(m.Caller))))
	from, to := time.Duration(m.FromMs)*time.Millisecond, length
	if m.ToMs > 0 {
		to = time.Duration(m.ToMs) * time.Millisecond
	}
	var calls []*call
	for at := from; ; {
		at += time.Duration(rng.ExpFloat64() / m.Rate * float64(time.Second))
		if at >= to {
			return calls
		}
		calls = append(calls, m.call(s, route, rng, at, fmt.Sprintf("%s-%s-%d-%d", m.Route, m.Caller, seed, len(calls))))
	}
}

func (m *CallerMix) call(s *Site, route *config.Route, rng *rand.Rand, at time.Duration, name string) *call {
	c := &call{route: route, caller: m.Caller, at: at, deadline: time.Duration(m.DeadlineMs) * time.Millisecond, tries: m.Tries}
	if route.Kind == config.RouteHTTP {
		c.check, c.body = name, fmt.Sprintf(`{"entry":%q}`, name)
		return c
	}
	owner := fmt.Sprintf("%s/%d", m.Caller, rng.IntN(max(1, m.SharedPrompts)))
	c.question = question{model: s.model(route), seed: rng.Int64N(1 << 40), maxTokens: m.MaxTokens, prompt: m.Prompt}
	if m.Prompt == "" {
		c.question.prompt = prompt(owner, name, m.PromptBytes, m.SharedBytes)
	}
	c.stream = rng.IntN(100) < m.StreamPercent
	if c.chat = rng.IntN(100) < m.ChatPercent; c.chat {
		c.body = c.question.prompt
		c.question.prompt = answer.ChatPrompt([]answer.Message{{Role: "user", Content: c.body}})
	}
	return c
}

// play makes the calls at their intended times, whatever becomes of earlier ones.
func (s *Site) play(ctx context.Context, calls []*call, began time.Time) []callResult {
	results := make([]callResult, len(calls))
	var wg sync.WaitGroup
	for i, c := range calls {
		pause(ctx, time.Until(began.Add(c.at)))
		if ctx.Err() != nil {
			results = results[:i]
			break
		}
		wg.Go(func() { results[i] = s.do(ctx, c, began) })
	}
	wg.Wait()
	return results
}

// checkCalls counts broken promises among the callers' results; journals are those of the services.
func (l *ledger) checkCalls(results []callResult, journals []service.Journal) {
	executed := map[string]int{}
	for _, j := range journals {
		for _, c := range j.Calls {
			executed[c.Check]++
		}
	}
	for i := range results {
		r := &results[i]
		l.count(&l.tally.Calls, 1)
		if r.ending == endAnswered {
			l.count(&l.tally.Answered, 1)
			if p := r.misversioned(); p != "" {
				l.problem(&l.tally.Misversioned, "call of %s at %s: %s", r.call.caller, r.call.at, p)
			}
		}
		if r.ending == endCut || r.ending == endFailed || r.ending == endLate {
			l.problem(&l.tally.Cut, "call of %s on %s at %s: %s: %s", r.call.caller, r.call.route.Name, r.call.at, r.ending, r.detail)
		}
		l.checkExecuted(r, executed[r.call.check])
	}
}

func (l *ledger) checkExecuted(r *callResult, n int) {
	if r.call.check == "" {
		return
	}
	switch {
	case r.call.route.NonIdempotent && n > 1:
		l.problem(&l.tally.Doubled, "call %s ran %d times and may run once", r.call.check, n)
	case r.ending == endAnswered && n == 0:
		l.problem(&l.tally.Wrong, "call %s was answered and never ran", r.call.check)
	case r.ending == endRefused && r.notRun && r.tries == 1 && n > 0:
		l.problem(&l.tally.Wrong, "call %s was refused as not run and ran %d times", r.call.check, n)
	}
}

func (r *callResult) misversioned() string {
	if r.call.route.Kind != config.RouteCompletions {
		return ""
	}
	// The tokens are those of the question wherever the spans are right.
	tokens := make([]int, 0, r.tokens)
	for _, sp := range r.spans {
		for range sp.Tokens {
			tokens = append(tokens, answer.Token(r.call.question.model, r.call.question.prompt, r.call.question.seed, sp.Version, len(tokens)))
		}
	}
	if len(tokens) != r.tokens || answer.Text(tokens) != r.text {
		return fmt.Sprintf("spans %v do not explain its %d tokens", r.spans, r.tokens)
	}
	return ""
}

// journals reads the journals of all services.
func (s *Site) journals(ctx context.Context) ([]service.Journal, error) {
	var out []service.Journal
	for _, t := range s.Endpoints.Services {
		var j service.Journal
		if err := s.get(ctx, s.Endpoints.ServicesAdmin+"/"+t.Name+"/journal", &j); err != nil {
			return nil, err
		}
		out = append(out, j)
	}
	return out, nil
}

func (s *Site) get(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := s.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("load: %s answers %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}
