package beryllatch

import "time"

// Reason is the machine-readable reason of a refusal or a retry.
type Reason string

// The reasons of refusals and retries.
const (
	ReasonBadRequest          Reason = "bad_request"
	ReasonUnauthorized        Reason = "unauthorized"
	ReasonForbiddenQueue      Reason = "forbidden_queue"
	ReasonUnknownQueue        Reason = "unknown_queue"
	ReasonNodeStale           Reason = "node_stale"
	ReasonNodeStopping        Reason = "node_stopping"
	ReasonTeamCeiling         Reason = "team_ceiling"
	ReasonQueueFull           Reason = "queue_full"
	ReasonDeadline            Reason = "deadline_unreachable"
	ReasonNoCapacity          Reason = "no_capacity"
	ReasonClaimUnavailable    Reason = "claim_unavailable"
	ReasonPlatformUnavailable Reason = "platform_unavailable"
	ReasonRequestInProgress   Reason = "request_in_progress"
	ReasonKeyReused           Reason = "idempotency_key_reused"
	ReasonRetryBudget         Reason = "retry_budget"
	ReasonWorkerRefused       Reason = "worker_refused"
	ReasonWorkerUnreachable   Reason = "worker_unreachable"
	ReasonAnswerLost          Reason = "answer_lost"
	ReasonAnswerMismatch      Reason = "answer_mismatch"
	ReasonJobFailing          Reason = "job_failing"
	ReasonCallerGone          Reason = "caller_gone"
	ReasonAnswerNotKept       Reason = "answer_not_kept"
	ReasonUnknownTask         Reason = "unknown_task"
	ReasonTaskNotFinished     Reason = "task_not_finished"
	ReasonNoScheduler         Reason = "no_scheduler"
	ReasonBodyTooLarge        Reason = "body_too_large"
	ReasonRequestTooSlow      Reason = "request_too_slow"
	ReasonNoMemory            Reason = "no_memory"
)

// Permanent reports whether the same call gets the same refusal however often it is repeated.
func (r Reason) Permanent() bool { return r == ReasonKeyReused || r == ReasonAnswerNotKept }

// RunState tells the caller of a refused request whether the work was run.
type RunState string

// The run states of refused work.
const (
	RunStateNotRun  RunState = "not_run"
	RunStateUnknown RunState = "unknown"
	// RunStateRun means that the work has run but its answer is no longer available.
	RunStateRun RunState = "run"
)

// Refusal is the error that a caller gets instead of an answer; it says why, and when to try again.
type Refusal struct {
	Reason     Reason
	RunState   RunState
	RetryAfter time.Duration
	Detail     string
}

// Error returns the reason and the detail.
func (r *Refusal) Error() string { return string(r.Reason) + ": " + r.Detail }
