package berylupstream

import (
	"net/http"
	"time"
)

// The kinds of work in the record.
const (
	KindRequest = "request"
	KindTask    = "task"
)

// The outcomes in the record.
const (
	OutcomeRunning = "running"
	OutcomeDone    = "done"
	OutcomeFailed  = "failed"
	OutcomeStopped = "stopped"
)

// Start is the record of one start of work.
type Start struct {
	Time      time.Time `json:"time"`
	Worker    string    `json:"worker"`
	BootID    string    `json:"boot_id"`
	ID        string    `json:"id"`
	RequestID string    `json:"request_id"`
	Team      string    `json:"team"`
	Queue     string    `json:"queue"`
	Kind      string    `json:"kind"`
	Fence     uint64    `json:"fence"`
	BodySum   string    `json:"body_sha256"`
	// End is zero and Outcome is OutcomeRunning while the work runs.
	End     time.Time `json:"end,omitzero"`
	Outcome string    `json:"outcome"`
	// Checkpoints counts the checkpoint calls for a task.
	Checkpoints int `json:"checkpoints,omitempty"`
}

// Record returns every start since the record was cleared, in order.
func (k *Worker) Record() []Start {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]Start, len(k.record))
	for i, s := range k.record {
		out[i] = *s
	}
	return out
}

// ClearRecord removes every start from the record.
func (k *Worker) ClearRecord() {
	k.mu.Lock()
	k.record = nil
	k.mu.Unlock()
}

// recordStartLocked records the start of a request that has taken a slot.
func (k *Worker) recordStartLocked(req startRequest, kind, sum string) *Start {
	s := &Start{
		Time: time.Now(), Worker: k.cfg.name, BootID: k.bootID, ID: req.id, RequestID: req.requestID, Team: req.team,
		Queue: req.queue, Kind: kind, Fence: req.fence, BodySum: sum, Outcome: OutcomeRunning,
	}
	k.record = append(k.record, s)
	return s
}

// recordOutcomeLocked records the end and the outcome of started work and frees its slot.
func (k *Worker) recordOutcomeLocked(s *Start, outcome string) {
	s.End, s.Outcome = time.Now(), outcome
	k.running--
}

func (k *Worker) getRecord(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, k.Record())
}

func (k *Worker) clearRecord(w http.ResponseWriter, _ *http.Request) {
	k.ClearRecord()
	w.WriteHeader(http.StatusNoContent)
}
