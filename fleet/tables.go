// Package fleet is what a VM knows of the deployment: the two tables, routes and pools, with what
// requests need of them, and the targets that registered themselves. Its state changes only with
// records of the platform's store; it does no I/O.
package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/ibistrail/ibistrail/config"
)

// Share is the part of a route's traffic that a pool gets.
type Share struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Route is a row of the routes table.
type Route struct {
	config.Route
	Host string `json:"host"`
	// Streaming routes answer with a series of events.
	Streaming bool `json:"streaming,omitempty"`
	// Resumable streams can continue on another target after the last event received.
	Resumable bool `json:"resumable,omitempty"`
	// Batch routes take batch submissions instead of single requests.
	Batch bool `json:"batch,omitempty"`
	// SingleVersion asks for samples that were made by one weight version each (batch routes).
	SingleVersion bool `json:"single_version,omitempty"`
	// Split divides the traffic between pools; empty means all of it goes to Pool.
	Split []Share `json:"split,omitempty"`
	// MaxAttempts is the largest number of targets that one request may be sent to.
	MaxAttempts int `json:"max_attempts"`
	// TargetLatency is the objective for a response, or for the first event of a stream.
	TargetLatency time.Duration `json:"target_latency_ns,omitempty"`
	// RunDeadline is when all results of a batch are due, from its submission on.
	RunDeadline time.Duration `json:"run_deadline_ns,omitempty"`
	// Retention is how long a batch's items must be tried before they may be given up.
	Retention time.Duration `json:"retention_ns,omitempty"`
}

// Timeout is the longest time that a request may be kept waiting; 0 means no bound.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMs) * time.Millisecond }

// Key names the route by what requests select it with.
func (r *Route) Key() string { return r.Host + r.PathPrefix }

// PoolFor returns the pool of a request; pick is a uniform random number below 1.
func (r *Route) PoolFor(pick float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := int(pick * float64(total))
	for _, s := range r.Split {
		if remaining < s.Weight {
			return s.Pool
		}
		remaining -= s.Weight
	}
	return r.Pool
}

// Engine is what a pool of model engines offers.
type Engine struct {
	// Slots is the number of requests that run at once on one engine.
	Slots int `json:"slots"`
	// TokensPerEvent is the number of tokens that one event of a stream carries.
	TokensPerEvent int      `json:"tokens_per_event"`
	Models         []string `json:"models"`
}

// Pool is a row of the pools table. Its targets register themselves and are not listed in it.
type Pool struct {
	config.Pool
	// Engine is nil for plain services.
	Engine *Engine `json:"engine,omitempty"`
}

// Limits bound what clients may send.
type Limits struct {
	HeaderBytes int           `json:"header_bytes"`
	BodyBytes   int64         `json:"body_bytes"`
	IdleTimeout time.Duration `json:"idle_timeout_ns"`
}

// Tables are both tables in one version.
type Tables struct {
	Version int64   `json:"version"`
	Routes  []Route `json:"routes"`
	Pools   []Pool  `json:"pools"`
	Limits  Limits  `json:"limits"`
}

// Pool returns the row named name, or nil.
func (t *Tables) Pool(name string) *Pool {
	for i := range t.Pools {
		if t.Pools[i].Name == name {
			return &t.Pools[i]
		}
	}
	return nil
}

// Match returns the route of the host whose prefix is the longest that begins path, or nil.
func (t *Tables) Match(host, path string) *Route {
	var best *Route
	for i := range t.Routes {
		r := &t.Routes[i]
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.PathPrefix) &&
			(best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// Uses tells whether any route leads to the pool.
func (r *Route) Uses(pool string) bool {
	return r.Pool == pool || slices.ContainsFunc(r.Split, func(s Share) bool { return s.Pool == pool })
}
