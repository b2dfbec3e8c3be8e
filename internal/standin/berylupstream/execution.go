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

// execute runs one request while its caller waits.
func (k *Worker) execute(w http.ResponseWriter, r *http.Request) {
	o, body, ok := k.prepare(w, r, nil)
	if !ok {
		return
	}
	sum := sha256.Sum256(body)
	digest := hex.EncodeToString(sum[:])
	k.mu.Lock()
	if fail := k.settledLocked(o); fail != nil {
		k.running--
		k.mu.Unlock()
		fail.write(w)
		return
	}
	start := k.startLocked(o, KindRequest, digest)
	k.rememberLocked(o, beryllatch.ExecutionRunning)
	k.mu.Unlock()
	if k.hit(func(f *Faults) *Trigger { return &f.CutAfterStart }) {
		go k.run(o, start)
		berylreply.Cut(w)
		return
	}
	outcome := k.run(o, start)
	a := answer{id: o.id, status: http.StatusOK, header: http.Header{}}
	a.header.Set(HeaderBodySum, digest)
	switch outcome {
	case OutcomeDone:
		a.header.Set("Content-Type", "application/octet-stream")
		a.body = output(digest, o.answerBytes)
	case OutcomeFailed:
		a.status = http.StatusInternalServerError
		a.body = problemBody(a.status, "failed", "the work failed")
	default:
		a.status = http.StatusGatewayTimeout
		a.body = problemBody(a.status, "lease_expired", "the work was stopped at its lease's expiry")
	}
	k.answer(w, r, o, a)
}

// prepare admits a start request and receives its body; it has answered if it returns false.
func (k *Worker) prepare(
	w http.ResponseWriter, r *http.Request, allowed func(order) *refusal,
) (order, []byte, bool) {
	if k.hit(func(f *Faults) *Trigger { return &f.CutBeforeStart }) {
		berylreply.Cut(w)
		return order{}, nil, false
	}
	o, fail := k.parseOrder(r)
	if fail == nil && allowed != nil {
		fail = allowed(o)
	}
	if fail == nil {
		fail = k.admit(r, o)
	}
	if fail != nil {
		fail.write(w)
		return o, nil, false
	}
	body, fail := k.receive(w, r, o)
	if fail != nil {
		k.releaseSlot()
		fail.write(w)
		return o, nil, false
	}
	return o, body, true
}

// run lets the work take its time, stops it at lease expiry and frees its slot.
// It goes on when the connection breaks, since the work has started.
func (k *Worker) run(o order, s *Start) string {
	outcome, d := OutcomeDone, o.run
	if left := time.Until(o.lease); left < d {
		outcome, d = OutcomeStopped, left
	}
	time.Sleep(d)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.faults.FailEverything && outcome == OutcomeDone {
		outcome = OutcomeFailed
	}
	k.endLocked(s, outcome)
	if e := k.executions[o.id]; e != nil && s.Kind == KindRequest {
		e.state = beryllatch.ExecutionEnded
	}
	return outcome
}

// output returns the digest, or n bytes that repeat it, so that the bytes tell whose answer they are.
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

func (a answer) headerInto(h http.Header) {
	for name, v := range a.header {
		h[name] = v
	}
	h.Set(berylworker.HeaderExecutionID, a.id)
}
