// Package proptest makes the results of property tests reproducible.
package proptest

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers its flags
)

// defaultSeed is the seed of property tests unless -rapid.seed is set.
const defaultSeed = "1"

// Main runs the tests of a package with a fixed seed and exits. Call it from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set(defaultSeed) // a decimal seed always parses
	}
	os.Exit(m.Run())
}
