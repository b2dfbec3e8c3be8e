package berylreducer

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed of the property tests, so that every run has the same result; -rapid.seed sets another one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
