// Package proptest gives property tests the same verdict in each run.
package proptest

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers its flags
)

// seed is the seed of property tests unless -rapid.seed gives one.
const seed = "1"

// Main runs the tests of a package with a fixed seed; a package's TestMain calls it.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set(seed) // a number always parses
	}
	os.Exit(m.Run())
}
