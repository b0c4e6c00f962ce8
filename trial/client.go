package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Limits and defaults of the clients.
const (
	// MaxResponseBytes is the maximum number of bytes of a response body that a client reads.
	MaxResponseBytes = 64 << 20
	// maxMessageBytes is the maximum size of the response body that becomes RefusedError.Message.
	maxMessageBytes = 512
	// defaultRetryAfter is used if a response with status 429 has no retry header.
	defaultRetryAfter = time.Second
)

// client sends JSON requests to a service and converts error statuses to typed errors.
type client struct {
	name string
	hc   *http.Client
}

func newClient(name string, hc *http.Client) client {
	if hc == nil {
		hc = http.DefaultClient
	}
	return client{name: name, hc: hc}
}

// do sends the request body in and decodes the response body into out; either may be nil.
func (c client) do(ctx context.Context, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("%s: encode request: %w", c.name, err)
		}
		// MultiReader hides the bytes.Reader from net/http, which could otherwise send the body a second time.
		body = io.MultiReader(bytes.NewReader(raw))
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return fmt.Errorf("%s: %w; check the configured URL", c.name, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.hc.Do(req)
	if err != nil {
		return &UnavailableError{Service: c.name, Err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes))
	if err != nil {
		return &UnavailableError{Service: c.name, Err: err}
	}
	return c.decode(resp, raw, out)
}

func (c client) decode(resp *http.Response, raw []byte, out any) error {
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		return &RateLimitedError{Service: c.name, RetryAfter: retryAfter(resp.Header)}
	case resp.StatusCode >= http.StatusInternalServerError:
		return &UnavailableError{Service: c.name, Status: resp.StatusCode}
	case resp.StatusCode >= http.StatusBadRequest:
		msg := raw[:min(len(raw), maxMessageBytes)]
		return &RefusedError{Service: c.name, Status: resp.StatusCode, Message: string(bytes.TrimSpace(msg))}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return &UnavailableError{Service: c.name, Status: resp.StatusCode, Err: fmt.Errorf("answer does not decode: %w", err)}
	}
	return nil
}

// HeaderRetryAfterMs is the header with the retry delay in milliseconds. It takes precedence over Retry-After.
const HeaderRetryAfterMs = "Retry-After-Ms"

// retryAfter returns the delay that a response asks for before a retry.
func retryAfter(h http.Header) time.Duration {
	if ms, err := strconv.ParseInt(h.Get(HeaderRetryAfterMs), 10, 64); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	if s, err := strconv.ParseInt(h.Get("Retry-After"), 10, 64); err == nil && s > 0 {
		return time.Duration(s) * time.Second
	}
	return defaultRetryAfter
}

// LogClient implements Log over HTTP.
type LogClient struct {
	client
	base string
}

// NewLogClient returns a client of the log service at baseURL. If hc has a timeout, it must be longer than the
// longest waitMs given to Read.
func NewLogClient(baseURL string, hc *http.Client) *LogClient {
	return &LogClient{client: newClient("log", hc), base: baseURL}
}

// Append implements Log. It returns the offset of the first record.
func (c *LogClient) Append(ctx context.Context, stream string, records []NewRecord) (Offset, error) {
	var res AppendResponse
	u := c.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
	if err := c.do(ctx, http.MethodPost, u, AppendRequest{Records: records}, &res); err != nil {
		return 0, err
	}
	return res.First, nil
}

// Read implements Log with a long poll.
func (c *LogClient) Read(ctx context.Context, stream string, from Offset, limit int, waitMs int64) (*ReadResponse, error) {
	u := fmt.Sprintf("%s/v1/streams/%s/records?from=%d&limit=%d&wait_ms=%d", c.base, url.PathEscape(stream), from, limit, waitMs)
	res := new(ReadResponse)
	if err := c.do(ctx, http.MethodGet, u, nil, res); err != nil {
		return nil, err
	}
	return res, nil
}

// StoreClient implements WeightStore over HTTP.
type StoreClient struct {
	client
	base string
}

// NewStoreClient returns a client of the weight store at baseURL.
func NewStoreClient(baseURL string, hc *http.Client) *StoreClient {
	return &StoreClient{client: newClient("weight store", hc), base: baseURL}
}

func (c *StoreClient) Latest(ctx context.Context, model string) (*WeightVersion, error) {
	res := new(WeightVersion)
	u := c.base + "/v1/models/" + url.PathEscape(model) + "/latest"
	if err := c.do(ctx, http.MethodGet, u, nil, res); err != nil {
		return nil, err
	}
	return res, nil
}

// Publish adds a version of model, in the role of a trainer.
func (c *StoreClient) Publish(ctx context.Context, model string, version int64) error {
	u := fmt.Sprintf("%s/v1/models/%s/versions/%d", c.base, url.PathEscape(model), version)
	return c.do(ctx, http.MethodPut, u, nil, nil)
}

// Fetch downloads and discards the weights of a version, in the role of an engine.
func (c *StoreClient) Fetch(ctx context.Context, model string, version int64) error {
	u := fmt.Sprintf("%s/v1/models/%s/versions/%d/weights", c.base, url.PathEscape(model), version)
	return c.do(ctx, http.MethodGet, u, nil, nil)
}

// VMListClient implements VMLister over HTTP.
type VMListClient struct {
	client
	base string
}

// NewVMListClient returns a client of the list of VMs at baseURL.
func NewVMListClient(baseURL string, hc *http.Client) *VMListClient {
	return &VMListClient{client: newClient("vm list", hc), base: baseURL}
}

func (c *VMListClient) VMs(ctx context.Context) (*VMList, error) {
	res := new(VMList)
	if err := c.do(ctx, http.MethodGet, c.base+"/v1/vms", nil, res); err != nil {
		return nil, err
	}
	return res, nil
}
