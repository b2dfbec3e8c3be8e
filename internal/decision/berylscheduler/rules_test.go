package berylscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// finishRuns lists the runs as finished in the answer to the next hold.
func (w *harness) finishRuns(end beryllatch.RunOutcome, starts ...StartRun) {
	w.t.Helper()
	lists := make(map[string]beryllatch.WorkerLists)
	for _, f := range starts {
		l := lists[f.Worker.ID]
		w.completions++
		l.Finished = append(l.Finished, beryllatch.FinishedEntry{Number: w.completions, Task: f.Order.Task, Run: f.Order.Run, Outcome: end})
		lists[f.Worker.ID] = l
	}
	w.tickFor(200 * time.Millisecond)
	w.answerHolds(lists)
	w.storeAll()
}

func TestStepsRunInOrder(t *testing.T) {
	w := newHarness(t)
	w.register("a", "b")
	j := singleTaskJob("0000000000000001")
	j.Steps[0].Count = 2
	j.Steps = append(j.Steps, j.Steps[0])
	j.Steps[1].After = []int{0}
	w.accept(j)
	first := w.confirmStarts()
	assert.Equal(t, len(first), 2)
	w.finishRuns(beryllatch.RunDone, first[0])
	assert.Equal(t, len(w.starts), 0, "the second step waits for both tasks of the first")
	w.finishRuns(beryllatch.RunDone, first[1])
	second := w.confirmStarts()
	assert.Equal(t, len(second), 2)
	w.finishRuns(beryllatch.RunDone, second...)
	state, _ := w.s.JobState(j.ID)
	assert.Equal(t, state, beryllatch.JobDone)
}

func TestOccurrencesStartWhenDue(t *testing.T) {
	w := newHarness(t)
	w.register("a")
	j := singleTaskJob("0000000000000001")
	j.Repeat, j.First, j.Interval = 2, w.now.Add(3*time.Second), 2*time.Second
	w.accept(j)
	due := j.First
	for n := range 2 {
		for w.now.Before(due) {
			assert.Equal(t, len(w.starts), 0, "occurrence %d starts %s early", n, due.Sub(w.now))
			w.tickFor(100 * time.Millisecond)
		}
		w.tickFor(200 * time.Millisecond)
		w.finishRuns(beryllatch.RunDone, w.confirmStarts()...)
		due = due.Add(j.Interval)
	}
	state, _ := w.s.JobState(j.ID)
	assert.Equal(t, state, beryllatch.JobDone)
}

func TestCeilingHolds(t *testing.T) {
	w := newHarness(t)
	w.register("a", "b", "c")
	j := singleTaskJob("0000000000000001")
	j.Steps[0].Count, j.Steps[0].Needs.CPUMilli = 10, 4000
	w.accept(j)
	assert.Equal(t, len(w.confirmStarts()), 5, "the ceiling is 20 cores; 48 are there")
}

func TestGangStartsTogetherOrNotAtAll(t *testing.T) {
	w := newHarness(t)
	w.register("a")
	j := singleTaskJob("0000000000000001")
	j.Steps[0].Count, j.Steps[0].Gang, j.Steps[0].Needs.CPUMilli = 3, true, 6000
	w.accept(j)
	w.tickFor(time.Second)
	assert.Equal(t, len(w.starts), 0, "two of three members fit")
	w.register("b")
	starts := w.confirmStarts()
	assert.Equal(t, len(starts), 3)
	for _, f := range starts {
		assert.Equal(t, f.Order.Run, starts[0].Order.Run)
	}
	w.finishRuns(beryllatch.RunDone, starts[0])
	state, _ := w.s.JobState(j.ID)
	assert.Equal(t, state, beryllatch.JobDone, "a gang is done as soon as one member is")
}

// A cancellation stops all runs of the job, starts no more, and repeats stop orders that were not answered.
func TestCancelStopsEverything(t *testing.T) {
	w := newHarness(t)
	w.register("a")
	j := singleTaskJob("0000000000000001")
	j.Steps[0].Count, j.Steps[0].Needs.CPUMilli = 3, 8000
	w.accept(j)
	starts := w.confirmStarts()
	assert.Equal(t, len(starts), 2)
	w.lastCall++
	w.apply(CancelRequested{Call: w.lastCall, ID: j.ID})
	assert.Equal(t, len(w.stops), 2)
	w.storeAll()
	assert.NilError(t, w.answers[w.lastCall])
	for _, f := range w.stops {
		w.apply(StopEnded{Worker: f.Worker.ID, Incarnation: f.Incarnation, Task: f.Order.Task, Run: f.Order.Run, Err: noAnswerError{}})
	}
	w.tickFor(time.Second)
	assert.Equal(t, len(w.stops), 4)
	w.finishRuns(beryllatch.RunStopped, starts...)
	w.tickFor(time.Second)
	assert.Equal(t, len(w.starts), 0)
	state, _ := w.s.JobState(j.ID)
	assert.Equal(t, state, beryllatch.JobCancelled)
}

// noAnswerError is the error of an order without an answer.
type noAnswerError struct{}

func (noAnswerError) Error() string { return "no answer" }

func TestDrainingAndEvacuatedWorkersGetNothing(t *testing.T) {
	for name, change := range map[string]func(w *harness){
		"draining": func(w *harness) {
			info := workerInfo("a")
			info.Draining = true
			w.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{info}})
		},
		"evacuated": func(w *harness) {
			w.apply(OperationsChanged{beryllatch.Operations{Evacuated: map[string]bool{"dc1": true}}})
		},
		"unregistered": func(w *harness) {
			w.apply(RegistryChanged{Removed: []string{"a"}})
			w.tickFor(registryGrace)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t)
			w.t = t
			w.register("a")
			change(w)
			w.accept(singleTaskJob("0000000000000001"))
			w.tickFor(time.Second)
			assert.Equal(t, len(w.starts), 0)
		})
	}
}

// loseStarts leaves all start orders unanswered until the scheduler repeats them no more, and checks that all are for the first
// order's run.
func (w *harness) loseStarts(first StartRun) {
	w.t.Helper()
	for n := 0; len(w.starts) > 0; n++ {
		assert.Assert(w.t, n < 2*maxStartAttempts, "start orders are repeated without limit")
		f := w.starts[0]
		w.starts = w.starts[1:]
		assert.Equal(w.t, f.Worker, first.Worker)
		assert.Equal(w.t, f.Order.Run, first.Order.Run)
		w.apply(StartEnded{Worker: f.Worker.ID, Incarnation: f.Incarnation, Task: f.Order.Task, Run: f.Order.Run, Err: noAnswerError{}})
	}
}

// A worker may carry out a start order that it has not answered yet. The task must not start elsewhere before a stop order for
// that run is confirmed.
func TestUnansweredStartIsSettledFirst(t *testing.T) {
	w := newHarness(t)
	w.register("a", "b")
	w.accept(singleTaskJob("0000000000000001"))
	first := w.starts[0]
	w.loseStarts(first)
	for range 5 {
		w.tickFor(300 * time.Millisecond)
		w.answerHolds(nil)
		assert.Equal(t, len(w.starts), 0)
	}
	assert.Assert(t, len(w.stops) > 0)
	stop := w.stops[0]
	w.apply(StopEnded{Worker: stop.Worker.ID, Incarnation: stop.Incarnation, Task: stop.Order.Task, Run: stop.Order.Run})
	for range 5 {
		w.tickFor(300 * time.Millisecond)
		w.answerHolds(nil)
	}
	assert.Equal(t, len(w.starts), 1)
	assert.Assert(t, w.starts[0].Order.Run > first.Order.Run)
}

// After a lost answer, the start order for the same run is repeated at once, so that the task does not have to wait for a probe
// and a stop.
func TestUnansweredStartIsRepeated(t *testing.T) {
	w := newHarness(t)
	w.register("a", "b")
	w.accept(singleTaskJob("0000000000000001"))
	first := w.starts[0]
	w.starts = nil
	w.apply(StartEnded{Worker: first.Worker.ID, Incarnation: first.Incarnation, Task: first.Order.Task, Run: first.Order.Run, Err: noAnswerError{}})
	assert.Equal(t, len(w.starts), 1)
	assert.Equal(t, w.starts[0].Worker, first.Worker)
	assert.Equal(t, w.starts[0].Order.Run, first.Order.Run)
	w.confirmStarts()
	w.tickFor(time.Second)
	assert.Equal(t, len(w.starts)+len(w.stops), 0)
}

// A start order is not repeated to a worker that is being emptied.
func TestUnansweredStartIsNotRepeatedOnALeavingWorker(t *testing.T) {
	w := newHarness(t)
	w.register("a")
	w.accept(singleTaskJob("0000000000000001"))
	first := w.starts[0]
	w.starts = nil
	w.apply(OperationsChanged{beryllatch.Operations{Evacuated: map[string]bool{"dc1": true}}})
	w.apply(StartEnded{Worker: first.Worker.ID, Incarnation: first.Incarnation, Task: first.Order.Task, Run: first.Order.Run, Err: noAnswerError{}})
	assert.Equal(t, len(w.starts), 0)
}

// The rejection of a repeated start order says nothing about the first one, which was not answered: the run may exist, so the
// task must not start elsewhere.
func TestRejectedRepeatSettlesNothing(t *testing.T) {
	for _, reason := range []beryllatch.OrderRejection{
		beryllatch.RejectOldRun, beryllatch.RejectLate, beryllatch.RejectNoRoom, beryllatch.RejectBusy, beryllatch.RejectUnsent,
	} {
		t.Run(string(reason), func(t *testing.T) {
			w := newHarness(t)
			w.register("a", "b")
			w.accept(singleTaskJob("0000000000000001"))
			first := w.starts[0]
			e := StartEnded{Worker: first.Worker.ID, Incarnation: first.Incarnation, Task: first.Order.Task, Run: first.Order.Run, Err: noAnswerError{}}
			w.apply(e)
			w.starts = nil
			e.Err = &beryllatch.OrderRejectedError{Reason: reason}
			w.apply(e)
			w.tickFor(time.Second)
			assert.Equal(t, len(w.starts), 0, "the first start order may still have an effect")
			w.answerHolds(map[string]beryllatch.WorkerLists{first.Worker.ID: {Finished: []beryllatch.FinishedEntry{
				{Number: 1, Task: first.Order.Task, Run: first.Order.Run, Outcome: beryllatch.RunDone},
			}}})
			w.storeAll()
			state, _ := w.s.JobState("0000000000000001")
			assert.Equal(t, state, beryllatch.JobDone)
			assert.Equal(t, len(w.starts), 0)
		})
	}
}

// A hold may wait for a completion for a second. A start that was not answered must be looked into sooner, by a probe beside
// that hold.
func TestLookBesideAHold(t *testing.T) {
	w := newHarness(t)
	w.register("a")
	w.accept(singleTaskJob("0000000000000001"))
	w.tickFor(100 * time.Millisecond)
	waiting := len(w.holds)
	w.loseStarts(w.starts[0])
	assert.Assert(t, len(w.holds) > waiting)
	probe := w.holds[len(w.holds)-1]
	assert.Assert(t, probe.Probe)
	assert.Equal(t, probe.Order.Wait, time.Duration(0))
}

// After an unanswered hold the next one is sent at once, and for some time holds wait only briefly for a completion.
func TestLostHoldIsRepeatedAtOnce(t *testing.T) {
	w := newHarness(t)
	w.register("a")
	w.accept(singleTaskJob("0000000000000001"))
	starts := w.confirmStarts()
	w.answerHolds(runningLists(starts, 10))
	assert.Equal(t, w.holds[0].Order.Wait, holdWait)
	w.answerHolds(nil, "a")
	assert.Equal(t, len(w.holds), 1)
	assert.Equal(t, w.holds[0].Order.Wait, time.Duration(0))
	w.answerHolds(runningLists(starts, 20))
	assert.Equal(t, w.holds[0].Order.Wait, lossyHoldWait)
	w.tickFor(lossyPeriod)
	w.answerHolds(runningLists(starts, 30))
	assert.Equal(t, w.holds[0].Order.Wait, holdWait)
}

func TestTicketIsNeeded(t *testing.T) {
	w := newHarness(t)
	d := testDeployment()
	q := d.Queues["q"]
	q.Restricted, q.TicketLife = true, 3*time.Second
	d.Queues["q"] = q
	w.apply(DeploymentChanged{d})
	w.register("a", "b")
	w.accept(singleTaskJob("0000000000000001"))
	assert.Equal(t, len(w.starts), 0)
	ask, ok := w.otherEffects[len(w.otherEffects)-1].(AskAdvice)
	assert.Assert(t, ok)
	assert.Equal(t, ask.Step, "0000000000000001.0.0")
	w.apply(AdviceReceived{
		Step: ask.Step, Workers: ask.Workers, Valid: 3 * time.Second,
		Tickets: []beryllatch.PlacementTicket{{Worker: "b", Ticket: "c81e"}},
	})
	assert.Equal(t, len(w.starts), 1)
	assert.Equal(t, w.starts[0].Worker.ID, "b")
	assert.Equal(t, w.starts[0].Order.Ticket, "c81e")
}

func TestFillersSlowDown(t *testing.T) {
	w := newHarness(t)
	w.register("a")
	serving := singleTaskJob("0000000000000001")
	serving.Steps[0].LongRunning, serving.Steps[0].TailTarget = true, 100*time.Millisecond
	w.accept(serving)
	filler := singleTaskJob("0000000000000002")
	filler.Steps[0].Filler = true
	w.accept(filler)
	starts := w.confirmStarts()
	assert.Equal(t, len(starts), 2)
	lists := runningLists(starts, 100)
	l := lists["a"]
	for i := range l.Running {
		if l.Running[i].Task[:16] == serving.ID {
			l.Running[i].Load = 95
		}
	}
	w.tickFor(500 * time.Millisecond)
	w.answerHolds(lists)
	pace, ok := w.otherEffects[len(w.otherEffects)-1].(PaceRun)
	assert.Assert(t, ok)
	assert.Equal(t, pace.Order.Percent, 50)
	assert.Equal(t, pace.Order.Task[:16], filler.ID)
}

// When more work arrives than a pool holds, instances are moved from standby at once, for the rate at which work arrives as
// well as for the waiting tasks.
func TestBurstBringsInstances(t *testing.T) {
	w := newHarness(t)
	w.register("a", "b", "c")
	w.tickFor(time.Second)
	var list []beryllatch.FleetInstance
	for _, id := range []string{"a", "b", "c"} {
		list = append(list, beryllatch.FleetInstance{
			Name: "m-" + id, Pool: "p", State: beryllatch.FleetInstanceUp, Worker: id, Capacity: workerInfo(id).Capacity,
		})
	}
	for _, id := range []string{"x", "y", "z"} {
		list = append(list, beryllatch.FleetInstance{
			Name: "m-" + id, Pool: "spare", State: beryllatch.FleetInstanceUp, Capacity: workerInfo(id).Capacity,
		})
	}
	w.apply(InstancesListed{Instances: list})
	d := testDeployment()
	team := d.Teams["team"]
	team.Ceiling = beryllatch.Resources{}
	d.Teams["team"] = team
	w.apply(DeploymentChanged{d})
	for n := range 12 {
		j := singleTaskJob("000000000000000" + string("0123456789abcdef"[n]))
		j.Steps[0].Count, j.Steps[0].Needs.CPUMilli = 8, 1000
		w.accept(j)
	}
	w.tickFor(300 * time.Millisecond)
	moved := 0
	for _, f := range w.otherEffects {
		if m, ok := f.(MoveInstance); ok && m.Pool == "p" {
			moved++
		}
	}
	assert.Equal(t, moved, 3)
}

// A worker on which tasks of several jobs fail gets no new ones for a while, so that it does not use up their attempts.
func TestBadWorkerIsTakenOut(t *testing.T) {
	w := newHarness(t)
	w.register("a", "b")
	bad := ""
	for n := range suspectAfterFailures {
		w.accept(singleTaskJob("000000000000000" + string("0123456789abcdef"[n])))
		start := w.confirmStarts()[0]
		if bad == "" {
			bad = start.Worker.ID
		}
		if start.Worker.ID == bad {
			w.finishRuns(beryllatch.RunFailed, start)
		}
		for _, restart := range w.confirmStarts() {
			if restart.Worker.ID != bad {
				w.finishRuns(beryllatch.RunDone, restart)
			}
		}
	}
	w.accept(singleTaskJob("00000000000000ff"))
	for _, f := range w.starts {
		if f.Order.Task[:16] == "00000000000000ff" {
			assert.Assert(t, f.Worker.ID != bad)
		}
	}
}

// While start orders are not answered, the number in flight must stay limited: more would only add time-outs on a node that is
// short of processor time.
func TestStartsInFlightAreBounded(t *testing.T) {
	w := newHarness(t)
	d := testDeployment()
	team := d.Teams["team"]
	team.Ceiling = beryllatch.Resources{}
	d.Teams["team"] = team
	w.apply(DeploymentChanged{d})
	var ids []string
	for n := range 40 {
		ids = append(ids, fmt.Sprintf("w%02d", n))
	}
	w.register(ids...)
	for n := range 40 {
		j := singleTaskJob(fmt.Sprintf("%016x", n))
		j.Steps[0].Count, j.Steps[0].Needs.CPUMilli = 20, 500
		w.accept(j)
	}
	w.tickFor(time.Second)
	assert.Assert(t, len(w.starts) <= maxPendingStarts)
	perWorker := make(map[string]int)
	for _, f := range w.starts {
		perWorker[f.Worker.ID]++
		assert.Assert(t, perWorker[f.Worker.ID] <= maxPendingStartsOnWorker)
	}
	before := len(w.starts)
	w.confirmStarts()
	w.tickFor(100 * time.Millisecond)
	assert.Assert(t, len(w.starts) > 0 && before > 0, "confirmed starts make room for others")
}

// When the pool is full, jobs of a team beyond its share wait behind those of a team within its share.
func TestTeamBeyondItsShareWaits(t *testing.T) {
	w := newHarness(t)
	d := testDeployment()
	d.Teams["team"] = beryllatch.JobTeam{Name: "team", Weight: 2}
	d.Teams["other"] = beryllatch.JobTeam{Name: "other", Weight: 2}
	w.apply(DeploymentChanged{d})
	w.register("a")
	full := singleTaskJob("00000000000000ff")
	full.Steps[0].Needs.CPUMilli = 16000
	w.accept(full)
	first := w.confirmStarts()
	for n := range 6 {
		w.accept(singleTaskJob(fmt.Sprintf("%016x", n)))
	}
	w.lastCall++
	j := singleTaskJob("00000000000000aa")
	j.Queue, j.Team = "q", "other"
	w.apply(JobSubmitted{Call: w.lastCall, Job: j})
	w.storeAll()
	assert.Equal(t, len(w.starts), 0)
	w.tickFor(300 * time.Millisecond)
	w.answerHolds(map[string]beryllatch.WorkerLists{"a": {Finished: []beryllatch.FinishedEntry{
		{Number: 1, Task: first[0].Order.Task, Run: first[0].Order.Run, Outcome: beryllatch.RunDone},
	}}})
	w.tickFor(100 * time.Millisecond)
	order := make(map[string]int)
	for i, f := range w.starts {
		order[f.Order.Task[:16]] = i
	}
	assert.Equal(t, len(order), 7)
	behind := 0
	for n := range 6 {
		if order[fmt.Sprintf("%016x", n)] > order["00000000000000aa"] {
			behind++
		}
	}
	// The share accumulates for two seconds at two jobs per second, and the job that fills the worker has used one of them. So
	// three of the six jobs are within the share and start first.
	assert.Equal(t, behind, 3)
}
