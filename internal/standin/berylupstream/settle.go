package berylupstream

import (
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
	"github.com/gorilla/mux"
)

// minForget is the smallest number of remembered executions at which expired ones are looked for.
const minForget = 1024

// execution is what the worker remembers of a request until its lease has expired.
type execution struct {
	state beryllatch.ExecutionState
	until time.Time
}

// settle tells whether an execution runs, and keeps one that has not started from ever starting.
func (k *Worker) settle(w http.ResponseWriter, r *http.Request) {
	o, fail := k.parseOrder(r)
	sent, err := time.Parse(time.RFC3339Nano, r.Header.Get(berylworker.HeaderSentAt))
	if fail == nil && err != nil {
		fail = malformed(berylworker.HeaderSentAt)
	}
	if fail == nil && o.id != mux.Vars(r)["id"] {
		fail = badRequest("the path and the header " + berylworker.HeaderExecutionID + " name two executions")
	}
	if fail != nil {
		problem(w, fail.status, fail.reason, fail.detail)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch e := k.executions[o.id]; {
	case e != nil:
		writeJSON(w, http.StatusOK, berylworker.ExecutionReport{State: e.state})
	case time.Now().After(o.lease):
		problem(w, http.StatusGone, "lease_expired", "the execution may have been forgotten")
	case k.bootedAt.After(sent.Add(-berylworker.ClockSkew)):
		problem(w, http.StatusConflict, "booted_since", "an earlier boot may have started the execution")
	default:
		k.rememberLocked(o, beryllatch.ExecutionUnseen)
		writeJSON(w, http.StatusOK, berylworker.ExecutionReport{State: beryllatch.ExecutionUnseen})
	}
}

// rememberLocked notes the state of an execution and, whenever their number has doubled, forgets those whose lease has
// expired; a search at each start made a worker slow after some thousand of them.
func (k *Worker) rememberLocked(o order, state beryllatch.ExecutionState) {
	k.executions[o.id] = &execution{state: state, until: o.lease}
	if len(k.executions) < k.forgetAt {
		return
	}
	now := time.Now()
	for id, e := range k.executions {
		if e.state != beryllatch.ExecutionRunning && now.After(e.until) {
			delete(k.executions, id)
		}
	}
	k.forgetAt = max(minForget, 2*len(k.executions))
}

// settledLocked refuses an execution that was settled before it started.
func (k *Worker) settledLocked(o order) *refusal {
	if e := k.executions[o.id]; e != nil && e.state == beryllatch.ExecutionUnseen {
		return conflict("execution_settled", "the execution was settled before it started")
	}
	return nil
}
