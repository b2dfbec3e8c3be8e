package berylsoak

import (
	"context"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// deniedJobs is the cause of the first failures: a scheduling node that was paused, and had been replaced meanwhile,
// answered that it did not know jobs which its successor had accepted.
const deniedJobs = "a paused scheduling node denied jobs of its successor"

// seeds holds the seeds that have failed, with the cause, and one that never has.
var seeds = map[uint64]string{
	1: "never failed", 205: deniedJobs, 207: deniedJobs, 212: deniedJobs, 305: deniedJobs, 311: deniedJobs, 312: deniedJobs,
	402: deniedJobs, 405: deniedJobs, 410: deniedJobs,
}

func buildDaemon(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "beryljobd")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "github.com/beryllatch/beryllatch/cmd/beryljobd").CombinedOutput()
	assert.NilError(t, err, string(out))
	return program
}

// checkViolations checks that a soak has broken no promise; cause is that of earlier failures.
func checkViolations(t *testing.T, r Result, cause string) {
	t.Helper()
	assert.Check(t, len(r.Violations) == 0, "%s: %v after %v\n%s", cause, r.Violations, r.Faults, strings.Join(r.Lines, "\n"))
}

// Answers that cannot be decoded must neither end a process nor break a promise.
func TestSoakWithMalformedAnswers(t *testing.T) {
	program := buildDaemon(t)
	for _, seed := range []uint64{801, 802} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			r, err := Soak{
				Program: program, Seed: seed, Daemons: 4, Workers: 6, Jobs: 60, Duration: 15 * time.Second, Logs: t.TempDir(), Malformed: true,
			}.Run(context.Background())
			assert.NilError(t, err)
			checkViolations(t, r, "never failed")
			assert.Check(t, r.Done > 0)
		})
	}
}

// outdatedConfiguration is the cause of failures with changes of the configuration: any answer of the store, and any answer of a scheduling
// node that had heard of it, counted as proof that a node's configuration was current.
const outdatedConfiguration = "nodes answered by an outdated configuration"

// Each answer that depends on the configuration must be one that a version allows which may be in force, also right after a restart, a pause
// or a cut, and over slow links.
func TestSoakWithChangesOfTheConfiguration(t *testing.T) {
	program := buildDaemon(t)
	for seed, cause := range map[uint64]string{2003: outdatedConfiguration, 2021: outdatedConfiguration, 2022: outdatedConfiguration, 2041: "never failed"} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			r, err := Soak{
				Program: program, Seed: seed, Daemons: 4, Workers: 6, Jobs: 60, Duration: 15 * time.Second, Logs: t.TempDir(), Changes: true,
			}.Run(context.Background())
			assert.NilError(t, err)
			checkViolations(t, r, cause)
			assert.Check(t, r.Done > 0 && r.Checked > 100, "%d done, %d checked", r.Done, r.Checked)
		})
	}
}

// Bursts of one team that far exceed its share must break no promise: no job runs whose submissions were all refused, and each accepted job
// is done, those of the other team as well.
func TestSoakWithHotTeam(t *testing.T) {
	program := buildDaemon(t)
	for _, seed := range []uint64{5001, 5002} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			r, err := Soak{
				Program: program, Seed: seed, Daemons: 4, Workers: 6, Jobs: 60, Duration: 15 * time.Second, Logs: t.TempDir(), Hot: true,
			}.Run(context.Background())
			assert.NilError(t, err)
			checkViolations(t, r, "never failed")
			assert.Check(t, r.SteadyDone > 0 && r.Done > r.SteadyDone, "%d done, %d of them of the steady team", r.Done, r.SteadyDone)
		})
	}
}

func TestShortSoak(t *testing.T) {
	program := buildDaemon(t)
	for seed, cause := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			r, err := Soak{Program: program, Seed: seed, Daemons: 4, Workers: 6, Jobs: 60, Duration: 15 * time.Second, Logs: t.TempDir()}.
				Run(context.Background())
			assert.NilError(t, err)
			checkViolations(t, r, cause)
			assert.Check(t, r.Done > 0)
		})
	}
}

// restartedWorker is the cause of the first failures with incarnations: a scheduling node took a worker that had restarted under its ID
// for one without runs.
const restartedWorker = "runs of a worker that had restarted under its ID were started again"

// Workers that restart under their IDs, with slow clocks, and cuts that outlast a lease must break no promise: no task runs on two workers
// at once or again after its end was taken note of, and each accepted job is done.
func TestSoakWithIncarnations(t *testing.T) {
	program := buildDaemon(t)
	for seed, cause := range map[uint64]string{9007: restartedWorker, 9009: restartedWorker, 9010: restartedWorker, 9204: "a worker that returned was never used"} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			r, err := Soak{
				Program: program, Seed: seed, Daemons: 4, Workers: 6, Jobs: 80, Duration: 25 * time.Second, Logs: t.TempDir(), Incarnations: true,
			}.Run(context.Background())
			assert.NilError(t, err)
			checkViolations(t, r, cause)
			assert.Check(t, r.Done > 0)
		})
	}
}

// isolatedScheduler is the cause of the first failures with cuts: a scheduling node that was cut off with its data centre, and had been replaced,
// wrote off the leases that its successor extended.
const isolatedScheduler = "a replaced scheduling node started runs of its successor again"

// Data centres, and pairs of processes, that are cut off from each other must break no promise: no task runs on two workers at once or again
// after its end was taken note of, and each accepted job is done.
func TestSoakWithCutDataCentres(t *testing.T) {
	program := buildDaemon(t)
	for seed, cause := range map[uint64]string{3602: isolatedScheduler, 3606: isolatedScheduler} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			r, err := Soak{
				Program: program, Seed: seed, Daemons: 6, Workers: 6, Jobs: 60, Duration: 15 * time.Second, Logs: t.TempDir(), Cuts: true,
			}.Run(context.Background())
			assert.NilError(t, err)
			checkViolations(t, r, cause)
			assert.Check(t, r.Done > 0)
		})
	}
}

// Orders that get no answer and are carried out seconds later, by the next incarnation of a restarted worker if need be, must break no promise
// either, and must not end an epoch for good.
func TestSoakWithLateOrders(t *testing.T) {
	program := buildDaemon(t)
	for _, seed := range []uint64{9501, 9502} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			r, err := Soak{
				Program: program, Seed: seed, Daemons: 4, Workers: 6, Jobs: 80, Duration: 25 * time.Second, Logs: t.TempDir(), Incarnations: true, Late: true,
			}.Run(context.Background())
			assert.NilError(t, err)
			checkViolations(t, r, "never failed")
			assert.Check(t, r.Done > 0)
		})
	}
}
