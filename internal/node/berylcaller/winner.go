package berylcaller

import (
	"errors"
	"sync"
)

// errSuperseded is the error of an attempt whose answer is dropped because another attempt has answered the request.
var errSuperseded = errors.New("another attempt has answered")

// winner selects the answer for the caller when several attempts of one request run concurrently. The first attempt
// that succeeds wins; the answers of the others are dropped. If none succeeds, the caller gets the latest answer that
// reports a failed job.
type winner struct {
	mu sync.Mutex
	// attempt is the number of the attempt that has won; 0 while none has.
	attempt int
	// answer is the buffered answer to send, which may report a failed job; nil if there is none.
	answer *answer
	// committed is true once the winner streams its answer; nothing else can be sent to the caller then.
	committed bool
}

// setBuffered stores a complete answer; it returns errSuperseded if another attempt has won.
func (w *winner) setBuffered(attempt int, a *answer) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.attempt != 0 {
		return errSuperseded
	}
	if !a.failed() {
		w.attempt = attempt
	}
	w.answer = a
	return nil
}

// commit makes the attempt the winner before its answer is streamed to the caller; it returns errSuperseded if another
// attempt has won.
func (w *winner) commit(attempt int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.attempt != 0 {
		return errSuperseded
	}
	w.attempt, w.answer, w.committed = attempt, nil, true
	return nil
}

func (w *winner) isCommitted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.committed
}

// buffered returns the complete answer to send, or nil if the answer was streamed.
func (w *winner) buffered() *answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answer
}
