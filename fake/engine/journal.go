package engine

import (
	"time"

	"github.com/ibistrail/ibistrail/trial"
)

// Run is one request that an engine queued.
type Run struct {
	RequestID string    `json:"request_id"`
	Prompt    string    `json:"prompt"`
	Seed      int64     `json:"seed"`
	Priority  int       `json:"priority"`
	Arrived   time.Time `json:"arrived"`
	// Started reports whether the request left the queue.
	Started       bool `json:"started"`
	PrefillTokens int  `json:"prefill_tokens"`
	CachedTokens  int  `json:"cached_tokens"`
	// Tokens is how many tokens this engine generated for the request.
	Tokens int `json:"tokens"`
	// Finish is the finish reason: stop, length, abort or crash; empty while the request runs.
	Finish string `json:"finish"`
	// Draining reports whether the engine was announcing that it drains when the request arrived.
	Draining bool `json:"draining,omitempty"`
}

// OrderEntry is one order that an engine received, with its result: "ok" or the error.
type OrderEntry struct {
	Time   time.Time   `json:"time"`
	Order  trial.Order `json:"order"`
	Result string      `json:"result"`
}

// VersionEntry is a change of the loaded weight version.
type VersionEntry struct {
	Time    time.Time `json:"time"`
	Version int64     `json:"version"`
}

// Totals are token counts of an engine over all its boots.
type Totals struct {
	PrefillTokens int64 `json:"prefill_tokens"`
	CachedTokens  int64 `json:"cached_tokens"`
	DecodeTokens  int64 `json:"decode_tokens"`
	// AbortedTokens were generated for requests that were aborted.
	AbortedTokens int64 `json:"aborted_tokens"`
}

// Journal is the record of an engine's requests, orders and weight versions, for checkers.
type Journal struct {
	Name     string         `json:"name"`
	Boots    int            `json:"boots"`
	Crashes  int            `json:"crashes"`
	Runs     []*Run         `json:"runs"`
	Orders   []OrderEntry   `json:"orders"`
	Versions []VersionEntry `json:"versions"`
	Totals   Totals         `json:"totals"`
}

// Journal returns a copy of the journal.
func (e *Engine) Journal() Journal {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sequences {
		s.run.Tokens = len(s.tokens) - s.prefixLength
	}
	j := e.journal
	j.Totals = addTotals(j.Totals, e.model.totals)
	j.Runs = make([]*Run, len(e.journal.Runs))
	for i, r := range e.journal.Runs {
		c := *r
		j.Runs[i] = &c
	}
	j.Orders = append([]OrderEntry{}, j.Orders...)
	j.Versions = append([]VersionEntry{}, j.Versions...)
	return j
}

func addTotals(a, b Totals) Totals {
	return Totals{
		PrefillTokens: a.PrefillTokens + b.PrefillTokens, CachedTokens: a.CachedTokens + b.CachedTokens,
		DecodeTokens: a.DecodeTokens + b.DecodeTokens, AbortedTokens: a.AbortedTokens + b.AbortedTokens,
	}
}

// recordVersion records a change of the weight version. The caller holds e.mu unless e is new.
func (e *Engine) recordVersion(now time.Time, version int64) {
	e.journal.Versions = append(e.journal.Versions, VersionEntry{Time: now, Version: version})
}

// recordOrder records an order and its result.
func (e *Engine) recordOrder(o trial.Order, result string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.journal.Orders) < maxJournalOrders {
		e.journal.Orders = append(e.journal.Orders, OrderEntry{Time: time.Now(), Order: o, Result: result})
	}
}
