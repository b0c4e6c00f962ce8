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

// CallerFlow is a stream of requests of one caller on one route.
type CallerFlow struct {
	Route  string `json:"route"`
	Caller string `json:"caller"`
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// FromMs and ToMs are the start and end of the flow within the run, in milliseconds; ToMs 0 means the end of the run.
	FromMs int64 `json:"from_ms,omitempty"`
	ToMs   int64 `json:"to_ms,omitempty"`
	// DeadlineMs is how long the caller waits for an answer, in milliseconds.
	DeadlineMs  int64 `json:"deadline_ms"`
	MaxTokens   int   `json:"max_tokens,omitempty"`
	PromptBytes int   `json:"prompt_bytes,omitempty"`
	// SharedBytes is the length of the common prefix of prompts; there are SharedPrompts different prefixes.
	SharedBytes   int `json:"shared_bytes,omitempty"`
	SharedPrompts int `json:"shared_prompts,omitempty"`
	// StreamPercent and ChatPercent are the shares of streamed and of chat completions, in percent.
	StreamPercent int `json:"stream_percent,omitempty"`
	ChatPercent   int `json:"chat_percent,omitempty"`
	// MaxAttempts limits how often a request is sent; 0 means no limit before the deadline.
	MaxAttempts int `json:"tries,omitempty"`
	// Prompt, if not empty, is used in place of generated prompts.
	Prompt string `json:"prompt,omitempty"`
}

// generateCalls returns the calls of the flow, with exponentially distributed times between them (a Poisson process).
func (f *CallerFlow) generateCalls(s *Site, route *config.Route, seed uint64, duration time.Duration) []*call {
	rng := rand.New(rand.NewPCG(seed, uint64(len(f.Route))<<32+uint64(len(f.Caller))))
	from, to := time.Duration(f.FromMs)*time.Millisecond, duration
	if f.ToMs > 0 {
		to = time.Duration(f.ToMs) * time.Millisecond
	}
	var calls []*call
	for start := from; ; {
		start += time.Duration(rng.ExpFloat64() / f.Rate * float64(time.Second))
		if start >= to {
			return calls
		}
		calls = append(calls, f.newCall(s, route, rng, start, fmt.Sprintf("%s-%s-%d-%d", f.Route, f.Caller, seed, len(calls))))
	}
}

func (f *CallerFlow) newCall(s *Site, route *config.Route, rng *rand.Rand, offset time.Duration, name string) *call {
	c := &call{route: route, caller: f.Caller, start: offset, deadline: time.Duration(f.DeadlineMs) * time.Millisecond, maxAttempts: f.MaxAttempts}
	if route.Kind == config.RouteHTTP {
		c.checkID, c.body = name, fmt.Sprintf(`{"entry":%q}`, name)
		return c
	}
	sharedSeed := fmt.Sprintf("%s/%d", f.Caller, rng.IntN(max(1, f.SharedPrompts)))
	c.query = completionQuery{model: s.model(route), seed: rng.Int64N(1 << 40), maxTokens: f.MaxTokens, prompt: f.Prompt}
	if f.Prompt == "" {
		c.query.prompt = prompt(sharedSeed, name, f.PromptBytes, f.SharedBytes)
	}
	c.stream = rng.IntN(100) < f.StreamPercent
	if c.chat = rng.IntN(100) < f.ChatPercent; c.chat {
		c.body = c.query.prompt
		c.query.prompt = answer.ChatPrompt([]answer.Message{{Role: "user", Content: c.body}})
	}
	return c
}

// sendCalls sends the calls at their intended start times without waiting for earlier ones (open loop) and returns
// when all have ended.
func (s *Site) sendCalls(ctx context.Context, calls []*call, runStart time.Time) []callResult {
	results := make([]callResult, len(calls))
	var wg sync.WaitGroup
	for i, c := range calls {
		sleep(ctx, time.Until(runStart.Add(c.start)))
		if ctx.Err() != nil {
			results = results[:i]
			break
		}
		wg.Go(func() { results[i] = s.sendWithRetries(ctx, c, runStart) })
	}
	wg.Wait()
	return results
}

// checkCalls records violated guarantees in the callers' results, using the journals of the HTTP services.
func (chk *checker) checkCalls(results []callResult, journals []service.Journal) {
	executed := map[string]int{}
	for _, j := range journals {
		for _, c := range j.Calls {
			executed[c.CheckID]++
		}
	}
	for i := range results {
		r := &results[i]
		chk.add(&chk.tally.Calls, 1)
		if r.outcome == outcomeAnswered {
			chk.add(&chk.tally.Answered, 1)
			if p := r.versionMismatch(); p != "" {
				chk.recordViolation(&chk.tally.Misversioned, "call of %s at %s: %s", r.call.caller, r.call.start, p)
			}
		}
		if r.outcome == outcomeCut || r.outcome == outcomeFailed || r.outcome == outcomeLate {
			chk.recordViolation(&chk.tally.Cut, "call of %s on %s at %s: %s: %s", r.call.caller, r.call.route.Name, r.call.start, r.outcome, r.detail)
		}
		chk.checkExecuted(r, executed[r.call.checkID])
	}
}

// checkExecuted compares the result of a call to an HTTP service with n, the number of times the service ran it.
func (chk *checker) checkExecuted(r *callResult, n int) {
	if r.call.checkID == "" {
		return
	}
	switch {
	case r.call.route.NonIdempotent && n > 1:
		chk.recordViolation(&chk.tally.Doubled, "call %s ran %d times and may run once", r.call.checkID, n)
	case r.outcome == outcomeAnswered && n == 0:
		chk.recordViolation(&chk.tally.Wrong, "call %s was answered and never ran", r.call.checkID)
	case r.outcome == outcomeRefused && r.notRun && r.attempts == 1 && n > 0:
		chk.recordViolation(&chk.tally.Wrong, "call %s was refused as not run and ran %d times", r.call.checkID, n)
	}
}

// versionMismatch describes how the answer's spans contradict its text, or returns "" if they agree.
func (r *callResult) versionMismatch() string {
	if r.call.route.Kind != config.RouteCompletions {
		return ""
	}
	// If the spans are correct, the tokens generated for their versions are those of the answer.
	tokens := make([]int, 0, r.tokens)
	for _, sp := range r.spans {
		for range sp.Tokens {
			tokens = append(tokens, answer.Token(r.call.query.model, r.call.query.prompt, r.call.query.seed, sp.Version, len(tokens)))
		}
	}
	if len(tokens) != r.tokens || answer.Text(tokens) != r.text {
		return fmt.Sprintf("spans %v do not explain its %d tokens", r.spans, r.tokens)
	}
	return ""
}

// serviceJournals fetches the journals of all HTTP services.
func (s *Site) serviceJournals(ctx context.Context) ([]service.Journal, error) {
	var out []service.Journal
	for _, t := range s.Endpoints.Services {
		var j service.Journal
		if err := s.getJSON(ctx, s.Endpoints.ServicesAdmin+"/"+t.Name+"/journal", &j); err != nil {
			return nil, err
		}
		out = append(out, j)
	}
	return out, nil
}

func (s *Site) getJSON(ctx context.Context, url string, v any) error {
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
		return fmt.Errorf("load: GET %s answered with status %s, want 200", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}
