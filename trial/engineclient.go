package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// PrefixBytes is the length of the prompt prefix that CacheEvent.PrefixHash covers.
const PrefixBytes = 256

// PrefixHash returns the hash that cache events use for prompt; a shorter prompt is hashed whole.
func PrefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), PrefixBytes)])
}

// HeaderDraining is "true" on each answer of a target that is leaving.
const HeaderDraining = "Target-Draining"

// EngineClient reads an engine's state and gives it orders.
type EngineClient struct {
	client
}

// NewEngineClient returns a client of engines; each method takes the engine's address, host:port.
func NewEngineClient(hc *http.Client) *EngineClient {
	return &EngineClient{client: newClient("engine", hc)}
}

// Status returns what the engine at address really runs.
func (c *EngineClient) Status(ctx context.Context, address string) (*EngineStatus, error) {
	res := new(EngineStatus)
	if err := c.do(ctx, http.MethodGet, "http://"+address+PathStatus, nil, res); err != nil {
		return nil, err
	}
	return res, nil
}

// Load returns the engine's lagging report of its load.
func (c *EngineClient) Load(ctx context.Context, address string) (*Load, error) {
	res := new(Load)
	if err := c.do(ctx, http.MethodGet, "http://"+address+PathLoad, nil, res); err != nil {
		return nil, err
	}
	return res, nil
}

// CacheEvents returns the changes of the engine's prefix cache after sequence number since.
func (c *EngineClient) CacheEvents(ctx context.Context, address string, since int64) (*CacheEvents, error) {
	res := new(CacheEvents)
	u := fmt.Sprintf("http://%s%s?since=%d", address, PathCacheEvents, since)
	if err := c.do(ctx, http.MethodGet, u, nil, res); err != nil {
		return nil, err
	}
	return res, nil
}

// Order gives the engine an order and returns what it runs afterwards. ErrFenced, ErrRateLimited
// and ErrRefused mean that nothing changed; after ErrUnavailable ask for the status.
func (c *EngineClient) Order(ctx context.Context, address string, o Order) (*EngineStatus, error) {
	res := new(OrderResponse)
	err := c.do(ctx, http.MethodPost, "http://"+address+PathOrders, o, res)
	var refused *ErrRefused
	if errors.As(err, &refused) && refused.Status == http.StatusConflict {
		return nil, fenced(address, refused.Message)
	}
	if err != nil {
		return nil, err
	}
	return &res.Status, nil
}

// fenced reads the engine's fencing token from its refusal.
func fenced(address, message string) error {
	var r OrderResponse
	_ = json.NewDecoder(bytes.NewReader([]byte(message))).Decode(&r) // a refusal without a body has no token
	return &ErrFenced{Address: address, Seen: r.Status.FencingToken}
}

// ExportKV returns the KV cache of a request of the engine at address.
func (c *EngineClient) ExportKV(ctx context.Context, address, requestID string) (*KV, error) {
	res := new(KV)
	if err := c.do(ctx, http.MethodGet, "http://"+address+PathKV+"/"+requestID, nil, res); err != nil {
		return nil, err
	}
	return res, nil
}

// ImportKV gives the engine at address a KV cache, which a completion then names.
func (c *EngineClient) ImportKV(ctx context.Context, address string, kv *KV) error {
	return c.do(ctx, http.MethodPost, "http://"+address+PathKV, kv, nil)
}

// Cancel stops a request of the engine at address.
func (c *EngineClient) Cancel(ctx context.Context, address, requestID string) error {
	return c.do(ctx, http.MethodDelete, "http://"+address+PathStreams+requestID, nil, nil)
}
