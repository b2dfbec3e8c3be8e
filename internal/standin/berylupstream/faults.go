package berylupstream

import (
	"errors"
	"fmt"
	"net/http"
)

// Faults says what goes wrong at the worker.
type Faults struct {
	// AnswerLate delays answers by AnswerLateMS milliseconds.
	AnswerLate   Trigger `json:"answer_late"`
	AnswerLateMS int     `json:"answer_late_ms"`
	// Crossed exchanges the answers of two executions.
	Crossed Trigger `json:"crossed"`
	// Truncated cuts answers in the middle.
	Truncated Trigger `json:"truncated"`
	// Doubled sends answers twice on their connection.
	Doubled Trigger `json:"doubled"`
	// CutBeforeStart and CutAfterStart close the connection without an answer.
	CutBeforeStart Trigger `json:"cut_before_start"`
	CutAfterStart  Trigger `json:"cut_after_start"`
	// FailEverything makes all work fail once it has started.
	FailEverything bool `json:"fail_everything"`
	// Freeze holds up new starts until it is lifted or their start-by passes.
	Freeze bool `json:"freeze"`
}

// Trigger says which of the calls to come a fault hits: the next ones by count, and then a share of them.
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
	close(k.changed)
	k.changed = make(chan struct{})
	return nil
}

// hit tells whether the fault applies to the present call, and counts it.
func (k *Worker) hit(pick func(*Faults) *Trigger) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := pick(&k.faults)
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
