package beryllatch

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Resources is an amount of compute capacity.
type Resources struct {
	// CPUMilli is the processor time in thousandths of a core.
	CPUMilli int `json:"cpu_milli,omitempty"`
	MemoryMB int `json:"memory_mb,omitempty"`
	// Accelerators counts whole devices.
	Accelerators int `json:"accelerators,omitempty"`
}

// Plus returns the sum of both amounts.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns the amount less o; a dimension may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns n times the amount.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPUMilli * n, r.MemoryMB * n, r.Accelerators * n}
}

// Fits reports whether the amount is within the limit in each dimension.
func (r Resources) Fits(limit Resources) bool {
	return r.CPUMilli <= limit.CPUMilli && r.MemoryMB <= limit.MemoryMB && r.Accelerators <= limit.Accelerators
}

// JobStep is a group of identical tasks of a job.
type JobStep struct {
	Count int       `json:"count"`
	Needs Resources `json:"needs"`
	// Estimate is the duration of a task as the caller declares it; it is often far from the real one.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the indexes of the earlier steps that must be done before this one starts.
	After       []int `json:"after,omitempty"`
	Checkpoints bool  `json:"checkpoints,omitempty"`
	// Gang is true if the tasks make progress only while all of them run; when one ends, all end.
	Gang bool `json:"gang,omitempty"`
	// SameRack is true if the tasks are slower when they are spread over several racks.
	SameRack bool `json:"same_rack,omitempty"`
	// RequiredLabel is a label that the worker must have.
	RequiredLabel string `json:"required_label,omitempty"`
	// DataRack is the rack that holds the data; tasks on other racks are slower.
	DataRack string `json:"data_rack,omitempty"`
	// MaxPerWorker is the maximum number of the step's tasks on one worker; 0 means no limit.
	MaxPerWorker int `json:"max_per_worker,omitempty"`
	// Speculative is true if several runs of one task may exist at the same time.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning is true if the tasks run until the job is cancelled.
	LongRunning bool `json:"long_running,omitempty"`
	// Image names the program that the tasks run; measurements of one task apply to others with the same image.
	Image string `json:"image,omitempty"`
	// TailTarget is the upper limit for the response-time tail of a task that serves requests; 0 for other tasks.
	TailTarget time.Duration `json:"tail_target,omitempty"`
	// Filler is true if the tasks use only processor time that other runs leave idle. That time is not deducted from
	// the worker's capacity.
	Filler bool `json:"filler,omitempty"`
	// MaxMissing is the maximum number of the step's long-running tasks that may be missing at the same time because of
	// planned stops: while that many are missing for any reason, no other one is stopped. 0 means no limit.
	MaxMissing int `json:"max_missing,omitempty"`
}

// ReservedCapacity returns the capacity that is reserved on the worker for a task of the step.
func (s *JobStep) ReservedCapacity() Resources {
	if !s.Filler {
		return s.Needs
	}
	return Resources{MemoryMB: s.Needs.MemoryMB, Accelerators: s.Needs.Accelerators}
}

// Job is work that a team submitted: steps of tasks, which run once or repeatedly.
type Job struct {
	ID      string    `json:"id"`
	Queue   string    `json:"queue"`
	Team    string    `json:"team"`
	Payload string    `json:"payload"`
	Steps   []JobStep `json:"steps"`
	// Repeat is the number of scheduled occurrences; 0 means that the job runs once, as soon as possible.
	Repeat   int           `json:"repeat,omitempty"`
	First    time.Time     `json:"first,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
	Accepted time.Time     `json:"accepted,omitzero"`
}

// The memory of what is listed in a job in bytes, with the lists that are outgrown while they become longer.
const (
	decodedStepBytes   = 512
	decodedNumberBytes = 32
)

// DecodedJobBytes returns how many bytes a job takes at most while it is decoded from JSON of which no more than maxSteps steps are
// decoded, and passed on.
func DecodedJobBytes(b []byte, maxSteps int) int64 {
	steps := min(bytes.Count(b, []byte("{")), maxSteps)
	return int64(4*len(b) + steps*decodedStepBytes + bytes.Count(b, []byte(","))*decodedNumberBytes)
}

// Occurrences returns the number of times that the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat) }

// TaskKey identifies one task of a job.
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

// Final reports whether the job is over and its state never changes again.
func (s JobState) Final() bool { return s == JobDone || s == JobFailed || s == JobCancelled }

// UnknownJobError reports a job that was never accepted, or that ended so long ago that its record was deleted.
type UnknownJobError struct{ ID string }

// Error names the job.
func (e *UnknownJobError) Error() string { return fmt.Sprintf("job %q is not known", e.ID) }

// JobService accepts jobs and reports their states.
//
// Its methods may return a *Refusal. Its RunState is RunStateNotRun only if it is certain that the job was not accepted.
type JobService interface {
	// Submit returns when the job is stored. A job whose ID is stored already is accepted without effect.
	Submit(ctx context.Context, j Job) error
	// JobState returns the state of a job, or *UnknownJobError.
	JobState(ctx context.Context, queue, id string) (JobState, error)
	// Cancel returns when the cancellation is stored, or *UnknownJobError.
	Cancel(ctx context.Context, queue, id string) error
	// Pending returns the number of accepted jobs of a queue of which no task has started.
	Pending(ctx context.Context, queue string) (int, error)
}
