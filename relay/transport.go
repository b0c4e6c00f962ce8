package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/ibistrail/ibistrail/process"
)

const (
	// maxPeerTries is the number of peers that are asked for one call.
	maxPeerTries = 3
	// probeInterval is the time between two probes of the direct path while it is down.
	probeInterval = 300 * time.Millisecond
	// probeTimeout bounds a probe. It must cover one response of a slow store.
	probeTimeout = 500 * time.Millisecond
	// unreachedHeader marks the response of a VM that did not reach the store, so that the call had no effect.
	unreachedHeader = "Store-Unreached"
)

// Options configure a Transport.
type Options struct {
	// Direct sends calls to the store, Peer to other VMs.
	Direct, Peer http.RoundTripper
	// ProbeURL is the URL of a call without effect, by which the direct path is probed.
	ProbeURL string
	// Refused reports whether a response of the store means that it did not execute the call.
	Refused func(status int) bool
	Log     *slog.Logger
}

// Transport sends calls to the store, directly or through a peer. It is safe for concurrent use.
type Transport struct {
	opts Options

	mu      sync.Mutex
	paths   *paths
	probing bool
	stopped bool
}

// NewTransport returns a transport without peers.
func NewTransport(o Options) *Transport { return &Transport{opts: o, paths: newPaths()} }

// SetPeers sets the addresses of the other VMs' relays.
func (t *Transport) SetPeers(addresses []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.paths.setPeers(addresses)
}

// Stop ends the probes of the direct path.
func (t *Transport) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
}

// Isolated reports whether this VM is cut off from the store and from its peers.
func (t *Transport) Isolated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.paths.isolated(time.Now())
}

// RoundTrip implements http.RoundTripper. A call that may have been executed is sent a second time only if it is a read.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := readBody(req)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	direct := t.paths.direct(time.Now())
	t.mu.Unlock()
	var resp *http.Response
	if direct {
		sentAt := time.Now()
		resp, err = t.opts.Direct.RoundTrip(withBody(req, req.URL, body))
		if !t.recordDirect(req.Context(), sentAt, resp, err) || !mayRepeat(req, resp, err, t.opts.Refused) {
			return resp, err
		}
	}
	relayed, relayErr := t.throughPeers(req, body)
	if errors.Is(relayErr, errNoPeer) && (resp != nil || err != nil) {
		return resp, err // the direct call has not been executed, and no peer has sent it
	}
	discard(resp)
	return relayed, relayErr
}

// recordDirect records the outcome of a direct call and reports whether the path failed.
func (t *Transport) recordDirect(ctx context.Context, sentAt time.Time, resp *http.Response, err error) (failed bool) {
	failed = err != nil || t.opts.Refused(resp.StatusCode)
	if failed && errors.Is(ctx.Err(), context.Canceled) {
		return false // the caller gave up, which says nothing about the path
	}
	if err != nil {
		closeIdle(t.opts.Direct)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !failed {
		if t.paths.directAnswered(sentAt) {
			t.opts.Log.Info("store_path", "path", "direct")
		}
		return false
	}
	if t.paths.directFailed(time.Now()) {
		status := 0
		if resp != nil {
			status = resp.StatusCode
		}
		t.opts.Log.Warn("store_path", "path", "peer", "peers", len(t.paths.peers), "status", status, "err", err)
	}
	if !t.probing && !t.stopped && len(t.paths.peers) > 0 {
		t.probing = true
		go t.probe()
	}
	return true
}

// probe calls the store directly until it answers or Stop is called.
func (t *Transport) probe() {
	for {
		time.Sleep(probeInterval)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.opts.ProbeURL, nil)
		if err != nil {
			cancel()
			t.opts.Log.Error("store_path", "path", "peer", "err", err)
			return
		}
		sentAt := time.Now()
		resp, err := t.opts.Direct.RoundTrip(req)
		answered := err == nil && !t.opts.Refused(resp.StatusCode)
		if err != nil {
			closeIdle(t.opts.Direct)
		}
		discard(resp)
		cancel()
		t.mu.Lock()
		if answered && t.paths.directAnswered(sentAt) {
			t.opts.Log.Info("store_path", "path", "direct")
		}
		if !t.paths.directDown || t.stopped {
			t.probing = false
			t.mu.Unlock()
			return
		}
		t.mu.Unlock()
	}
}

// errNoPeer is returned if no peer is known to reach the store.
var errNoPeer = &net.OpError{Op: "dial", Err: errors.New("relay: the store is out of reach, and no other VM is known that reaches it; retried automatically")}

// throughPeers sends a call through the peers, one after the other, and returns the store's response. The error is a failed
// dial if the call has certainly not been executed.
func (t *Transport) throughPeers(req *http.Request, body []byte) (*http.Response, error) {
	for range maxPeerTries {
		now := time.Now()
		t.mu.Lock()
		address := t.paths.peer(now)
		t.mu.Unlock()
		if address == "" || req.Context().Err() != nil {
			break
		}
		u := *req.URL
		u.Host = address
		resp, err := t.opts.Peer.RoundTrip(withBody(req, &u, body))
		if err == nil && resp.Header.Get(unreachedHeader) == "" && !t.opts.Refused(resp.StatusCode) {
			t.mu.Lock()
			t.paths.peerAnswered(address)
			t.mu.Unlock()
			return resp, nil
		}
		discard(resp)
		if err != nil {
			closeIdle(t.opts.Peer)
		}
		if !errors.Is(req.Context().Err(), context.Canceled) {
			t.mu.Lock()
			t.paths.peerFailed(now, address, err == nil)
			t.mu.Unlock()
		}
		if err != nil && !mayRepeat(req, nil, err, t.opts.Refused) {
			return nil, err
		}
	}
	if req.Context().Err() == nil {
		t.mu.Lock()
		t.paths.allFailed(time.Now())
		t.mu.Unlock()
	}
	return nil, errNoPeer
}

// mayRepeat reports whether a failed call may be sent again: the store has not executed it, or it is a read.
func mayRepeat(req *http.Request, resp *http.Response, err error, refused func(int) bool) bool {
	if req.Context().Err() != nil {
		return false
	}
	if resp != nil {
		return refused(resp.StatusCode)
	}
	return req.Method == http.MethodGet || process.DialFailed(err)
}

// closeIdle closes the kept connections of a transport after a call without an answer: those that were open in an outage may stay
// silent for good, and each would cost one more call its time.
func closeIdle(rt http.RoundTripper) {
	if c, ok := rt.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

func readBody(req *http.Request) ([]byte, error) {
	if req.Body == nil {
		return nil, nil
	}
	defer req.Body.Close()
	return io.ReadAll(req.Body)
}

// withBody returns a copy of a request for another URL and with its own reader of the body.
func withBody(req *http.Request, u *url.URL, body []byte) *http.Request {
	out := req.Clone(req.Context())
	out.URL, out.Host = u, u.Host
	out.Body, out.GetBody = http.NoBody, nil
	if len(body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(body))
	}
	out.ContentLength = int64(len(body))
	return out
}

// discard closes the body of a response that is not used, if there is one.
func discard(resp *http.Response) {
	if resp != nil {
		resp.Body.Close()
	}
}
