package berylcaller

import (
	"errors"
	"sync"
)

// errSuperseded ends an attempt whose request another attempt has answered.
var errSuperseded = errors.New("another attempt has answered")

// winner keeps the answers of two attempts of one request apart: only the first that succeeds reaches the caller.
type winner struct {
	mu sync.Mutex
	// attempt has answered; 0 while none has.
	attempt int
	// answer is the buffered answer, that of a failed job too; nil if there is none.
	answer *answer
	// committed is true once a part of a streamed answer has been sent to the caller.
	committed bool
}

// setBuffered stores a buffered answer, unless another attempt has succeeded.
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

// commit gives the caller's connection to an answer that is streamed, unless another attempt has succeeded.
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

// buffered returns the answer to send, or nil if it was streamed.
func (w *winner) buffered() *answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answer
}
