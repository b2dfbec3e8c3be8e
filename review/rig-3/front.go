package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"time"
)

// front is a proxy before a machine: it keeps its address while the workers on the machine come and go.
type front struct {
	fleet   *fleet
	machine string
	address string
	// delay returns how much later a call is passed on; it may be nil.
	delay func(r *http.Request, o body) time.Duration
}

// addFront puts a proxy before a machine, before its worker begins.
func (f *fleet) addFront(machine string) (*front, error) {
	p := &front{fleet: f, machine: machine}
	address, err := serve(p)
	if err != nil {
		return nil, err
	}
	p.address = address
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fronts == nil {
		f.fronts = make(map[string]*front)
	}
	f.fronts[machine] = p
	return p, nil
}

func (p *front) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	o, err := readBody(r)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	if p.delay != nil {
		if d := p.delay(r, o); d > 0 {
			// The call gets no answer and is carried out late.
			time.AfterFunc(d, func() {
				if w := p.worker(); w != nil {
					late := r.Clone(r.Context())
					late.Body = io.NopCloser(bytes.NewReader(data))
					w.mu.Lock()
					p.fleet.record.write("worker %s has had %d ends, %d of them are listed, %d runs", w.id, w.last, len(w.ended), len(w.runs))
					w.mu.Unlock()
					answer := httptest.NewRecorder()
					w.ServeHTTP(answer, late)
					p.fleet.record.write("the late call is carried out on worker %s: %d", w.id, answer.Code)
				}
			})
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	w := p.worker()
	if w == nil {
		panic(http.ErrAbortHandler)
	}
	w.ServeHTTP(rw, r)
}

func (p *front) worker() *worker {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.workers[p.machine]
}
