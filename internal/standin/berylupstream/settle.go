package berylupstream

import (
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
	"github.com/gorilla/mux"
)

// minPrune is the smallest number of executions at which those with an expired lease are removed.
const minPrune = 1024

// execution is the state of a request. It is kept at least until the lease has expired or the worker reboots.
type execution struct {
	state       beryllatch.ExecutionState
	leaseExpiry time.Time
}

// settle answers with the state of an execution. One that has not started is stored as unseen, so that a start that
// arrives later is refused.
func (k *Worker) settle(w http.ResponseWriter, r *http.Request) {
	req, fail := k.parseStart(r)
	sentAt, err := time.Parse(time.RFC3339Nano, r.Header.Get(berylworker.HeaderSentAt))
	if fail == nil && err != nil {
		fail = malformed(berylworker.HeaderSentAt)
	}
	if fail == nil && req.id != mux.Vars(r)["id"] {
		fail = badRequest("the path and the header " + berylworker.HeaderExecutionID + " name two executions")
	}
	if fail != nil {
		problem(w, fail.status, fail.reason, fail.detail)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch e := k.executions[req.id]; {
	case e != nil:
		writeJSON(w, http.StatusOK, berylworker.ExecutionReport{State: e.state})
	case time.Now().After(req.leaseExpiry):
		problem(w, http.StatusGone, "lease_expired", "the execution may have been forgotten")
	case k.bootedAt.After(sentAt.Add(-berylworker.ClockSkew)):
		problem(w, http.StatusConflict, "booted_since", "an earlier boot may have started the execution")
	default:
		k.storeExecutionLocked(req, beryllatch.ExecutionUnseen)
		writeJSON(w, http.StatusOK, berylworker.ExecutionReport{State: beryllatch.ExecutionUnseen})
	}
}

// storeExecutionLocked stores the state of an execution. Whenever the number of executions has doubled, it removes those
// whose lease has expired; a search at each start slowed the worker down after some thousand executions.
func (k *Worker) storeExecutionLocked(req startRequest, state beryllatch.ExecutionState) {
	k.executions[req.id] = &execution{state: state, leaseExpiry: req.leaseExpiry}
	if len(k.executions) < k.pruneAt {
		return
	}
	now := time.Now()
	for id, e := range k.executions {
		if e.state != beryllatch.ExecutionRunning && now.After(e.leaseExpiry) {
			delete(k.executions, id)
		}
	}
	k.pruneAt = max(minPrune, 2*len(k.executions))
}

// checkSettledLocked refuses an execution that was settled before it started.
func (k *Worker) checkSettledLocked(req startRequest) *refusal {
	if e := k.executions[req.id]; e != nil && e.state == beryllatch.ExecutionUnseen {
		return conflict("execution_settled", "the execution was settled before it started")
	}
	return nil
}
