package berylupstream

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch/internal/standin/berylreply"
)

// answerSwap exchanges the answers to two starts. The second start sends its answer to the channel and takes the first
// one.
type answerSwap struct {
	first  answer
	second chan answer
}

// sendAnswer sends the answer, changed by the faults in force.
func (k *Worker) sendAnswer(w http.ResponseWriter, r *http.Request, req startRequest, a answer) {
	if k.faultApplies(func(f *Faults) *Trigger { return &f.Crossed }) {
		a = k.swapAnswer(req, a)
	}
	if k.faultApplies(func(f *Faults) *Trigger { return &f.AnswerLate }) {
		time.Sleep(time.Duration(k.Faults().AnswerLateMS) * time.Millisecond)
	}
	if k.faultApplies(func(f *Faults) *Trigger { return &f.Doubled }) {
		sendTwice(w, r, a)
		return
	}
	truncated := k.faultApplies(func(f *Faults) *Trigger { return &f.Truncated })
	a.copyHeaderTo(w.Header())
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	if !truncated {
		// Writing fails if the client has disconnected; the work has run all the same.
		_, _ = w.Write(a.body)
		return
	}
	_, _ = w.Write(a.body[:len(a.body)/2])
	// The answer is truncated whether or not the flush succeeds.
	_ = http.NewResponseController(w).Flush()
	berylreply.CloseConnection(w)
}

// swapAnswer swaps the answer with that of another start. If no other start comes before the lease expires, it returns
// a.
func (k *Worker) swapAnswer(req startRequest, a answer) answer {
	k.mu.Lock()
	if swap := k.pendingSwap; swap != nil {
		k.pendingSwap = nil
		k.mu.Unlock()
		swap.second <- a
		return swap.first
	}
	swap := &answerSwap{first: a, second: make(chan answer, 1)}
	k.pendingSwap = swap
	k.mu.Unlock()
	t := time.NewTimer(time.Until(req.leaseExpiry))
	defer t.Stop()
	select {
	case second := <-swap.second:
		return second
	case <-t.C:
	}
	k.mu.Lock()
	unmatched := k.pendingSwap == swap
	if unmatched {
		k.pendingSwap = nil
	}
	k.mu.Unlock()
	if unmatched {
		return a
	}
	return <-swap.second
}

// sendTwice sends the answer twice and keeps the connection open, so that the client can mistake the second copy for the
// answer to its next request on the connection.
func sendTwice(w http.ResponseWriter, r *http.Request, a answer) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resp := &http.Response{
		StatusCode: a.status, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Request: r,
		ContentLength: int64(len(a.body)),
	}
	a.copyHeaderTo(resp.Header)
	var b bytes.Buffer
	for range 2 {
		resp.Body = io.NopCloser(bytes.NewReader(a.body))
		// A buffer accepts every write.
		_ = resp.Write(&b)
	}
	_, err = c.Write(b.Bytes())
	go func() {
		defer func() { _ = c.Close() }()
		if err == nil && c.SetDeadline(time.Now().Add(time.Minute)) == nil {
			_, _ = io.Copy(io.Discard, c)
		}
	}()
}
