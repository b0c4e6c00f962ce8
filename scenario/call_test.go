package scenario

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/fake/answer"
	"github.com/ibistrail/ibistrail/fake/deployment"
	"github.com/ibistrail/ibistrail/fake/service"
)

// callTimeout is how long a caller waits for a whole answer.
const callTimeout = 60 * time.Second

// result is the answer that a caller received to one request.
type result struct {
	done chan struct{}
	// Outcome is done, not-run, unknown, or cut if the answer was incomplete or absent.
	Outcome    string  `json:"outcome"`
	Status     int     `json:"status"`
	Code       string  `json:"code"`
	RetryAfter string  `json:"retry_after"`
	Replayed   bool    `json:"replayed"`
	Own        bool    `json:"own"` // the answer is complete and belongs to this request
	Tokens     int     `json:"tokens"`
	Versions   []int64 `json:"versions"`
	Err        string  `json:"err,omitempty"`
	Seconds    float64 `json:"seconds"`
	body       []byte
	header     http.Header
	trailer    http.Header
}

// gateURL returns the base URL of the gate with the given number, counted from 1.
func (c *cluster) gateURL(number string) (string, error) {
	n, err := strconv.Atoi(number)
	if err != nil || n < 1 || n > len(c.plan.Gates) {
		return "", fmt.Errorf("no gate %q", number)
	}
	return "http://" + c.plan.Gates[n-1].GateHTTP, nil
}

// httpCall describes one HTTP request of a caller.
type httpCall struct {
	url, caller, method, path string
	header                    map[string]string
	body                      []byte
	timeout                   time.Duration
}

// sendCall sends a caller's request through hc and reads the whole answer.
func (c *cluster) sendCall(hc *http.Client, q httpCall) *result {
	r := &result{done: make(chan struct{}), Outcome: "cut"}
	defer close(r.done)
	began := time.Now()
	defer func() { r.Seconds = time.Since(began).Seconds() }()
	if q.timeout == 0 {
		q.timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(c.ctx, q.timeout)
	defer cancel()
	// A plain reader as body keeps net/http from resending the request.
	req, err := http.NewRequestWithContext(ctx, q.method, q.url+q.path, io.MultiReader(bytes.NewReader(q.body)))
	if err != nil {
		r.Err = err.Error()
		return r
	}
	req.Header.Set("Authorization", "Bearer "+deployment.CallerToken(q.caller))
	req.Header.Set("Content-Type", "application/json")
	for k, v := range q.header {
		req.Header.Set(k, v)
	}
	resp, err := hc.Do(req)
	if err != nil {
		r.Err = err.Error()
		return r
	}
	defer resp.Body.Close()
	r.Status, r.header, r.RetryAfter = resp.StatusCode, resp.Header, resp.Header.Get("Retry-After")
	r.Replayed = resp.Header.Get("Ibistrail-Replayed") == "true"
	if r.body, err = io.ReadAll(resp.Body); err != nil {
		r.Err = err.Error()
		return r
	}
	r.trailer = resp.Trailer
	r.parseOutcome()
	return r
}

// parseOutcome sets the outcome and the error code from the headers, trailers and body of a whole answer.
func (r *result) parseOutcome() {
	r.Outcome = r.header.Get(api.HeaderOutcome)
	if t := r.trailer.Get(api.HeaderOutcome); t != "" {
		r.Outcome = t
	}
	if r.Status < http.StatusBadRequest {
		return
	}
	var e api.ErrorBody
	if json.Unmarshal(r.body, &e) == nil && e.Error != nil {
		r.Code = string(e.Error.Code)
	}
}

// newCallClient returns a client that opens a new connection for each request.
func newCallClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// runCall runs f, in the background if the flag bg is given, and stores its result under the command's first argument.
func (c *cluster) runCall(args cmdArgs, f func() *result) error {
	name := args.positional(0)
	pending := &result{done: make(chan struct{})}
	c.mu.Lock()
	_, taken := c.results[name]
	c.results[name] = pending
	c.mu.Unlock()
	if taken {
		return fmt.Errorf("the name %q is already used by another call; choose a different one", name)
	}
	work := func() {
		r := f()
		c.mu.Lock()
		defer c.mu.Unlock()
		r.done = pending.done
		*pending = *r
		close(pending.done)
	}
	if args.hasFlag("bg") {
		c.wg.Go(work)
		return nil
	}
	work()
	return nil
}

// cmdTicket requests a ticket: ticket NAME gate=N as=CALLER.
func (c *cluster) cmdTicket(args cmdArgs) error {
	url, err := c.gateURL(args.option("gate", "1"))
	if err != nil {
		return err
	}
	r := c.sendCall(newCallClient(), httpCall{url: url, caller: args.option("as", "desk-app"), method: http.MethodPost, path: "/v1/tickets"})
	var t api.TicketResponse
	if err := json.Unmarshal(r.body, &t); err != nil || t.Ticket == "" {
		return fmt.Errorf("gate returned no ticket: %s %s", compactJSON(r), r.body)
	}
	c.tickets[args.positional(0)] = t.Ticket
	return nil
}

// cmdCall sends a call to a service: call NAME gate=N as=CALLER path=P [key=K] [ticket=T] [check=ID]
// [body=B] [method=M] [deadline=MS] [timeout=MS] [bg].
func (c *cluster) cmdCall(args cmdArgs) error {
	url, err := c.gateURL(args.option("gate", "1"))
	if err != nil {
		return err
	}
	q := httpCall{
		url: url, caller: args.option("as", "desk-app"), method: args.option("method", http.MethodPost), path: args.option("path", "/errata/corrections"),
		body: []byte(args.option("body", args.positional(0))), timeout: time.Duration(args.intOption("timeout", 0)) * time.Millisecond,
		header: map[string]string{service.HeaderCheckID: args.option("check", args.positional(0))},
	}
	if k := args.option("key", ""); k != "" {
		q.header[api.HeaderIdempotencyKey] = k
	}
	if t := args.option("ticket", ""); t != "" {
		q.header[api.HeaderTicket] = c.tickets[t]
	}
	if d := args.option("deadline", ""); d != "" {
		q.header[api.HeaderDeadline] = d
	}
	return c.runCall(args, func() *result { return c.callService(newCallClient(), q) })
}

// callService sends a call to a service and sets Own if the answer echoes the request.
func (c *cluster) callService(hc *http.Client, q httpCall) *result {
	r := c.sendCall(hc, q)
	var a service.Answer
	if r.Status == http.StatusOK && json.Unmarshal(r.body, &a) == nil {
		r.Own = a.CheckID == q.header[service.HeaderCheckID] && a.Body == string(q.body) && a.Path == q.path && a.Method == q.method
	}
	return r
}

// completionRequest is a caller's request for a completion.
type completionRequest struct {
	httpCall
	model, prompt string
	maxTokens     int
	seed          int64
	stream        bool
}

// cmdComplete requests a completion: complete NAME gate=N as=CALLER model=M prompt=P max=N seed=N
// [whole] [deadline=MS] [timeout=MS] [bg]; it is streamed unless whole is given.
func (c *cluster) cmdComplete(args cmdArgs) error {
	url, err := c.gateURL(args.option("gate", "1"))
	if err != nil {
		return err
	}
	q := completionRequest{
		httpCall: httpCall{url: url, caller: args.option("as", "desk-app"), timeout: time.Duration(args.intOption("timeout", 0)) * time.Millisecond, header: map[string]string{}},
		model:    args.option("model", "drafting"), prompt: args.option("prompt", "prompt of "+args.positional(0)), maxTokens: int(args.intOption("max", 60)),
		seed: args.intOption("seed", 1), stream: !args.hasFlag("whole"),
	}
	if d := args.option("deadline", ""); d != "" {
		q.header[api.HeaderDeadline] = d
	}
	return c.runCall(args, func() *result { return c.requestCompletion(newCallClient(), q) })
}

func (c *cluster) requestCompletion(hc *http.Client, q completionRequest) *result {
	q.method, q.path = http.MethodPost, "/v1/completions"
	q.body, _ = json.Marshal(map[string]any{"model": q.model, "prompt": q.prompt, "max_tokens": q.maxTokens, "seed": q.seed, "stream": q.stream}) // maps of plain values always encode
	r := c.sendCall(hc, q.httpCall)
	if r.Status != http.StatusOK || r.Err != "" {
		return r
	}
	var err error
	if q.stream {
		err = r.readStream(q)
	} else {
		err = r.readUnstreamed(q)
	}
	if err != nil {
		r.Err = err.Error()
	}
	r.Own = err == nil
	return r
}

// completionChunk is one event of a streamed completion, or a whole completion that is not streamed.
type completionChunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		TokenIDs     []int   `json:"token_ids"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	WeightVersion int64      `json:"weight_version"`
	Error         *api.Error `json:"error"`
}

// readStream decodes a streamed completion and checks it against the request.
func (r *result) readStream(q completionRequest) error {
	var text strings.Builder
	var versions []int64
	finishReason, sawDone := "", false
	sc := bufio.NewScanner(bytes.NewReader(r.body))
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			sawDone = true
			continue
		}
		var c completionChunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return fmt.Errorf("event %q: %w", data, err)
		}
		if c.Error != nil {
			r.Code, r.Outcome = string(c.Error.Code), string(c.Error.Outcome)
			return fmt.Errorf("stream ended with an error event: %w", c.Error)
		}
		for _, ch := range c.Choices {
			text.WriteString(ch.Text)
			for range len(ch.Text) / answer.TokenBytes {
				versions = append(versions, c.WeightVersion)
			}
			if ch.FinishReason != nil {
				finishReason = *ch.FinishReason
			}
		}
	}
	if !sawDone || finishReason == "" {
		r.Outcome = "cut"
		return errors.New("stream ended without finish_reason or without [DONE]")
	}
	return r.checkCompletion(q, text.String(), versions)
}

// readUnstreamed decodes a completion that is not streamed and checks it against the request.
func (r *result) readUnstreamed(q completionRequest) error {
	var c completionChunk
	if err := json.Unmarshal(r.body, &c); err != nil || len(c.Choices) != 1 {
		return fmt.Errorf("answer %q does not decode: %w", r.body, err)
	}
	var spans []api.Span
	if err := json.Unmarshal([]byte(r.header.Get(api.HeaderSpans)), &spans); err != nil {
		return fmt.Errorf("spans %q: %w", r.header.Get(api.HeaderSpans), err)
	}
	return r.checkCompletion(q, c.Choices[0].Text, tokenVersions(spans))
}

// tokenVersions returns the weight version of each token that the spans cover.
func tokenVersions(spans []api.Span) []int64 {
	var out []int64
	for _, s := range spans {
		for range s.Tokens {
			out = append(out, s.Version)
		}
	}
	return out
}

// checkCompletion records the tokens and versions of a completion and checks them with checkTokens.
func (r *result) checkCompletion(q completionRequest, text string, versions []int64) error {
	tokens, err := answer.Tokens(text)
	if err != nil {
		return err
	}
	r.Tokens = len(tokens)
	for _, v := range versions {
		if !slices.Contains(r.Versions, v) {
			r.Versions = append(r.Versions, v)
		}
	}
	return checkTokens(q.model, q.prompt, q.seed, q.maxTokens, tokens, versions)
}

// checkTokens returns an error unless tokens are the complete answer to a request, each generated by its weight version.
// Fake engines generate tokens as a pure function of the request and the version.
func checkTokens(model, prompt string, seed int64, maxTokens int, tokens []int, versions []int64) error {
	if want := answer.Length(model, prompt, seed, maxTokens); len(tokens) != want || len(versions) != want {
		return fmt.Errorf("got %d tokens with %d versions, want %d of each", len(tokens), len(versions), want)
	}
	for i, t := range tokens {
		if want := answer.Token(model, prompt, seed, versions[i], i); t != want {
			return fmt.Errorf("token %d is %d, but version %d generates %d for this request", i, t, versions[i], want)
		}
	}
	return nil
}

// cmdJoin waits until background calls, completions and trainers end: join NAME…
func (c *cluster) cmdJoin(args cmdArgs) error {
	for _, name := range args.positionals() {
		c.mu.Lock()
		r, t := c.results[name], c.trainers[name]
		c.mu.Unlock()
		var done chan struct{}
		switch {
		case r != nil:
			done = r.done
		case t != nil:
			done = t.done
		default:
			return fmt.Errorf("no call, completion or trainer is named %q", name)
		}
		select {
		case <-done:
		case <-time.After(2 * callTimeout):
			return fmt.Errorf("%s did not end within twice the call timeout", name)
		}
	}
	return nil
}
