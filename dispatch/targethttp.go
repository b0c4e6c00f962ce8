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
	// maxErrorBytes is the part of an error response's body that is kept.
	maxErrorBytes = 512
	// maxStatusBytes bounds the body of a status, load or cache event response.
	maxStatusBytes = 1 << 20
	// probeTimeout bounds a check whether a target is alive.
	probeTimeout  = time.Second
	probeInterval = 50 * time.Millisecond
	// resumeTimeout bounds the wait for the response to a resume.
	resumeTimeout = 5 * time.Second
)

// statusError is a response with an unexpected status.
type statusError struct {
	status int
	body   string
}

// Error returns the status and the kept part of the body.
func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.body) }

// send sends a request that may be repeated. sent is false only if no byte of it can have been sent.
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
		// With a plain reader, net/http can't rewind the body and so doesn't resend the request by itself.
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

// setDeadlineHeader sets the header with the remaining time to the deadline, in milliseconds and at least 1.
func setDeadlineHeader(h http.Header, now, deadline time.Time) {
	if !deadline.IsZero() {
		h.Set(api.HeaderDeadline, strconv.FormatInt(max(1, deadline.Sub(now).Milliseconds()), 10))
	}
}

// resumeStream requests the stream of attempt id from the engine, starting at token number from.
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

// cancelBody cancels its request's context when it is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// cancelRun asks the engine to cancel the run of attempt id. Errors are ignored.
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

// refreshBoot fetches the engine's boot ID before a run alone. Otherwise the death of an engine that died
// or restarted before the run would count against the request.
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

// isDead reports whether the engine's process has ended: it refuses connections, or answers with another
// boot ID. A target that doesn't answer may be partitioned from this gate and does not count as dead.
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
		sleepContext(ctx, probeInterval) // an exiting process may still accept connections
	}
	return false
}

// sleepContext sleeps for t. It returns false if ctx ended first.
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

// getJSON decodes a JSON response of at most maxStatusBytes into out. draining is the target's drain signal. The
// error is a *statusError if the status is not 200.
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

// isConnRefused reports whether the connection was refused, so that no process listens at the address.
func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
