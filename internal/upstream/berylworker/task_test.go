package berylworker_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/standin/berylupstream"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
)

const (
	longTask  = `{"test_run_ms":60000}`
	shortTask = `{"test_run_ms":0,"test_answer_bytes":3000}`
)

// awaitTask queries the task until it is no longer running, and returns the last report.
func awaitTask(t *testing.T, c *berylworker.Client, address, id string) beryllatch.TaskReport {
	t.Helper()
	for {
		r, err := c.QueryTask(t.Context(), address, id)
		assert.NilError(t, err)
		if r.State != beryllatch.TaskRunRunning {
			return r
		}
	}
}

// Guards against a task that is lost or started twice between its start and its result.
func TestTaskFromStartToResult(t *testing.T) {
	worker := berylupstream.New()
	address := serveWorker(t, worker)
	c := berylworker.New()
	report, err := c.QueryTask(t.Context(), address, "t1")
	assert.NilError(t, err)
	assert.DeepEqual(t, report, beryllatch.TaskReport{State: beryllatch.TaskRunUnseen, BootID: worker.Report().BootID})
	e := execution(address, "t1")
	e.Fence = 3
	assert.NilError(t, c.StartTask(t.Context(), e, strings.NewReader(shortTask)))
	// A repeated start of the same attempt is accepted and starts nothing.
	assert.NilError(t, c.StartTask(t.Context(), e, strings.NewReader(shortTask)))
	report = awaitTask(t, c, address, "t1")
	assert.Equal(t, report.State, beryllatch.TaskRunDone)
	assert.Equal(t, report.Fence, uint64(3))
	for range 2 {
		r, err := c.TaskResult(t.Context(), address, "t1")
		assert.NilError(t, err)
		b, err := io.ReadAll(r)
		assert.NilError(t, err)
		assert.NilError(t, r.Close())
		assert.Equal(t, len(b), 3000)
	}
	assert.Equal(t, len(worker.Record()), 1)
	assert.Equal(t, worker.Report().Running, 0)
}

// Guards against an older attempt acting on a task once a newer one has started it, and against such a call being
// reported as "not run" although the task runs.
func TestTaskFences(t *testing.T) {
	for _, tc := range []struct {
		name string
		call func(*berylworker.Client, beryllatch.Execution) error
		// want is the outcome of a call whose fence is below that of the running attempt.
		want beryllatch.ExecutionOutcome
	}{
		{"start", func(c *berylworker.Client, e beryllatch.Execution) error {
			return c.StartTask(t.Context(), e, strings.NewReader(longTask))
		}, beryllatch.OutcomeRefused},
		{"renew", func(c *berylworker.Client, e beryllatch.Execution) error {
			_, err := c.RenewTask(t.Context(), e)
			return err
		}, beryllatch.OutcomeUnknown},
		{"stop", func(c *berylworker.Client, e beryllatch.Execution) error {
			_, err := c.StopTask(t.Context(), e)
			return err
		}, beryllatch.OutcomeUnknown},
		{"checkpoint", func(c *berylworker.Client, e beryllatch.Execution) error {
			_, err := c.CheckpointTask(t.Context(), e)
			return err
		}, beryllatch.OutcomeUnknown},
		{"throttle", func(c *berylworker.Client, e beryllatch.Execution) error {
			_, err := c.ThrottleTask(t.Context(), e, 0.5)
			return err
		}, beryllatch.OutcomeUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			worker := berylupstream.New()
			address := serveWorker(t, worker)
			c := berylworker.New()
			e := execution(address, "t1")
			e.Fence = 5
			assert.NilError(t, c.StartTask(t.Context(), e, strings.NewReader(longTask)))
			e.Fence = 4
			got := executionError(t, tc.call(c, e))
			assert.Equal(t, got.Outcome, tc.want)
			s, ok := errors.AsType[*berylworker.StatusError](got)
			assert.Assert(t, ok)
			assert.Equal(t, s.Status, http.StatusConflict)
			assert.Equal(t, s.Reason, "older_fence")
			report, err := c.QueryTask(t.Context(), address, "t1")
			assert.NilError(t, err)
			assert.Equal(t, report.State, beryllatch.TaskRunRunning)
			assert.Equal(t, report.Fence, uint64(5))
			assert.Equal(t, len(worker.Record()), 1)
		})
	}
}

// Guards against a new owner of a task that cannot take over its run, and against an attempt that starts while an older
// one runs.
func TestTaskTakeover(t *testing.T) {
	worker := berylupstream.New()
	address := serveWorker(t, worker)
	c := berylworker.New()
	e := execution(address, "t1")
	e.Fence = 1
	assert.NilError(t, c.StartTask(t.Context(), e, strings.NewReader(longTask)))
	newer := e
	newer.Fence = 2
	assert.Equal(t, executionError(t, c.StartTask(t.Context(), newer, strings.NewReader(longTask))).Outcome,
		beryllatch.OutcomeRefused)
	report, err := c.RenewTask(t.Context(), newer)
	assert.NilError(t, err)
	assert.Equal(t, report.Fence, uint64(2))
	// The older attempt has run on this worker, so the answer to a repeated start must not be "not run".
	assert.Equal(t, executionError(t, c.StartTask(t.Context(), e, strings.NewReader(longTask))).Outcome,
		beryllatch.OutcomeUnknown)
	report, err = c.StopTask(t.Context(), newer)
	assert.NilError(t, err)
	assert.Equal(t, report.State, beryllatch.TaskRunStopped)
	newer.Fence = 3
	assert.NilError(t, c.StartTask(t.Context(), newer, strings.NewReader(shortTask)))
	assert.Equal(t, awaitTask(t, c, address, "t1").State, beryllatch.TaskRunDone)
	newer.Fence = 4
	assert.Equal(t, executionError(t, c.StartTask(t.Context(), newer, strings.NewReader(shortTask))).Outcome,
		beryllatch.OutcomeRefused)
	assert.Equal(t, len(worker.Record()), 2)
}

// Guards against the delayed start of a task that its owner has already stopped.
func TestStopBeforeStart(t *testing.T) {
	worker := berylupstream.New()
	address := serveWorker(t, worker)
	c := berylworker.New()
	e := execution(address, "t1")
	e.Fence = 2
	report, err := c.StopTask(t.Context(), e)
	assert.NilError(t, err)
	assert.Equal(t, report.State, beryllatch.TaskRunUnseen)
	for _, fence := range []uint64{1, 2, 3} {
		e.Fence = fence
		got := executionError(t, c.StartTask(t.Context(), e, strings.NewReader(shortTask)))
		assert.Equal(t, got.Outcome, beryllatch.OutcomeRefused)
	}
	assert.Equal(t, len(worker.Record()), 0)
}

// Guards against a reboot that interrupts a running task, and against calls that succeed while the worker reboots.
func TestReboot(t *testing.T) {
	worker := berylupstream.New(berylupstream.WithReboot(time.Hour))
	address := serveWorker(t, worker)
	c := berylworker.New()
	e := execution(address, "t1")
	assert.NilError(t, c.StartTask(t.Context(), e, strings.NewReader(longTask)))
	boot := worker.Report().BootID
	got := executionError(t, c.RebootWorker(t.Context(), address, boot))
	assert.Equal(t, got.Outcome, beryllatch.OutcomeRefused)
	_, err := c.StopTask(t.Context(), e)
	assert.NilError(t, err)
	for worker.Report().Running > 0 {
		time.Sleep(time.Millisecond)
	}
	// A node that was paused must not reboot a worker that has rebooted since.
	assert.Equal(t, executionError(t, c.RebootWorker(t.Context(), address, "earlier")).Outcome, beryllatch.OutcomeRefused)
	assert.NilError(t, c.RebootWorker(t.Context(), address, boot))
	assert.Equal(t, executionError(t, c.RebootWorker(t.Context(), address, boot)).Outcome, beryllatch.OutcomeUnknown)
	_, err = c.QueryTask(t.Context(), address, "t1")
	assert.Equal(t, executionError(t, err).Outcome, beryllatch.OutcomeUnknown)
	e = execution(address, "t2")
	assert.Equal(t, executionError(t, c.StartTask(t.Context(), e, nil)).Outcome, beryllatch.OutcomeRefused)
	_, _, err = execute(t.Context(), c, e, nil, nil)
	assert.Equal(t, executionError(t, err).Outcome, beryllatch.OutcomeRefused)
}

// Guards against a start whose answer was lost being reported as "not run".
func TestStartTaskUnderFaults(t *testing.T) {
	once := berylupstream.Trigger{Next: 1}
	for _, tc := range []struct {
		name   string
		faults berylupstream.Faults
		starts int
	}{
		{"cut before the start", berylupstream.Faults{CutBeforeStart: once}, 0},
		{"cut after the start", berylupstream.Faults{CutAfterStart: once}, 1},
		{"truncated answer", berylupstream.Faults{Truncated: once}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			worker := berylupstream.New()
			assert.NilError(t, worker.SetFaults(tc.faults))
			address := serveWorker(t, worker)
			c := berylworker.New()
			err := c.StartTask(t.Context(), execution(address, "t1"), strings.NewReader(shortTask))
			assert.Equal(t, executionError(t, err).Outcome, beryllatch.OutcomeUnknown)
			assert.Equal(t, len(worker.Record()), tc.starts)
		})
	}
}

// Guards against a truncated result being taken for a complete one.
func TestTaskResultErrors(t *testing.T) {
	address := serveHandler(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(berylworker.HeaderExecutionID, r.Header.Get(berylworker.HeaderExecutionID))
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
	})
	c := berylworker.New()
	r, err := c.TaskResult(t.Context(), address, "t1")
	assert.NilError(t, err)
	_, err = io.ReadAll(r)
	assert.Equal(t, executionError(t, err).Outcome, beryllatch.OutcomeUnknown)
	assert.NilError(t, r.Close())
	_, err = c.TaskResult(t.Context(), serveWorker(t, berylupstream.New()), "none")
	assert.Equal(t, executionError(t, err).Reason, beryllatch.ReasonWorkerRefused)
}
