package berylscheduler

import (
	"fmt"
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
