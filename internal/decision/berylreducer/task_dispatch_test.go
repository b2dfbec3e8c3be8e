package berylreducer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

var blueKey = strings.Repeat("2", 64)

func (w *taskSimulation) submitBy(key, id string, deadline time.Duration) {
	w.apply(w.nodes[0], TaskSubmitted{CallID: w.callID(), TaskID: id, KeyHash: key, Queue: "price", Deadline: deadline})
	w.performAll()
}

// startOrder returns the ids of the tasks that were started, in order.
func (w *taskSimulation) startOrder() []string {
	var out []string
	for line := range strings.Lines(w.log.String()) {
		if _, rest, ok := strings.Cut(line, "-> StartTask{ID:"); ok {
			out = append(out, strings.Fields(rest)[0])
		}
	}
	return out
}

// newSmallTaskSimulation returns a simulation with one node and one worker, which has the given slots.
func newSmallTaskSimulation(slots int) *taskSimulation {
	w := newBareTaskSimulation(nil)
	for _, id := range []string{"w1", "w2", "w3", "w4"} {
		i := w.config.Instances[id]
		i.Slots = slots
		w.config = w.config.WithInstance(i)
	}
	for _, id := range []string{"w2", "w3", "w4"} {
		w.config = w.config.WithoutInstance(id)
	}
	w.addNode("n1")
	w.performAll()
	w.advance(5 * time.Second)
	return w
}

func (w *taskSimulation) completeAll() {
	for _, id := range beryllatch.SortedKeys(w.starts) {
		w.completeRun(id, beryllatch.TaskRunDone)
	}
}

// Guards against a task that misses its deadline because one with a later deadline is served first, and against a team
// that keeps another one from being served.
func TestTaskDispatchOrder(t *testing.T) {
	w := newSmallTaskSimulation(2)
	w.submitBy(redKey, "first", time.Minute)
	w.submitBy(redKey, "second", time.Minute)
	w.advance(time.Second)
	w.submitBy(redKey, "late", 4*time.Minute)
	w.submitBy(redKey, "soon", 2*time.Minute)
	w.submitBy(blueKey, "other", 3*time.Minute)
	// The first read of a team's units is delayed by up to reserveSpread, so that not all nodes read at the same time.
	w.advance(2 * time.Second)
	w.completeRun("first", beryllatch.TaskRunDone)
	for range 4 {
		w.advance(4 * time.Second)
		w.completeAll()
	}
	assert.DeepEqual(t, w.startOrder(), []string{"first", "second", "other", "soon", "late"})
}

// Guards against tasks that take the slots reserved for bursts of requests although they can wait, and against tasks that
// wait although their deadline is near.
func TestTaskWaitsForTrough(t *testing.T) {
	w := newTaskSimulation(1)
	for n := range 8 {
		w.submitBy(redKey, fmt.Sprintf("t%d", n), 20*time.Minute)
	}
	w.advance(2 * time.Second)
	assert.Equal(t, len(w.startOrder()), 6)
	for range 10 {
		w.submitBy(blueKey, w.callID(), 3*time.Minute)
	}
	w.advance(time.Second)
	assert.Equal(t, len(w.startOrder()), 8)
	for range 12 {
		w.advance(4 * time.Second)
		w.completeAll()
	}
	assert.Equal(t, len(w.startOrder()), 18)
}

// Guards against a forecast that warns only once deadlines are missed.
func TestTaskForecast(t *testing.T) {
	w := newSmallTaskSimulation(1)
	for n := range 5 {
		w.submitBy(redKey, fmt.Sprintf("t%d", n), 150*time.Second)
	}
	w.advance(3 * time.Second)
	assert.Assert(t, w.nodes[0].r.tasks.lateQueues["price"])
	for range 12 {
		w.advance(4 * time.Second)
		w.completeAll()
	}
	w.advance(4 * time.Second)
	assert.Assert(t, !w.nodes[0].r.tasks.lateQueues["price"])
}

// Guards against a node whose memory grows with the number of stored tasks, and against tasks with early deadlines that
// are not loaded because the memory is full of later ones.
func TestTaskLoadIsBounded(t *testing.T) {
	w := newTaskSimulation(1)
	w.quiet = true
	s := &w.nodes[0].r.tasks.shards[3]
	for n := 0; len(w.rows) < 600; n++ {
		id := fmt.Sprintf("x%04d", n)
		if ShardOf(id) == s.Shard {
			task := beryllatch.Task{
				ID: id, Team: "red", Queue: "price", State: beryllatch.TaskQueued, Deadline: w.now.Wall.Add(time.Hour),
			}
			if n%2 == 1 {
				task.Deadline = w.now.Wall.Add(3 * time.Minute)
			}
			row := rowOf(unfinishedKey(s.Shard, id), task)
			row.Version = 1
			w.rows[row.Key] = row
		}
	}
	w.advance(time.Minute + loadPage*loadIntervalPerTask)
	assert.Equal(t, len(s.tasks), maxLoaded)
	for _, id := range beryllatch.SortedKeys(s.tasks) {
		assert.Assert(t, s.tasks[id].Deadline.Before(w.now.Wall.Add(30*time.Minute)))
	}
}

// Guards against refusing submissions that a caller may make, and accepting those that it may not.
func TestTaskAdmission(t *testing.T) {
	w := newTaskSimulation(1)
	w.config = w.config.WithVersion(2).
		WithQueue(beryllatch.Queue{Name: "own", Pool: "quotes", Team: "blue"}).
		WithQueue(beryllatch.Queue{Name: "empty", Pool: "spare"})
	w.apply(w.nodes[0], ConfigRead{Config: w.config})
	for _, c := range []struct {
		submission TaskSubmitted
		want       beryllatch.Reason
	}{
		{TaskSubmitted{Queue: "none", KeyHash: redKey}, beryllatch.ReasonUnknownQueue},
		{TaskSubmitted{Queue: "price"}, beryllatch.ReasonUnauthorized},
		{TaskSubmitted{Queue: "price", KeyHash: strings.Repeat("9", 64)}, beryllatch.ReasonUnauthorized},
		{TaskSubmitted{Queue: "own", KeyHash: redKey}, beryllatch.ReasonForbiddenQueue},
		{TaskSubmitted{Queue: "empty", KeyHash: redKey}, beryllatch.ReasonNoCapacity},
		{TaskSubmitted{Queue: "public", IdempotencyKey: "k"}, beryllatch.ReasonBadRequest},
		{TaskSubmitted{Queue: "public"}, ""},
		{TaskSubmitted{Queue: "own", KeyHash: blueKey}, ""},
	} {
		c.submission.CallID = w.callID()
		c.submission.TaskID = "a-" + c.submission.CallID
		w.apply(w.nodes[0], c.submission)
		w.performAll()
		refused, _ := w.nodes[0].answers[c.submission.CallID].(RefuseTask)
		assert.Equal(t, refused.Refusal.Reason, c.want)
	}
	w.submitBy(redKey, "mine", time.Hour)
	w.apply(w.nodes[0], TaskQueried{CallID: "ask", TaskID: "mine", KeyHash: blueKey})
	w.performAll()
	assert.Equal(t, w.nodes[0].answers["ask"].(RefuseTask).Refusal.Reason, beryllatch.ReasonUnknownTask)
}

// Guards against a learned run time that never falls below the interval of the lease renewals: a queue whose deadline is
// shorter than that interval would then refuse every task.
func TestTaskLearnsShortRunTime(t *testing.T) {
	w := newTaskSimulation(1)
	for n := range 30 {
		id := fmt.Sprintf("t%d", n)
		w.submitBy(redKey, id, 20*time.Minute)
		w.advance(200 * time.Millisecond)
		w.completeRun(id, beryllatch.TaskRunDone)
		w.advance(4 * time.Second)
	}
	assert.Assert(t, w.nodes[0].r.expectedRunTime("price") < time.Second, "%s", w.nodes[0].r.expectedRunTime("price"))
}
