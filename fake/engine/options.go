// Package engine implements a stand-in of a model engine. It simulates continuous batching with
// prefill and decode rates, a batch limit, a bounded prefix cache, priorities, streams with resume
// and cancel, KV export and import, delayed cache events, stale load reports, and orders for
// weights, models, adapters and roles. Package answer generates its tokens.
package engine

import (
	"net/http"
	"time"
)

// Rates are the speeds and sizes of the simulated engine. Zero values mean the defaults.
type Rates struct {
	// BatchLimit is the maximum number of concurrently running sequences.
	BatchLimit int `json:"batch_limit,omitempty"`
	// PrefillTokensPerSecond is the prefill rate of the whole batch.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second,omitempty"`
	// DecodeTokensPerSecond is the decode rate of a sequence that runs alone.
	DecodeTokensPerSecond float64 `json:"decode_tokens_per_second,omitempty"`
	// BatchSlowdown is the increase of the time per token with each further running sequence, as a share of the time
	// per token of a sequence that runs alone.
	BatchSlowdown float64 `json:"batch_slowdown,omitempty"`
	// CacheTokens is the capacity of the prefix cache, in tokens.
	CacheTokens int `json:"cache_tokens,omitempty"`
}

// Defaults of Options and Rates.
const (
	DefaultBatchLimit             = 16
	DefaultPrefillTokensPerSecond = 20_000
	DefaultDecodeTokensPerSecond  = 400
	DefaultBatchSlowdown          = 0.03
	DefaultCacheTokens            = 65_536
	DefaultTickMs                 = 4
	DefaultSwapMs                 = 50
	DefaultLoadLagMs              = 500
	DefaultCacheEventLagMs        = 300
	DefaultCacheEventGapEvery     = 50
)

// Bounds of the engine.
const (
	maxWaiting       = 4096
	maxSequences     = 16_384
	maxKV            = 256
	maxJournalRuns   = 1 << 17
	maxJournalOrders = 1 << 14
	maxBodyBytes     = 32 << 20
	// journalPromptBytes is the length to which the journal truncates prompts.
	journalPromptBytes = 256
	// resumeWindow is how long a finished stream can be resumed.
	resumeWindow = 10 * time.Second
	// detachWindow is how long a sequence keeps running without a reader before it is aborted.
	detachWindow = 2 * time.Second
	// kvBytesPerToken is the size of the KV cache of one token.
	kvBytesPerToken = 1 << 10
	// kvBytesPerSecond is the bandwidth of KV imports.
	kvBytesPerSecond = 256 << 20
	// fetchTimeout bounds the fetch of weights.
	fetchTimeout = 5 * time.Minute
)

// Options configure the stand-in.
type Options struct {
	Name  string `json:"name"`
	Model string `json:"model"`
	// Version is the weight version at the start; 0 means that no weights are loaded.
	Version  int64    `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	// StoreURL is the base URL of the weight store.
	StoreURL string `json:"store_url"`
	// FencingChecked makes the engine reject orders with an outdated fencing token.
	FencingChecked bool `json:"fencing_checked,omitempty"`
	// TickMs is the period of the model's steps, in milliseconds.
	TickMs int64 `json:"tick_ms,omitempty"`
	// SwapMs is how long a swap of weights pauses the batch, in milliseconds.
	SwapMs int64 `json:"swap_ms,omitempty"`
	// LoadLagMs is the refresh interval of the load report, in milliseconds.
	LoadLagMs int64 `json:"load_lag_ms,omitempty"`
	// CacheEventLagMs is the delay until a cache event is published, in milliseconds.
	CacheEventLagMs int64 `json:"cache_event_lag_ms,omitempty"`
	// CacheEventGapEvery drops each cache event whose sequence number it divides; a negative value drops none.
	CacheEventGapEvery int64 `json:"cache_event_gap_every,omitempty"`
	// RestartMs is the delay until the engine restarts after a crash that a request caused, in milliseconds; 0 means
	// that it stays down.
	RestartMs int64 `json:"restart_ms,omitempty"`
	Rates     Rates `json:"rates"`
	// HTTP is the client for fetches of weights; nil means a new client.
	HTTP *http.Client `json:"-"`
}

func (o Options) withDefaults() Options {
	setDefault(&o.Rates.BatchLimit, DefaultBatchLimit)
	setDefault(&o.Rates.PrefillTokensPerSecond, DefaultPrefillTokensPerSecond)
	setDefault(&o.Rates.DecodeTokensPerSecond, DefaultDecodeTokensPerSecond)
	setDefault(&o.Rates.BatchSlowdown, DefaultBatchSlowdown)
	setDefault(&o.Rates.CacheTokens, DefaultCacheTokens)
	setDefault(&o.TickMs, DefaultTickMs)
	setDefault(&o.SwapMs, DefaultSwapMs)
	setDefault(&o.LoadLagMs, DefaultLoadLagMs)
	setDefault(&o.CacheEventLagMs, DefaultCacheEventLagMs)
	setDefault(&o.CacheEventGapEvery, DefaultCacheEventGapEvery)
	if o.HTTP == nil {
		o.HTTP = &http.Client{Transport: &http.Transport{}}
	}
	return o
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Point is a point in the processing of a completion at which a fault can end it.
type Point string

// The points of a completion, in order.
const (
	PointAccept     Point = "accept"      // the connection is closed before the request is read
	PointReceived   Point = "received"    // the request is read, not queued
	PointHeaders    Point = "headers"     // the response headers are sent
	PointFirstToken Point = "first-token" // the first tokens are sent
	PointLastToken  Point = "last-token"  // all tokens are sent, the end marker is not
)

// Faults are the fault switches of an engine. The zero value has no faults.
type Faults struct {
	// Crash resets all connections, discards all requests and refuses new connections.
	Crash bool `json:"crash,omitempty"`
	// RestartVersion is the weight version after a crash; 0 keeps the version from before.
	RestartVersion int64 `json:"restart_version,omitempty"`
	// Stall accepts requests but generates no tokens.
	Stall bool `json:"stall,omitempty"`
	// Hang holds each request before it is queued until its caller cancels it.
	Hang bool `json:"hang,omitempty"`
	// SlowFactor divides the engine's speed; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// SwapFails is how many of the next swaps fail after the fetch; -1 means all.
	SwapFails int `json:"swap_fails,omitempty"`
	// LoseOrderAnswers is how many of the next orders take effect without an answer; -1 means all.
	LoseOrderAnswers int `json:"lose_order_answers,omitempty"`
	// OrderAnswerDelayMs delays the answers of orders, in milliseconds.
	OrderAnswerDelayMs int64 `json:"order_answer_delay_ms,omitempty"`
	// HideVersion leaves the weight version out of answers.
	HideVersion bool `json:"hide_version,omitempty"`
	// CutStreams is how many of the next streams end without an end marker; -1 means all.
	CutStreams int `json:"cut_streams,omitempty"`
	// CutAfterTokens is after how many tokens the streams of CutStreams end.
	CutAfterTokens int `json:"cut_after_tokens,omitempty"`
	// CutClean ends the streams of CutStreams with a regular end of the body instead of a reset.
	CutClean bool `json:"cut_clean,omitempty"`
	// DieAt aborts the connections of the next DieCalls completions at a point.
	DieAt Point `json:"die_at,omitempty"`
	// DieCalls is how many completions DieAt applies to; -1 means all.
	DieCalls int `json:"die_calls,omitempty"`
	// DieCrashesEngine makes DieAt crash the whole engine.
	DieCrashesEngine bool `json:"die_whole,omitempty"`
	// CrossAnswers is how many of the next answers carry the ID and tokens of another request; -1 means all.
	CrossAnswers int `json:"cross_answers,omitempty"`
	// PoisonSubstring crashes the engine when a request whose prompt contains it starts.
	PoisonSubstring string `json:"poison_substring,omitempty"`
	// Draining reports in the status and in a header of each answer that the engine drains; it keeps serving.
	Draining bool `json:"draining,omitempty"`
	// Refuse answers new completions with status 503.
	Refuse bool `json:"refuse,omitempty"`
	// IgnoreCancel acknowledges cancels without aborting the sequence.
	IgnoreCancel bool `json:"ignore_cancel,omitempty"`
	// SplitWrites sends streams a few bytes at a time, regardless of event boundaries.
	SplitWrites bool `json:"split_writes,omitempty"`
}
