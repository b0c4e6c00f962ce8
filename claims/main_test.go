package claims

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests, unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	if f := flag.Lookup("rapid.steps"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("100") // a snapshot takes many steps
	}
	os.Exit(m.Run())
}
