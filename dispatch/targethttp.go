package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ibistrail/ibistrail/api"
	"github.com/ibistrail/ibistrail/trial"
)

// Bounds of single requests to a target.
const (
	// maxErrorBytes bounds the part of a refusal that is kept.
	maxErrorBytes = 512
	// maxStatusBytes bounds a status or load report.
	maxStatusBytes = 1 << 20
	// probeTimeout bounds the question whether a target lives.
	probeTimeout  = time.Second
	probeInterval = 50 * time.Millisecond
	// resumeTimeout bounds the wait for the answer to a resume.
	resumeTimeout = 5 * time.Second
)

// statusError is an answer with another status than asked for.
type statusError struct {
	status int
	body   string
}

// Error names the status and what the target wrote.
func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.body) }

// send sends a request that may be repeated. sent is false only if no byte of it can have left.
func (d *Dispatcher) send(ctx context.Context, method, address, path string, body []byte, deadline time.Time) (resp *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := d.newRequest(httptrace.WithClientTrace(ctx, trace), method, address, path, body)
	if err != nil {
		return nil, false, err
	}
	setDeadlineHeader(req.Header, d.opts.Now(), deadline)
	resp, err = d.client.Do(req)
	return resp, connected.Load(), err
}

func (d *Dispatcher) newRequest(ctx context.Context, method, address, path string, body []byte) (*http.Request, error) {
	var r io.Reader
	if body != nil {
		// A plain reader keeps net/http from sending the body a second time.
		r = io.MultiReader(bytes.NewReader(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, r)
	if err != nil {
		return nil, err
	}
	if body != nil {
		req.ContentLength = int64(len(body))
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// setDeadlineHeader passes on how long the caller is still willing to wait.
func setDeadlineHeader(h http.Header, now, deadline time.Time) {
	if !deadline.IsZero() {
		h.Set(api.HeaderDeadline, strconv.FormatInt(max(1, deadline.Sub(now).Milliseconds()), 10))
	}
}

// resumeStream asks the engine for the stream of attempt id from token from on.
func (d *Dispatcher) resumeStream(ctx context.Context, address, id string, from int) (*http.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	stop := time.AfterFunc(resumeTimeout, cancel)
	req, err := d.newRequest(ctx, http.MethodGet, address, trial.PathStreams+id+"?from="+strconv.Itoa(from), nil)
	if err != nil {
		cancel()
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil || !stop.Stop() {
		cancel()
		if resp != nil {
			resp.Body.Close()
		}
		return nil, errors.Join(err, ctx.Err())
	}
	resp.Body = &cancelBody{ReadCloser: resp.Body, cancel: cancel}
	return resp, nil
}

// cancelBody ends its request's context when it is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// cancelRun tells the engine that nobody waits for the run any more.
func (d *Dispatcher) cancelRun(ctx context.Context, address, id string) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	req, err := d.newRequest(ctx, http.MethodDelete, address, trial.PathStreams+id, nil)
	if err != nil {
		return
	}
	resp, err := d.client.Do(req)
	if err == nil {
		resp.Body.Close()
	}
}

// refreshBoot asks a live engine for its incarnation before a run alone: the death of an engine that
// was dead before the run, or of an earlier incarnation, must not count against the request.
func (d *Dispatcher) refreshBoot(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var s trial.EngineStatus
	if _, err := d.getJSON(ctx, address, trial.PathStatus, &s); err != nil {
		return err
	}
	d.setBoot(address, s.Boot)
	return nil
}

// isDead tells whether the engine's process has ended: it refuses connections, or another
// incarnation answers. A target that is merely silent may be cut off and is not called dead.
func (d *Dispatcher) isDead(ctx context.Context, address, boot string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		var s trial.EngineStatus
		_, err := d.getJSON(ctx, address, trial.PathStatus, &s)
		if err == nil {
			d.setBoot(address, s.Boot)
			return boot != "" && s.Boot != "" && s.Boot != boot
		}
		if isConnRefused(err) {
			return true
		}
		sleepContext(ctx, probeInterval) // a process that is ending may still accept connections
	}
	return false
}

// sleepContext waits for t and returns false if ctx ended before.
func sleepContext(ctx context.Context, t time.Duration) bool {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// getJSON reads a small JSON answer; draining is the target's own signal.
func (d *Dispatcher) getJSON(ctx context.Context, address, path string, out any) (draining bool, err error) {
	req, err := d.newRequest(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return false, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if err != nil {
		return false, err
	}
	draining = resp.Header.Get(trial.HeaderDraining) == "true"
	if resp.StatusCode != http.StatusOK {
		return draining, &statusError{status: resp.StatusCode, body: string(raw[:min(len(raw), maxErrorBytes)])}
	}
	return draining, json.Unmarshal(raw, out)
}

// isConnRefused tells whether nothing listens at the address.
func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
