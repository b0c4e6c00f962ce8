package settings

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/ibistrail/ibistrail/config"
)

// TestConfigurationPageNamesEveryField checks that docs/CONFIGURATION.md names every field of the
// schemas.
func TestConfigurationPageNamesEveryField(t *testing.T) {
	page, err := os.ReadFile("../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	prefix := map[string]string{"caller": "callers[].", "target": "targets[].", "weights": "weights."}
	for _, raw := range [][]byte{Schema, config.Schema} {
		var doc struct {
			Defs map[string]struct {
				Properties map[string]any `json:"properties"`
			} `json:"$defs"`
		}
		if err := json.Unmarshal(raw, &doc); err != nil {
			t.Fatal(err)
		}
		for name, def := range doc.Defs {
			for field := range def.Properties {
				if !strings.Contains(string(page), "`"+prefix[name]+field+"`") {
					t.Errorf("docs/CONFIGURATION.md does not name `%s%s`", prefix[name], field)
				}
			}
		}
	}
}

// TestExamplesInPagesAreValidTables checks the first JSON example of each page.
func TestExamplesInPagesAreValidTables(t *testing.T) {
	for _, name := range []string{"../docs/CONFIGURATION.md", "../README.md"} {
		page, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		_, afterFence, _ := strings.Cut(string(page), "```json\n")
		example, _, found := strings.Cut(afterFence, "```")
		if !found {
			t.Fatalf("%s has no example", name)
		}
		if _, problems := config.ParseTables([]byte(example)); len(problems) > 0 {
			t.Errorf("%s: %v", name, problems)
		}
	}
}
