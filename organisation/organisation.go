// Package organisation decides which organisation a request belongs to, by the API key that it presents, and whether it is let in.
//
// Table, Credentials and the rules are pure. Register is the shell that a VM uses: it builds one table for each version of the tables,
// knows how old they are, and counts the decisions.
package organisation

import (
	"fmt"
	"time"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fleet"
)

// MaxKeyBytes limits an API key that a request presents. A longer one is malformed, and is not hashed.
const MaxKeyBytes = 1024

// Form tells whether a request presents an API key.
type Form string

// Values of Form.
const (
	FormMissing   Form = "missing"
	FormMalformed Form = "malformed"
	FormKey       Form = "key"
)

// Credentials are what a request presents. The zero value is malformed.
type Credentials struct {
	Form Form
	// Digest is that of the API key; it is set with FormKey.
	Digest fleet.KeyDigest
}

// WithKey returns the credentials of a request that presents an API key.
func WithKey(key string) Credentials {
	if key == "" || len(key) > MaxKeyBytes {
		return Credentials{Form: FormMalformed}
	}
	return Credentials{Form: FormKey, Digest: fleet.DigestOf(key)}
}

// String returns the first bytes of the key's digest for logs, or the form if there is no key.
func (c Credentials) String() string {
	if c.Form == FormKey {
		return c.Digest.String()
	}
	return string(c.Form)
}

// Caller is the organisation that a request belongs to. The zero value is none.
type Caller struct {
	// Organisation is its name; empty if the request belongs to none.
	Organisation string
	// Priority replaces that of the route; nil if the route's holds.
	Priority *config.Priority
}

// PriorityOn returns the priority of the caller's requests on a route.
func (c Caller) PriorityOn(route *fleet.Route) config.Priority {
	if c.Priority != nil {
		return *c.Priority
	}
	return route.Priority
}

// OwnsBatch reports whether the caller may read and end a batch of the given organisation. A batch without one, which an earlier build
// or tables without organisations accepted, is open to each caller that is let in; so is each batch while the tables have no organisations.
func (c Caller) OwnsBatch(organisation string) bool {
	return organisation == "" || c.Organisation == "" || organisation == c.Organisation
}

// UnauthorizedError is returned if a request presents no API key that an organisation holds.
type UnauthorizedError struct {
	Credentials Credentials
}

func (e *UnauthorizedError) Error() string {
	switch e.Credentials.Form {
	case FormMissing:
		return "no API key is presented"
	case FormKey:
		return "no organisation holds the API key"
	}
	return "the API key is presented in a wrong form"
}

// UnavailableError is returned if this VM can't tell now which API keys are valid. The caller should retry after RetryAfter, best at
// another VM.
type UnavailableError struct {
	RetryAfter time.Duration
	// Age is that of the tables; zero if there are none yet.
	Age time.Duration
}

func (e *UnavailableError) Error() string {
	if e.Age == 0 {
		return "no configuration is known yet"
	}
	return fmt.Sprintf("the configuration was last read %s ago, so that API keys may have been removed meanwhile", e.Age.Round(time.Millisecond))
}

// Table finds the organisations of one version of the tables by API key. It is immutable.
type Table struct {
	byKey map[fleet.KeyDigest]*fleet.Organisation
}

// NewTable returns the table of the organisations.
func NewTable(organisations []fleet.Organisation) *Table {
	n := 0
	for i := range organisations {
		n += len(organisations[i].Keys)
	}
	t := &Table{byKey: make(map[fleet.KeyDigest]*fleet.Organisation, n)}
	for i := range organisations {
		for _, k := range organisations[i].Keys {
			t.byKey[k] = &organisations[i]
		}
	}
	return t
}

// Find returns the caller that the credentials belong to; ok is false if no organisation holds the key.
func (t *Table) Find(c Credentials) (caller Caller, ok bool) {
	if c.Form != FormKey {
		return Caller{}, false
	}
	o := t.byKey[c.Digest]
	if o == nil {
		return Caller{}, false
	}
	return Caller{Organisation: o.Name, Priority: o.Priority}, true
}

// Rules are the settings that decide how old the tables may be.
type Rules struct {
	// FailClosed refuses requests that need an API key while the tables are older than RevokeWithin.
	FailClosed   bool
	RevokeWithin time.Duration
}

// Authorize returns the caller of a request that needs an API key. age is that of the tables. The error is an *UnauthorizedError or an
// *UnavailableError. Credentials without a well-formed key are refused as such even if the tables are old, since no tables hold them.
func (r Rules) Authorize(t *Table, c Credentials, age time.Duration) (Caller, error) {
	if c.Form != FormKey {
		return Caller{}, &UnauthorizedError{Credentials: c}
	}
	if r.FailClosed && age > r.RevokeWithin {
		return Caller{}, &UnavailableError{RetryAfter: staleRetryAfter, Age: age}
	}
	caller, ok := t.Find(c)
	if !ok {
		return Caller{}, &UnauthorizedError{Credentials: c}
	}
	return caller, nil
}

// Retry-After of refusals.
const (
	// staleRetryAfter: a cut of a VM lasts for seconds, but other VMs may reach the store.
	staleRetryAfter = 500 * time.Millisecond
	// noTablesRetryAfter is about the time from a start to the first configuration.
	noTablesRetryAfter = 500 * time.Millisecond
)
