package berylupstream

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch/internal/standin/berylreply"
)

// crossing is an answer that waits to be exchanged.
type crossing struct {
	mine   answer
	theirs chan answer
}

// answer sends the answer under the faults in force.
func (k *Worker) answer(w http.ResponseWriter, r *http.Request, o order, a answer) {
	if k.hit(func(f *Faults) *Trigger { return &f.Crossed }) {
		a = k.cross(o, a)
	}
	if k.hit(func(f *Faults) *Trigger { return &f.AnswerLate }) {
		time.Sleep(time.Duration(k.Faults().AnswerLateMS) * time.Millisecond)
	}
	if k.hit(func(f *Faults) *Trigger { return &f.Doubled }) {
		double(w, r, a)
		return
	}
	truncated := k.hit(func(f *Faults) *Trigger { return &f.Truncated })
	a.headerInto(w.Header())
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	if !truncated {
		// The client may be gone; the work has run all the same.
		_, _ = w.Write(a.body)
		return
	}
	_, _ = w.Write(a.body[:len(a.body)/2])
	// A failed flush cuts the answer all the same.
	_ = http.NewResponseController(w).Flush()
	berylreply.Cut(w)
}

// cross exchanges the answer with another one; without a partner before lease expiry it returns its own.
func (k *Worker) cross(o order, a answer) answer {
	k.mu.Lock()
	if c := k.waiting; c != nil {
		k.waiting = nil
		k.mu.Unlock()
		c.theirs <- a
		return c.mine
	}
	c := &crossing{mine: a, theirs: make(chan answer, 1)}
	k.waiting = c
	k.mu.Unlock()
	t := time.NewTimer(time.Until(o.lease))
	defer t.Stop()
	select {
	case theirs := <-c.theirs:
		return theirs
	case <-t.C:
	}
	k.mu.Lock()
	mine := k.waiting == c
	if mine {
		k.waiting = nil
	}
	k.mu.Unlock()
	if mine {
		return a
	}
	return <-c.theirs
}

// double sends the answer twice and keeps the connection open, so that the second copy can meet a later request.
func double(w http.ResponseWriter, r *http.Request, a answer) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resp := &http.Response{
		StatusCode: a.status, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Request: r,
		ContentLength: int64(len(a.body)),
	}
	a.headerInto(resp.Header)
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
