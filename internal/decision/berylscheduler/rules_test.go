package berylscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// finishedLists returns the lists of workers on which the runs have ended.
func (h *harness) finishedLists(outcome beryllatch.RunOutcome, starts ...StartRun) map[string]beryllatch.WorkerLists {
	h.t.Helper()
	lists := make(map[string]beryllatch.WorkerLists)
	for _, f := range starts {
		l := lists[f.Worker.ID]
		h.completions++
		l.Finished = append(l.Finished, beryllatch.FinishedEntry{Number: h.completions, Task: f.Order.Task, Run: f.Order.Run, Outcome: outcome})
		lists[f.Worker.ID] = l
	}
	return lists
}

// finishRuns lists the runs as finished in the answer to the next hold.
func (h *harness) finishRuns(outcome beryllatch.RunOutcome, starts ...StartRun) {
	h.t.Helper()
	lists := h.finishedLists(outcome, starts...)
	h.tickFor(200 * time.Millisecond)
	h.answerHolds(lists)
	h.storeAll()
}

func TestStepsRunInOrder(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b")
	j := singleTaskJob("0000000000000001")
	j.Steps[0].Count = 2
	j.Steps = append(j.Steps, j.Steps[0])
	j.Steps[1].After = []int{0}
	h.accept(j)
	first := h.confirmStarts()
	assert.Equal(t, len(first), 2)
	h.finishRuns(beryllatch.RunDone, first[0])
	assert.Equal(t, len(h.starts), 0, "the second step waits for both tasks of the first")
	h.finishRuns(beryllatch.RunDone, first[1])
	second := h.confirmStarts()
	assert.Equal(t, len(second), 2)
	h.finishRuns(beryllatch.RunDone, second...)
	state, _ := h.s.JobState(j.ID)
	assert.Equal(t, state, beryllatch.JobDone)
}

func TestOccurrencesStartWhenDue(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	j := singleTaskJob("0000000000000001")
	j.Repeat, j.First, j.Interval = 2, h.now.Add(3*time.Second), 2*time.Second
	h.accept(j)
	due := j.First
	for n := range 2 {
		for h.now.Before(due) {
			assert.Equal(t, len(h.starts), 0, "occurrence %d starts %s early", n, due.Sub(h.now))
			h.tickFor(100 * time.Millisecond)
		}
		h.tickFor(200 * time.Millisecond)
		h.finishRuns(beryllatch.RunDone, h.confirmStarts()...)
		due = due.Add(j.Interval)
	}
	state, _ := h.s.JobState(j.ID)
	assert.Equal(t, state, beryllatch.JobDone)
}

func TestCeilingHolds(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b", "c")
	j := singleTaskJob("0000000000000001")
	j.Steps[0].Count, j.Steps[0].Needs.CPUMilli = 10, 4000
	h.accept(j)
	assert.Equal(t, len(h.confirmStarts()), 5, "the ceiling is 20 cores; 48 are there")
}

func TestGangStartsTogetherOrNotAtAll(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	j := singleTaskJob("0000000000000001")
	j.Steps[0].Count, j.Steps[0].Gang, j.Steps[0].Needs.CPUMilli = 3, true, 6000
	h.accept(j)
	h.tickFor(time.Second)
	assert.Equal(t, len(h.starts), 0, "two of three members fit")
	h.register("b")
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 3)
	for _, f := range starts {
		assert.Equal(t, f.Order.Run, starts[0].Order.Run)
	}
	h.finishRuns(beryllatch.RunDone, starts[0])
	state, _ := h.s.JobState(j.ID)
	assert.Equal(t, state, beryllatch.JobDone, "a gang is done as soon as one member is")
}

// A cancellation stops all runs of the job, starts no more, and repeats stop orders that were not answered.
func TestCancelStopsEverything(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	j := singleTaskJob("0000000000000001")
	j.Steps[0].Count, j.Steps[0].Needs.CPUMilli = 3, 8000
	h.accept(j)
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 2)
	h.lastCall++
	h.apply(CancelRequested{Call: h.lastCall, ID: j.ID})
	assert.Equal(t, len(h.stops), 2)
	h.storeAll()
	assert.NilError(t, h.answers[h.lastCall])
	for _, f := range h.stops {
		h.apply(StopEnded{Worker: f.Worker.ID, Fence: f.Order.Fence, Task: f.Order.Task, Run: f.Order.Run, Err: noAnswerError{}})
	}
	h.tickFor(time.Second)
	assert.Equal(t, len(h.stops), 4)
	h.finishRuns(beryllatch.RunStopped, starts...)
	h.tickFor(time.Second)
	assert.Equal(t, len(h.starts), 0)
	state, _ := h.s.JobState(j.ID)
	assert.Equal(t, state, beryllatch.JobCancelled)
}

// noAnswerError is the error of an order without an answer.
type noAnswerError struct{}

func (noAnswerError) Error() string { return "no answer" }

func TestDrainingAndEvacuatedWorkersGetNothing(t *testing.T) {
	for name, change := range map[string]func(h *harness){
		"draining": func(h *harness) {
			info := workerInfo("a")
			info.Draining = true
			h.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{info}})
		},
		"evacuated": func(h *harness) {
			h.apply(OperationsChanged{beryllatch.Operations{Evacuated: map[string]bool{"dc1": true}}})
		},
		"unregistered": func(h *harness) {
			h.apply(RegistryChanged{Removed: []string{"a"}})
			h.tickFor(registryGrace)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.t = t
			h.register("a")
			change(h)
			h.accept(singleTaskJob("0000000000000001"))
			h.tickFor(time.Second)
			assert.Equal(t, len(h.starts), 0)
		})
	}
}

// loseStarts leaves all start orders unanswered until the scheduler repeats them no more, and checks that all are for the first
// order's run.
func (h *harness) loseStarts(first StartRun) {
	h.t.Helper()
	for n := 0; len(h.starts) > 0; n++ {
		assert.Assert(h.t, n < 2*maxStartAttempts, "start orders are repeated without limit")
		f := h.starts[0]
		h.starts = h.starts[1:]
		assert.Equal(h.t, f.Worker, first.Worker)
		assert.Equal(h.t, f.Order.Run, first.Order.Run)
		h.apply(StartEnded{Worker: f.Worker.ID, Fence: f.Order.Fence, Task: f.Order.Task, Run: f.Order.Run, Err: noAnswerError{}})
	}
}

// A worker may carry out a start order that it has not answered yet. The task must not start elsewhere before a stop order for
// that run is confirmed.
func TestUnansweredStartIsSettledFirst(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b")
	h.accept(singleTaskJob("0000000000000001"))
	first := h.starts[0]
	h.loseStarts(first)
	for range 5 {
		h.tickFor(300 * time.Millisecond)
		h.answerHolds(nil)
		assert.Equal(t, len(h.starts), 0)
	}
	assert.Assert(t, len(h.stops) > 0)
	stop := h.stops[0]
	h.apply(StopEnded{Worker: stop.Worker.ID, Fence: stop.Order.Fence, Task: stop.Order.Task, Run: stop.Order.Run})
	for range 5 {
		h.tickFor(300 * time.Millisecond)
		h.answerHolds(nil)
	}
	assert.Equal(t, len(h.starts), 1)
	assert.Assert(t, h.starts[0].Order.Run > first.Order.Run)
}

// After a lost answer, the start order for the same run is repeated at once, so that the task does not have to wait for a probe
// and a stop.
func TestUnansweredStartIsRepeated(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b")
	h.accept(singleTaskJob("0000000000000001"))
	first := h.starts[0]
	h.starts = nil
	h.apply(StartEnded{Worker: first.Worker.ID, Fence: first.Order.Fence, Task: first.Order.Task, Run: first.Order.Run, Err: noAnswerError{}})
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Worker, first.Worker)
	assert.Equal(t, h.starts[0].Order.Run, first.Order.Run)
	h.confirmStarts()
	h.tickFor(time.Second)
	assert.Equal(t, len(h.starts)+len(h.stops), 0)
}

// A start order is not repeated to a worker that is being emptied.
func TestUnansweredStartIsNotRepeatedOnALeavingWorker(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.accept(singleTaskJob("0000000000000001"))
	first := h.starts[0]
	h.starts = nil
	h.apply(OperationsChanged{beryllatch.Operations{Evacuated: map[string]bool{"dc1": true}}})
	h.apply(StartEnded{Worker: first.Worker.ID, Fence: first.Order.Fence, Task: first.Order.Task, Run: first.Order.Run, Err: noAnswerError{}})
	assert.Equal(t, len(h.starts), 0)
}

// The rejection of a repeated start order says nothing about the first one, which was not answered: the run may exist, so the
// task must not start elsewhere.
func TestRejectedRepeatSettlesNothing(t *testing.T) {
	for _, reason := range []beryllatch.OrderRejection{
		beryllatch.RejectOldRun, beryllatch.RejectLate, beryllatch.RejectNoRoom, beryllatch.RejectBusy, beryllatch.RejectUnsent,
	} {
		t.Run(string(reason), func(t *testing.T) {
			h := newHarness(t)
			h.register("a", "b")
			h.accept(singleTaskJob("0000000000000001"))
			first := h.starts[0]
			e := StartEnded{Worker: first.Worker.ID, Fence: first.Order.Fence, Task: first.Order.Task, Run: first.Order.Run, Err: noAnswerError{}}
			h.apply(e)
			h.starts = nil
			e.Err = &beryllatch.OrderRejectedError{Reason: reason}
			h.apply(e)
			h.tickFor(time.Second)
			assert.Equal(t, len(h.starts), 0, "the first start order may still have an effect")
			h.answerHolds(map[string]beryllatch.WorkerLists{first.Worker.ID: {Finished: []beryllatch.FinishedEntry{
				{Number: 1, Task: first.Order.Task, Run: first.Order.Run, Outcome: beryllatch.RunDone},
			}}})
			h.storeAll()
			state, _ := h.s.JobState("0000000000000001")
			assert.Equal(t, state, beryllatch.JobDone)
			assert.Equal(t, len(h.starts), 0)
		})
	}
}

// A hold may wait a second for a completion. After an unanswered start the scheduler must know sooner whether the run exists,
// so it sends a probe beside the waiting hold.
func TestLookBesideAHold(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.accept(singleTaskJob("0000000000000001"))
	h.tickFor(100 * time.Millisecond)
	waiting := len(h.holds)
	h.loseStarts(h.starts[0])
	assert.Assert(t, len(h.holds) > waiting)
	probe := h.holds[len(h.holds)-1]
	assert.Assert(t, probe.Probe)
	assert.Equal(t, probe.Order.Wait, time.Duration(0))
}

// After an unanswered hold the next one is sent at once, and for some time holds wait only briefly for a completion.
func TestLostHoldIsRepeatedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	h.accept(singleTaskJob("0000000000000001"))
	starts := h.confirmStarts()
	h.answerHolds(runningLists(starts, 10))
	assert.Equal(t, h.holds[0].Order.Wait, holdWait)
	h.answerHolds(nil, "a")
	assert.Equal(t, len(h.holds), 1)
	assert.Equal(t, h.holds[0].Order.Wait, time.Duration(0))
	for end := h.now.Add(lossyPeriod); h.now.Before(end); h.tickFor(100 * time.Millisecond) {
		h.answerHolds(runningLists(starts, 20))
		assert.Equal(t, h.holds[0].Order.Wait, lossyHoldWait)
	}
	h.answerHolds(runningLists(starts, 30))
	assert.Equal(t, h.holds[0].Order.Wait, holdWait)
}

func TestTicketIsNeeded(t *testing.T) {
	h := newHarness(t)
	d := testDeployment()
	q := d.Queues["q"]
	q.Restricted = true
	d.Queues["q"] = q
	h.apply(DeploymentChanged{d})
	h.register("a", "b")
	h.accept(singleTaskJob("0000000000000001"))
	assert.Equal(t, len(h.starts), 0)
	request, ok := h.otherEffects[len(h.otherEffects)-1].(AskAdvice)
	assert.Assert(t, ok)
	assert.Equal(t, request.Step, "0000000000000001.0.0")
	h.apply(AdviceReceived{
		Step: request.Step, Workers: request.Workers, Valid: 3 * time.Second,
		Tickets: []beryllatch.PlacementTicket{{Worker: "b", Ticket: "c81e"}},
	})
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Worker.ID, "b")
	assert.Equal(t, h.starts[0].Order.Ticket, "c81e")
}

func TestFillersSlowDown(t *testing.T) {
	h := newHarness(t)
	h.register("a")
	serving := singleTaskJob("0000000000000001")
	serving.Steps[0].LongRunning, serving.Steps[0].TailTarget = true, 100*time.Millisecond
	h.accept(serving)
	filler := singleTaskJob("0000000000000002")
	filler.Steps[0].Filler = true
	h.accept(filler)
	starts := h.confirmStarts()
	assert.Equal(t, len(starts), 2)
	lists := runningLists(starts, 100)
	l := lists["a"]
	for i := range l.Running {
		if l.Running[i].Task[:16] == serving.ID {
			l.Running[i].Load = 95
		}
	}
	h.tickFor(500 * time.Millisecond)
	h.answerHolds(lists)
	pace, ok := h.otherEffects[len(h.otherEffects)-1].(PaceRun)
	assert.Assert(t, ok)
	assert.Equal(t, pace.Order.Percent, 50)
	assert.Equal(t, pace.Order.Task[:16], filler.ID)
}

// When more work arrives than a pool can hold, instances are moved from standby at once. The rate at which work arrives counts
// as well as the waiting tasks.
func TestBurstBringsInstances(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b", "c")
	h.tickFor(time.Second)
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
	h.apply(InstancesListed{Instances: list})
	d := testDeployment()
	team := d.Teams["team"]
	team.Ceiling = beryllatch.Resources{}
	d.Teams["team"] = team
	h.apply(DeploymentChanged{d})
	for n := range 12 {
		j := singleTaskJob("000000000000000" + string("0123456789abcdef"[n]))
		j.Steps[0].Count, j.Steps[0].Needs.CPUMilli = 8, 1000
		h.accept(j)
	}
	h.tickFor(300 * time.Millisecond)
	moved := 0
	for _, f := range h.otherEffects {
		if m, ok := f.(MoveInstance); ok && m.Pool == "p" {
			moved++
		}
	}
	assert.Equal(t, moved, 3)
}

// A worker on which tasks of several jobs fail gets no new ones for a while, so that it does not use up their attempts.
func TestBadWorkerIsTakenOut(t *testing.T) {
	h := newHarness(t)
	h.register("a", "b")
	bad := ""
	for n := range suspectAfterFailures {
		h.accept(singleTaskJob("000000000000000" + string("0123456789abcdef"[n])))
		start := h.confirmStarts()[0]
		if bad == "" {
			bad = start.Worker.ID
		}
		if start.Worker.ID == bad {
			h.finishRuns(beryllatch.RunFailed, start)
		}
		for _, restart := range h.confirmStarts() {
			if restart.Worker.ID != bad {
				h.finishRuns(beryllatch.RunDone, restart)
			}
		}
	}
	h.accept(singleTaskJob("00000000000000ff"))
	for _, f := range h.starts {
		if f.Order.Task[:16] == "00000000000000ff" {
			assert.Assert(t, f.Worker.ID != bad)
		}
	}
}

// While start orders are not answered, the number in flight must stay limited: more would only add time-outs on a node that is
// short of processor time.
func TestStartsInFlightAreBounded(t *testing.T) {
	h := newHarness(t)
	d := testDeployment()
	team := d.Teams["team"]
	team.Ceiling = beryllatch.Resources{}
	d.Teams["team"] = team
	h.apply(DeploymentChanged{d})
	var ids []string
	for n := range 40 {
		ids = append(ids, fmt.Sprintf("w%02d", n))
	}
	h.register(ids...)
	for n := range 40 {
		j := singleTaskJob(fmt.Sprintf("%016x", n))
		j.Steps[0].Count, j.Steps[0].Needs.CPUMilli = 20, 500
		h.accept(j)
	}
	h.tickFor(time.Second)
	assert.Assert(t, len(h.starts) <= maxPendingStarts)
	perWorker := make(map[string]int)
	for _, f := range h.starts {
		perWorker[f.Worker.ID]++
		assert.Assert(t, perWorker[f.Worker.ID] <= maxPendingStartsOnWorker)
	}
	before := len(h.starts)
	h.confirmStarts()
	h.tickFor(100 * time.Millisecond)
	assert.Assert(t, len(h.starts) > 0 && before > 0, "confirmed starts make room for others")
}

// When the pool is full, jobs of a team that has used up its share wait behind those of a team within its share.
func TestTeamBeyondItsShareWaits(t *testing.T) {
	h := newHarness(t)
	d := testDeployment()
	d.Teams["team"] = beryllatch.JobTeam{Name: "team", Weight: 2}
	d.Teams["other"] = beryllatch.JobTeam{Name: "other", Weight: 2}
	h.apply(DeploymentChanged{d})
	h.register("a")
	full := singleTaskJob("00000000000000ff")
	full.Steps[0].Needs.CPUMilli = 16000
	h.accept(full)
	first := h.confirmStarts()
	for n := range 6 {
		h.accept(singleTaskJob(fmt.Sprintf("%016x", n)))
	}
	h.lastCall++
	j := singleTaskJob("00000000000000aa")
	j.Queue, j.Team = "q", "other"
	h.apply(JobSubmitted{Call: h.lastCall, Job: j})
	h.storeAll()
	assert.Equal(t, len(h.starts), 0)
	h.tickFor(300 * time.Millisecond)
	h.answerHolds(map[string]beryllatch.WorkerLists{"a": {Finished: []beryllatch.FinishedEntry{
		{Number: 1, Task: first[0].Order.Task, Run: first[0].Order.Run, Outcome: beryllatch.RunDone},
	}}})
	h.tickFor(100 * time.Millisecond)
	order := make(map[string]int)
	for i, f := range h.starts {
		order[f.Order.Task[:16]] = i
	}
	assert.Equal(t, len(order), 7)
	behind := 0
	for n := range 6 {
		if order[fmt.Sprintf("%016x", n)] > order["00000000000000aa"] {
			behind++
		}
	}
	// The job that fills the worker takes twice the team's share of the capacity, so that all others of the team wait.
	assert.Equal(t, behind, 6)
}

// Two goroutines may pass on two versions of the configuration in either order.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	h := newHarness(t)
	newer, older := testDeployment(), testDeployment()
	newer.Version, older.Version = 6, 5
	delete(older.Queues, "q")
	h.apply(DeploymentChanged{newer})
	h.apply(DeploymentChanged{older})
	h.register("a")
	h.accept(singleTaskJob("0000000000000001"))
	assert.Equal(t, len(h.starts), 1)
}
