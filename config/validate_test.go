package config

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/ibistrail/ibistrail/schema"
	"github.com/matryer/is"
)

const validTables = `{
 "routes": [
  {"name":"drafting","kind":"completions","customer":"magnolia","model":"draft","pool":"engines","priority":1,"timeout_ms":30000,
   "callers":[{"name":"editor","token_sha256":"000000000000000000000000000000000000000000000000000000000000000a"}]},
  {"name":"desk","kind":"http","customer":"magnolia","path_prefix":"/desk","pool":"desk","priority":0,"timeout_ms":2000,"non_idempotent":true,
   "callers":[{"name":"editor","token_sha256":"000000000000000000000000000000000000000000000000000000000000000a","weight":2}]},
  {"name":"steps","kind":"steps","customer":"magnolia","pool":"engines","priority":5,"timeout_ms":840000,"max_staleness_versions":4,
   "callers":[{"name":"trainer","token_sha256":"000000000000000000000000000000000000000000000000000000000000000b"}]}
 ],
 "pools": [
  {"name":"engines","kind":"engines","model":"draft","adapters":["notes"],"fencing_checked":true,
   "weights":{"follow":true,"serving_floor_percent":50,"staleness_weight":0.2},
   "targets":[{"name":"e1","address":"10.0.1.1:8000","availability_zone":"dixie-east-a"}]},
  {"name":"desk","kind":"services","targets":[{"name":"s1","address":"10.0.2.1:8000","availability_zone":"dixie-east-b"}]}
 ]
}`

func TestValidTablesHaveNoProblems(t *testing.T) {
	is := is.New(t)
	tables, p := ParseTables([]byte(validTables))
	is.Equal(p, nil)
	is.Equal(len(Validate(tables)), 0)
	is.Equal(len(Validate(&Tables{})), 0)
	raw, err := json.Marshal(tables)
	is.NoErr(err)
	_, p = ParseTables(raw)
	is.Equal(p, nil)
}

func TestInvalidTablesAreReportedWithPathAndRemedy(t *testing.T) {
	for _, tc := range []struct{ name, old, new, path, message, remedy string }{
		{"unknown field", `"timeout_ms":2000`, `"timeout_s":2,"timeout_ms":2000`, "/routes/1/timeout_s", "unknown field", `"timeout_ms"`},
		{"unit in text", `"timeout_ms":2000`, `"timeout_ms":"2s"`, "/routes/1/timeout_ms", "is a string", "milliseconds"},
		{"zero timeout", `"timeout_ms":2000`, `"timeout_ms":0`, "/routes/1/timeout_ms", "below 1", "milliseconds"},
		{"priority", `"priority":0`, `"priority":10`, "/routes/1/priority", "above 9", "whole number"},
		{"kind", `"kind":"http"`, `"kind":"tcp"`, "/routes/1/kind", "not one of", "completions, http and steps"},
		{"token", `00000000000a","weight"`, `xyz","weight"`, "/routes/1/callers/0/token_sha256", "right form", "sha256sum"},
		{"floor above 100", `"serving_floor_percent":50`, `"serving_floor_percent":101`, "/pools/0/weights/serving_floor_percent", "above 99", "at 100 none"},
		{"objective above 1", `"staleness_weight":0.2`, `"staleness_weight":1.5`, "/pools/0/weights/staleness_weight", "above 1", "least staleness"},
		{"follows and pinned", `"follow":true`, `"follow":true,"version":7`, "/pools/0/weights/version", "pinned to 7", "set follow to false"},
		{"address by name", `10.0.1.1:8000`, `engine-1:8000`, "/pools/0/targets/0/address", "no IP address", "10.0.1.7:8000"},
		{"address twice", `10.0.2.1:8000`, `10.0.1.1:8000`, "/pools/1/targets/0/address", "belongs to target engines/e1", "own address"},
		{"mapped address twice", `10.0.2.1:8000`, `[::ffff:10.0.1.1]:8000`, "/pools/1/targets/0/address", "belongs to target engines/e1", "own address"},
		{"weights of services", `"kind":"services"`, `"kind":"services","weights":{"follow":false,"serving_floor_percent":1,"staleness_weight":0}`, "/pools/1/weights", "services run no model", "leave it out"},
		{"staleness on services", `"non_idempotent":true`, `"max_staleness_versions":2`, "/routes/1/max_staleness_versions", "cannot have max_staleness_versions", "steps"},
		{"model missing", `"kind":"engines","model":"draft"`, `"kind":"engines"`, "/pools/0", "has no model", "add the model"},
		{"dangling pool", `"pool":"desk"`, `"pool":"dsk"`, "/routes/1/pool", "not in the pools table", "desk, engines"},
		{"pool of the other kind", `"pool":"desk"`, `"pool":"engines"`, "/routes/1/pool", "goes to pool", "services"},
		{"model not in pool", `"model":"draft","pool"`, `"model":"other","pool"`, "/routes/0/model", "does not run", "adapters"},
		{"route twice", `"name":"steps"`, `"name":"desk"`, "/routes/2/name", "stands twice", "own name"},
		{"pool twice", `"name":"desk","kind":"services"`, `"name":"engines","kind":"services"`, "/pools/1/name", "stands twice", "own name"},
		{"one token, two callers", `00000000000b`, `00000000000a`, "/routes/2/callers/0/token_sha256", "same token", "own token"},
		{"reserved path", `"/desk"`, `"/v1/desk"`, "/routes/1/path_prefix", "gates themselves", "outside /v1"},
		{"path of the balancer's check", `"/desk"`, `"/readyz/"`, "/routes/1/path_prefix", "gates themselves", "outside /v1"},
		{"path missing", `"path_prefix":"/desk",`, ``, "/routes/1", "no path_prefix", "/desk"},
		{"field twice", `"priority":0`, `"priority":0,"priority":1`, "/routes/1/priority", "duplicate field", "remove"},
		{"no callers", `[{"name":"trainer","token_sha256":"000000000000000000000000000000000000000000000000000000000000000b"}]`, `[]`, "/routes/2/callers", "below 1", "callers"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			broken := strings.Replace(validTables, tc.old, tc.new, 1)
			is.True(broken != validTables)
			tables, p := ParseTables([]byte(broken))
			is.Equal(tables, nil)
			is.True(len(p) > 0)
			t.Log(p[0])
			is.Equal(p[0].Path, tc.path)
			is.True(strings.Contains(p[0].Message, tc.message))
			is.True(strings.Contains(p[0].Remedy, tc.remedy))
		})
	}
}

func TestOverlappingRoutesAreReported(t *testing.T) {
	is := is.New(t)
	tables, _ := ParseTables([]byte(validTables))
	duplicateRoute := tables.Routes[0]
	duplicateRoute.Name = "twin"
	p := Validate(&Tables{Routes: append([]Route{duplicateRoute}, tables.Routes...), Pools: tables.Pools})
	is.Equal(len(p), 1)
	is.Equal(p[0].Path, "/routes/1/callers/0")
	path := tables.Routes[1]
	path.Name, path.PathPrefix = "path", "/desk/"
	p = Validate(&Tables{Routes: append([]Route{path}, tables.Routes...), Pools: tables.Pools})
	is.Equal(p[0].Path, "/routes/2/path_prefix")
}

// TestSchemaListsEveryFieldOfTheTypes checks that the JSON Schema and the Go types have the same
// fields.
func TestSchemaListsEveryFieldOfTheTypes(t *testing.T) {
	var doc struct {
		Defs map[string]struct {
			Properties map[string]any `json:"properties"`
		} `json:"$defs"`
	}
	if err := json.Unmarshal(Schema, &doc); err != nil {
		t.Fatal(err)
	}
	for def, v := range map[string]any{"route": Route{}, "pool": Pool{}, "caller": Caller{}, "target": Target{}, "weights": Weights{}} {
		is := is.New(t)
		typ := reflect.TypeOf(v)
		is.Equal(len(doc.Defs[def].Properties), typ.NumField()) // def
		for i := range typ.NumField() {
			name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			_, ok := doc.Defs[def].Properties[name]
			is.True(ok) // field name
		}
	}
}

func TestProblemsAreBounded(t *testing.T) {
	is := is.New(t)
	invalidRow := `{"bad":1}`
	_, p := ParseTables([]byte(`{"routes":[],"pools":[` + strings.Repeat(invalidRow+",", 300) + invalidRow + `]}`))
	is.Equal(len(p), schema.MaxProblems)
	_, p = ParseTables([]byte(strings.Repeat("[", 100_000)))
	is.Equal(len(p), 1)
	_, p = ParseTables(make([]byte, schema.MaxDocumentBytes+1))
	is.Equal(len(p), 1)
}
