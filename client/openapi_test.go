package client

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/ibistrail/ibistrail/api"
	"github.com/matryer/is"
)

// TestOpenAPIMatchesMessages checks that docs/openapi.json describes the trainers' requests and has exactly the JSON
// fields of the messages of package api.
func TestOpenAPIMatchesMessages(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("../docs/openapi.json")
	is.NoErr(err)
	var doc struct {
		Paths      map[string]map[string]any `json:"paths"`
		Components struct {
			Schemas map[string]struct {
				Properties map[string]any `json:"properties"`
				Required   []string       `json:"required"`
			} `json:"schemas"`
		} `json:"components"`
	}
	is.NoErr(json.Unmarshal(raw, &doc))
	for path, method := range map[string]string{"/v1/steps": "post", "/v1/steps/{id}/pull": "post", "/v1/steps/{id}": "delete"} {
		is.True(doc.Paths[path][method] != nil) // the request is described
	}
	for _, v := range []any{api.Group{}, api.StepSpec{}, api.StepAccepted{}, api.PullRequest{}, api.PullResponse{}, api.Sample{}, api.Span{}, api.FailedSlot{}} {
		typ := reflect.TypeOf(v)
		schema := doc.Components.Schemas[typ.Name()]
		fields := map[string]bool{}
		for i := range typ.NumField() {
			name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			fields[name] = true
			if schema.Properties[name] == nil {
				t.Errorf("docs/openapi.json: schema %s has no property %s", typ.Name(), name)
			}
		}
		for name := range schema.Properties {
			if !fields[name] {
				t.Errorf("docs/openapi.json: schema %s has the property %s, which the type of package api does not have", typ.Name(), name)
			}
		}
	}
}
