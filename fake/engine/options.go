// Package engine is a stand-in of a model engine. It models continuous batching with prefill and
// decode rates, a batch limit, a limited prefix cache, priorities, streams with resume and cancel,
// KV export and import, late cache events, lagging load reports and orders for weights, models,
// adapters and roles. Its answers are those of package answer.
package engine

import (
	"net/http"
	"time"
)

// Rates are the speeds and sizes of the modelled engine.
type Rates struct {
	// BatchLimit bounds the sequences that run at a time.
	BatchLimit int `json:"batch_limit,omitempty"`
	// PrefillTokensPerSecond is shared by the batch.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second,omitempty"`
	// DecodeTokensPerSecond is the rate of a sequence that runs alone.
	DecodeTokensPerSecond float64 `json:"decode_tokens_per_second,omitempty"`
	// BatchSlowdown is by how much each further sequence slows the others, as a share of the time of one.
	BatchSlowdown float64 `json:"batch_slowdown,omitempty"`
	// CacheTokens is the size of the prefix cache.
	CacheTokens int `json:"cache_tokens,omitempty"`
}

// Rates where the options name none.
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
	// journalPromptBytes bounds the part of a prompt that the journal keeps.
	journalPromptBytes = 256
	// resumeWindow is how long a finished stream can be resumed.
	resumeWindow = 10 * time.Second
	// detachWindow is how long a stream runs on without a reader.
	detachWindow = 2 * time.Second
	// kvBytesPerToken is the size of the KV cache of one token.
	kvBytesPerToken = 1 << 10
	// kvBytesPerSecond is the speed of KV import.
	kvBytesPerSecond = 256 << 20
	// fetchTimeout bounds the fetch of weights.
	fetchTimeout = 5 * time.Minute
)

// Options configure the stand-in.
type Options struct {
	Name  string `json:"name"`
	Model string `json:"model"`
	// Version is the weight version at the start; 0 means that none is loaded.
	Version  int64    `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	// StoreURL is the weight store.
	StoreURL string `json:"store_url"`
	// FencingChecked refuses orders with an old fencing token.
	FencingChecked bool `json:"fencing_checked,omitempty"`
	// TickMs is the period of the model's steps, in milliseconds.
	TickMs int64 `json:"tick_ms,omitempty"`
	// SwapMs is how long a swap stops the batch, in milliseconds.
	SwapMs int64 `json:"swap_ms,omitempty"`
	// LoadLagMs is how old a load report may be, in milliseconds.
	LoadLagMs int64 `json:"load_lag_ms,omitempty"`
	// CacheEventLagMs is how late cache events are published, in milliseconds.
	CacheEventLagMs int64 `json:"cache_event_lag_ms,omitempty"`
	// CacheEventGapEvery loses each event whose number it divides; below 0 loses none.
	CacheEventGapEvery int64 `json:"cache_event_gap_every,omitempty"`
	// RestartMs is after how long an engine that a request has killed comes back; 0 means never.
	RestartMs int64 `json:"restart_ms,omitempty"`
	Rates     Rates `json:"rates"`
	// HTTP fetches weights; nil means a client of its own.
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

// Point is a place in the course of a completion.
type Point string

// The points of a completion, in order.
const (
	PointAccept     Point = "accept"      // the connection is closed before the request is read
	PointReceived   Point = "received"    // the request is read, not queued
	PointHeaders    Point = "headers"     // the answer's headers are sent
	PointFirstToken Point = "first-token" // the first tokens are sent
	PointLastToken  Point = "last-token"  // all tokens are sent, the end marker is not
)

// Faults are the switches of an engine.
type Faults struct {
	// Crash closes all connections, drops what runs and refuses new connections.
	Crash bool `json:"crash,omitempty"`
	// RestartVersion is what the engine runs after a crash, in place of what it ran before.
	RestartVersion int64 `json:"restart_version,omitempty"`
	// Stall accepts requests and makes no tokens.
	Stall bool `json:"stall,omitempty"`
	// Hang holds each request before it is queued until its caller gives up.
	Hang bool `json:"hang,omitempty"`
	// SlowFactor divides the engine's speed; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// SwapFails is how many of the next swaps fail after the fetch; -1 means all.
	SwapFails int `json:"swap_fails,omitempty"`
	// LoseOrderAnswers is how many of the next orders take effect without an answer; -1 means all.
	LoseOrderAnswers int `json:"lose_order_answers,omitempty"`
	// OrderAnswerDelayMs holds the answers of orders back, in milliseconds.
	OrderAnswerDelayMs int64 `json:"order_answer_delay_ms,omitempty"`
	// HideVersion reports no weight version with tokens.
	HideVersion bool `json:"hide_version,omitempty"`
	// CutStreams is how many of the next streams end without an end marker; -1 means all.
	CutStreams int `json:"cut_streams,omitempty"`
	// CutAfterTokens is after how many tokens they end.
	CutAfterTokens int `json:"cut_after_tokens,omitempty"`
	// CutClean ends them like a whole answer, not by a reset.
	CutClean bool `json:"cut_clean,omitempty"`
	// DieAt ends the next DieCalls completions at a point; -1 means all.
	DieAt    Point `json:"die_at,omitempty"`
	DieCalls int   `json:"die_calls,omitempty"`
	// DieWhole crashes the engine with them.
	DieWhole bool `json:"die_whole,omitempty"`
	// CrossAnswers is how many of the next answers carry another request's tokens under that one's ID; -1 means all.
	CrossAnswers int `json:"cross_answers,omitempty"`
	// PoisonSubstring crashes the engine once a prompt that contains it starts.
	PoisonSubstring string `json:"poison_substring,omitempty"`
	// Draining tells in the status and with each answer that the engine is leaving; it goes on serving.
	Draining bool `json:"draining,omitempty"`
	// Refuse answers new completions with 503.
	Refuse bool `json:"refuse,omitempty"`
	// IgnoreCancel answers a cancel and runs on.
	IgnoreCancel bool `json:"ignore_cancel,omitempty"`
	// SplitWrites sends streams a few bytes at a time, across the borders of events.
	SplitWrites bool `json:"split_writes,omitempty"`
}
