package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fake/answer"
	"github.com/ibistrail/ibistrail/fake/service"
)

// call is one request of a caller, generated before the run starts.
type call struct {
	route  *config.Route
	caller string
	// start is the intended start time, as an offset from the start of the run.
	start    time.Duration
	deadline time.Duration
	query    completionQuery
	stream   bool
	chat     bool
	// checkID identifies a call to a plain HTTP service in the service's journal.
	checkID string
	body    string
	// maxAttempts limits how often the request is sent; 0 means no limit before the deadline.
	maxAttempts int
}

// outcome is the result of a call from its caller's point of view.
type outcome string

// Outcomes of a call.
const (
	outcomeAnswered outcome = "answered" // complete answer before the deadline
	outcomeLate     outcome = "late"     // no answer by the deadline, or a deadline error from the gate
	outcomeRefused  outcome = "refused"  // rejected without having run
	outcomeFailed   outcome = "failed"   // any other final error
	outcomeUnknown  outcome = "unknown"  // the call is not idempotent and may or may not have run
	outcomeCut      outcome = "cut"      // truncated answer, or the answer to another call
)

// callResult is the final result of a call, after all attempts.
type callResult struct {
	call     *call
	outcome  outcome
	latency  time.Duration // from the intended start, so that delays in sending count
	attempts int
	tokens   int
	text     string
	spans    []api.Span
	detail   string
	// notRun is true if the last response reported that the call was not run.
	notRun bool
}

// attempt is the result of one HTTP exchange.
type attempt struct {
	outcome    outcome
	retryAfter time.Duration
	retryable  bool // a retry is safe
	unsent     bool // the connection failed before anything was sent
	notRun     bool
	tokens     int
	text       string
	spans      []api.Span
	detail     string
}

// sendWithRetries sends a call and retries it, where that is safe, until its deadline.
func (s *Site) sendWithRetries(ctx context.Context, c *call, runStart time.Time) callResult {
	intendedStart := runStart.Add(c.start)
	ctx, cancel := context.WithDeadline(ctx, intendedStart.Add(c.deadline))
	defer cancel()
	res := callResult{call: c}
	gates := s.rotatedGates()
	for {
		a := s.sendOnce(ctx, c, gates[res.attempts%len(gates)])
		res.attempts++
		res.outcome, res.detail, res.tokens, res.text, res.spans, res.notRun = a.outcome, a.detail, a.tokens, a.text, a.spans, a.notRun
		res.latency = time.Since(intendedStart)
		if !a.retryable || (c.maxAttempts > 0 && res.attempts >= c.maxAttempts) {
			return res
		}
		wait := a.retryAfter
		if wait == 0 && (!a.unsent || res.attempts >= len(gates)) {
			wait = 50 * time.Millisecond
		}
		sleep(ctx, wait)
		if ctx.Err() != nil {
			if res.outcome != outcomeRefused {
				res.outcome = outcomeLate
			}
			return res
		}
	}
}

// sendOnce sends the call to one gate and checks the response.
func (s *Site) sendOnce(ctx context.Context, c *call, gate string) attempt {
	req, err := s.request(ctx, c, gate)
	if err != nil {
		return attempt{outcome: outcomeFailed, detail: err.Error()}
	}
	resp, err := s.HTTP.Do(req)
	if err != nil {
		return c.classifyTransportError(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return c.classifyErrorResponse(resp)
	}
	if c.route.Kind == config.RouteHTTP {
		return c.checkServiceAnswer(ctx, resp)
	}
	text, complete, err := readText(resp, c.stream)
	if err != nil || !complete {
		if ctx.Err() != nil {
			return attempt{outcome: outcomeLate, detail: "no whole answer by the deadline"}
		}
		return attempt{outcome: outcomeCut, retryable: true, detail: fmt.Sprintf("answer ended after %d bytes: %v", len(text), err)}
	}
	return c.checkCompletion(resp, text)
}

// request builds the HTTP request. Its body has no GetBody and it carries no Idempotency-Key header, so that
// the transport never resends it on its own; sendWithRetries decides about retries.
func (s *Site) request(ctx context.Context, c *call, gate string) (*http.Request, error) {
	path, body := "/v1/completions", any(map[string]any{
		"model": c.query.model, "prompt": c.query.prompt, "max_tokens": c.query.maxTokens, "seed": c.query.seed, "stream": c.stream})
	if c.chat {
		path, body = "/v1/chat/completions", map[string]any{
			"model": c.query.model, "messages": []answer.Message{{Role: "user", Content: c.body}},
			"max_tokens": c.query.maxTokens, "seed": c.query.seed, "stream": c.stream}
	}
	raw := []byte(c.body)
	if c.route.Kind == config.RouteHTTP {
		path = strings.TrimSuffix(c.route.PathPrefix, "/") + "/entries"
	} else {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, gate+path, io.MultiReader(bytes.NewReader(raw)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(raw))
	req.Header.Set("Authorization", "Bearer "+s.token(c.caller))
	req.Header.Set("Content-Type", "application/json")
	if c.checkID != "" {
		req.Header.Set(service.HeaderCheckID, c.checkID)
	}
	if d, ok := ctx.Deadline(); ok {
		req.Header.Set(api.HeaderDeadline, strconv.FormatInt(max(1, time.Until(d).Milliseconds()), 10))
	}
	return req, nil
}

// classifyTransportError classifies an exchange that failed without a response. After a failed dial nothing has been
// sent, so that a retry is safe even for calls that are not idempotent.
func (c *call) classifyTransportError(ctx context.Context, err error) attempt {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return attempt{outcome: outcomeLate, detail: "no answer by the deadline"}
	}
	var op *net.OpError
	unsent := errors.Is(err, syscall.ECONNREFUSED) || (errors.As(err, &op) && op.Op == "dial")
	a := attempt{outcome: outcomeFailed, unsent: unsent, retryable: unsent || !c.route.NonIdempotent, detail: err.Error()}
	if !a.retryable {
		a.outcome = outcomeUnknown
	}
	return a
}

// classifyErrorResponse classifies a response with a status other than 200.
func (c *call) classifyErrorResponse(resp *http.Response) attempt {
	var body api.ErrorBody
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	if json.Unmarshal(raw, &body) != nil || body.Error == nil {
		return attempt{outcome: outcomeFailed, retryable: !c.route.NonIdempotent, detail: fmt.Sprintf("status %s without an error body: %q", resp.Status, raw[:min(len(raw), 80)])}
	}
	e := body.Error
	a := attempt{outcome: outcomeFailed, notRun: e.Outcome == api.OutcomeNotRun, retryAfter: time.Duration(e.RetryAfterMs) * time.Millisecond, detail: e.Error()}
	switch {
	case a.notRun:
		a.outcome = outcomeRefused
		a.retryable = resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	case c.route.NonIdempotent:
		a.outcome = outcomeUnknown
	case resp.StatusCode >= http.StatusInternalServerError:
		a.retryable = true
	}
	if e.Code == api.CodeDeadline {
		a.outcome, a.retryable = outcomeLate, false
	}
	return a
}

// checkServiceAnswer checks the response of a plain HTTP service, which must echo the call.
func (c *call) checkServiceAnswer(ctx context.Context, resp *http.Response) attempt {
	raw, err := io.ReadAll(resp.Body)
	var a service.Answer
	switch {
	case err != nil && ctx.Err() != nil:
		return attempt{outcome: outcomeLate, detail: "no whole answer by the deadline"}
	case err != nil || json.Unmarshal(raw, &a) != nil:
		return attempt{outcome: outcomeCut, retryable: !c.route.NonIdempotent, detail: fmt.Sprintf("answer of %d bytes ended early: %v", len(raw), err)}
	case a.CheckID != c.checkID || a.Body != c.body:
		return attempt{outcome: outcomeCut, detail: fmt.Sprintf("answer is that of %q", a.CheckID)}
	}
	return attempt{outcome: outcomeAnswered}
}

// checkCompletion compares a complete completion with the answer that the engines must have given.
func (c *call) checkCompletion(resp *http.Response, text string) attempt {
	tokens, err := answer.Tokens(text)
	if err != nil {
		return attempt{outcome: outcomeCut, detail: err.Error()}
	}
	header := resp.Header.Get(api.HeaderSpans)
	if header == "" {
		header = resp.Trailer.Get(api.HeaderSpans)
	}
	a := attempt{outcome: outcomeAnswered, tokens: len(tokens), text: text}
	if err := json.Unmarshal([]byte(header), &a.spans); err != nil {
		return attempt{outcome: outcomeCut, detail: fmt.Sprintf("spans %q do not decode: %v", header, err)}
	}
	if p := c.query.contentMismatch(tokens, text); p != "" {
		return attempt{outcome: outcomeCut, detail: p}
	}
	return a
}
