// Package client is the Go package for trainers: it hands steps in at the gates and pulls their
// samples, and hides cursors, retries, other gates and resubmission.
//
//	c := client.New(client.Options{Gates: []string{"http://127.0.0.1:8080"}, Token: token})
//	step, err := c.Step(ctx, spec, trainerVersion)
//	for {
//		samples, err := step.Next(ctx)
//		if err == io.EOF {
//			break // each slot was delivered exactly once
//		}
//		...
//	}
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/api"
)

// Defaults and bounds of a Client.
const (
	// DefaultWait is how long a pull is held open at the gate.
	DefaultWait = time.Second
	// requestMargin is what a request may take beyond its wait.
	requestMargin = 5 * time.Second
	// minBackoff and maxBackoff bound the wait before another gate is tried.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 256 << 20
)

// Options configure a Client.
type Options struct {
	// Gates are the base URLs of gates or of a balancer before them.
	Gates []string
	// Token is the trainer's bearer token.
	Token string
	// HTTP is the HTTP client; nil means one of the package's own.
	HTTP *http.Client
	Log  *slog.Logger
	// Wait is how long a pull is held open at the gate; 0 means DefaultWait.
	Wait time.Duration
	// MaxSamples bounds one batch; 0 means no bound.
	MaxSamples int
}

// Client speaks to the gates for one trainer. It is safe for concurrent use.
type Client struct {
	opts Options
	mu   sync.Mutex
	gate int
}

// New returns a client.
func New(opts Options) *Client {
	if opts.HTTP == nil {
		opts.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}}
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	if opts.Wait <= 0 {
		opts.Wait = DefaultWait
	}
	gates := make([]string, len(opts.Gates))
	for i, g := range opts.Gates {
		if !strings.Contains(g, "://") {
			g = "http://" + g
		}
		gates[i] = strings.TrimSuffix(g, "/")
	}
	opts.Gates = gates
	return &Client{opts: opts}
}

// final tells whether an error will stay the same wherever and whenever the request is sent again.
func final(err *api.Error) bool {
	switch err.Code {
	case api.CodeBadRequest, api.CodeTooLarge, api.CodeUnauthorized, api.CodeForbidden, api.CodeNoRoute,
		api.CodeStepConflict, api.CodeStepUnknown, api.CodeDeadline, api.CodeQuarantined:
		return true
	}
	return false
}

// do sends a request to one gate after another until one answers it, ctx ends or the error is final.
func (c *Client) do(ctx context.Context, method, path string, wait time.Duration, body, result any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("client: encode %s: %w", path, err)
	}
	for failures := 0; ; failures++ {
		gate := c.current()
		err := c.once(ctx, method, gate+path, wait, raw, result)
		var refused *api.Error
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil:
			return fmt.Errorf("client: %s %s: %w", method, path, context.Cause(ctx))
		case errors.As(err, &refused) && final(refused):
			return err
		}
		c.opts.Log.Warn("gate_failed", "gate", gate, "path", path, "err", err)
		c.next(gate)
		if err := sleep(ctx, retryWait(refused, failures)); err != nil {
			return fmt.Errorf("client: %s %s: %w", method, path, err)
		}
	}
}

// retryWait returns what the gate asked for, or a backoff with full jitter.
func retryWait(refused *api.Error, failures int) time.Duration {
	if refused != nil && refused.RetryAfter > 0 {
		return refused.RetryAfter + rand.N(refused.RetryAfter/4+1)
	}
	return rand.N(min(minBackoff<<min(failures, 10), maxBackoff)) + time.Millisecond
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (c *Client) current() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opts.Gates[c.gate%len(c.opts.Gates)]
}

// next moves on from a gate that failed, unless another request did so already.
func (c *Client) next(failed string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.opts.Gates[c.gate%len(c.opts.Gates)] == failed {
		c.gate++
	}
}

// once sends a request to one gate. The requests of this package are idempotent by their content.
func (c *Client) once(ctx context.Context, method, url string, wait time.Duration, raw []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+requestMargin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		return fmt.Errorf("client: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.opts.Token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.opts.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("client: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("client: read answer: %w", err)
	}
	if resp.StatusCode >= 300 {
		return refusal(resp, data)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fmt.Errorf("client: answer does not decode: %w", err)
	}
	return nil
}

// refusal returns the error that a gate answered.
func refusal(resp *http.Response, data []byte) error {
	var body api.ErrorBody
	if json.Unmarshal(data, &body) != nil || body.Error == nil {
		return fmt.Errorf("client: status %s without an error body", resp.Status)
	}
	body.Error.Status = resp.StatusCode
	body.Error.RetryAfter = time.Duration(body.Error.RetryAfterMs) * time.Millisecond
	return body.Error
}
