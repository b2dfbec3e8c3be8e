package berylscheduler

import (
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// A job whose rows can't be read may have tasks that are done. It must not start again, be forgotten or be overwritten.
func TestJobWithUnreadableRowsIsHeldBack(t *testing.T) {
	for _, table := range []string{JobsTable, ProgressTable} {
		t.Run(table, func(t *testing.T) {
			h, stored, start := usedWorkers(t, 2)
			h.tickFor(time.Second)
			h.answerHolds(map[string]beryllatch.WorkerLists{start.Worker.ID: {Running: []beryllatch.RunningEntry{
				{Task: start.Order.Task, Run: start.Order.Run, Checkpoint: "1"},
			}}})
			key := table + "/0000000000000001"
			row := beryllatch.DataRow{Table: table, Part: Part, Key: "0000000000000001", Version: 5, Value: []byte("{")}
			stored[key] = row
			next := h.takeOver(stored)
			next.apply(RegistryRead{Workers: workerInfos(2)})
			next.answerHolds(nil)
			next.storeInto(stored)
			next.submit(singleTaskJob("0000000000000001"))
			next.storeInto(stored)
			next.answerHolds(nil)
			next.tickFor(2 * expiryBound(next.s.Limits.MaxLease))
			assert.Equal(t, len(next.starts), 0)
			assert.DeepEqual(t, stored[key], row)
			state, ok := next.s.JobState("0000000000000001")
			assert.Assert(t, ok)
			assert.Equal(t, state, beryllatch.JobRunning)
			next.lastCall++
			next.apply(CancelRequested{Call: next.lastCall, ID: "0000000000000001"})
			next.storeInto(stored)
			state, _ = next.s.JobState("0000000000000001")
			assert.Equal(t, state, beryllatch.JobCancelled)
		})
	}
}
