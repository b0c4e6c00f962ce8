package rollout

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives property tests a fixed seed, so that each run has the same verdict.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
