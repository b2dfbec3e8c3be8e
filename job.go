package beryllatch

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Resources is an amount of capacity.
type Resources struct {
	// CPUMilli is in thousandths of a core.
	CPUMilli int `json:"cpu_milli,omitempty"`
	MemoryMB int `json:"memory_mb,omitempty"`
	// Accelerators counts whole devices.
	Accelerators int `json:"accelerators,omitempty"`
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns the difference.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns the n-fold amount.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPUMilli * n, r.MemoryMB * n, r.Accelerators * n}
}

// Fits reports whether the amount is within the limit in each dimension.
func (r Resources) Fits(limit Resources) bool {
	return r.CPUMilli <= limit.CPUMilli && r.MemoryMB <= limit.MemoryMB && r.Accelerators <= limit.Accelerators
}

// JobStep is a group of equal tasks of a job.
type JobStep struct {
	Count int       `json:"count"`
	Needs Resources `json:"needs"`
	// Estimate is the declared duration of a task; it is often far off.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the earlier steps that must be done first.
	After       []int `json:"after,omitempty"`
	Checkpoints bool  `json:"checkpoints,omitempty"`
	// Gang tasks work only while all of them are present, and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks are slower when they are spread over racks.
	SameRack bool `json:"same_rack,omitempty"`
	// RequiredLabel is a label that the worker must have.
	RequiredLabel string `json:"required_label,omitempty"`
	// DataRack is the rack that holds the data; tasks on other racks are slower.
	DataRack string `json:"data_rack,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int `json:"max_per_worker,omitempty"`
	// Speculative tasks may run in several copies at the same time.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"long_running,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TailTarget is the response time that a serving task must keep; 0 for others.
	TailTarget time.Duration `json:"tail_target,omitempty"`
	// Filler tasks use the processor time that others leave, outside the worker's capacity.
	Filler bool `json:"filler,omitempty"`
	// MaxMissing limits the long-running tasks that planned stops take away at the same time; 0 means no limit.
	MaxMissing int `json:"max_missing,omitempty"`
}

// ReservedCapacity returns the capacity that a task of the step takes on its worker.
func (s *JobStep) ReservedCapacity() Resources {
	if !s.Filler {
		return s.Needs
	}
	return Resources{MemoryMB: s.Needs.MemoryMB, Accelerators: s.Needs.Accelerators}
}

// Job is accepted work of a team: steps of tasks, run once or repeatedly.
type Job struct {
	ID      string    `json:"id"`
	Queue   string    `json:"queue"`
	Team    string    `json:"team"`
	Payload string    `json:"payload"`
	Steps   []JobStep `json:"steps"`
	// Repeat is the number of scheduled occurrences; 0 means a job that runs once, at once.
	Repeat   int           `json:"repeat,omitempty"`
	First    time.Time     `json:"first,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
	Accepted time.Time     `json:"accepted,omitzero"`
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat) }

// TaskKey names one task of a job.
type TaskKey struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the key as JOB.OCCURRENCE.STEP.INDEX.
func (k TaskKey) String() string {
	b := make([]byte, 0, len(k.Job)+12)
	b = append(b, k.Job...)
	for _, n := range [...]int{k.Occurrence, k.Step, k.Index} {
		b = strconv.AppendInt(append(b, '.'), int64(n), 10)
	}
	return string(b)
}

// ParseTaskKey parses JOB.OCCURRENCE.STEP.INDEX.
func ParseTaskKey(s string) (TaskKey, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskKey{}, fmt.Errorf("task name %q does not have four parts", s)
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskKey{}, fmt.Errorf("task name %q: %q is not a count", s, p)
		}
		n[i] = v
	}
	return TaskKey{parts[0], n[0], n[1], n[2]}, nil
}

// JobState is the state of a job as callers see it.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final reports whether the state never changes.
func (s JobState) Final() bool { return s == JobDone || s == JobFailed || s == JobCancelled }

// UnknownJobError reports a job that was never accepted, or that ended long ago.
type UnknownJobError struct{ ID string }

// Error names the job.
func (e *UnknownJobError) Error() string { return fmt.Sprintf("job %q is not known", e.ID) }

// JobService takes and answers for jobs.
//
// Its methods return a *Refusal whose RunState says whether a job was accepted: RunStateNotRun only if it surely was not.
type JobService interface {
	// Submit returns once the job is stored; a job with a known ID is accepted without effect.
	Submit(ctx context.Context, j Job) error
	// JobState returns the state of a job, or *UnknownJobError.
	JobState(ctx context.Context, queue, id string) (JobState, error)
	// Cancel returns once the cancellation is stored, or *UnknownJobError.
	Cancel(ctx context.Context, queue, id string) error
	// Pending counts the accepted jobs of a queue without a started task.
	Pending(ctx context.Context, queue string) (int, error)
}
