package berylupstream

import (
	"errors"
	"fmt"
	"net/http"
)

// Faults holds the faults of the worker.
type Faults struct {
	// AnswerLate delays answers by AnswerLateMS milliseconds.
	AnswerLate   Trigger `json:"answer_late"`
	AnswerLateMS int     `json:"answer_late_ms"`
	// Crossed swaps the answers to two starts.
	Crossed Trigger `json:"crossed"`
	// Truncated sends the first half of an answer's body and closes the connection.
	Truncated Trigger `json:"truncated"`
	// Doubled sends an answer twice on its connection.
	Doubled Trigger `json:"doubled"`
	// CutBeforeStart and CutAfterStart close the connection without an answer, before or after the work has started.
	CutBeforeStart Trigger `json:"cut_before_start"`
	CutAfterStart  Trigger `json:"cut_after_start"`
	// FailEverything makes all work fail once it has started.
	FailEverything bool `json:"fail_everything"`
	// Freeze delays starts until it is switched off; a start whose start-by time passes meanwhile is refused.
	Freeze bool `json:"freeze"`
}

// Trigger selects the calls that a fault applies to: a number of next calls, then a random share (0 to 1) of those after.
type Trigger struct {
	Next  int     `json:"next"`
	Share float64 `json:"share"`
}

// Faults returns the faults in force, with the counts that are left.
func (k *Worker) Faults() Faults {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.faults
}

// SetFaults replaces the faults in force; an error names the field that is out of range.
func (k *Worker) SetFaults(f Faults) error {
	for name, t := range map[string]Trigger{
		"answer_late": f.AnswerLate, "crossed": f.Crossed, "truncated": f.Truncated, "doubled": f.Doubled,
		"cut_before_start": f.CutBeforeStart, "cut_after_start": f.CutAfterStart,
	} {
		if t.Next < 0 || t.Share < 0 || t.Share > 1 {
			return fmt.Errorf("%s: next must not be negative and share must be between 0 and 1", name)
		}
	}
	if f.AnswerLateMS < 0 {
		return errors.New("answer_late_ms must not be negative")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
	close(k.faultsChanged)
	k.faultsChanged = make(chan struct{})
	return nil
}

// faultApplies reports whether the fault with the trigger applies to this call, and counts its Next down.
func (k *Worker) faultApplies(trigger func(*Faults) *Trigger) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := trigger(&k.faults)
	if t.Next > 0 {
		t.Next--
		return true
	}
	return t.Share > 0 && k.random.Float64() < t.Share
}

func (k *Worker) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, k.Faults())
}

func (k *Worker) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decodeStrict(w, r, &f) {
		return
	}
	if err := k.SetFaults(f); err != nil {
		problem(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
