package berylscheduler

import (
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// largeJob returns a job that waits for room, with the given numbers of steps and of tasks of each.
func largeJob(n, steps, tasks int) beryllatch.Job {
	j := beryllatch.Job{ID: fmt.Sprintf("%016x", n), Payload: "x"}
	for range steps {
		j.Steps = append(j.Steps, beryllatch.JobStep{Count: tasks, Needs: beryllatch.Resources{CPUMilli: 1 << 20}, LongRunning: true})
	}
	return j
}

// Guards against jobs that take more memory than is counted for them.
func TestEstimateMemory(t *testing.T) {
	for name, job := range map[string]func(n int) beryllatch.Job{
		"small": func(n int) beryllatch.Job { return largeJob(n, 1, 1) },
		"wide":  func(n int) beryllatch.Job { return largeJob(n, 1, 10_000) },
		"steps": func(n int) beryllatch.Job { return largeJob(n, 1_000, 1) },
		"repeated": func(n int) beryllatch.Job {
			j := largeJob(n, 1_000, 1)
			j.Repeat = 1_000_000_000
			return j
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			const jobs = 40
			for n := range jobs {
				h.submit(job(n))
			}
			h.tickFor(200 * time.Millisecond)
			runtime.GC()
			runtime.ReadMemStats(&after)
			assert.Equal(t, len(h.s.active), jobs)
			taken := int64(after.HeapAlloc) - int64(before.HeapAlloc)
			assert.Assert(t, taken <= h.s.memory.total, "%d bytes are taken, %d counted", taken, h.s.memory.total)
		})
	}
}

// Guards against jobs without a bound for their memory, against a client account that leaves nothing to others, and against memory that is
// counted after its jobs have ended.
func TestJobMemoryIsBounded(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.s.Limits.JobBytes = 20 << 20
	accepted := 0
	for n := range 100 {
		h.submit(largeJob(n, 1, 1_000))
		h.storeAll()
		err := h.answers[h.lastCall]
		if err == nil {
			accepted++
			continue
		}
		var f *beryllatch.Refusal
		assert.Assert(t, errors.As(err, &f))
		assert.Equal(t, f.Reason, beryllatch.ReasonNoMemory)
		assert.Equal(t, f.RunState, beryllatch.RunStateNotRun)
		assert.Assert(t, f.RetryAfter > 0)
	}
	assert.Assert(t, accepted > 10 && h.s.memory.total <= h.s.Limits.JobBytes/2)
	h.lastCall++
	other := singleTaskJob("00000000000000ff")
	other.Queue, other.Team = "q", "other"
	h.apply(JobSubmitted{Call: h.lastCall, Job: other})
	h.storeAll()
	assert.NilError(t, h.answers[h.lastCall])

	for n := range accepted {
		h.lastCall++
		h.apply(CancelRequested{Call: h.lastCall, ID: fmt.Sprintf("%016x", n)})
	}
	h.storeAll()
	h.tickFor(time.Second)
	assert.Assert(t, h.s.memory.teams["team"] == int64(accepted*finishedJobBytes), "%d bytes are counted", h.s.memory.teams["team"])
	for range 20 {
		h.tickFor(h.s.Limits.JobRetention / 10)
		h.storeAll()
	}
	assert.Equal(t, h.s.memory.teams["team"], int64(0))
}

// Guards against the memory and the time that a job with many steps takes if it is due any number of times.
func TestRepeatedJobOfManySteps(t *testing.T) {
	h := newHarness(t)
	j := largeJob(1, 1_000, 1)
	j.Repeat = 1_000_000_000
	h.accept(j)
	h.tickFor(time.Second)
	open := h.s.jobs[j.ID].countOpen()
	assert.Assert(t, open >= len(j.Steps) && open <= maxOpenTasks(&j), "%d tasks", open)
}
