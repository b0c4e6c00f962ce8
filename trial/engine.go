package trial

// CompletionRequest is the body of POST /v1/completions on an engine: the fields of OpenAI's API and the
// engine's extensions.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      int64  `json:"seed"`
	Stream    bool   `json:"stream"`
	// RequestID identifies the stream to resume or cancel it; it must be unique on the engine.
	RequestID string `json:"request_id"`
	// Priority orders the engine's queue; a lower number runs first.
	Priority int `json:"priority"`
	// Adapter is the name of an adapter of the model; empty means none.
	Adapter string `json:"adapter,omitempty"`
	// PrefixTokens are tokens of the completion that another engine has generated; this engine continues after
	// them. They count towards MaxTokens and are not sent back.
	PrefixTokens []int `json:"prefix_tokens,omitempty"`
	// KV is the request ID of a KV cache that was imported with POST /v1/kv; empty means prefill.
	KV string `json:"kv,omitempty"`
}

// CompletionChunk is one SSE event of a streamed completion, `data: {...}`. The last event is
// `data: [DONE]`; a stream without it is incomplete. If Stream is false, the response is one chunk
// with all tokens and spans.
type CompletionChunk struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Created int64              `json:"created"`
	Choices []CompletionChoice `json:"choices"`
	Usage   *Usage             `json:"usage,omitempty"`
	// WeightVersion is the version that produced the tokens of this chunk; 0 means that the engine did not report it.
	WeightVersion int64 `json:"weight_version,omitempty"`
	// WeightSpans holds the versions of all tokens, in order, if the response is not streamed.
	WeightSpans []WeightSpan `json:"weight_spans,omitempty"`
	// Boot identifies the engine's incarnation; it changes with each start.
	Boot string `json:"boot,omitempty"`
}

// WeightSpan is a run of consecutive tokens that one weight version produced.
type WeightSpan struct {
	Version int64 `json:"version"`
	Tokens  int   `json:"tokens"`
}

// FinishAbort is the finish reason of a stream that SwapCut or DELETE cancelled; `data: [DONE]` does not follow.
const FinishAbort = "abort"

// CompletionChoice is the only choice of a chunk.
type CompletionChoice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
	// TokenIDs are the tokens of Text.
	TokenIDs []int `json:"token_ids"`
	// Offset is the index of the first token of TokenIDs in the completion, including PrefixTokens.
	Offset       int     `json:"offset"`
	FinishReason *string `json:"finish_reason"`
}

// Usage holds the token counts of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	// CachedTokens is the number of prompt tokens that were found in the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// Paths of an engine's HTTP API. Besides POST /v1/completions:
//
//	GET    /v1/streams/{request_id}?from=N   resume a stream from token N (SSE); 404 if unknown
//	DELETE /v1/streams/{request_id}          cancel
//	GET    /v1/kv/{request_id}               export the KV cache of a request: KV
//	POST   /v1/kv                            import a KV cache: KV
//	GET    /v1/load                          Load
//	GET    /v1/cache/events?since=SEQ        CacheEvents
//	GET    /v1/status                        EngineStatus
//	POST   /v1/orders                        Order -> OrderResponse
const (
	PathCompletions = "/v1/completions"
	PathStreams     = "/v1/streams/"
	PathKV          = "/v1/kv"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache/events"
	PathStatus      = "/v1/status"
	PathOrders      = "/v1/orders"
)

// KV is an exported KV cache, represented by the tokens that it covers.
type KV struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Version   int64  `json:"version"`
	Prompt    string `json:"prompt"`
	Tokens    []int  `json:"tokens"`
	// Bytes is the size of the cache; the duration of an import depends on it.
	Bytes int64 `json:"bytes"`
}

// Load is an engine's load report, measured AgeMs milliseconds ago.
type Load struct {
	Running    int   `json:"running"`
	Waiting    int   `json:"waiting"`
	BatchLimit int   `json:"batch_limit"`
	AgeMs      int64 `json:"age_ms"`
	// TokensPerSecond is the recent decode rate.
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// CacheEvents holds changes of the prefix cache; a gap in Seq means that events were lost.
type CacheEvents struct {
	Boot   string       `json:"boot"`
	Events []CacheEvent `json:"events"`
	Next   int64        `json:"next"`
}

// CacheEvent reports that a prompt prefix was stored or evicted.
type CacheEvent struct {
	Seq int64 `json:"seq"`
	// PrefixHash is the xxhash of the first PrefixBytes of the prompt.
	PrefixHash uint64 `json:"prefix_hash"`
	Evicted    bool   `json:"evicted"`
}

// EngineStatus is the actual state of an engine, as the engine reports it.
type EngineStatus struct {
	Boot         string   `json:"boot"`
	Model        string   `json:"model"`
	Version      int64    `json:"version"`
	Adapters     []string `json:"adapters"`
	Role         string   `json:"role"`
	Draining     bool     `json:"draining"`
	Loading      bool     `json:"loading"`
	FencingToken int64    `json:"fencing_token"`
}

// OrderKind is the kind of change that an Order requests.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadVersion OrderKind = "load_version"
	OrderLoadModel   OrderKind = "load_model"
	OrderSetAdapters OrderKind = "set_adapters"
	OrderSetRole     OrderKind = "set_role"
)

// SwapMode selects what happens to running requests when an order replaces the weights.
type SwapMode string

// Swap modes.
const (
	// SwapNow swaps at once; running requests continue with the new weights.
	SwapNow SwapMode = "now"
	// SwapDrain swaps after the running requests have finished.
	SwapDrain SwapMode = "drain"
	// SwapCut cancels the running requests, then swaps.
	SwapCut SwapMode = "cut"
)

// Order instructs an engine to change its weights, model, adapters or role.
type Order struct {
	ID           string    `json:"id"`
	Kind         OrderKind `json:"kind"`
	FencingToken int64     `json:"fencing_token"`
	Model        string    `json:"model,omitempty"`
	Version      int64     `json:"version,omitempty"`
	Mode         SwapMode  `json:"mode,omitempty"`
	Adapters     []string  `json:"adapters,omitempty"`
	Role         string    `json:"role,omitempty"`
}

// OrderResponse is the response to an Order, sent once the order has taken effect. HTTP status 409 means that the
// engine has seen a newer fencing token.
type OrderResponse struct {
	Status EngineStatus `json:"status"`
	Error  string       `json:"error,omitempty"`
}
