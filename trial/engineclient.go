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

// PrefixBytes is the length of the prompt prefix that CacheEvent.PrefixHash covers, in bytes.
const PrefixBytes = 256

// PrefixHash returns the hash that cache events use for prompt; a shorter prompt is hashed whole.
func PrefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), PrefixBytes)])
}

// HeaderDraining is "true" on each response of a target that is draining.
const HeaderDraining = "Target-Draining"

// EngineClient reads the state of engines and sends them orders.
type EngineClient struct {
	client
}

// NewEngineClient returns a client of engines; each method takes the engine's address, host:port.
func NewEngineClient(hc *http.Client) *EngineClient {
	return &EngineClient{client: newClient("engine", hc)}
}

// Status returns the actual state of the engine at address.
func (c *EngineClient) Status(ctx context.Context, address string) (*EngineStatus, error) {
	res := new(EngineStatus)
	if err := c.do(ctx, http.MethodGet, "http://"+address+PathStatus, nil, res); err != nil {
		return nil, err
	}
	return res, nil
}

// Load returns the load report of the engine at address; Load.AgeMs is its age.
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

// Order sends an order to the engine and returns the state of the engine after it. A FencedError, RateLimitedError
// or RefusedError means that nothing changed. After an UnavailableError the order may have taken effect; call Status.
func (c *EngineClient) Order(ctx context.Context, address string, o Order) (*EngineStatus, error) {
	res := new(OrderResponse)
	err := c.do(ctx, http.MethodPost, "http://"+address+PathOrders, o, res)
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusConflict {
		return nil, fenced(address, refused.Message)
	}
	if err != nil {
		return nil, err
	}
	return &res.Status, nil
}

// fenced returns the error of a fenced order, with the fencing token in the body of the engine's refusal.
func fenced(address, message string) error {
	var r OrderResponse
	_ = json.NewDecoder(bytes.NewReader([]byte(message))).Decode(&r) // without a valid body the token is 0
	return &FencedError{Address: address, FencingToken: r.Status.FencingToken}
}

// ExportKV returns the KV cache of a request from the engine at address.
func (c *EngineClient) ExportKV(ctx context.Context, address, requestID string) (*KV, error) {
	res := new(KV)
	if err := c.do(ctx, http.MethodGet, "http://"+address+PathKV+"/"+requestID, nil, res); err != nil {
		return nil, err
	}
	return res, nil
}

// ImportKV sends a KV cache to the engine at address, for use in CompletionRequest.KV.
func (c *EngineClient) ImportKV(ctx context.Context, address string, kv *KV) error {
	return c.do(ctx, http.MethodPost, "http://"+address+PathKV, kv, nil)
}

// Cancel cancels a request on the engine at address.
func (c *EngineClient) Cancel(ctx context.Context, address, requestID string) error {
	return c.do(ctx, http.MethodDelete, "http://"+address+PathStreams+requestID, nil, nil)
}
