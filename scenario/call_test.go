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

// callTimeout bounds a caller's wait.
const callTimeout = 60 * time.Second

// result is what a caller got.
type result struct {
	done chan struct{}
	// Outcome is done, not-run, unknown, or cut if no whole answer came.
	Outcome    string  `json:"outcome"`
	Status     int     `json:"status"`
	Code       string  `json:"code"`
	RetryAfter string  `json:"retry_after"`
	Replayed   bool    `json:"replayed"`
	Own        bool    `json:"own"` // the answer is whole and that of the caller's own request
	Tokens     int     `json:"tokens"`
	Versions   []int64 `json:"versions"`
	Err        string  `json:"err,omitempty"`
	Seconds    float64 `json:"seconds"`
	body       []byte
	header     http.Header
	trailer    http.Header
}

// gateURL returns the base URL of a gate's number.
func (c *cluster) gateURL(number string) (string, error) {
	n, err := strconv.Atoi(number)
	if err != nil || n < 1 || n > len(c.plan.Gates) {
		return "", fmt.Errorf("no gate %q", number)
	}
	return "http://" + c.plan.Gates[n-1].GateHTTP, nil
}

// request is one request of a caller.
type request struct {
	url, as, method, path string
	header                map[string]string
	body                  []byte
	timeout               time.Duration
}

// do sends a caller's request on a connection of its own and reads the whole answer.
func (c *cluster) do(hc *http.Client, q request) *result {
	r := &result{done: make(chan struct{}), Outcome: "cut"}
	defer close(r.done)
	began := time.Now()
	defer func() { r.Seconds = time.Since(began).Seconds() }()
	if q.timeout == 0 {
		q.timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(c.ctx, q.timeout)
	defer cancel()
	// A plain reader: net/http must not send the request again by itself.
	req, err := http.NewRequestWithContext(ctx, q.method, q.url+q.path, io.MultiReader(bytes.NewReader(q.body)))
	if err != nil {
		r.Err = err.Error()
		return r
	}
	req.Header.Set("Authorization", "Bearer "+deployment.CallerToken(q.as))
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
	r.settle()
	return r
}

// settle reads the outcome and the error of a whole answer.
func (r *result) settle() {
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

// callClient uses a connection for each request.
func callClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// run stores the result of f under name, at once or in the background.
func (c *cluster) run(w words, f func() *result) error {
	name := w.bare(0)
	pending := &result{done: make(chan struct{})}
	c.mu.Lock()
	_, taken := c.results[name]
	c.results[name] = pending
	c.mu.Unlock()
	if taken {
		return fmt.Errorf("the name %q is taken", name)
	}
	work := func() {
		r := f()
		c.mu.Lock()
		defer c.mu.Unlock()
		r.done = pending.done
		*pending = *r
		close(pending.done)
	}
	if w.has("bg") {
		c.wg.Go(work)
		return nil
	}
	work()
	return nil
}

// cmdTicket mints a ticket: ticket NAME gate=N as=CALLER.
func (c *cluster) cmdTicket(w words) error {
	url, err := c.gateURL(w.get("gate", "1"))
	if err != nil {
		return err
	}
	r := c.do(callClient(), request{url: url, as: w.get("as", "desk-app"), method: http.MethodPost, path: "/v1/tickets"})
	var t api.TicketResponse
	if err := json.Unmarshal(r.body, &t); err != nil || t.Ticket == "" {
		return fmt.Errorf("no ticket: %s %s", compact(r), r.body)
	}
	c.tickets[w.bare(0)] = t.Ticket
	return nil
}

// cmdCall calls a plain service: call NAME gate=N as=CALLER path=P [key=K] [ticket=T] [check=ID]
// [body=B] [method=M] [deadline=MS] [timeout=MS] [bg].
func (c *cluster) cmdCall(w words) error {
	url, err := c.gateURL(w.get("gate", "1"))
	if err != nil {
		return err
	}
	q := request{
		url: url, as: w.get("as", "desk-app"), method: w.get("method", http.MethodPost), path: w.get("path", "/errata/corrections"),
		body: []byte(w.get("body", w.bare(0))), timeout: time.Duration(w.int("timeout", 0)) * time.Millisecond,
		header: map[string]string{service.HeaderCheck: w.get("check", w.bare(0))},
	}
	if k := w.get("key", ""); k != "" {
		q.header[api.HeaderIdempotencyKey] = k
	}
	if t := w.get("ticket", ""); t != "" {
		q.header[api.HeaderTicket] = c.tickets[t]
	}
	if d := w.get("deadline", ""); d != "" {
		q.header[api.HeaderDeadline] = d
	}
	return c.run(w, func() *result { return c.call(callClient(), q) })
}

// call sends a call to a plain service and checks that the answer echoes it.
func (c *cluster) call(hc *http.Client, q request) *result {
	r := c.do(hc, q)
	var a service.Answer
	if r.Status == http.StatusOK && json.Unmarshal(r.body, &a) == nil {
		r.Own = a.Check == q.header[service.HeaderCheck] && a.Body == string(q.body) && a.Path == q.path && a.Method == q.method
	}
	return r
}

// completion is a caller's completion.
type completion struct {
	request
	model, prompt string
	maxTokens     int
	seed          int64
	stream        bool
}

// cmdComplete asks for a completion: complete NAME gate=N as=CALLER model=M prompt=P max=N seed=N
// [whole] [deadline=MS] [timeout=MS] [bg]; it is streamed unless whole is given.
func (c *cluster) cmdComplete(w words) error {
	url, err := c.gateURL(w.get("gate", "1"))
	if err != nil {
		return err
	}
	q := completion{
		request: request{url: url, as: w.get("as", "desk-app"), timeout: time.Duration(w.int("timeout", 0)) * time.Millisecond, header: map[string]string{}},
		model:   w.get("model", "drafting"), prompt: w.get("prompt", "prompt of "+w.bare(0)), maxTokens: int(w.int("max", 60)),
		seed: w.int("seed", 1), stream: !w.has("whole"),
	}
	if d := w.get("deadline", ""); d != "" {
		q.header[api.HeaderDeadline] = d
	}
	return c.run(w, func() *result { return c.complete(callClient(), q) })
}

func (c *cluster) complete(hc *http.Client, q completion) *result {
	q.method, q.path = http.MethodPost, "/v1/completions"
	q.body, _ = json.Marshal(map[string]any{"model": q.model, "prompt": q.prompt, "max_tokens": q.maxTokens, "seed": q.seed, "stream": q.stream}) // plain values
	r := c.do(hc, q.request)
	if r.Status != http.StatusOK || r.Err != "" {
		return r
	}
	var err error
	if q.stream {
		err = r.readStream(q)
	} else {
		err = r.readWhole(q)
	}
	if err != nil {
		r.Err = err.Error()
	}
	r.Own = err == nil
	return r
}

// chunk is one event or the whole of a completion.
type chunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		TokenIDs     []int   `json:"token_ids"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	WeightVersion int64      `json:"weight_version"`
	Error         *api.Error `json:"error"`
}

// readStream checks a streamed answer against what the caller asked for.
func (r *result) readStream(q completion) error {
	var text strings.Builder
	var versions []int64
	finish, marker := "", false
	sc := bufio.NewScanner(bytes.NewReader(r.body))
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			marker = true
			continue
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return fmt.Errorf("event %q: %w", data, err)
		}
		if c.Error != nil {
			r.Code, r.Outcome = string(c.Error.Code), string(c.Error.Outcome)
			return fmt.Errorf("error in the stream: %w", c.Error)
		}
		for _, ch := range c.Choices {
			text.WriteString(ch.Text)
			for range len(ch.Text) / answer.TokenBytes {
				versions = append(versions, c.WeightVersion)
			}
			if ch.FinishReason != nil {
				finish = *ch.FinishReason
			}
		}
	}
	if !marker || finish == "" {
		r.Outcome = "cut"
		return errors.New("the stream has no end")
	}
	return r.checkOwn(q, text.String(), versions)
}

// readWhole checks an answer without stream.
func (r *result) readWhole(q completion) error {
	var c chunk
	if err := json.Unmarshal(r.body, &c); err != nil || len(c.Choices) != 1 {
		return fmt.Errorf("answer %q does not decode: %w", r.body, err)
	}
	var spans []api.Span
	if err := json.Unmarshal([]byte(r.header.Get(api.HeaderSpans)), &spans); err != nil {
		return fmt.Errorf("spans %q: %w", r.header.Get(api.HeaderSpans), err)
	}
	return r.checkOwn(q, c.Choices[0].Text, expand(spans))
}

// expand returns the version of each token.
func expand(spans []api.Span) []int64 {
	var out []int64
	for _, s := range spans {
		for range s.Tokens {
			out = append(out, s.Version)
		}
	}
	return out
}

// checkOwn compares the text with the pure function of the request and the reported versions.
func (r *result) checkOwn(q completion, text string, versions []int64) error {
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

// checkTokens tells whether tokens are the whole answer to a request, made by the versions.
func checkTokens(model, prompt string, seed int64, maxTokens int, tokens []int, versions []int64) error {
	if want := answer.Length(model, prompt, seed, maxTokens); len(tokens) != want || len(versions) != want {
		return fmt.Errorf("%d tokens with %d versions, want %d", len(tokens), len(versions), want)
	}
	for i, t := range tokens {
		if want := answer.Token(model, prompt, seed, versions[i], i); t != want {
			return fmt.Errorf("token %d is %d, but version %d makes %d of this request", i, t, versions[i], want)
		}
	}
	return nil
}

// cmdJoin waits for background calls, completions and trainers.
func (c *cluster) cmdJoin(w words) error {
	for _, name := range w.bares() {
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
			return fmt.Errorf("nothing is called %q", name)
		}
		select {
		case <-done:
		case <-time.After(2 * callTimeout):
			return fmt.Errorf("%s does not end", name)
		}
	}
	return nil
}
