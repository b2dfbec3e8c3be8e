package berylreducer

import (
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	defaultTaskDeadline = 24 * time.Hour
	maxTaskDeadline     = 30 * 24 * time.Hour
	// maxTaskCalls bounds the simultaneous calls of the tasks API at a node; a submission holds up to 64 KB of payload.
	maxTaskCalls = 128
	// submissionWait bounds the attempts to find out whether a write without an answer has taken effect.
	submissionWait = 10 * time.Second
	callRetryPause = 500 * time.Millisecond
	// taskClaimState is the state and the body hash of an idempotency claim that belongs to a task.
	taskClaimState = "task"
)

// callStep is the stage of a call of the tasks API.
type callStep int

const (
	// callInFlight waits for the result of an effect.
	callInFlight callStep = iota
	callReceivingBody
	// callAwaitingRead waits for nextRead to repeat a read.
	callAwaitingRead
)

// taskCall is the state of a call of the tasks API, or of an operator's decision about a task, until it is answered.
type taskCall struct {
	id       string
	team     string
	step     callStep
	nextRead time.Duration
	// settleBy ends the attempts to find out whether a write has taken effect.
	settleBy time.Duration
	task     beryllatch.Task
	payload  []byte
	claim    TaskClaim
	// expectVersion is the version of the task's row that a cancellation or a decision replaces.
	expectVersion uint64
	// uncertain is true once a write without an answer may have taken effect.
	uncertain bool
	// query names the task of a caller's query or cancellation, or of an operator's decision; empty for a submission.
	query    TaskQueried
	attempts int
	// resolve is an operator's decision; nil for a caller's call.
	resolve *TaskResolveRequested
}

func (r *Reducer) taskSubmitted(e TaskSubmitted) {
	q, ok := r.config.Queues[e.Queue]
	if !r.admitCall(e.CallID) {
		return
	}
	if !ok {
		r.refuseTask(e.CallID, beryllatch.ReasonUnknownQueue, "no queue has this name")
		return
	}
	key, keyFound := r.keys[e.KeyHash]
	switch {
	case !keyFound && (e.KeyHash != "" || !q.Open):
		r.refuseTask(e.CallID, beryllatch.ReasonUnauthorized, "the key is missing, unknown or withdrawn")
	case q.Team != "" && q.Team != key.Team:
		r.refuseTask(e.CallID, beryllatch.ReasonForbiddenQueue, "the queue belongs to another team")
	case e.IdempotencyKey != "" && key.Team == "":
		r.refuseTask(e.CallID, beryllatch.ReasonBadRequest, "an idempotency key needs an API key")
	default:
		r.admitTask(e, q, key.Team)
	}
}

// admitCall refuses a call while the node is stopping, in outage mode, without a tenure or has too many calls.
func (r *Reducer) admitCall(id string) bool {
	switch {
	case r.refusesNew():
		r.refuseTask(id, beryllatch.ReasonNodeStopping, "the node is shutting down")
	case !r.mayClaim() && r.mayStart():
		r.refuseTask(id, beryllatch.ReasonPlatformUnavailable, "the platform cannot be reached")
	case !r.mayStart():
		r.refuseTask(id, beryllatch.ReasonNodeStale, "the node cannot prove that its configuration is up to date")
	case len(r.tasks.calls) >= maxTaskCalls:
		r.refuseTask(id, beryllatch.ReasonQueueFull, "too many calls wait at this node")
	default:
		return true
	}
	return false
}

func (r *Reducer) admitTask(e TaskSubmitted, q beryllatch.Queue, team string) {
	wait := taskDeadline(e, q)
	switch {
	case !r.poolHasWorkers(q.Pool):
		r.refuseTask(e.CallID, beryllatch.ReasonNoCapacity, "the queue's pool has no instances")
		return
	case wait < r.tasks.runTime[q.Name]:
		r.refuseTask(e.CallID, beryllatch.ReasonDeadline, "tasks of this queue run longer than the time to the deadline")
		return
	}
	c := &taskCall{id: e.CallID, team: team, step: callReceivingBody, task: beryllatch.Task{
		ID: e.TaskID, Team: team, Queue: e.Queue, State: beryllatch.TaskQueued, Idempotent: e.Idempotent,
		Accepted: r.now.Wall, Deadline: r.now.Wall.Add(wait),
	}}
	if e.IdempotencyKey != "" {
		c.claim = TaskClaim{
			State: taskClaimState, BodyHash: taskClaimState, TaskID: e.TaskID, Queue: e.Queue, Key: e.IdempotencyKey,
		}
	}
	r.tasks.calls[c.id] = c
	r.emit(ReceivePayload{CallID: c.id, TaskID: e.TaskID})
}

func taskDeadline(e TaskSubmitted, q beryllatch.Queue) time.Duration {
	d := e.Deadline
	if d <= 0 {
		d = time.Duration(q.DeadlineMS) * time.Millisecond
	}
	if d <= 0 {
		d = defaultTaskDeadline
	}
	return min(d, maxTaskDeadline)
}

func (r *Reducer) poolHasWorkers(pool string) bool {
	for _, i := range r.config.Instances {
		if i.Pool == pool || i.MoveTo == pool {
			return true
		}
	}
	return false
}

func (r *Reducer) payloadReceived(e PayloadReceived) {
	c := r.tasks.calls[e.CallID]
	if c == nil || c.step != callReceivingBody {
		return
	}
	c.payload = e.Payload
	c.task.PayloadRow = len(e.Payload) > 0
	c.task.PayloadObject = e.Object
	c.settleBy = r.now.Mono + submissionWait
	r.writeSubmission(c)
}

func (r *Reducer) payloadFailed(e PayloadFailed) {
	if c := r.tasks.calls[e.CallID]; c != nil && c.step == callReceivingBody {
		r.endCall(c, beryllatch.RunStateNotRun, e.Reason, "the body could not be received or stored")
	}
}

func (r *Reducer) writeSubmission(c *taskCall) {
	c.step = callInFlight
	r.emit(SubmitTask{CallID: c.id, Shard: ShardOf(c.task.ID), Task: c.task, Payload: c.payload, Claim: c.claim})
}

func (r *Reducer) readSubmission(c *taskCall) {
	c.step = callInFlight
	r.emit(ReadSubmission{
		CallID: c.id, Shard: ShardOf(c.task.ID), TaskID: c.task.ID, Team: c.team, ClaimKey: c.claim.Key,
	})
}

func (r *Reducer) submissionWritten(e SubmissionWritten) {
	c := r.tasks.calls[e.CallID]
	if c == nil {
		return
	}
	switch {
	case e.Result == WriteDone:
		r.acceptTask(c)
		if s := &r.tasks.shards[ShardOf(c.task.ID)]; r.owns(s) {
			r.loadTask(s, StoredTask{Task: c.task, Version: 1})
		}
		r.dispatchTasks()
	case e.Result == WriteFailed && !c.uncertain:
		r.endCall(c, beryllatch.RunStateNotRun, beryllatch.ReasonPlatformUnavailable, "the task could not be stored")
	case e.Result == WriteFailed:
		r.readLater(c)
	default:
		c.uncertain = c.uncertain || e.Result == WriteUnknown
		r.readSubmission(c)
	}
}

// submissionRead settles a submission after a conflict or a write without an answer.
func (r *Reducer) submissionRead(e SubmissionRead) {
	c := r.tasks.calls[e.CallID]
	if c == nil {
		return
	}
	switch {
	case e.Failed:
		r.readLater(c)
	case e.Claimed && (e.Claim.TaskID == "" || e.Claim.Queue != c.task.Queue):
		r.endCall(c, beryllatch.RunStateNotRun, beryllatch.ReasonKeyReused, "the idempotency key belongs to other work")
	case e.Claimed && e.Claim.TaskID != c.task.ID:
		delete(r.tasks.calls, c.id)
		r.count("task_repeated")
		r.emit(AnswerTask{CallID: c.id, Accepted: true, Task: beryllatch.Task{
			ID: e.Claim.TaskID, Team: c.team, Queue: c.task.Queue,
		}})
	case e.Found:
		r.acceptTask(c)
	case r.now.Mono >= c.settleBy:
		r.giveUpCall(c)
	default:
		// The write may be repeated, since its conditions fail if the earlier one has taken effect after all.
		r.writeSubmission(c)
	}
}

func (r *Reducer) readLater(c *taskCall) {
	if r.now.Mono >= c.settleBy {
		r.giveUpCall(c)
		return
	}
	c.step, c.nextRead = callAwaitingRead, r.now.Mono+callRetryPause
}

func (r *Reducer) giveUpCall(c *taskCall) {
	if c.resolve != nil {
		r.endResolve(c, ReasonTaskPlatform, false)
		return
	}
	state := beryllatch.RunStateNotRun
	if c.uncertain {
		state = beryllatch.RunStateUnknown
	}
	r.endCall(c, state, beryllatch.ReasonPlatformUnavailable, "the platform gave no clear answer in time")
}

// acceptTask answers a submission whose row is stored.
func (r *Reducer) acceptTask(c *taskCall) {
	delete(r.tasks.calls, c.id)
	r.count("task_accepted")
	r.emit(AnswerTask{CallID: c.id, Accepted: true, Task: c.task})
}

func (r *Reducer) tickCalls() {
	for _, id := range beryllatch.SortedKeys(r.tasks.calls) {
		c := r.tasks.calls[id]
		if c.step != callAwaitingRead || r.now.Mono < c.nextRead {
			continue
		}
		if c.query.CallID != "" {
			r.lookUp(c)
		} else {
			r.readSubmission(c)
		}
	}
}

func (r *Reducer) endCall(c *taskCall, state beryllatch.RunState, reason beryllatch.Reason, detail string) {
	delete(r.tasks.calls, c.id)
	r.answerRefusal(c.id, state, reason, detail)
}

func (r *Reducer) refuseTask(id string, reason beryllatch.Reason, detail string) {
	r.answerRefusal(id, beryllatch.RunStateNotRun, reason, detail)
}

func (r *Reducer) answerRefusal(id string, state beryllatch.RunState, reason beryllatch.Reason, detail string) {
	r.count("refusal." + string(reason))
	r.emit(RefuseTask{CallID: id, Refusal: beryllatch.Refusal{
		Reason: reason, RunState: state, RetryAfter: defaultRetryAfter, Detail: detail,
	}})
}
