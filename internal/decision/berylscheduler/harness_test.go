package berylscheduler

import (
	"errors"
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
	// confirmations counts the requests to confirm the epoch without an outcome so far; deferConfirmation leaves the outcome to
	// the test.
	confirmations     int
	deferConfirmation bool
	// peersLag is how long before each tick the other nodes had not taken over; 0 means that this is not known.
	peersLag time.Duration
	// completions is the number of the last completion that a worker has listed.
	completions int64
}

// sentHold is a hold without an outcome so far.
type sentHold struct {
	HoldWorker
	sent time.Time
	// incarnation is the one that the hold was sent to.
	incarnation int64
}

const testLease = leaseTime

var errNoAnswer = errors.New("no answer")

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{t: t, now: time.Unix(1_800_000_000, 0), version: 100, answers: make(map[uint64]error)}
	h.s = testScheduler(1, 7)
	h.apply(Recovered{})
	h.apply(DeploymentChanged{testDeployment()})
	return h
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
func (h *harness) apply(e Event) {
	h.t.Helper()
	h.applyOne(e)
	for h.confirmations > 0 && !h.deferConfirmation {
		h.confirmations--
		h.applyOne(EpochConfirmed{Current: true})
	}
	if !h.wakeAt.IsZero() {
		h.now = h.wakeAt
		h.wakeAt = time.Time{}
		h.applyOne(Woken{})
	}
}

func (h *harness) applyOne(e Event) {
	h.t.Helper()
	for _, f := range h.s.Apply(h.now, e) {
		switch f := f.(type) {
		case StartRun:
			h.starts = append(h.starts, f)
		case StopRun:
			h.stops = append(h.stops, f)
		case HoldWorker:
			h.holds = append(h.holds, sentHold{f, h.now, h.s.workers[f.Worker.ID].info.Incarnation})
		case CommitRows:
			h.commits = append(h.commits, f)
		case AnswerCall:
			h.answers[f.Call] = f.Err
		case WakeAfter:
			h.wakeAt = h.now.Add(f.Wait)
		case ConfirmEpoch:
			h.confirmations++
		case Decision:
			h.decisions = append(h.decisions, f.Name)
		default:
			h.otherEffects = append(h.otherEffects, f)
		}
	}
}

// tickFor advances the clock by d, with a tick every 100 ms.
func (h *harness) tickFor(d time.Duration) {
	h.t.Helper()
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(100 * time.Millisecond)
		tick := Ticked{}
		if h.peersLag > 0 {
			tick.PeersAt = h.now.Add(-h.peersLag)
		}
		h.apply(tick)
	}
}

// storeAll reports all transactions as stored.
func (h *harness) storeAll() {
	h.t.Helper()
	for len(h.commits) > 0 {
		batch := h.commits[0].Batch
		h.commits = h.commits[1:]
		h.version++
		h.apply(Committed{Batch: batch, Version: h.version})
	}
}

// failCommit reports the first transaction in flight as failed.
func (h *harness) failCommit(err error) {
	h.t.Helper()
	batch := h.commits[0].Batch
	h.commits = h.commits[1:]
	h.apply(Committed{Batch: batch, Err: err})
}

func workerInfo(id string) beryllatch.WorkerInfo {
	return beryllatch.WorkerInfo{
		ID: id, Incarnation: 1, Instance: "m-" + id, Pool: "p", Address: "10.0.0.1:1", DataCentre: "dc1", Rack: "r1",
		Labels: []string{"a", "r1"}, Capacity: beryllatch.Resources{CPUMilli: 16000, MemoryMB: 65536},
	}
}

// register registers and prepares workers: it stores their rows and answers their holds with empty lists.
func (h *harness) register(ids ...string) {
	h.t.Helper()
	var infos []beryllatch.WorkerInfo
	for _, id := range ids {
		infos = append(infos, workerInfo(id))
	}
	pending := h.holds
	h.holds = nil
	h.apply(RegistryChanged{Workers: infos})
	for _, id := range ids {
		if w := h.s.workers[id]; !w.prepared() {
			h.s.journal.setWorkerRow(id, w.encode())
		}
	}
	h.apply(Ticked{})
	h.storeAll()
	h.answerHolds(nil)
	h.holds = append(pending, h.holds...)
	h.tickFor(100 * time.Millisecond)
}

// answerHolds answers the holds of all workers with the given lists, or with empty ones; holds of the unanswered workers fail.
func (h *harness) answerHolds(lists map[string]beryllatch.WorkerLists, unanswered ...string) {
	h.t.Helper()
	holds := h.holds
	h.holds = nil
	for _, hold := range holds {
		e := WorkerHeld{Worker: hold.Worker.ID, Fence: hold.Order.Fence, Acknowledge: hold.Order.Acknowledge, Sent: hold.sent, Probe: hold.Probe, Lists: lists[hold.Worker.ID]}
		e.Lists.Clock, e.Lists.Incarnation = h.clock(), hold.incarnation
		for _, id := range unanswered {
			if hold.Worker.ID == id {
				e = WorkerHeld{Worker: id, Fence: hold.Order.Fence, Sent: hold.sent, Probe: hold.Probe, Err: errNoAnswer}
			}
		}
		h.apply(e)
	}
}

// clock returns what the clocks of all workers show.
func (h *harness) clock() time.Duration {
	return time.Duration(h.now.UnixMilli()%1e6+1e6) * time.Millisecond
}

// accept submits a job and stores it.
func (h *harness) accept(j beryllatch.Job) {
	h.t.Helper()
	h.submit(j)
	h.storeAll()
	assert.NilError(h.t, h.answers[h.lastCall])
}

func (h *harness) submit(j beryllatch.Job) {
	h.t.Helper()
	h.lastCall++
	j.Queue, j.Team = "q", "team"
	h.apply(JobSubmitted{Call: h.lastCall, Job: j})
}

// confirmStarts confirms all start orders in flight and returns them.
func (h *harness) confirmStarts() []StartRun {
	h.t.Helper()
	starts := h.starts
	h.starts = nil
	for _, f := range starts {
		h.apply(StartEnded{Worker: f.Worker.ID, Fence: f.Order.Fence, Task: f.Order.Task, Run: f.Order.Run})
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
