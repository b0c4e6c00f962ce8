package settings

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/ibistrail/ibistrail/schema"
)

// FuzzSettings checks that any document is either rejected, each problem with a message and a remedy,
// or gives settings that are unchanged by encoding.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(gateJSON))
	f.Add([]byte(stewardJSON))
	f.Fuzz(func(t *testing.T, data []byte) {
		DetectKind(data)
		checkParse(t, data, ParseGate)
		checkParse(t, data, ParseSteward)
	})
}

func checkParse[T any](t *testing.T, data []byte, parse func([]byte) (*T, []schema.Problem)) {
	v, problems := parse(data)
	if (v == nil) != (len(problems) > 0) {
		t.Fatalf("settings %v with problems %v", v, problems)
	}
	for _, p := range problems {
		if p.Message == "" || p.Remedy == "" {
			t.Fatalf("problem without message or remedy: %+v", p)
		}
	}
	if v == nil {
		return
	}
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	reparsed, problems := parse(raw)
	if len(problems) > 0 || !reflect.DeepEqual(v, reparsed) {
		t.Fatalf("encoding changed the settings: %v", problems)
	}
}
