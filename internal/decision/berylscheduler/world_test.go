package berylscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// world drives a scheduler with a paused clock, and keeps the effects that wait for an outcome.
type world struct {
	t       *testing.T
	now     time.Time
	s       *Scheduler
	version int64

	starts  []StartRun
	stops   []StopRun
	holds   []sentHold
	commits []CommitRows
	answers map[uint64]error
	others  []Effect
	// wake is when the scheduler wants to be woken.
	wake time.Time
	// decisions are the names of all decisions.
	decisions []string
	call      uint64
	// ends numbers the ends that workers list.
	ends int64
}

// sentHold is a hold that waits for its answer.
type sentHold struct {
	HoldWorker
	sent time.Time
}

const testLease = leaseTime

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, now: time.Unix(1_800_000_000, 0), version: 100, answers: make(map[uint64]error)}
	w.s = testScheduler(1, 7)
	w.apply(Recovered{})
	w.apply(DeploymentChanged{testDeployment()})
	return w
}

func testScheduler(epoch, version int64) *Scheduler {
	return &Scheduler{Epoch: epoch, OwnerVersion: version, Limits: Limits{
		MaxLease: 10 * time.Second, StopTimeout: 200 * time.Millisecond, JobRetention: 120 * time.Second, RemoteFactor: 1.5,
		MoveTime: 1500 * time.Millisecond, MaintenanceTime: 2 * time.Second,
		RowBytes: 65536,
	}}
}

func testDeployment() *beryllatch.Deployment {
	return beryllatch.Deployment{
		Version: 1,
		Queues: map[string]beryllatch.JobQueue{
			"q": {Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 3, Slack: 1.6, Latency: 600 * time.Millisecond},
		},
		Pools: map[string]beryllatch.JobPool{"p": {Name: "p"}, "spare": {Name: "spare", Standby: true}},
		Teams: map[string]beryllatch.JobTeam{
			"team": {Name: "team", Weight: 1, Ceiling: beryllatch.Resources{CPUMilli: 20000}, Secrets: []string{"key"}},
		},
	}.WithIndex()
}

// apply applies the event, and lets the short time pass in which the scheduler gathers events.
func (w *world) apply(e Event) {
	w.t.Helper()
	w.applyOne(e)
	if !w.wake.IsZero() {
		w.now = w.wake
		w.wake = time.Time{}
		w.applyOne(Woken{})
	}
}

func (w *world) applyOne(e Event) {
	w.t.Helper()
	for _, f := range w.s.Apply(w.now, e) {
		switch f := f.(type) {
		case StartRun:
			w.starts = append(w.starts, f)
		case StopRun:
			w.stops = append(w.stops, f)
		case HoldWorker:
			w.holds = append(w.holds, sentHold{f, w.now})
		case CommitRows:
			w.commits = append(w.commits, f)
		case AnswerCall:
			w.answers[f.Call] = f.Err
		case WakeAfter:
			w.wake = w.now.Add(f.Wait)
		case Decision:
			w.decisions = append(w.decisions, f.Name)
		default:
			w.others = append(w.others, f)
		}
	}
}

// pass lets time pass in ticks.
func (w *world) pass(d time.Duration) {
	w.t.Helper()
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(100 * time.Millisecond)
		w.apply(Ticked{})
	}
}

// store applies all waiting transactions.
func (w *world) store() {
	w.t.Helper()
	for len(w.commits) > 0 {
		batch := w.commits[0].Batch
		w.commits = w.commits[1:]
		w.version++
		w.apply(Committed{Batch: batch, Version: w.version})
	}
}

// failCommit answers the first waiting transaction with an error.
func (w *world) failCommit(err error) {
	w.t.Helper()
	batch := w.commits[0].Batch
	w.commits = w.commits[1:]
	w.apply(Committed{Batch: batch, Err: err})
}

func workerInfo(id string) beryllatch.WorkerInfo {
	return beryllatch.WorkerInfo{
		ID: id, Incarnation: 1, Instance: "m-" + id, Pool: "p", Address: "10.0.0.1:1", DataCentre: "dc1", Rack: "r1",
		Labels: []string{"a", "r1"}, Capacity: beryllatch.Resources{CPUMilli: 16000, MemoryMB: 65536},
	}
}

// register adds workers whose lists are empty.
func (w *world) register(ids ...string) {
	w.t.Helper()
	var infos []beryllatch.WorkerInfo
	for _, id := range ids {
		infos = append(infos, workerInfo(id))
	}
	pending := w.holds
	w.holds = nil
	w.apply(RegistryChanged{Workers: infos})
	w.store()
	w.answerHolds(nil)
	w.holds = append(pending, w.holds...)
	w.pass(100 * time.Millisecond)
}

// answerHolds answers the holds of all workers, with the given lists or empty ones; workers in silent get no answer.
func (w *world) answerHolds(lists map[string]beryllatch.WorkerLists, silent ...string) {
	w.t.Helper()
	holds := w.holds
	w.holds = nil
	for _, h := range holds {
		e := WorkerHeld{Worker: h.Worker.ID, Incarnation: h.Incarnation, Sent: h.sent, Probe: h.Probe, Lists: lists[h.Worker.ID]}
		e.Lists.Clock, e.Lists.Incarnation = time.Duration(w.now.UnixMilli()%1e6+1e6)*time.Millisecond, h.Incarnation
		for _, id := range silent {
			if h.Worker.ID == id {
				e = WorkerHeld{Worker: id, Incarnation: h.Incarnation, Sent: h.sent, Probe: h.Probe, Err: fmt.Errorf("no answer")}
			}
		}
		w.apply(e)
	}
}

// accept submits a job and stores it.
func (w *world) accept(j beryllatch.Job) {
	w.t.Helper()
	w.submit(j)
	w.store()
	assert.NilError(w.t, w.answers[w.call])
}

func (w *world) submit(j beryllatch.Job) {
	w.t.Helper()
	w.call++
	j.Queue, j.Team = "q", "team"
	w.apply(JobSubmitted{Call: w.call, Job: j})
}

// confirm answers all waiting start orders with success.
func (w *world) confirm() []StartRun {
	w.t.Helper()
	starts := w.starts
	w.starts = nil
	for _, f := range starts {
		w.apply(StartEnded{Worker: f.Worker.ID, Incarnation: f.Incarnation, Task: f.Order.Task, Run: f.Order.Run})
	}
	return starts
}

func running(starts []StartRun, percent int) map[string]beryllatch.WorkerLists {
	out := make(map[string]beryllatch.WorkerLists)
	for _, f := range starts {
		l := out[f.Worker.ID]
		l.Running = append(l.Running, beryllatch.RunningEntry{Task: f.Order.Task, Run: f.Order.Run, Percent: percent})
		out[f.Worker.ID] = l
	}
	return out
}

func oneTask(id string) beryllatch.Job {
	return beryllatch.Job{ID: id, Steps: []beryllatch.JobStep{{
		Count: 1, Needs: beryllatch.Resources{CPUMilli: 1000, MemoryMB: 100}, Estimate: time.Second,
	}}}
}
