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

// call is one request of a caller, planned before the run.
type call struct {
	route  *config.Route
	caller string
	// at is the intended start, from the start of the run.
	at       time.Duration
	deadline time.Duration
	question question
	stream   bool
	chat     bool
	// check names a call to a plain service in its journal.
	check string
	body  string
	// tries is how often the caller sends the request at most; 0 means as often as fits.
	tries int
}

// ending tells how a call ended for its caller.
type ending string

// The endings of a call.
const (
	endAnswered ending = "answered" // whole, on time
	endLate     ending = "late"     // no answer by the deadline, which includes a final error of the gate
	endRefused  ending = "refused"  // a final refusal as not run
	endFailed   ending = "failed"   // a final error otherwise
	endUnknown  ending = "unknown"  // a call that may not be repeated and whose outcome is unknown
	endCut      ending = "cut"      // the answer ended early or is not the caller's own
)

// callResult is what became of a call.
type callResult struct {
	call    *call
	ending  ending
	latency time.Duration // from the intended start
	tries   int
	tokens  int
	text    string
	spans   []api.Span
	detail  string
	// notRun is set if the last answer said that the call was not run.
	notRun bool
}

// try is the outcome of one HTTP exchange.
type try struct {
	ending     ending
	retryAfter time.Duration
	again      bool // another try cannot do harm
	unsent     bool
	notRun     bool
	tokens     int
	text       string
	spans      []api.Span
	detail     string
}

// do makes a call, and tries again where that cannot do harm, until its deadline.
func (s *Site) do(ctx context.Context, c *call, began time.Time) callResult {
	intended := began.Add(c.at)
	ctx, cancel := context.WithDeadline(ctx, intended.Add(c.deadline))
	defer cancel()
	res := callResult{call: c}
	gates := s.gates()
	for {
		t := s.once(ctx, c, gates[res.tries%len(gates)])
		res.tries++
		res.ending, res.detail, res.tokens, res.text, res.spans, res.notRun = t.ending, t.detail, t.tokens, t.text, t.spans, t.notRun
		res.latency = time.Since(intended)
		if !t.again || (c.tries > 0 && res.tries >= c.tries) {
			return res
		}
		wait := t.retryAfter
		if wait == 0 && (!t.unsent || res.tries >= len(gates)) {
			wait = 50 * time.Millisecond
		}
		pause(ctx, wait)
		if ctx.Err() != nil {
			if res.ending != endRefused {
				res.ending = endLate
			}
			return res
		}
	}
}

// once makes one HTTP exchange with a gate.
func (s *Site) once(ctx context.Context, c *call, gate string) try {
	req, err := s.request(ctx, c, gate)
	if err != nil {
		return try{ending: endFailed, detail: err.Error()}
	}
	resp, err := s.HTTP.Do(req)
	if err != nil {
		return c.broken(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return c.refused(resp)
	}
	if c.route.Kind == config.RouteHTTP {
		return c.serviceAnswer(ctx, resp)
	}
	text, whole, err := readText(resp, c.stream)
	if err != nil || !whole {
		if ctx.Err() != nil {
			return try{ending: endLate, detail: "no whole answer by the deadline"}
		}
		return try{ending: endCut, again: true, detail: fmt.Sprintf("answer ended after %d bytes: %v", len(text), err)}
	}
	return c.judge(resp, text)
}

// request builds the HTTP request. The transport resends nothing by itself: a body without GetBody
// and no Idempotency-Key header leave that to do.
func (s *Site) request(ctx context.Context, c *call, gate string) (*http.Request, error) {
	path, body := "/v1/completions", any(map[string]any{
		"model": c.question.model, "prompt": c.question.prompt, "max_tokens": c.question.maxTokens, "seed": c.question.seed, "stream": c.stream})
	if c.chat {
		path, body = "/v1/chat/completions", map[string]any{
			"model": c.question.model, "messages": []answer.Message{{Role: "user", Content: c.body}},
			"max_tokens": c.question.maxTokens, "seed": c.question.seed, "stream": c.stream}
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
	if c.check != "" {
		req.Header.Set(service.HeaderCheck, c.check)
	}
	if d, ok := ctx.Deadline(); ok {
		req.Header.Set(api.HeaderDeadline, strconv.FormatInt(max(1, time.Until(d).Milliseconds()), 10))
	}
	return req, nil
}

// broken judges an exchange without an answer. A connection that was refused has sent nothing.
func (c *call) broken(ctx context.Context, err error) try {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return try{ending: endLate, detail: "no answer by the deadline"}
	}
	var op *net.OpError
	unsent := errors.Is(err, syscall.ECONNREFUSED) || (errors.As(err, &op) && op.Op == "dial")
	t := try{ending: endFailed, unsent: unsent, again: unsent || !c.route.NonIdempotent, detail: err.Error()}
	if !t.again {
		t.ending = endUnknown
	}
	return t
}

// refused judges an answer that is no success.
func (c *call) refused(resp *http.Response) try {
	var body api.ErrorBody
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	if json.Unmarshal(raw, &body) != nil || body.Error == nil {
		return try{ending: endFailed, again: !c.route.NonIdempotent, detail: fmt.Sprintf("status %s without an error body: %q", resp.Status, raw[:min(len(raw), 80)])}
	}
	e := body.Error
	t := try{ending: endFailed, notRun: e.Outcome == api.OutcomeNotRun, retryAfter: time.Duration(e.RetryAfterMs) * time.Millisecond, detail: e.Error()}
	switch {
	case t.notRun:
		t.ending = endRefused
		t.again = resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	case c.route.NonIdempotent:
		t.ending = endUnknown
	case resp.StatusCode >= http.StatusInternalServerError:
		t.again = true
	}
	if e.Code == api.CodeDeadline {
		t.ending, t.again = endLate, false
	}
	return t
}

// serviceAnswer judges the answer of a plain service, which echoes the call.
func (c *call) serviceAnswer(ctx context.Context, resp *http.Response) try {
	raw, err := io.ReadAll(resp.Body)
	var a service.Answer
	switch {
	case err != nil && ctx.Err() != nil:
		return try{ending: endLate, detail: "no whole answer by the deadline"}
	case err != nil || json.Unmarshal(raw, &a) != nil:
		return try{ending: endCut, again: !c.route.NonIdempotent, detail: fmt.Sprintf("answer of %d bytes ended early: %v", len(raw), err)}
	case a.Check != c.check || a.Body != c.body:
		return try{ending: endCut, detail: fmt.Sprintf("answer is that of %q", a.Check)}
	}
	return try{ending: endAnswered}
}

// judge compares a whole completion with what the engines must have answered.
func (c *call) judge(resp *http.Response, text string) try {
	tokens, err := answer.Tokens(text)
	if err != nil {
		return try{ending: endCut, detail: err.Error()}
	}
	header := resp.Header.Get(api.HeaderSpans)
	if header == "" {
		header = resp.Trailer.Get(api.HeaderSpans)
	}
	t := try{ending: endAnswered, tokens: len(tokens), text: text}
	if err := json.Unmarshal([]byte(header), &t.spans); err != nil {
		return try{ending: endCut, detail: fmt.Sprintf("spans %q do not decode: %v", header, err)}
	}
	if p := c.question.partial(tokens, text); p != "" {
		return try{ending: endCut, detail: p}
	}
	return t
}
