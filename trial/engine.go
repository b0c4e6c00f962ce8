package trial

// CompletionRequest is the body of POST /v1/completions on an engine: OpenAI's fields and the
// engine's extensions.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      int64  `json:"seed"`
	Stream    bool   `json:"stream"`
	// RequestID names the stream for resume and cancel; it must be unique on the engine.
	RequestID string `json:"request_id"`
	// Priority orders the engine's queue; a lower number runs first.
	Priority int `json:"priority"`
	// Adapter names an adapter on top of the model; empty means none.
	Adapter string `json:"adapter,omitempty"`
	// PrefixTokens are tokens generated before (by another engine), to be continued. They count
	// against MaxTokens and are not sent back.
	PrefixTokens []int `json:"prefix_tokens,omitempty"`
	// KV names a KV cache that was imported before with POST /v1/kv; empty means prefill.
	KV string `json:"kv,omitempty"`
}

// CompletionChunk is one SSE event of a streamed completion, `data: {...}`; the last event is
// `data: [DONE]`, without which the stream is not whole. Without stream, the answer is one chunk
// that carries all tokens and spans.
type CompletionChunk struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Created int64              `json:"created"`
	Choices []CompletionChoice `json:"choices"`
	Usage   *Usage             `json:"usage,omitempty"`
	// WeightVersion made the tokens of this chunk; 0 means that the engine did not report it.
	WeightVersion int64 `json:"weight_version,omitempty"`
	// WeightSpans are the versions of all tokens, in order, of an answer without stream.
	WeightSpans []WeightSpan `json:"weight_spans,omitempty"`
	// Boot is the engine's incarnation.
	Boot string `json:"boot,omitempty"`
}

// WeightSpan is a run of consecutive tokens that one weight version made.
type WeightSpan struct {
	Version int64 `json:"version"`
	Tokens  int   `json:"tokens"`
}

// FinishAbort is the finish reason of a stream that SwapCut or a cancel ended; no end marker follows.
const FinishAbort = "abort"

// CompletionChoice is the one choice of a chunk.
type CompletionChoice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
	// TokenIDs are the tokens of Text.
	TokenIDs []int `json:"token_ids"`
	// Offset is the index of the first token of TokenIDs in the answer, prefix tokens included.
	Offset       int     `json:"offset"`
	FinishReason *string `json:"finish_reason"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	// CachedTokens are prompt tokens that were found in the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// Paths of an engine besides /v1/completions.
//
//	GET    /v1/streams/{request_id}?from=N   resume a stream from token N (SSE); 404 if unknown
//	DELETE /v1/streams/{request_id}          cancel
//	GET    /v1/kv/{request_id}               export: KV body
//	POST   /v1/kv                            import: KV body
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

// KV is an exported KV cache: the tokens that it covers stand for it.
type KV struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Version   int64  `json:"version"`
	Prompt    string `json:"prompt"`
	Tokens    []int  `json:"tokens"`
	// Bytes is the size of the cache, which import takes time to copy.
	Bytes int64 `json:"bytes"`
}

// Load is an engine's report of its load; it lags by Age.
type Load struct {
	Running    int   `json:"running"`
	Waiting    int   `json:"waiting"`
	BatchLimit int   `json:"batch_limit"`
	AgeMs      int64 `json:"age_ms"`
	// TokensPerSecond is the recent decode rate.
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// CacheEvents are changes of the prefix cache; a gap in Seq means lost events.
type CacheEvents struct {
	Boot   string       `json:"boot"`
	Events []CacheEvent `json:"events"`
	Next   int64        `json:"next"`
}

// CacheEvent tells that a prompt prefix was stored or evicted.
type CacheEvent struct {
	Seq int64 `json:"seq"`
	// PrefixHash is the xxhash of the first PrefixBytes of the prompt.
	PrefixHash uint64 `json:"prefix_hash"`
	Evicted    bool   `json:"evicted"`
}

// EngineStatus is what an engine really runs.
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

// OrderKind names what an Order changes.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadVersion OrderKind = "load_version"
	OrderLoadModel   OrderKind = "load_model"
	OrderSetAdapters OrderKind = "set_adapters"
	OrderSetRole     OrderKind = "set_role"
)

// SwapMode tells what a weight order does to running requests.
type SwapMode string

// The swap modes.
const (
	// SwapNow swaps at once; running requests go on with the new weights.
	SwapNow SwapMode = "now"
	// SwapDrain finishes what runs, then swaps.
	SwapDrain SwapMode = "drain"
	// SwapCut cancels what runs, then swaps.
	SwapCut SwapMode = "cut"
)

// Order tells an engine to change what it runs.
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

// OrderResponse answers an Order once it has taken effect; status 409 refuses an old fencing token.
type OrderResponse struct {
	Status EngineStatus `json:"status"`
	Error  string       `json:"error,omitempty"`
}
