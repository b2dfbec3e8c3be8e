package beryllatch

import "time"

// Reason is the machine-readable cause of a refusal or a retry.
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
)

// Permanent reports whether a repeat of the same call gets the same refusal.
func (r Reason) Permanent() bool { return r == ReasonKeyReused || r == ReasonAnswerNotKept }

// RunState tells a caller whether refused work was run.
type RunState string

// The run states of refused work.
const (
	RunStateNotRun  RunState = "not_run"
	RunStateUnknown RunState = "unknown"
	// RunStateRun means that the work has run, but that its answer is no longer available.
	RunStateRun RunState = "run"
)

// Refusal tells a caller why there is no answer.
type Refusal struct {
	Reason     Reason
	RunState   RunState
	RetryAfter time.Duration
	Detail     string
}

// Error returns the reason and the detail.
func (r *Refusal) Error() string { return string(r.Reason) + ": " + r.Detail }
