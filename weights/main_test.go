package weights

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests, unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}
