// Package config defines the two tables that operators edit, routes and pools, and their validation.
// Changes are records of a log; a Machine applies them by a deterministic rule, so that all readers
// of the log accept and reject the same changes.
package config

import (
	"github.com/ibistrail/ibistrail/schema"
	"github.com/ibistrail/ibistrail/trial"
)

// Priority is the priority class of a route; lower numbers are served first.
type Priority int

// The highest and the lowest Priority.
const (
	PriorityHighest Priority = 0
	PriorityLowest  Priority = 9
)

// RouteKind is the kind of requests that a route accepts.
type RouteKind string

// The kinds of routes.
const (
	// RouteCompletions sends OpenAI-compatible completion requests to a pool of engines; requests are
	// matched by model name.
	RouteCompletions RouteKind = "completions"
	// RouteHTTP sends plain HTTP requests to a pool of services; requests are matched by path prefix.
	RouteHTTP RouteKind = "http"
	// RouteSteps sends a trainer's steps to a pool of engines.
	RouteSteps RouteKind = "steps"
)

// Caller is a client that may use a route, identified by its bearer token.
type Caller struct {
	Name string `json:"name"`
	// TokenSHA256 is the hex SHA-256 of the token.
	TokenSHA256 string `json:"token_sha256"`
	// Weight is the caller's weight in fair queuing among the callers of one priority; 0 means 1.
	Weight int `json:"weight,omitempty"`
}

// Route is a row of the routes table.
type Route struct {
	Name     string    `json:"name"`
	Kind     RouteKind `json:"kind"`
	Customer string    `json:"customer"`
	// Model matches the request's model (kind completions).
	Model string `json:"model,omitempty"`
	// PathPrefix matches the request's path (kind http); the longest prefix wins.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Pool is the name of the pool that serves the route.
	Pool     string   `json:"pool"`
	Priority Priority `json:"priority"`
	Callers  []Caller `json:"callers"`
	// TimeoutMs is the time limit of each request or step, in milliseconds.
	TimeoutMs int64 `json:"timeout_ms"`
	// NonIdempotent means that each request is executed at most once (kind http).
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// MaxStalenessVersions is the largest staleness limit that a step may request, in weight versions
	// (kind steps).
	MaxStalenessVersions int64 `json:"max_staleness_versions,omitempty"`
	// RetryBudgetPercent is the share of traffic that may be retries and hedges, in percent.
	RetryBudgetPercent int `json:"retry_budget_percent,omitempty"`
}

// PoolKind is the kind of a pool's targets.
type PoolKind string

// The kinds of pools.
const (
	PoolEngines  PoolKind = "engines"
	PoolServices PoolKind = "services"
)

// Target is an engine or a plain HTTP service in a pool.
type Target struct {
	Name             string `json:"name"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	// Draining means that the target gets no new work.
	Draining bool `json:"draining,omitempty"`
}

// Weights sets how a pool of engines follows the weight store.
type Weights struct {
	// Follow means that new versions are loaded as they are published.
	Follow bool `json:"follow"`
	// Version is the version to load when Follow is false; 0 means that no version is ordered.
	Version int64 `json:"version,omitempty"`
	// ServingFloorPercent is the minimum share of engines that must not be loading at any time.
	ServingFloorPercent int `json:"serving_floor_percent"`
	// StalenessWeight is the objective of weight updates, from 0 to 1: 0 minimizes the idle time of the
	// trainer, 1 minimizes staleness.
	StalenessWeight float64 `json:"staleness_weight"`
}

// Pool is a row of the pools table.
type Pool struct {
	Name    string   `json:"name"`
	Kind    PoolKind `json:"kind"`
	Targets []Target `json:"targets"`
	// Model is the model that the engines run (kind engines).
	Model    string   `json:"model,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	Weights  *Weights `json:"weights,omitempty"`
	// FencingChecked means that the engines reject an order with an old fencing token.
	FencingChecked bool `json:"fencing_checked,omitempty"`
	// ConcurrencyPerTarget is the limit of requests in flight per target; 0 means that the limit is
	// estimated.
	ConcurrencyPerTarget int `json:"concurrency_per_target,omitempty"`
}

// Tables holds the routes table and the pools table.
type Tables struct {
	Routes []Route `json:"routes"`
	Pools  []Pool  `json:"pools"`
}

// Pool returns the pool with this name, or nil.
func (t *Tables) Pool(name string) *Pool {
	for i := range t.Pools {
		if t.Pools[i].Name == name {
			return &t.Pools[i]
		}
	}
	return nil
}

// Route returns the route with this name, or nil.
func (t *Tables) Route(name string) *Route {
	for i := range t.Routes {
		if t.Routes[i].Name == name {
			return &t.Routes[i]
		}
	}
	return nil
}

// RowKey identifies a row: "routes/NAME" or "pools/NAME".
type RowKey string

// RouteKey returns the key of a row of the routes table.
func RouteKey(name string) RowKey { return RowKey("routes/" + name) }

// PoolKey returns the key of a row of the pools table.
func PoolKey(name string) RowKey { return RowKey("pools/" + name) }

// Edit replaces, adds or deletes one row. Exactly one of Route, Pool and Delete is set.
type Edit struct {
	Key RowKey `json:"key"`
	// Replaces is the revision of the row that the operator saw; 0 means that the row did not exist.
	Replaces trial.Offset `json:"replaces"`
	Route    *Route       `json:"route,omitempty"`
	Pool     *Pool        `json:"pool,omitempty"`
	Delete   bool         `json:"delete,omitempty"`
}

// Change is a set of edits that is accepted or rejected as a whole.
type Change struct {
	ID     string `json:"id"`
	Author string `json:"author"`
	Note   string `json:"note,omitempty"`
	// Base is the revision of the tables that the author saw. A change read back more than
	// DecisionWindow offsets after its Base is rejected, so that a late copy of a change that was
	// already decided is never accepted.
	Base  trial.Offset `json:"base"`
	Edits []Edit       `json:"edits"`
}

// Decision is the decision on a change, made when its record was read back from the log.
type Decision struct {
	Offset   trial.Offset `json:"offset"`
	Change   Change       `json:"change"`
	Accepted bool         `json:"accepted"`
	// Conflicts lists the edited rows that another change had edited before.
	Conflicts []Conflict `json:"conflicts,omitempty"`
	// Problems lists the rules that the resulting tables would violate.
	Problems []Problem `json:"problems,omitempty"`
}

// Conflict is a row that another change has edited or deleted since the author of an edit saw it.
type Conflict struct {
	Key RowKey `json:"key"`
	// CurrentRevision is the current revision of the row, or of its deletion; 0 means not known.
	CurrentRevision trial.Offset `json:"now"`
	// Author is the author of that revision.
	Author string `json:"by"`
	Remedy string `json:"remedy"`
}

// Problem is a violated rule of the tables, with its path and a remedy.
type Problem = schema.Problem

// RowInfo is the revision of a row and the author of the change that set it.
type RowInfo struct {
	Revision trial.Offset `json:"revision"`
	Author   string       `json:"by"`
}

// DecidedChange is the outcome of a change, without the reasons.
type DecidedChange struct {
	ID       string       `json:"id"`
	Offset   trial.Offset `json:"offset"`
	Accepted bool         `json:"accepted"`
}

// Snapshot is the state of a Machine after the record at Revision. Two readers of the same log have
// equal snapshots at equal revisions.
type Snapshot struct {
	Revision trial.Offset       `json:"revision"`
	Tables   Tables             `json:"tables"`
	Rows     map[RowKey]RowInfo `json:"rows"`
	// Deleted holds the rows deleted within the last DecisionWindow offsets, so that an old edit
	// cannot restore one.
	Deleted map[RowKey]RowInfo `json:"deleted,omitempty"`
	// Decided holds the changes decided within the last DecisionWindow offsets, the oldest first.
	Decided []DecidedChange `json:"decided,omitempty"`
	// LastSnapshot is the value of Machine.LastSnapshot.
	LastSnapshot trial.Offset `json:"last_snapshot,omitempty"`
	// Incomplete means that the reader skipped a change of a newer format, so that the tables may lack
	// it.
	Incomplete bool `json:"incomplete,omitempty"`
}
