package berylplan

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that each run tests the same cases; -rapid.seed selects others.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
