package beryljobs

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylscheduler"
)

const (
	// noSchedulerRetry is the retry time in refusals while no node schedules, in deployments without weights; a takeover takes up to 2 s.
	noSchedulerRetry = 2 * time.Second
	// noSchedulerWait is how long a call waits for a scheduling node before it is refused.
	noSchedulerWait = 1200 * time.Millisecond
	// retryPause is the pause between the attempts of a call.
	retryPause = 100 * time.Millisecond
)

func noScheduler(detail string) error {
	return &beryllatch.Refusal{
		Reason: beryllatch.ReasonNoScheduler, RunState: beryllatch.RunStateNotRun, RetryAfter: noSchedulerRetry, Detail: detail,
	}
}

// retry repeats a call while its outcome is unknown, or while no node schedules, as a takeover may be under way. The
// job's ID makes a repeated call harmless. After an attempt of unknown outcome, only a scheduling node can confirm that
// nothing was done. From then on the call is not refused as not run just because no node schedules.
func (n *Node) retry(ctx context.Context, call func() error) error {
	began := time.Now()
	var unknown error
	for {
		err := call()
		var f *beryllatch.Refusal
		if !errors.As(err, &f) {
			return err
		}
		noNode := f.Reason == beryllatch.ReasonNoScheduler
		if f.RunState == beryllatch.RunStateUnknown {
			unknown = err
		} else if !noNode {
			return err
		}
		if unknown == nil && time.Since(began) >= noSchedulerWait {
			return err
		}
		if !pause(ctx, retryPause) {
			if unknown != nil {
				return unknown
			}
			return err
		}
		n.Metrics.Count("retried."+string(f.Reason), 1)
	}
}

// localSession returns this node's session, or nil while it does not schedule.
func (n *Node) localSession() *session {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.session
}

// remoteNode returns the scheduling node. The result is false if this node schedules itself or if no node is known to
// schedule.
func (n *Node) remoteNode() (schedulingNode, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.schedulingNode, n.schedulingNode.Epoch > 0 && n.schedulingNode.Incarnation != n.incarnation && !n.schedulingNode.Released
}

// Submit implements beryllatch.JobService.
func (n *Node) Submit(ctx context.Context, j beryllatch.Job) error {
	start := time.Now()
	err := n.planRetry(n.retry(ctx, func() error { return n.submit(ctx, j) }))
	n.Metrics.Time("calls.submit", time.Since(start))
	n.Log.Call("submit", j.Queue, j.ID, j.Team, time.Since(start), err)
	return err
}

func (n *Node) submit(ctx context.Context, j beryllatch.Job) error {
	if s := n.localSession(); s != nil {
		return s.submit(ctx, j)
	}
	sn, ok := n.remoteNode()
	if !ok {
		return noScheduler("no node schedules at the moment")
	}
	return n.submitRemote(ctx, sn, j)
}

func (s *session) submit(ctx context.Context, j beryllatch.Job) error {
	return s.applyAndWait(ctx, func(call uint64) berylscheduler.Event { return berylscheduler.JobSubmitted{Call: call, Job: j} })
}

// JobState implements beryllatch.JobService.
func (n *Node) JobState(ctx context.Context, queue, id string) (beryllatch.JobState, error) {
	start := time.Now()
	state, err := n.jobState(ctx, queue, id)
	err = n.planRetry(err)
	n.Metrics.Time("calls.state", time.Since(start))
	if err != nil {
		n.Log.Call("state", queue, id, "", time.Since(start), err)
	}
	return state, err
}

func (n *Node) jobState(ctx context.Context, queue, id string) (beryllatch.JobState, error) {
	if s := n.localSession(); s != nil {
		return n.localState(ctx, s, id)
	}
	if sn, ok := n.remoteNode(); ok {
		state, answered, err := n.stateRemote(ctx, sn, queue, id)
		if answered {
			return state, err
		}
	}
	return n.storedState(ctx, id)
}

// localState returns the state of a job on the scheduling node. A job that it does not know is looked up in the store:
// a node that was paused may have been replaced without knowing, and its successor may have accepted the job.
func (n *Node) localState(ctx context.Context, s *session, id string) (beryllatch.JobState, error) {
	if state, ok := s.state(id); ok {
		return state, nil
	}
	return n.storedState(ctx, id)
}

func (s *session) state(id string) (beryllatch.JobState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.JobState(id)
}

// storedState reads the state of a job from its rows, without a scheduling node.
func (n *Node) storedState(ctx context.Context, id string) (beryllatch.JobState, error) {
	progress, err := n.rows().Row(ctx, berylscheduler.ProgressTable, berylscheduler.Part, id)
	if err != nil {
		return "", noScheduler(err.Error())
	}
	if progress.Version > 0 {
		var row struct {
			State beryllatch.JobState `json:"state"`
		}
		if err := json.Unmarshal(progress.Value, &row); err != nil {
			return "", noScheduler(err.Error())
		}
		if row.State.Final() {
			return row.State, nil
		}
		return beryllatch.JobRunning, nil
	}
	job, err := n.rows().Row(ctx, berylscheduler.JobsTable, berylscheduler.Part, id)
	if err != nil {
		return "", noScheduler(err.Error())
	}
	if job.Version > 0 {
		return beryllatch.JobQueued, nil
	}
	// The job's row may have been replaced by a progress row between the two reads.
	progress, err = n.rows().Row(ctx, berylscheduler.ProgressTable, berylscheduler.Part, id)
	if err != nil || progress.Version > 0 {
		return "", noScheduler("the state of the job has just changed")
	}
	return "", &beryllatch.UnknownJobError{ID: id}
}

// Cancel implements beryllatch.JobService.
func (n *Node) Cancel(ctx context.Context, queue, id string) error {
	start := time.Now()
	err := n.planRetry(n.retry(ctx, func() error { return n.cancel(ctx, queue, id) }))
	n.Metrics.Time("calls.cancel", time.Since(start))
	n.Log.Call("cancel", queue, id, "", time.Since(start), err)
	return err
}

func (n *Node) cancel(ctx context.Context, queue, id string) error {
	if s := n.localSession(); s != nil {
		return n.localCancel(ctx, s, id)
	}
	sn, ok := n.remoteNode()
	if !ok {
		return noScheduler("no node schedules at the moment")
	}
	return n.cancelRemote(ctx, sn, queue, id)
}

// localCancel cancels a job on the scheduling node. A job that it does not know is looked up in the store, as in
// localState.
func (n *Node) localCancel(ctx context.Context, s *session, id string) error {
	err := s.cancel(ctx, id)
	var unknown *beryllatch.UnknownJobError
	if !errors.As(err, &unknown) {
		return err
	}
	if _, err := n.storedState(ctx, id); err != nil {
		return err
	}
	return noScheduler("the job is stored, but not known to this node")
}

func (s *session) cancel(ctx context.Context, id string) error {
	return s.applyAndWait(ctx, func(call uint64) berylscheduler.Event { return berylscheduler.CancelRequested{Call: call, ID: id} })
}

// Pending implements beryllatch.JobService.
func (n *Node) Pending(ctx context.Context, queue string) (int, error) {
	pending, err := n.countPending(ctx, queue)
	return pending, n.planRetry(err)
}

func (n *Node) countPending(ctx context.Context, queue string) (int, error) {
	if s := n.localSession(); s != nil {
		return s.pending(queue), nil
	}
	sn, ok := n.remoteNode()
	if !ok {
		return 0, noScheduler("no node schedules at the moment")
	}
	return n.pendingRemote(ctx, sn, queue)
}

func (s *session) pending(queue string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Pending(queue)
}
