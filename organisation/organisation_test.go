package organisation

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ibistrail/ibistrail/config"
	"github.com/ibistrail/ibistrail/fleet"
	"github.com/ibistrail/ibistrail/process"
)

func newTables(names ...string) *fleet.Tables {
	t := &fleet.Tables{Version: 1}
	for _, n := range names {
		t.Organisations = append(t.Organisations, fleet.Organisation{Name: n, Keys: []fleet.KeyDigest{fleet.DigestOf("key-" + n), fleet.DigestOf("spare-" + n)}})
	}
	return t
}

// Guards against a request that is let in without a valid key, and against one that is refused although it needs none.
func TestAuthorize(t *testing.T) {
	age := time.Duration(0)
	metrics := process.NewMetrics()
	r := NewRegister(Options{Rules: Rules{FailClosed: true, RevokeWithin: 5 * time.Second}, TablesAge: func() time.Duration { return age }, Metrics: metrics})
	tables, private, public := newTables("a", "b"), &fleet.Route{}, &fleet.Route{Public: true}
	missing, unknown := Credentials{Form: FormMissing}, WithKey("key-c")
	for _, c := range []struct {
		name        string
		tables      *fleet.Tables
		route       *fleet.Route
		credentials Credentials
		age         time.Duration
		want        string // the organisation, or the type of the error
	}{
		{"valid key", tables, private, WithKey("key-a"), 0, "a"},
		{"second key", tables, private, WithKey("spare-b"), 0, "b"},
		{"valid key on a batch call", tables, nil, WithKey("key-b"), 0, "b"},
		{"no key", tables, private, missing, 0, "*organisation.UnauthorizedError"},
		{"no key on a batch call", tables, nil, missing, 0, "*organisation.UnauthorizedError"},
		{"unknown key", tables, private, unknown, 0, "*organisation.UnauthorizedError"},
		{"empty key", tables, private, WithKey(""), 0, "*organisation.UnauthorizedError"},
		{"long key", tables, private, WithKey(strings.Repeat("k", MaxKeyBytes+1)), 0, "*organisation.UnauthorizedError"},
		{"zero credentials", tables, private, Credentials{}, 0, "*organisation.UnauthorizedError"},
		{"no key on a public route", tables, public, missing, 0, ""},
		{"unknown key on a public route", tables, public, unknown, 0, ""},
		{"valid key on a public route", tables, public, WithKey("key-a"), 0, "a"},
		{"old tables", tables, private, WithKey("key-a"), 5*time.Second + 1, "*organisation.UnavailableError"},
		{"old tables, unknown key", tables, private, unknown, 6 * time.Second, "*organisation.UnavailableError"},
		{"old tables, no key", tables, private, missing, 6 * time.Second, "*organisation.UnauthorizedError"},
		{"old tables on a public route", tables, public, missing, time.Hour, ""},
		{"tables just within the bound", tables, private, WithKey("key-a"), 5 * time.Second, "a"},
		{"tables without organisations", &fleet.Tables{}, private, unknown, time.Hour, ""},
		{"no tables", nil, nil, missing, 0, "*organisation.UnavailableError"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			age = c.age
			got, err := r.Authorize(c.tables, c.route, c.credentials)
			if err != nil {
				is.Equal(fmt.Sprintf("%T", err), c.want)
				is.Equal(got, Caller{}) // an error names no organisation
				return
			}
			is.Equal(got.Organisation, c.want)
		})
	}
	is.New(t).Equal(metrics.SubMap("authorizations").Get("unknown").String(), "1")
}

// Guards against a key that goes on to be valid after the version of the tables that drops it.
func TestRemovedKeyIsInvalidWithNewTables(t *testing.T) {
	is := is.New(t)
	r := NewRegister(Options{TablesAge: func() time.Duration { return time.Hour }, Metrics: process.NewMetrics()})
	before, after := newTables("a", "b"), newTables("b")
	_, err := r.Authorize(before, nil, WithKey("key-a"))
	is.NoErr(err) // without FailClosed the age does not matter
	_, err = r.Authorize(after, nil, WithKey("key-a"))
	var unauthorized *UnauthorizedError
	is.True(errors.As(err, &unauthorized))
	is.True(!strings.Contains(err.Error()+unauthorized.Credentials.String(), "key-a")) // nothing that is logged holds the key
}

func TestPriorityOfOrganisationPrecedesRoute(t *testing.T) {
	is := is.New(t)
	p, route := config.Priority(1), &fleet.Route{Route: config.Route{Priority: 4}}
	is.Equal(Caller{Organisation: "a", Priority: &p}.PriorityOn(route), p)
	is.Equal(Caller{Organisation: "a"}.PriorityOn(route), config.Priority(4))
}

// Guards against a look-up whose cost grows with the number of keys: each request makes one.
func TestLookUpAmongManyKeysAllocatesNothing(t *testing.T) {
	is := is.New(t)
	names := make([]string, 5000)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	table, c := NewTable(newTables(names...).Organisations), WithKey("key-4999")
	is.Equal(testing.AllocsPerRun(100, func() {
		if _, ok := table.Find(c); !ok {
			t.Fatal("not found")
		}
	}), 0.0)
}
