package berylupstream

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/standin/berylreply"
	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
)

// execute runs a request and answers when it has finished.
func (k *Worker) execute(w http.ResponseWriter, r *http.Request) {
	req, body, ok := k.prepare(w, r, nil)
	if !ok {
		return
	}
	sum := sha256.Sum256(body)
	digest := hex.EncodeToString(sum[:])
	k.mu.Lock()
	if fail := k.checkSettledLocked(req); fail != nil {
		k.running--
		k.mu.Unlock()
		fail.write(w)
		return
	}
	start := k.recordStartLocked(req, KindRequest, digest)
	k.storeExecutionLocked(req, beryllatch.ExecutionRunning)
	k.mu.Unlock()
	if k.faultApplies(func(f *Faults) *Trigger { return &f.CutAfterStart }) {
		go k.run(req, start)
		berylreply.CloseConnection(w)
		return
	}
	outcome := k.run(req, start)
	a := answer{id: req.id, status: http.StatusOK, header: http.Header{}}
	a.header.Set(HeaderBodySum, digest)
	switch outcome {
	case OutcomeDone:
		a.header.Set("Content-Type", "application/octet-stream")
		a.body = output(digest, req.answerBytes)
	case OutcomeFailed:
		a.status = http.StatusInternalServerError
		a.body = problemBody(a.status, "failed", "the work failed")
	default:
		a.status = http.StatusGatewayTimeout
		a.body = problemBody(a.status, "lease_expired", "the work was stopped at its lease's expiry")
	}
	k.sendAnswer(w, r, req, a)
}

// prepare parses and admits a start request and reads its body. check may be nil, or return a further reason to refuse the
// start. If prepare returns false, it has answered with a refusal or closed the connection.
func (k *Worker) prepare(
	w http.ResponseWriter, r *http.Request, check func(startRequest) *refusal,
) (startRequest, []byte, bool) {
	if k.faultApplies(func(f *Faults) *Trigger { return &f.CutBeforeStart }) {
		berylreply.CloseConnection(w)
		return startRequest{}, nil, false
	}
	req, fail := k.parseStart(r)
	if fail == nil && check != nil {
		fail = check(req)
	}
	if fail == nil {
		fail = k.admit(r, req)
	}
	if fail != nil {
		fail.write(w)
		return req, nil, false
	}
	body, fail := k.receive(w, r, req)
	if fail != nil {
		k.releaseSlot()
		fail.write(w)
		return req, nil, false
	}
	return req, body, true
}

// run waits for the run time, or until the lease expires if that is earlier, records the outcome and frees the slot.
// It does not stop when the caller disconnects, since work that has started continues.
func (k *Worker) run(req startRequest, start *Start) string {
	outcome, d := OutcomeDone, req.runTime
	if remaining := time.Until(req.leaseExpiry); remaining < d {
		outcome, d = OutcomeStopped, remaining
	}
	time.Sleep(d)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.faults.FailEverything && outcome == OutcomeDone {
		outcome = OutcomeFailed
	}
	k.recordOutcomeLocked(start, outcome)
	if e := k.executions[req.id]; e != nil && start.Kind == KindRequest {
		e.state = beryllatch.ExecutionEnded
	}
	return outcome
}

// output returns the digest of a request's body, or n bytes that repeat it, so that tests can see which request an answer
// belongs to.
func output(digest string, n int) []byte {
	if n == 0 {
		return []byte(digest)
	}
	return bytes.Repeat([]byte(digest), n/len(digest)+1)[:n]
}

// answer is the answer to one start request.
type answer struct {
	id     string
	status int
	header http.Header
	body   []byte
}

func (a answer) copyHeaderTo(h http.Header) {
	for name, v := range a.header {
		h[name] = v
	}
	h.Set(berylworker.HeaderExecutionID, a.id)
}
