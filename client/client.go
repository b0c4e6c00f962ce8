// Package client is the Go client for trainers. It submits steps to the gates and pulls their samples, and it
// handles cursors, retries, failover to other gates and resubmission.
//
//	c := client.New(client.Options{Gates: []string{"http://127.0.0.1:8080"}, Token: token})
//	step, err := c.Step(ctx, spec, trainerVersion)
//	for {
//		samples, err := step.Next(ctx)
//		if err == io.EOF {
//			break // every slot has been delivered exactly once
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
	"github.com/ibistrail/ibistrail/httpcheck"
)

// Defaults and limits of a Client.
const (
	// DefaultWait is the default of Options.Wait.
	DefaultWait = time.Second
	// requestMargin is the time that a request may take in addition to its wait at the gate.
	requestMargin = 5 * time.Second
	// minBackoff and maxBackoff are the limits of the exponential backoff before the next gate is tried.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxResponseBytes is the maximum number of bytes of a response body that a client reads.
	maxResponseBytes = 256 << 20
)

// Options configure a Client.
type Options struct {
	// Gates lists the base URLs of gates, or of a load balancer in front of them; "http://" may be omitted.
	Gates []string
	// Token is the trainer's bearer token.
	Token string
	// HTTP is the HTTP client; nil means a new one with its own connections.
	HTTP *http.Client
	// Log receives log events; nil discards them.
	Log *slog.Logger
	// Wait is the maximum time that a pull waits at the gate for samples; 0 means DefaultWait.
	Wait time.Duration
	// MaxSamples limits the number of samples that Step.Next returns, see api.PullRequest; 0 means no limit.
	MaxSamples int
}

// Client sends the requests of one trainer to the gates. It is safe for concurrent use.
type Client struct {
	opts      Options
	mu        sync.Mutex
	gateIndex int
}

// New returns a client.
func New(opts Options) *Client {
	if opts.HTTP == nil {
		opts.HTTP = &http.Client{Transport: httpcheck.NewTransport(&http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute})}
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

// isFinal reports whether a retry of the request would fail in the same way, at any gate.
func isFinal(err *api.Error) bool {
	switch err.Code {
	case api.CodeBadRequest, api.CodeTooLarge, api.CodeUnauthorized, api.CodeForbidden, api.CodeNoRoute,
		api.CodeStepConflict, api.CodeStepUnknown, api.CodeDeadline, api.CodeQuarantined:
		return true
	}
	return false
}

// do sends a request to one gate after another until one succeeds, ctx is done or the error is final.
func (c *Client) do(ctx context.Context, method, path string, wait time.Duration, body, result any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("client: encode %s: %w", path, err)
	}
	for failures := 0; ; failures++ {
		gate := c.currentGate()
		err := c.sendOnce(ctx, method, gate+path, wait, raw, result)
		var refused *api.Error
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil:
			return fmt.Errorf("client: %s %s: %w", method, path, context.Cause(ctx))
		case errors.As(err, &refused) && isFinal(refused):
			return err
		}
		c.opts.Log.Warn("gate_failed", "gate", gate, "path", path, "err", err)
		c.switchGate(gate)
		if err := sleep(ctx, retryDelay(refused, failures)); err != nil {
			return fmt.Errorf("client: %s %s: %w", method, path, err)
		}
	}
}

// retryDelay returns the delay that the gate asked for plus up to 25 % of jitter, or else an exponential backoff
// with full jitter.
func retryDelay(refused *api.Error, failures int) time.Duration {
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

func (c *Client) currentGate() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opts.Gates[c.gateIndex%len(c.opts.Gates)]
}

// switchGate selects the next gate, unless another request has switched from failedGate already.
func (c *Client) switchGate(failedGate string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.opts.Gates[c.gateIndex%len(c.opts.Gates)] == failedGate {
		c.gateIndex++
	}
}

// sendOnce sends a request to one gate. All requests of this package are idempotent.
func (c *Client) sendOnce(ctx context.Context, method, url string, wait time.Duration, raw []byte, result any) error {
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("client: read response: %w", err)
	}
	if resp.StatusCode >= 300 {
		return responseError(resp, data)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fmt.Errorf("client: decode response: %w", err)
	}
	return nil
}

// responseError returns the error in a gate's response: an *api.Error if the body has one.
func responseError(resp *http.Response, data []byte) error {
	var body api.ErrorBody
	if json.Unmarshal(data, &body) != nil || body.Error == nil {
		return fmt.Errorf("client: status %s without an error body", resp.Status)
	}
	body.Error.Status = resp.StatusCode
	body.Error.RetryAfter = time.Duration(body.Error.RetryAfterMs) * time.Millisecond
	return body.Error
}
