package berylsoak

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Seeds that have failed stay here, with their cause.
var regressions = map[uint64]string{
	402: "a paused holder that had lost the duty denied jobs of its successor",
	405: "the same, on a holder that was being stopped",
}

func buildDaemon(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "beryljobd")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "github.com/beryllatch/beryllatch/cmd/beryljobd").CombinedOutput()
	assert.NilError(t, err, string(out))
	return program
}

func TestShortSoak(t *testing.T) {
	program := buildDaemon(t)
	seeds := []uint64{1}
	for seed := range regressions {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		r, err := Soak{Program: program, Seed: seed, Daemons: 4, Workers: 6, Jobs: 60, Duration: 15 * time.Second, Logs: t.TempDir()}.
			Run(context.Background())
		assert.NilError(t, err)
		assert.Check(t, len(r.Violations) == 0, "seed %d (%s): %v after %v", seed, regressions[seed], r.Violations, r.Faults)
		assert.Check(t, r.Done > 0, "seed %d", seed)
	}
}
