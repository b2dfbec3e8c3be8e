package berylscheduler

import (
	"slices"
	"time"

	"github.com/beryllatch/beryllatch"
)

// job is an accepted job and its progress.
type job struct {
	beryllatch.Job
	state beryllatch.JobState
	// endedAt is when the job reached its final state.
	endedAt time.Time
	// recovered is true for jobs of an earlier epoch: they may have runs that this epoch does not know yet.
	recovered bool
	// queue holds the settings of the job's queue in the last configuration that had it, acceptedQueue those at its acceptance.
	queue, acceptedQueue beryllatch.JobQueue
	// movedPools holds the other pools than that of acceptedQueue in which runs may have been ordered, since the queue was moved;
	// movedPoolsChange is the change that added the last one.
	movedPools       []string
	movedPoolsChange uint64
	// acceptedCeiling is the ceiling of the job's team at its acceptance.
	acceptedCeiling beryllatch.Resources

	// steps holds the progress by step number, over all occurrences: the passes through all steps, of which a repeated job has several.
	steps []stepProgress
	// open holds the open steps, by occurrence and number.
	open []*stepState
	// rowIsFull is true while steps that have not started wait for room in the progress row.
	rowIsFull bool
	// due counts the occurrences that have become due.
	due int
	// begun is true once a worker has begun a task of the job: it has confirmed a start order, or listed a run or its end. An order that
	// was refused, or not answered, doesn't count.
	begun bool
	// heldBack is true if the stored rows of the job can't be read.
	heldBack bool
	// exceedsShare marks a job that was accepted when its team had used up its share.
	exceedsShare bool
	// firstSubmitted is when the job was first submitted, if it was refused at that time and isn't repeated.
	firstSubmitted time.Time
	// timing is that of the steps of a job that isn't repeated, kept for timingValidity.
	timing stepTiming
	// backlogAt is when the job was last counted in its pool's backlog.
	backlogAt time.Time
	// memory is what is counted for the job in the memory of all jobs.
	memory int64
	// bookedRuns counts the runs for which capacity is booked, including those that are being stopped.
	bookedRuns int

	rows jobRows
}

// task is one task of a step. It normally has one run at a time, a speculative task up to two.
type task struct {
	step  *stepState
	index int
	name  string
	done  bool
	// failedRuns holds the numbers of the failed runs.
	failedRuns []int
	checkpoint string
	runs       []*run
	// failedOn holds the workers on which a run of the task has failed or was too slow.
	failedOn []string
	// restarts counts the restarts by restartElsewhere.
	restarts int
	lastRun  int
	// notBefore delays the next run after a failure or a rejected start.
	notBefore time.Time
}

func (t *task) key() beryllatch.TaskKey {
	return beryllatch.TaskKey{Job: t.step.job.ID, Occurrence: t.step.occurrence, Step: t.step.number, Index: t.index}
}

// newJob returns a queued job without progress.
func newJob(j beryllatch.Job) *job {
	return &job{Job: j, state: beryllatch.JobQueued, steps: make([]stepProgress, len(j.Steps))}
}

// findTask returns the task with the given name, or nil.
func (s *Scheduler) findTask(name string) *task {
	k, err := beryllatch.ParseTaskKey(name)
	if err != nil {
		return nil
	}
	j := s.jobs[k.Job]
	if j == nil || k.Occurrence >= j.Occurrences() || k.Step >= len(j.Steps) || k.Index >= j.Steps[k.Step].Count {
		return nil
	}
	return j.step(stepKey{k.Occurrence, k.Step}, s.now).tasks[k.Index]
}

// finishTask marks a task as done, and ends the job if it was the last task.
func (s *Scheduler) finishTask(t *task) {
	st := t.step
	members := []*task{t}
	if st.spec.Gang {
		// A gang is done as soon as one of its members is.
		members = st.tasks
	}
	for _, m := range members {
		if m.done {
			continue
		}
		m.done = true
		st.tasksLeft--
		if len(m.runs) == 0 {
			st.tasksWaiting--
		}
		for _, r := range m.runs {
			if !st.spec.Gang {
				s.stop(r, "another copy is done")
			}
		}
	}
	j := st.job
	s.markChanged(j)
	if st.tasksLeft > 0 {
		return
	}
	j.finish(stepKey{st.occurrence, st.number})
	s.placementDue = true
	if j.isFinished() {
		s.endJob(j, beryllatch.JobDone, "")
		return
	}
	s.openSteps(j)
}

// endJob sets the final state of a job and stops its remaining runs.
func (s *Scheduler) endJob(j *job, state beryllatch.JobState, detail string) {
	if j.state.Final() {
		return
	}
	j.state, j.endedAt = state, s.now
	s.markChanged(j)
	for _, st := range j.open {
		for _, t := range st.tasks {
			for _, r := range t.runs {
				s.stop(r, "job is "+string(state))
			}
		}
	}
	s.removeActive(j)
	s.finished = append(s.finished, j)
	s.jobRowsToDelete = append(s.jobRowsToDelete, j)
	s.emit(Decision{Name: "job_" + string(state), Job: j.ID, Detail: detail, Age: s.now.Sub(j.Accepted)})
}

func (s *Scheduler) removeActive(j *job) {
	for i, o := range s.active {
		if o == j {
			s.active = append(s.active[:i], s.active[i+1:]...)
			return
		}
	}
}

// recordFailedRun counts run n as failed, once. It fails the job when the task has failed as often as its queue allows.
// Long-running tasks are restarted without limit.
func (s *Scheduler) recordFailedRun(t *task, w *worker, n int) {
	st := t.step
	failed := &t.failedRuns
	if st.spec.Gang {
		failed = &st.failedRuns
	}
	if slices.Contains(*failed, n) {
		return
	}
	t.failedOn = append(t.failedOn, w.info.ID)
	if st.spec.LongRunning {
		return
	}
	*failed = append(*failed, n)
	s.markChanged(st.job)
	if limit := st.job.queue.MaxAttempts; limit > 0 && len(*failed) >= limit {
		s.endJob(st.job, beryllatch.JobFailed, "no attempt is left for "+t.name)
	}
}

// JobState returns the state of a job as far as it is stored, and false for an unknown job.
func (s *Scheduler) JobState(id string) (beryllatch.JobState, bool) {
	j := s.jobs[id]
	if j == nil || !j.rows.jobStored {
		return "", false
	}
	if j.state.Final() && j.rows.finalStored {
		return j.state, true
	}
	if j.begun {
		return beryllatch.JobRunning, true
	}
	return beryllatch.JobQueued, true
}

// Pending counts the stored jobs of a queue of which no task has started.
func (s *Scheduler) Pending(queue string) int {
	n := 0
	for _, j := range s.active {
		if s.countsFor(j, queue) && !j.begun && j.rows.jobStored {
			n++
		}
	}
	return n
}

// expireJobs queues the deletion of what is stored of final jobs once their retention is over.
func (s *Scheduler) expireJobs() {
	for len(s.finished) > 0 {
		j := s.finished[0]
		if !j.rows.finalStored || s.now.Sub(j.endedAt) < s.Limits.JobRetention+retentionMargin {
			return
		}
		s.finished = s.finished[1:]
		j.rows.expired = true
		s.markChanged(j)
	}
}

// retentionMargin lengthens the retention for callers that count it from their last request for the job's state.
const retentionMargin = 10 * time.Second

// deleteJobRows queues the deletion of the job rows of final jobs that have no runs left. Until then a node that takes over
// needs them to know how much capacity the remaining runs use.
func (s *Scheduler) deleteJobRows() {
	s.unsyncedPools = s.findUnsyncedPools()
	s.jobRowsToDelete = slices.DeleteFunc(s.jobRowsToDelete, func(j *job) bool {
		if j.bookedRuns > 0 || !j.rows.finalStored || !s.jobSynced(j) {
			return false
		}
		if j.rows.jobVersion > 0 {
			s.markChanged(j)
		}
		s.trim(j)
		return true
	})
}
