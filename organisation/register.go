package organisation

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
)

// Options are the settings and dependencies of a Register.
type Options struct {
	Rules Rules
	// TablesAge returns the time since the last complete read of the operator's topic began, on a clock that counts suspension.
	TablesAge func() time.Duration
	Metrics   *process.Metrics
}

// Register decides on a VM's requests. It is safe for concurrent use.
type Register struct {
	opts    Options
	counts  *expvar.Map
	mu      sync.Mutex // held while a table is built, so that it is built once
	current atomic.Pointer[versionTable]
}

// versionTable is the table of one version of the tables.
type versionTable struct {
	tables *fleet.Tables
	table  *Table
}

// NewRegister returns a register without tables.
func NewRegister(o Options) *Register {
	return &Register{opts: o, counts: o.Metrics.SubMap("authorizations")}
}

// Required reports whether the tables have organisations.
func Required(t *fleet.Tables) bool { return t != nil && t.Organisations != nil }

// Authorize returns the caller of a request on a route, or of a call of a batch, which is on no route (nil). Without organisations in the
// tables, and on a public route without a valid key, it is the zero Caller. The error is an *UnauthorizedError or an *UnavailableError.
func (r *Register) Authorize(tables *fleet.Tables, route *fleet.Route, c Credentials) (Caller, error) {
	if tables == nil {
		return Caller{}, &UnavailableError{RetryAfter: noTablesRetryAfter}
	}
	if !Required(tables) {
		return Caller{}, nil
	}
	t := r.tableOf(tables)
	if route != nil && route.Public {
		caller, _ := t.Find(c)
		r.counts.Add("public", 1)
		return caller, nil
	}
	caller, err := r.opts.Rules.Authorize(t, c, r.opts.TablesAge())
	switch err.(type) {
	case nil:
		r.counts.Add("accepted", 1)
	case *UnavailableError:
		r.counts.Add("stale_tables", 1)
	default:
		outcome := string(c.Form)
		if c.Form == FormKey {
			outcome = "unknown"
		}
		r.counts.Add(outcome, 1)
	}
	return caller, err
}

// tableOf returns the table of a version of the tables, which is built on first use.
func (r *Register) tableOf(tables *fleet.Tables) *Table {
	if c := r.current.Load(); c != nil && c.tables == tables {
		return c.table
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.current.Load(); c != nil && c.tables == tables {
		return c.table
	}
	c := &versionTable{tables, NewTable(tables.Organisations)}
	r.current.Store(c)
	return c.table
}
