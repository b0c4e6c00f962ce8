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

// Bounds of the clients.
const (
	// MaxAnswerBytes bounds the body that a client reads.
	MaxAnswerBytes = 64 << 20
	// maxMessageBytes bounds the part of a refusal's body that is kept.
	maxMessageBytes = 512
	// defaultRetryAfter stands in where a refusal names no time.
	defaultRetryAfter = time.Second
)

// client sends JSON requests to one service and turns refusals into typed errors.
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

// do sends in, if any, and decodes the answer into out, if any.
func (c client) do(ctx context.Context, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("%s: encode request: %w", c.name, err)
		}
		// A plain reader keeps net/http from sending the body a second time.
		body = io.MultiReader(bytes.NewReader(raw))
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return fmt.Errorf("%s: %w; check the configured URL", c.name, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.hc.Do(req)
	if err != nil {
		return &ErrUnavailable{Service: c.name, Err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes))
	if err != nil {
		return &ErrUnavailable{Service: c.name, Err: err}
	}
	return c.decode(resp, raw, out)
}

func (c client) decode(resp *http.Response, raw []byte, out any) error {
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		return &ErrRateLimited{Service: c.name, RetryAfter: retryAfter(resp.Header)}
	case resp.StatusCode >= http.StatusInternalServerError:
		return &ErrUnavailable{Service: c.name, Status: resp.StatusCode}
	case resp.StatusCode >= http.StatusBadRequest:
		msg := raw[:min(len(raw), maxMessageBytes)]
		return &ErrRefused{Service: c.name, Status: resp.StatusCode, Message: string(bytes.TrimSpace(msg))}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return &ErrUnavailable{Service: c.name, Status: resp.StatusCode, Err: fmt.Errorf("answer does not decode: %w", err)}
	}
	return nil
}

// HeaderRetryAfterMs refines Retry-After, in milliseconds.
const HeaderRetryAfterMs = "Retry-After-Ms"

// retryAfter reads when to come back.
func retryAfter(h http.Header) time.Duration {
	if ms, err := strconv.ParseInt(h.Get(HeaderRetryAfterMs), 10, 64); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	if s, err := strconv.ParseInt(h.Get("Retry-After"), 10, 64); err == nil && s > 0 {
		return time.Duration(s) * time.Second
	}
	return defaultRetryAfter
}

// LogClient is the Log behind an HTTP address.
type LogClient struct {
	client
	base string
}

// NewLogClient returns a client of the log service at baseURL; hc must not bound the time of a
// long poll.
func NewLogClient(baseURL string, hc *http.Client) *LogClient {
	return &LogClient{client: newClient("log", hc), base: baseURL}
}

// Append implements Log.
func (c *LogClient) Append(ctx context.Context, stream string, records []NewRecord) (Offset, error) {
	var res AppendResponse
	u := c.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
	if err := c.do(ctx, http.MethodPost, u, AppendRequest{Records: records}, &res); err != nil {
		return 0, err
	}
	return res.First, nil
}

// Read implements Log.
func (c *LogClient) Read(ctx context.Context, stream string, from Offset, limit int, waitMs int64) (*ReadResponse, error) {
	u := fmt.Sprintf("%s/v1/streams/%s/records?from=%d&limit=%d&wait_ms=%d", c.base, url.PathEscape(stream), from, limit, waitMs)
	res := new(ReadResponse)
	if err := c.do(ctx, http.MethodGet, u, nil, res); err != nil {
		return nil, err
	}
	return res, nil
}

// StoreClient is the WeightStore behind an HTTP address.
type StoreClient struct {
	client
	base string
}

// NewStoreClient returns a client of the weight store at baseURL.
func NewStoreClient(baseURL string, hc *http.Client) *StoreClient {
	return &StoreClient{client: newClient("weight store", hc), base: baseURL}
}

// Latest implements WeightStore.
func (c *StoreClient) Latest(ctx context.Context, model string) (*WeightVersion, error) {
	res := new(WeightVersion)
	u := c.base + "/v1/models/" + url.PathEscape(model) + "/latest"
	if err := c.do(ctx, http.MethodGet, u, nil, res); err != nil {
		return nil, err
	}
	return res, nil
}

// Publish adds a version of model, as a trainer does.
func (c *StoreClient) Publish(ctx context.Context, model string, version int64) error {
	u := fmt.Sprintf("%s/v1/models/%s/versions/%d", c.base, url.PathEscape(model), version)
	return c.do(ctx, http.MethodPut, u, nil, nil)
}

// Fetch downloads the weights of a version, as an engine does.
func (c *StoreClient) Fetch(ctx context.Context, model string, version int64) error {
	u := fmt.Sprintf("%s/v1/models/%s/versions/%d/weights", c.base, url.PathEscape(model), version)
	return c.do(ctx, http.MethodGet, u, nil, nil)
}

// VMListClient is the VMLister behind an HTTP address.
type VMListClient struct {
	client
	base string
}

// NewVMListClient returns a client of the list of VMs at baseURL.
func NewVMListClient(baseURL string, hc *http.Client) *VMListClient {
	return &VMListClient{client: newClient("vm list", hc), base: baseURL}
}

// VMs implements VMLister.
func (c *VMListClient) VMs(ctx context.Context) (*VMList, error) {
	res := new(VMList)
	if err := c.do(ctx, http.MethodGet, c.base+"/v1/vms", nil, res); err != nil {
		return nil, err
	}
	return res, nil
}
