package berylscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// finish lists the runs as ended and lets the answer be taken.
func (w *world) finish(end beryllatch.RunOutcome, starts ...StartRun) {
	w.t.Helper()
	lists := make(map[string]beryllatch.WorkerLists)
	for _, f := range starts {
		l := lists[f.Worker.ID]
		w.ends++
		l.Finished = append(l.Finished, beryllatch.FinishedEntry{Number: w.ends, Task: f.Order.Task, Run: f.Order.Run, Outcome: end})
		lists[f.Worker.ID] = l
	}
	w.pass(200 * time.Millisecond)
	w.answerHolds(lists)
	w.store()
}

func TestStepsRunInOrder(t *testing.T) {
	w := newWorld(t)
	w.register("a", "b")
	j := oneTask("0000000000000001")
	j.Steps[0].Count = 2
	j.Steps = append(j.Steps, j.Steps[0])
	j.Steps[1].After = []int{0}
	w.accept(j)
	first := w.confirm()
	assert.Equal(t, len(first), 2)
	w.finish(beryllatch.RunDone, first[0])
	assert.Equal(t, len(w.starts), 0, "the second step waits for both tasks of the first")
	w.finish(beryllatch.RunDone, first[1])
	second := w.confirm()
	assert.Equal(t, len(second), 2)
	w.finish(beryllatch.RunDone, second...)
	state, _ := w.s.JobState(j.ID)
	assert.Equal(t, state, beryllatch.JobDone)
}

func TestOccurrencesStartWhenDue(t *testing.T) {
	w := newWorld(t)
	w.register("a")
	j := oneTask("0000000000000001")
	j.Repeat, j.First, j.Interval = 2, w.now.Add(3*time.Second), 2*time.Second
	w.accept(j)
	due := j.First
	for n := range 2 {
		for w.now.Before(due) {
			assert.Equal(t, len(w.starts), 0, "occurrence %d starts %s early", n, due.Sub(w.now))
			w.pass(100 * time.Millisecond)
		}
		w.pass(200 * time.Millisecond)
		w.finish(beryllatch.RunDone, w.confirm()...)
		due = due.Add(j.Interval)
	}
	state, _ := w.s.JobState(j.ID)
	assert.Equal(t, state, beryllatch.JobDone)
}

func TestCeilingHolds(t *testing.T) {
	w := newWorld(t)
	w.register("a", "b", "c")
	j := oneTask("0000000000000001")
	j.Steps[0].Count, j.Steps[0].Needs.CPUMilli = 10, 4000
	w.accept(j)
	assert.Equal(t, len(w.confirm()), 5, "the ceiling is 20 cores; 48 are there")
}

func TestGangStartsTogetherOrNotAtAll(t *testing.T) {
	w := newWorld(t)
	w.register("a")
	j := oneTask("0000000000000001")
	j.Steps[0].Count, j.Steps[0].Gang, j.Steps[0].Needs.CPUMilli = 3, true, 6000
	w.accept(j)
	w.pass(time.Second)
	assert.Equal(t, len(w.starts), 0, "two of three members fit")
	w.register("b")
	starts := w.confirm()
	assert.Equal(t, len(starts), 3)
	for _, f := range starts {
		assert.Equal(t, f.Order.Run, starts[0].Order.Run)
	}
	w.finish(beryllatch.RunDone, starts[0])
	state, _ := w.s.JobState(j.ID)
	assert.Equal(t, state, beryllatch.JobDone, "one member's end stands for all")
}

// A cancellation stops what runs, starts nothing, and repeats stop orders that were not answered.
func TestCancelStopsEverything(t *testing.T) {
	w := newWorld(t)
	w.register("a")
	j := oneTask("0000000000000001")
	j.Steps[0].Count, j.Steps[0].Needs.CPUMilli = 3, 8000
	w.accept(j)
	starts := w.confirm()
	assert.Equal(t, len(starts), 2)
	w.call++
	w.apply(CancelRequested{Call: w.call, ID: j.ID})
	assert.Equal(t, len(w.stops), 2)
	w.store()
	assert.NilError(t, w.answers[w.call])
	for _, f := range w.stops {
		w.apply(StopEnded{Worker: f.Worker.ID, Incarnation: f.Incarnation, Task: f.Order.Task, Run: f.Order.Run, Err: beryllatchTimeout{}})
	}
	w.pass(time.Second)
	assert.Equal(t, len(w.stops), 4)
	w.finish(beryllatch.RunStopped, starts...)
	w.pass(time.Second)
	assert.Equal(t, len(w.starts), 0)
	state, _ := w.s.JobState(j.ID)
	assert.Equal(t, state, beryllatch.JobCancelled)
}

// beryllatchTimeout is an order without an answer.
type beryllatchTimeout struct{}

func (beryllatchTimeout) Error() string { return "no answer" }

func TestDrainingAndEvacuatedWorkersGetNothing(t *testing.T) {
	for name, change := range map[string]func(w *world){
		"draining": func(w *world) {
			info := workerInfo("a")
			info.Draining = true
			w.apply(RegistryChanged{Workers: []beryllatch.WorkerInfo{info}})
		},
		"evacuated": func(w *world) {
			w.apply(OperationsChanged{beryllatch.Operations{Evacuated: map[string]bool{"dc1": true}}})
		},
		"unregistered": func(w *world) {
			w.apply(RegistryChanged{Removed: []string{"a"}})
			w.pass(registryGrace)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.t = t
			w.register("a")
			change(w)
			w.accept(oneTask("0000000000000001"))
			w.pass(time.Second)
			assert.Equal(t, len(w.starts), 0)
		})
	}
}

// loseStarts leaves all waiting start orders without an answer, until the worker is not asked any more. Each must be for the
// run that is open.
func (w *world) loseStarts(open StartRun) {
	w.t.Helper()
	for n := 0; len(w.starts) > 0; n++ {
		assert.Assert(w.t, n < 2*startTries, "starts are repeated for ever")
		f := w.starts[0]
		w.starts = w.starts[1:]
		assert.Equal(w.t, f.Worker, open.Worker)
		assert.Equal(w.t, f.Order.Run, open.Order.Run)
		w.apply(StartEnded{Worker: f.Worker.ID, Incarnation: f.Incarnation, Task: f.Order.Task, Run: f.Order.Run, Err: beryllatchTimeout{}})
	}
}

// A start without an answer may be carried out later: the task starts elsewhere only once a stop for the run is answered.
func TestUnansweredStartIsSettledFirst(t *testing.T) {
	w := newWorld(t)
	w.register("a", "b")
	w.accept(oneTask("0000000000000001"))
	first := w.starts[0]
	w.loseStarts(first)
	for range 5 {
		w.pass(300 * time.Millisecond)
		w.answerHolds(nil)
		assert.Equal(t, len(w.starts), 0)
	}
	assert.Assert(t, len(w.stops) > 0)
	stop := w.stops[0]
	w.apply(StopEnded{Worker: stop.Worker.ID, Incarnation: stop.Incarnation, Task: stop.Order.Task, Run: stop.Order.Run})
	for range 5 {
		w.pass(300 * time.Millisecond)
		w.answerHolds(nil)
	}
	assert.Equal(t, len(w.starts), 1)
	assert.Assert(t, w.starts[0].Order.Run > first.Order.Run)
}

// While workers leave orders unanswered, a repeat of the same run is sent at once: the task does not wait for a look and a
// stop.
func TestUnansweredStartIsRepeated(t *testing.T) {
	w := newWorld(t)
	w.register("a", "b")
	w.accept(oneTask("0000000000000001"))
	first := w.starts[0]
	w.starts = nil
	w.apply(StartEnded{Worker: first.Worker.ID, Incarnation: first.Incarnation, Task: first.Order.Task, Run: first.Order.Run, Err: beryllatchTimeout{}})
	assert.Equal(t, len(w.starts), 1)
	assert.Equal(t, w.starts[0].Worker, first.Worker)
	assert.Equal(t, w.starts[0].Order.Run, first.Order.Run)
	w.confirm()
	w.pass(time.Second)
	assert.Equal(t, len(w.starts)+len(w.stops), 0)
}

// A worker that is to be emptied gets no repeats.
func TestUnansweredStartIsNotRepeatedOnALeavingWorker(t *testing.T) {
	w := newWorld(t)
	w.register("a")
	w.accept(oneTask("0000000000000001"))
	first := w.starts[0]
	w.starts = nil
	w.apply(OperationsChanged{beryllatch.Operations{Evacuated: map[string]bool{"dc1": true}}})
	w.apply(StartEnded{Worker: first.Worker.ID, Incarnation: first.Incarnation, Task: first.Order.Task, Run: first.Order.Run, Err: beryllatchTimeout{}})
	assert.Equal(t, len(w.starts), 0)
}

// A rejection says what became of one order: an earlier one without an answer may have started the run, or may start it yet.
func TestRejectedRepeatSettlesNothing(t *testing.T) {
	for _, reason := range []beryllatch.OrderRejection{
		beryllatch.RejectOldRun, beryllatch.RejectLate, beryllatch.RejectNoRoom, beryllatch.RejectBusy, beryllatch.RejectUnsent,
	} {
		t.Run(string(reason), func(t *testing.T) {
			w := newWorld(t)
			w.register("a", "b")
			w.accept(oneTask("0000000000000001"))
			first := w.starts[0]
			e := StartEnded{Worker: first.Worker.ID, Incarnation: first.Incarnation, Task: first.Order.Task, Run: first.Order.Run, Err: beryllatchTimeout{}}
			w.apply(e)
			w.starts = nil
			e.Err = &beryllatch.OrderRejectedError{Reason: reason}
			w.apply(e)
			w.pass(time.Second)
			assert.Equal(t, len(w.starts), 0, "the run is open")
			w.answerHolds(map[string]beryllatch.WorkerLists{first.Worker.ID: {Finished: []beryllatch.FinishedEntry{
				{Number: 1, Task: first.Order.Task, Run: first.Order.Run, Outcome: beryllatch.RunDone},
			}}})
			w.store()
			state, _ := w.s.JobState("0000000000000001")
			assert.Equal(t, state, beryllatch.JobDone)
			assert.Equal(t, len(w.starts), 0)
		})
	}
}

// A hold that waits for an end must not hide for a second what became of an order: the worker is looked at beside it.
func TestLookBesideAHold(t *testing.T) {
	w := newWorld(t)
	w.register("a")
	w.accept(oneTask("0000000000000001"))
	w.pass(100 * time.Millisecond)
	waiting := len(w.holds)
	w.loseStarts(w.starts[0])
	assert.Assert(t, len(w.holds) > waiting)
	look := w.holds[len(w.holds)-1]
	assert.Assert(t, look.Probe)
	assert.Equal(t, look.Order.Wait, time.Duration(0))
}

// One hold without an answer is repeated at once, and those after it wait for a short time only.
func TestLostHoldIsRepeatedAtOnce(t *testing.T) {
	w := newWorld(t)
	w.register("a")
	w.accept(oneTask("0000000000000001"))
	starts := w.confirm()
	w.answerHolds(running(starts, 10))
	assert.Equal(t, w.holds[0].Order.Wait, holdWait)
	w.answerHolds(nil, "a")
	assert.Equal(t, len(w.holds), 1)
	assert.Equal(t, w.holds[0].Order.Wait, time.Duration(0))
	w.answerHolds(running(starts, 20))
	assert.Equal(t, w.holds[0].Order.Wait, lossyWait)
	w.pass(lossMemory)
	w.answerHolds(running(starts, 30))
	assert.Equal(t, w.holds[0].Order.Wait, holdWait)
}

func TestTicketIsNeeded(t *testing.T) {
	w := newWorld(t)
	d := testDeployment()
	q := d.Queues["q"]
	q.Restricted, q.TicketLife = true, 3*time.Second
	d.Queues["q"] = q
	w.apply(DeploymentChanged{d})
	w.register("a", "b")
	w.accept(oneTask("0000000000000001"))
	assert.Equal(t, len(w.starts), 0)
	ask, ok := w.others[len(w.others)-1].(AskAdvice)
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
	w := newWorld(t)
	w.register("a")
	serving := oneTask("0000000000000001")
	serving.Steps[0].LongRunning, serving.Steps[0].TailTarget = true, 100*time.Millisecond
	w.accept(serving)
	filler := oneTask("0000000000000002")
	filler.Steps[0].Filler = true
	w.accept(filler)
	starts := w.confirm()
	assert.Equal(t, len(starts), 2)
	lists := running(starts, 100)
	l := lists["a"]
	for i := range l.Running {
		if l.Running[i].Task[:16] == serving.ID {
			l.Running[i].Load = 95
		}
	}
	w.pass(500 * time.Millisecond)
	w.answerHolds(lists)
	pace, ok := w.others[len(w.others)-1].(PaceRun)
	assert.Assert(t, ok)
	assert.Equal(t, pace.Order.Percent, 50)
	assert.Equal(t, pace.Order.Task[:16], filler.ID)
}

// A burst beyond what a pool holds brings instances from standby at once, by the work that arrives and not only by what waits.
func TestBurstBringsInstances(t *testing.T) {
	w := newWorld(t)
	w.register("a", "b", "c")
	w.pass(time.Second)
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
		j := oneTask("000000000000000" + string("0123456789abcdef"[n]))
		j.Steps[0].Count, j.Steps[0].Needs.CPUMilli = 8, 1000
		w.accept(j)
	}
	w.pass(300 * time.Millisecond)
	moved := 0
	for _, f := range w.others {
		if m, ok := f.(MoveInstance); ok && m.Pool == "p" {
			moved++
		}
	}
	assert.Equal(t, moved, 3)
}

// A worker that fails tasks of different jobs gets no new ones for a while, so that it does not use up their attempts.
func TestBadWorkerIsTakenOut(t *testing.T) {
	w := newWorld(t)
	w.register("a", "b")
	bad := ""
	for n := range suspectFailures {
		w.accept(oneTask("000000000000000" + string("0123456789abcdef"[n])))
		start := w.confirm()[0]
		if bad == "" {
			bad = start.Worker.ID
		}
		if start.Worker.ID == bad {
			w.finish(beryllatch.RunFailed, start)
		}
		for _, again := range w.confirm() {
			if again.Worker.ID != bad {
				w.finish(beryllatch.RunDone, again)
			}
		}
	}
	w.accept(oneTask("00000000000000ff"))
	for _, f := range w.starts {
		if f.Order.Task[:16] == "00000000000000ff" {
			assert.Assert(t, f.Worker.ID != bad)
		}
	}
}

// While orders are not answered, starts must not pile up: a node short of processor time would only add time-outs.
func TestStartsInFlightAreBounded(t *testing.T) {
	w := newWorld(t)
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
		j := oneTask(fmt.Sprintf("%016x", n))
		j.Steps[0].Count, j.Steps[0].Needs.CPUMilli = 20, 500
		w.accept(j)
	}
	w.pass(time.Second)
	assert.Assert(t, len(w.starts) <= maxStarting)
	perWorker := make(map[string]int)
	for _, f := range w.starts {
		perWorker[f.Worker.ID]++
		assert.Assert(t, perWorker[f.Worker.ID] <= maxStartingOnWorker)
	}
	before := len(w.starts)
	w.confirm()
	w.pass(100 * time.Millisecond)
	assert.Assert(t, len(w.starts) > 0 && before > 0, "answers make room")
}

// When all is full, a team that sends more than its share waits behind one that keeps to it.
func TestTeamBeyondItsShareWaits(t *testing.T) {
	w := newWorld(t)
	d := testDeployment()
	d.Teams["team"] = beryllatch.JobTeam{Name: "team", Weight: 2}
	d.Teams["other"] = beryllatch.JobTeam{Name: "other", Weight: 2}
	w.apply(DeploymentChanged{d})
	w.register("a")
	full := oneTask("00000000000000ff")
	full.Steps[0].Needs.CPUMilli = 16000
	w.accept(full)
	first := w.confirm()
	for n := range 6 {
		w.accept(oneTask(fmt.Sprintf("%016x", n)))
	}
	w.call++
	j := oneTask("00000000000000aa")
	j.Queue, j.Team = "q", "other"
	w.apply(JobSubmitted{Call: w.call, Job: j})
	w.store()
	assert.Equal(t, len(w.starts), 0)
	w.pass(300 * time.Millisecond)
	w.answerHolds(map[string]beryllatch.WorkerLists{"a": {Finished: []beryllatch.FinishedEntry{
		{Number: 1, Task: first[0].Order.Task, Run: first[0].Order.Run, Outcome: beryllatch.RunDone},
	}}})
	w.pass(100 * time.Millisecond)
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
	// Two seconds of two jobs, less the one that fills the worker, are within the share.
	assert.Equal(t, behind, 3)
}
