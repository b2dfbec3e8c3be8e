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
	// holderRetry is when callers may come back while no node schedules; a takeover takes up to 2 s.
	holderRetry = 2 * time.Second
	// holderWait is how long a call waits for a node that schedules before it is refused.
	holderWait = 1200 * time.Millisecond
	// againPause spaces the tries of a call.
	againPause = 100 * time.Millisecond
)

func noHolder(detail string) error {
	return &beryllatch.Refusal{
		Reason: beryllatch.ReasonNoScheduler, RunState: beryllatch.RunStateNotRun, RetryAfter: holderRetry, Detail: detail,
	}
}

// again repeats a call while its outcome is open, or while no node schedules and one is about to take over. A job's ID makes
// the repeats harmless. Once a try was open, only a node that schedules can tell that nothing was done.
func (n *Node) again(ctx context.Context, call func() error) error {
	began := time.Now()
	var unsettled error
	for {
		err := call()
		var f *beryllatch.Refusal
		if !errors.As(err, &f) {
			return err
		}
		absent := f.Reason == beryllatch.ReasonNoScheduler
		if f.RunState == beryllatch.RunStateUnknown {
			unsettled = err
		} else if !absent {
			return err
		}
		if unsettled == nil && time.Since(began) >= holderWait {
			return err
		}
		if !pause(ctx, againPause) {
			if unsettled != nil {
				return unsettled
			}
			return err
		}
		n.Metrics.Count("retried."+string(f.Reason), 1)
	}
}

// local returns this node's session, or nil.
func (n *Node) local() *session {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.session
}

// remote returns the holder, and false if none is known to schedule.
func (n *Node) remote() (holder, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holder, n.holder.Epoch > 0 && n.holder.Incarnation != n.incarnation && !n.holder.Released
}

// Submit implements beryllatch.JobService.
func (n *Node) Submit(ctx context.Context, j beryllatch.Job) error {
	start := time.Now()
	err := n.again(ctx, func() error { return n.submit(ctx, j) })
	n.Metrics.Time("calls.submit", time.Since(start))
	n.Log.Call("submit", j.Queue, j.ID, j.Team, time.Since(start), err)
	return err
}

func (n *Node) submit(ctx context.Context, j beryllatch.Job) error {
	if s := n.local(); s != nil {
		return s.submit(ctx, j)
	}
	h, ok := n.remote()
	if !ok {
		return noHolder("no node schedules at the moment")
	}
	return n.submitRemote(ctx, h, j)
}

func (s *session) submit(ctx context.Context, j beryllatch.Job) error {
	return s.ask(ctx, func(call uint64) berylscheduler.Event { return berylscheduler.JobSubmitted{Call: call, Job: j} })
}

// JobState implements beryllatch.JobService.
func (n *Node) JobState(ctx context.Context, queue, id string) (beryllatch.JobState, error) {
	start := time.Now()
	state, err := n.jobState(ctx, queue, id)
	n.Metrics.Time("calls.state", time.Since(start))
	if err != nil {
		n.Log.Call("state", queue, id, "", time.Since(start), err)
	}
	return state, err
}

func (n *Node) jobState(ctx context.Context, queue, id string) (beryllatch.JobState, error) {
	if s := n.local(); s != nil {
		return n.heldState(ctx, s, id)
	}
	if h, ok := n.remote(); ok {
		state, answered, err := n.stateRemote(ctx, h, queue, id)
		if answered {
			return state, err
		}
	}
	return n.storedState(ctx, id)
}

// heldState returns the state of a job at the holder. That a job is unknown is confirmed by the store: a node that was paused
// may have lost the duty without knowing, and its successor may have accepted the job.
func (n *Node) heldState(ctx context.Context, s *session, id string) (beryllatch.JobState, error) {
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

// storedState reads the state of a job from its rows, while no node schedules.
func (n *Node) storedState(ctx context.Context, id string) (beryllatch.JobState, error) {
	progress, err := n.rows().Row(ctx, berylscheduler.ProgressTable, berylscheduler.Part, id)
	if err != nil {
		return "", noHolder(err.Error())
	}
	if progress.Version > 0 {
		var row struct {
			State beryllatch.JobState `json:"state"`
		}
		if err := json.Unmarshal(progress.Value, &row); err != nil {
			return "", noHolder(err.Error())
		}
		if row.State.Final() {
			return row.State, nil
		}
		return beryllatch.JobRunning, nil
	}
	job, err := n.rows().Row(ctx, berylscheduler.JobsTable, berylscheduler.Part, id)
	if err != nil {
		return "", noHolder(err.Error())
	}
	if job.Version > 0 {
		return beryllatch.JobQueued, nil
	}
	// Its rows may have changed places between the two reads.
	progress, err = n.rows().Row(ctx, berylscheduler.ProgressTable, berylscheduler.Part, id)
	if err != nil || progress.Version > 0 {
		return "", noHolder("the state of the job has just changed")
	}
	return "", &beryllatch.UnknownJobError{ID: id}
}

// Cancel implements beryllatch.JobService.
func (n *Node) Cancel(ctx context.Context, queue, id string) error {
	start := time.Now()
	err := n.again(ctx, func() error { return n.cancel(ctx, queue, id) })
	n.Metrics.Time("calls.cancel", time.Since(start))
	n.Log.Call("cancel", queue, id, "", time.Since(start), err)
	return err
}

func (n *Node) cancel(ctx context.Context, queue, id string) error {
	if s := n.local(); s != nil {
		return n.heldCancel(ctx, s, id)
	}
	h, ok := n.remote()
	if !ok {
		return noHolder("no node schedules at the moment")
	}
	return n.cancelRemote(ctx, h, queue, id)
}

// heldCancel cancels a job at the holder; that a job is unknown is confirmed by the store, as in heldState.
func (n *Node) heldCancel(ctx context.Context, s *session, id string) error {
	err := s.cancel(ctx, id)
	var unknown *beryllatch.UnknownJobError
	if !errors.As(err, &unknown) {
		return err
	}
	if _, err := n.storedState(ctx, id); err != nil {
		return err
	}
	return noHolder("the job is stored, but not known to this node")
}

func (s *session) cancel(ctx context.Context, id string) error {
	return s.ask(ctx, func(call uint64) berylscheduler.Event { return berylscheduler.CancelRequested{Call: call, ID: id} })
}

// Pending implements beryllatch.JobService.
func (n *Node) Pending(ctx context.Context, queue string) (int, error) {
	if s := n.local(); s != nil {
		return s.pending(queue), nil
	}
	h, ok := n.remote()
	if !ok {
		return 0, noHolder("no node schedules at the moment")
	}
	return n.pendingRemote(ctx, h, queue)
}

func (s *session) pending(queue string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Pending(queue)
}
