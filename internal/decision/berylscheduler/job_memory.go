package berylscheduler

import (
	"fmt"

	"github.com/beryllatch/beryllatch"
)

// Estimates of the memory that a job takes, in bytes. They are upper bounds.
const (
	// finishedJobBytes is what stays of a job until its state has been kept for long enough.
	finishedJobBytes = 1 << 10
	// unfinishedJobBytes is for the job itself, its rows and the changes that wait to be stored.
	unfinishedJobBytes = 2 << 10
	// stepBytes is for the description and the state of a step, dependencyBytes for each step that it waits for.
	stepBytes       = 768
	dependencyBytes = 16
	// taskBytes is for a task without runs, whose number the capacity of the workers bounds.
	taskBytes = 256
)

// jobMemory is the estimated memory of the accepted jobs; the zero value has none.
type jobMemory struct {
	total int64
	// teams holds the part of each team.
	teams map[string]int64
}

// add adds n bytes, which may be negative, for a job of the team.
func (m *jobMemory) add(team string, n int64) {
	if m.teams == nil {
		m.teams = make(map[string]int64)
	}
	m.total += n
	if m.teams[team] += n; m.teams[team] == 0 {
		delete(m.teams, team)
	}
}

// admits reports whether a team may have n more bytes. It may have as much as it leaves to others, so that no team can take all of it.
func (m *jobMemory) admits(limit int64, team string, n int64) bool {
	return limit <= 0 || m.teams[team]+n <= limit-m.total-n
}

// estimateMemory returns how many bytes an unfinished job takes at most.
func estimateMemory(j *beryllatch.Job) int64 {
	n := int64(unfinishedJobBytes + len(j.Payload))
	for i := range j.Steps {
		s := &j.Steps[i]
		n += int64(stepBytes + dependencyBytes*len(s.After) + len(s.RequiredLabel) + len(s.DataRack) + len(s.Image))
	}
	// Each task of a further occurrence may be that of a step of its own.
	tasks := taskCount(j)
	return n + int64(tasks)*taskBytes + int64(maxOpenTasks(j)-tasks)*(taskBytes+stepBytes)
}

// setMemory records how many bytes a job takes.
func (s *Scheduler) setMemory(j *job, n int64) {
	s.memory.add(j.Team, n-j.memory)
	j.memory = n
}

// memoryRefusal returns the refusal of a job for which there is no memory, or nil. The load that it answers is callers that submit large jobs
// faster than they end.
func (s *Scheduler) memoryRefusal(j *beryllatch.Job) *beryllatch.Refusal {
	n := estimateMemory(j)
	if s.memory.admits(s.Limits.JobBytes, j.Team, n) {
		return nil
	}
	return &beryllatch.Refusal{
		Reason: beryllatch.ReasonNoMemory, RunState: beryllatch.RunStateNotRun, RetryAfter: s.outageDelay(j),
		Detail: fmt.Sprintf("the job takes %d bytes; those of its client account take %d, and all jobs %d of %d",
			n, s.memory.teams[j.Team], s.memory.total, s.Limits.JobBytes),
	}
}

// trim frees what is not needed of a final job without runs. It is then as a node knows it that takes over after the job row was deleted.
func (s *Scheduler) trim(j *job) {
	j.Payload, j.Steps, j.steps, j.open = "", nil, nil, nil
	s.setMemory(j, finishedJobBytes)
}

// forget removes a job.
func (s *Scheduler) forget(j *job) {
	delete(s.jobs, j.ID)
	s.setMemory(j, 0)
}
