package berylscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// harness drives a scheduler with a simulated clock and collects its effects; the test supplies their outcomes.
type harness struct {
	t       *testing.T
	now     time.Time
	s       *Scheduler
	version int64

	starts       []StartRun
	stops        []StopRun
	holds        []sentHold
	commits      []CommitRows
	answers      map[uint64]error
	otherEffects []Effect
	// wakeAt is when the scheduler has asked for a Woken event.
	wakeAt time.Time
	// decisions holds the names of all decisions.
	decisions []string
	lastCall  uint64
	// completions is the number of the last completion that a worker has listed.
	completions int64
}

// sentHold is a hold without an outcome so far.
type sentHold struct {
	HoldWorker
	sent time.Time
}

const testLease = leaseTime

func newHarness(t *testing.T) *harness {
	t.Helper()
	w := &harness{t: t, now: time.Unix(1_800_000_000, 0), version: 100, answers: make(map[uint64]error)}
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

// apply applies the event, and then a Woken event at the requested time if the scheduler asks for one.
func (w *harness) apply(e Event) {
	w.t.Helper()
	w.applyOne(e)
	if !w.wakeAt.IsZero() {
		w.now = w.wakeAt
		w.wakeAt = time.Time{}
		w.applyOne(Woken{})
	}
}

func (w *harness) applyOne(e Event) {
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
			w.wakeAt = w.now.Add(f.Wait)
		case Decision:
			w.decisions = append(w.decisions, f.Name)
		default:
			w.otherEffects = append(w.otherEffects, f)
		}
	}
}

// tickFor advances the clock by d, with a tick every 100 ms.
func (w *harness) tickFor(d time.Duration) {
	w.t.Helper()
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(100 * time.Millisecond)
		w.apply(Ticked{})
	}
}

// storeAll reports all transactions as stored.
func (w *harness) storeAll() {
	w.t.Helper()
	for len(w.commits) > 0 {
		batch := w.commits[0].Batch
		w.commits = w.commits[1:]
		w.version++
		w.apply(Committed{Batch: batch, Version: w.version})
	}
}

// failCommit reports the first transaction in flight as failed.
func (w *harness) failCommit(err error) {
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

// register registers workers, stores their rows and answers their holds with empty lists.
func (w *harness) register(ids ...string) {
	w.t.Helper()
	var infos []beryllatch.WorkerInfo
	for _, id := range ids {
		infos = append(infos, workerInfo(id))
	}
	pending := w.holds
	w.holds = nil
	w.apply(RegistryChanged{Workers: infos})
	w.storeAll()
	w.answerHolds(nil)
	w.holds = append(pending, w.holds...)
	w.tickFor(100 * time.Millisecond)
}

// answerHolds answers the holds of all workers with the given lists, or with empty ones; holds of the unanswered workers fail.
func (w *harness) answerHolds(lists map[string]beryllatch.WorkerLists, unanswered ...string) {
	w.t.Helper()
	holds := w.holds
	w.holds = nil
	for _, h := range holds {
		e := WorkerHeld{Worker: h.Worker.ID, Incarnation: h.Incarnation, Sent: h.sent, Probe: h.Probe, Lists: lists[h.Worker.ID]}
		e.Lists.Clock, e.Lists.Incarnation = time.Duration(w.now.UnixMilli()%1e6+1e6)*time.Millisecond, h.Incarnation
		for _, id := range unanswered {
			if h.Worker.ID == id {
				e = WorkerHeld{Worker: id, Incarnation: h.Incarnation, Sent: h.sent, Probe: h.Probe, Err: fmt.Errorf("no answer")}
			}
		}
		w.apply(e)
	}
}

// accept submits a job and stores it.
func (w *harness) accept(j beryllatch.Job) {
	w.t.Helper()
	w.submit(j)
	w.storeAll()
	assert.NilError(w.t, w.answers[w.lastCall])
}

func (w *harness) submit(j beryllatch.Job) {
	w.t.Helper()
	w.lastCall++
	j.Queue, j.Team = "q", "team"
	w.apply(JobSubmitted{Call: w.lastCall, Job: j})
}

// confirmStarts confirms all start orders in flight and returns them.
func (w *harness) confirmStarts() []StartRun {
	w.t.Helper()
	starts := w.starts
	w.starts = nil
	for _, f := range starts {
		w.apply(StartEnded{Worker: f.Worker.ID, Incarnation: f.Incarnation, Task: f.Order.Task, Run: f.Order.Run})
	}
	return starts
}

func runningLists(starts []StartRun, percent int) map[string]beryllatch.WorkerLists {
	out := make(map[string]beryllatch.WorkerLists)
	for _, f := range starts {
		l := out[f.Worker.ID]
		l.Running = append(l.Running, beryllatch.RunningEntry{Task: f.Order.Task, Run: f.Order.Run, Percent: percent})
		out[f.Worker.ID] = l
	}
	return out
}

func singleTaskJob(id string) beryllatch.Job {
	return beryllatch.Job{ID: id, Steps: []beryllatch.JobStep{{
		Count: 1, Needs: beryllatch.Resources{CPUMilli: 1000, MemoryMB: 100}, Estimate: time.Second,
	}}}
}
