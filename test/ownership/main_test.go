package ownership_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that every run gives the same result. Set EXPLORE to
// search with random seeds.
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("EXPLORE") == "" {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
