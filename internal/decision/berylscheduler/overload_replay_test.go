package berylscheduler

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// loadReplay plays jobs, workers, callers and the store in steps of simulated time, to see whom the scheduler serves.
type loadReplay struct {
	t     *testing.T
	began time.Time
	now   time.Time
	s     *Scheduler
	rng   *rand.Rand
	// queue is where the jobs go; workers holds the workers by ID.
	workers map[string]*replayWorker
	rows    storedRows
	version int64
	// storeDown makes transactions fail, certainly without effect.
	storeDown bool
	wakeAt    time.Time
	calls     map[uint64]string
	jobs      map[string]*replayJob
	// reports counts the decisions by name.
	reports map[string]int
	// effects takes the effects as text, unless it is nil.
	effects io.Writer
	// due holds what callers and workers do later.
	due []replayAction
}

type replayAction struct {
	at time.Time
	do func()
}

// replayWorker is a worker that runs each task for as long as the step declares.
type replayWorker struct {
	info     beryllatch.WorkerInfo
	running  map[beryllatch.RunningEntry]bool
	finished []beryllatch.FinishedEntry
	number   int64
	// held is the hold that waits for an end.
	held *HoldWorker
}

// replayJob is a job as its caller sees it.
type replayJob struct {
	job       beryllatch.Job
	submitted time.Time
	refusals  int
	accepted  bool
	doneAt    time.Time
	started   bool
}

const replayStep = 10 * time.Millisecond

// newLoadReplay returns a replay with replayWorkers of 16 cores in the pool of the queue q and teams with the given weights, in hundreds: a
// weight is also the rate of jobs up to which a team counts as within its share, and no team of the replays reaches that.
func newLoadReplay(t *testing.T, weights map[string]float64) *loadReplay {
	t.Helper()
	r := &loadReplay{
		t: t, began: time.Unix(1_800_000_000, 0), workers: make(map[string]*replayWorker), rows: make(storedRows), version: 100,
		calls: make(map[uint64]string), jobs: make(map[string]*replayJob), reports: make(map[string]int), rng: rand.New(rand.NewPCG(1, 2)),
	}
	r.now = r.began
	d := *testDeployment()
	d.Teams = make(map[string]beryllatch.JobTeam)
	for name, w := range weights {
		d.Teams[name] = beryllatch.JobTeam{Name: name, Weight: 100 * w}
	}
	for i := range replayWorkers {
		id := fmt.Sprintf("w%03d", i)
		r.workers[id] = &replayWorker{info: workerInfo(id), running: make(map[beryllatch.RunningEntry]bool)}
	}
	r.begin(1, d.WithIndex())
	return r
}

// begin starts a scheduling node of the given epoch with what is stored.
func (r *loadReplay) begin(epoch int64, d *beryllatch.Deployment) {
	r.s = testScheduler(epoch, 7)
	r.wakeAt = time.Time{}
	for _, w := range r.workers {
		w.held = nil
	}
	r.apply(Recovered{Jobs: r.rows.table(JobsTable), Progress: r.rows.table(ProgressTable), Workers: r.rows.table(WorkersTable)})
	r.apply(DeploymentChanged{d})
	var infos []beryllatch.WorkerInfo
	for _, id := range slices.Sorted(maps.Keys(r.workers)) {
		infos = append(infos, r.workers[id].info)
	}
	r.apply(RegistryRead{Workers: infos})
}

func (r *loadReplay) after(d time.Duration, do func()) {
	r.due = append(r.due, replayAction{r.now.Add(d), do})
}

// run plays until the given time after the beginning; arrive is called once a step.
func (r *loadReplay) run(until time.Duration, arrive func(at time.Duration)) {
	for ; r.now.Before(r.began.Add(until)); r.now = r.now.Add(replayStep) {
		at := r.now.Sub(r.began)
		if arrive != nil {
			arrive(at)
		}
		due := r.due
		r.due = nil
		for _, a := range due {
			if a.at.After(r.now) {
				r.due = append(r.due, a)
			} else {
				a.do()
			}
		}
		if at%(100*time.Millisecond) == 0 {
			r.apply(Ticked{PeersAt: r.now})
		}
		if !r.wakeAt.IsZero() && !r.now.Before(r.wakeAt) {
			r.wakeAt = time.Time{}
			r.apply(Woken{})
		}
	}
}

// submit submits jobs of the team at a rate per second for one step. Each has two steps of four tasks that need two cores for half a
// second: eight core-seconds, to be done within 2.2 s.
func (r *loadReplay) submit(team string, perSecond float64) {
	r.submitJobs(team, perSecond, 4)
}

func (r *loadReplay) submitJobs(team string, perSecond float64, tasks int) {
	for n := perSecond * replayStep.Seconds(); n > 0; n-- {
		if n < 1 && r.rng.Float64() >= n {
			return
		}
		step := beryllatch.JobStep{Count: tasks, Needs: beryllatch.Resources{CPUMilli: 2000, MemoryMB: 100}, Estimate: 500 * time.Millisecond}
		second := step
		second.After = []int{0}
		j := beryllatch.Job{ID: fmt.Sprintf("%016x", len(r.jobs)), Queue: "q", Team: team, Payload: "x", Steps: []beryllatch.JobStep{step, second}}
		r.jobs[j.ID] = &replayJob{job: j, submitted: r.now}
		r.send(j.ID)
	}
}

func (r *loadReplay) send(id string) {
	call := uint64(len(r.calls) + 1)
	r.calls[call] = id
	r.apply(JobSubmitted{Call: call, Job: r.jobs[id].job})
}

func (r *loadReplay) apply(e Event) {
	r.t.Helper()
	effects := append([]Effect(nil), r.s.Apply(r.now, e)...)
	for _, f := range effects {
		if r.effects != nil {
			_, err := fmt.Fprintf(r.effects, "%s %T %+v\n", r.now, f, f)
			assert.NilError(r.t, err)
		}
		r.carryOut(r.s, f)
	}
}

// carryOut carries out an effect of the scheduler s; what it causes later is dropped once another node schedules.
func (r *loadReplay) carryOut(s *Scheduler, f Effect) {
	later := func(d time.Duration, e func() Event) {
		r.after(d, func() {
			if r.s == s {
				r.apply(e())
			}
		})
	}
	switch f := f.(type) {
	case CommitRows:
		later(replayStep, func() Event {
			if r.storeDown {
				return Committed{Batch: f.Batch, Err: &beryllatch.UnavailableError{Err: errors.New("the store is down")}}
			}
			r.version++
			r.rows.apply(f.Transaction, r.version)
			return Committed{Batch: f.Batch, Version: r.version}
		})
	case StartRun:
		r.start(f)
		later(0, func() Event {
			return StartEnded{Worker: f.Worker.ID, Fence: f.Order.Fence, Task: f.Order.Task, Run: f.Order.Run, Clock: r.clock()}
		})
	case HoldWorker:
		w := r.workers[f.Worker.ID]
		if ended := len(w.finished) > 0 && w.number > f.Order.Acknowledge; f.Order.Wait > 0 && !f.Probe && !ended {
			w.held = &f
			r.after(f.Order.Wait, func() { r.answerHold(w, &f) })
			return
		}
		later(0, func() Event { return r.lists(w, f) })
	case AnswerCall:
		r.answer(r.jobs[r.calls[f.Call]], f.Err)
	case WakeAfter:
		r.wakeAt = r.now.Add(f.Wait)
	case ConfirmEpoch:
		later(0, func() Event { return EpochConfirmed{Current: true} })
	case Decision:
		r.reports[f.Name]++
		if j := r.jobs[f.Job]; f.Name == "job_done" {
			j.doneAt = r.now
		}
	}
}

func (r *loadReplay) start(f StartRun) {
	w := r.workers[f.Worker.ID]
	key, err := beryllatch.ParseTaskKey(f.Order.Task)
	assert.NilError(r.t, err)
	j := r.jobs[key.Job]
	assert.Assert(r.t, j.accepted || j.refusals == 0, "job %s runs although it was refused", key.Job)
	j.started = true
	run := beryllatch.RunningEntry{Task: f.Order.Task, Run: f.Order.Run}
	w.running[run] = true
	r.after(j.job.Steps[key.Step].Estimate, func() {
		delete(w.running, run)
		w.number++
		w.finished = append(w.finished, beryllatch.FinishedEntry{Number: w.number, Task: f.Order.Task, Run: f.Order.Run, Outcome: beryllatch.RunDone})
		if w.held != nil {
			r.answerHold(w, w.held)
		}
	})
}

func (r *loadReplay) answerHold(w *replayWorker, f *HoldWorker) {
	if w.held == f {
		w.held = nil
		r.apply(r.lists(w, *f))
	}
}

func (r *loadReplay) lists(w *replayWorker, f HoldWorker) Event {
	for len(w.finished) > 0 && w.finished[0].Number <= f.Order.Acknowledge {
		w.finished = w.finished[1:]
	}
	lists := beryllatch.WorkerLists{Clock: r.clock(), Incarnation: 1, Finished: append([]beryllatch.FinishedEntry(nil), w.finished...)}
	lists.Running = slices.SortedFunc(maps.Keys(w.running), func(a, b beryllatch.RunningEntry) int { return strings.Compare(a.Task, b.Task) })
	return WorkerHeld{Worker: f.Worker.ID, Fence: f.Order.Fence, Acknowledge: f.Order.Acknowledge, Sent: r.now, Probe: f.Probe, Lists: lists}
}

func (r *loadReplay) clock() time.Duration { return r.now.Sub(r.began) + time.Hour }

// answer gives a caller its answer; a refused one returns as often as callers do, when it is told to.
func (r *loadReplay) answer(j *replayJob, err error) {
	var refusal *beryllatch.Refusal
	switch {
	case err == nil:
		j.accepted = true
	case errors.As(err, &refusal):
		assert.Equal(r.t, refusal.RunState, beryllatch.RunStateNotRun)
		assert.Assert(r.t, refusal.RetryAfter >= time.Second, "refused without a retry time")
		assert.Assert(r.t, !j.started, "a job that has started is refused as not run")
		if j.refusals++; j.refusals <= 4 {
			r.after(refusal.RetryAfter, func() { r.send(j.job.ID) })
		}
	default:
		r.t.Fatal(err)
	}
}

// served counts the jobs of a team that were submitted in a time, and those of them that were done in time, late but of use, or
// accepted without being of use.
type served struct{ jobs, inTime, late, useless, refused int }

func (v served) share() float64 { return float64(v.inTime) / float64(max(v.jobs, 1)) }

func (r *loadReplay) count(team string, from, to time.Duration) served {
	var v served
	for _, j := range r.jobs {
		if at := j.submitted.Sub(r.began); team != "" && j.job.Team != team || at < from || at >= to {
			continue
		}
		v.jobs++
		switch took := j.doneAt.Sub(j.submitted); {
		case !j.accepted && j.refusals > 0:
			v.refused++
		case j.doneAt.IsZero() || took > 3*replayTarget:
			v.useless++
		case took > replayTarget:
			v.late++
		default:
			v.inTime++
		}
	}
	return v
}

// replayTarget is the target of the replayed jobs by testDeployment: 1.6 times a second, and 0.6 s.
const replayTarget = 2200 * time.Millisecond

// The replayed fleet of 20 workers with 16 cores serves 40 jobs a second at most.
const (
	replayWorkers = 20
	fullRate      = 40.0
)

// Guards against a team that sends 14 times its usual and takes the service of the others, whatever its weight: they send up to a
// little more than half of their share.
func TestHotTeamLeavesOthersTheirService(t *testing.T) {
	for _, weight := range []float64{1.5, 4} {
		r := newLoadReplay(t, map[string]float64{"hot": weight, "a": 1, "b": 1, "c": 1})
		r.run(16*time.Second, func(at time.Duration) {
			for _, team := range []string{"a", "b", "c"} {
				r.submit(team, 0.08*fullRate)
			}
			if at >= 2*time.Second && at < 8*time.Second {
				r.submit("hot", 14*0.12*fullRate)
			}
		})
		for _, team := range []string{"a", "b", "c"} {
			v := r.count(team, 0, 9*time.Second)
			assert.Assert(t, v.share() >= 0.9, "weight %g: team %s: %+v", weight, team, v)
		}
		hot := r.count("hot", 3*time.Second, 7*time.Second)
		assert.Assert(t, hot.useless*10 <= hot.jobs, "accepted without use: %+v", hot)
	}
}

// Guards against the collapse in which all jobs start at the last moment and none is done in time, and against teams that get less
// than their part of a full fleet: all teams send three times their part.
func TestAllTeamsHotAreServedByWeight(t *testing.T) {
	weights := map[string]float64{"a": 1, "b": 1, "c": 2}
	r := newLoadReplay(t, weights)
	r.run(14*time.Second, func(at time.Duration) {
		if at < 10*time.Second {
			for _, team := range []string{"a", "b", "c"} {
				r.submit(team, 3*fullRate*weights[team]/4)
			}
		}
	})
	const from, to = 3 * time.Second, 9 * time.Second
	all := r.count("", from, to)
	assert.Assert(t, float64(all.inTime) >= 0.6*fullRate*(to-from).Seconds(), "%+v", all)
	assert.Assert(t, all.useless*10 <= all.jobs, "accepted without use: %+v", all)
	for team, w := range weights {
		v := r.count(team, from, to)
		part := float64(v.inTime) / float64(all.inTime)
		assert.Assert(t, part >= 0.75*w/4 && part <= 1.25*w/4, "team %s has %.2f of what is done in time, and should have %.2f", team, part, w/4)
	}
}

// Guards against a turn of five times the mean demand in which nobody is served in time, and against jobs that are accepted although
// their results are of no use.
func TestTurnAboveCapacityIsServedAtCapacity(t *testing.T) {
	r := newLoadReplay(t, map[string]float64{"a": 1, "b": 1})
	r.run(14*time.Second, func(at time.Duration) {
		rate := 0.05 * fullRate
		if at >= 3*time.Second && at < 7*time.Second {
			rate = 2 * fullRate
		}
		r.submit("a", rate/2)
		r.submit("b", rate/2)
	})
	v := r.count("", 3*time.Second, 7*time.Second)
	assert.Assert(t, float64(v.inTime) >= 0.6*fullRate*4, "%+v", v)
	assert.Assert(t, v.useless*10 <= v.jobs, "accepted without use: %+v", v)
	quiet := r.count("", 9*time.Second, 11*time.Second)
	assert.Equal(t, quiet.inTime, quiet.jobs, "after the turn: %+v", quiet)
}

// Guards against a store's outage that is followed by a wave of returning callers in which those submitted after it are late too.
func TestCallersAreServedAfterAnOutage(t *testing.T) {
	r := newLoadReplay(t, map[string]float64{"a": 1, "b": 1})
	r.run(16*time.Second, func(at time.Duration) {
		r.storeDown = at >= 4*time.Second && at < 7*time.Second
		rate := 0.4 * fullRate
		if at >= 3*time.Second && at < 4*time.Second {
			rate = fullRate
		}
		if at < 12*time.Second {
			r.submit("a", rate/2)
			r.submit("b", rate/2)
		}
	})
	before := r.count("", 0, 3*time.Second)
	assert.Assert(t, before.share() >= 0.9, "before: %+v", before)
	returned := r.count("", 5500*time.Millisecond, 7*time.Second)
	assert.Assert(t, returned.inTime+returned.late >= returned.jobs*9/10, "refused in the last part of the outage: %+v", returned)
	after := r.count("", 8*time.Second, 12*time.Second)
	assert.Assert(t, after.share() >= 0.9, "after: %+v", after)
}

// Guards against a takeover after which the hot team's backlog comes before the others' work: shares are rebuilt from what is stored.
func TestSharesHoldAfterATakeover(t *testing.T) {
	r := newLoadReplay(t, map[string]float64{"hot": 1, "a": 1, "b": 1})
	load := func(at time.Duration) {
		r.submit("a", 0.1*fullRate)
		r.submit("b", 0.1*fullRate)
		if at >= time.Second && at < 10*time.Second {
			r.submit("hot", 2*fullRate)
		}
	}
	r.run(5*time.Second, load)
	d := r.s.deployment
	r.begin(2, d)
	r.run(15*time.Second, load)
	for _, team := range []string{"a", "b"} {
		v := r.count(team, 6*time.Second, 12*time.Second)
		assert.Assert(t, v.share() >= 0.9, "team %s: %+v", team, v)
	}
}

// Guards against a job that never starts since it needs more at once than its team's share.
func TestJobWiderThanItsTeamsShareRuns(t *testing.T) {
	r := newLoadReplay(t, map[string]float64{"wide": 1, "a": 9, "b": 9})
	r.run(12*time.Second, func(at time.Duration) {
		r.submit("a", 0.6*fullRate)
		r.submit("b", 0.6*fullRate)
		if at == 2*time.Second {
			// 32 of 160 places, where the share is a nineteenth.
			r.submitJobs("wide", 1/replayStep.Seconds(), 32)
		}
	})
	v := r.count("wide", 0, 12*time.Second)
	assert.Equal(t, v.jobs, 1)
	assert.Equal(t, v.inTime+v.late, 1, "%+v", v)
}

// Guards against late work that waits for ever behind work in time.
func TestLateWorkIsNotStarved(t *testing.T) {
	r := newLoadReplay(t, map[string]float64{"a": 1, "b": 1})
	r.run(45*time.Second, func(at time.Duration) {
		if at < 40*time.Second {
			r.submit("a", fullRate)
			r.submit("b", fullRate)
		}
	})
	for id, j := range r.jobs {
		if j.accepted && j.submitted.Before(r.began.Add(10*time.Second)) {
			assert.Assert(t, !j.doneAt.IsZero(), "job %s, accepted in the first 10 s, isn't done after 45 s", id)
		}
	}
}

// Guards against decisions that depend on the random order of a map: a session could not be replayed.
func TestSameLoadGetsSameDecisions(t *testing.T) {
	play := func() []byte {
		r := newLoadReplay(t, map[string]float64{"a": 1, "b": 2, "c": 3, "without": 0})
		h := sha256.New()
		r.effects = h
		r.run(6*time.Second, func(at time.Duration) {
			r.storeDown = at >= 4*time.Second
			for _, team := range []string{"a", "b", "c", "without"} {
				r.submit(team, 0.6*fullRate)
			}
		})
		return h.Sum(nil)
	}
	first := play()
	for range 4 {
		assert.DeepEqual(t, play(), first)
	}
}

// Guards against a late task that takes most of a worker and finds no room for ever, as the room that small tasks leave goes to others.
func TestLateLargeTaskIsNotStarved(t *testing.T) {
	r := newLoadReplay(t, map[string]float64{"a": 1, "b": 1, "large": 1})
	large := beryllatch.Job{ID: "00000000000fffff", Queue: "q", Team: "large", Payload: "x", Steps: []beryllatch.JobStep{{
		Count: 1, Needs: beryllatch.Resources{CPUMilli: 12000, MemoryMB: 100}, Estimate: 500 * time.Millisecond,
	}}}
	r.run(40*time.Second, func(at time.Duration) {
		r.submit("a", fullRate)
		r.submit("b", fullRate)
		if at == 5*time.Second {
			r.jobs[large.ID] = &replayJob{job: large, submitted: r.now}
			r.send(large.ID)
		}
	})
	assert.Assert(t, r.jobs[large.ID].accepted)
	assert.Assert(t, !r.jobs[large.ID].doneAt.IsZero(), "the job isn't done after 35 s")
}

// Guards against refusals, deferral and shares in a deployment without weights, which is served as before.
func TestWithoutWeightsNothingIsRefusedForLoad(t *testing.T) {
	r := newLoadReplay(t, map[string]float64{"a": 0, "b": 0})
	r.run(8*time.Second, func(time.Duration) {
		r.submit("a", 2*fullRate)
		r.submit("b", 2*fullRate)
	})
	v := r.count("", 0, 8*time.Second)
	assert.Equal(t, v.refused, 0, "%+v", v)
	assert.Equal(t, len(r.s.backlogs), 0)
}

// Guards against an overload that operators can't see: which pool, since when, and whose work is above its share.
func TestOverloadIsReported(t *testing.T) {
	r := newLoadReplay(t, map[string]float64{"hot": 1, "a": 1})
	r.run(5*time.Second, func(time.Duration) {
		r.submit("a", 0.1*fullRate)
		r.submit("hot", 2*fullRate)
	})
	// One report a second from the first tick at which the load is above the capacity.
	assert.Assert(t, r.reports["pool_overloaded"] >= 3 && r.reports["pool_overloaded"] <= 5, "%v", r.reports)
	assert.Assert(t, r.reports["teams_above_share"] >= 3 && r.reports["teams_above_share"] <= 5, "%v", r.reports)
	quiet := newLoadReplay(t, map[string]float64{"a": 1})
	quiet.run(3*time.Second, func(time.Duration) { quiet.submit("a", 0.3*fullRate) })
	assert.Equal(t, quiet.reports["pool_overloaded"]+quiet.reports["teams_above_share"], 0)
}
