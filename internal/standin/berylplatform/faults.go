package berylplatform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch/internal/node/berylintake"
	"github.com/beryllatch/beryllatch/internal/standin/berylreply"
)

// Faults holds the faults of each service.
type Faults struct {
	Table     ServiceFaults `json:"table"`
	Objects   ServiceFaults `json:"objects"`
	Instances ServiceFaults `json:"instances"`
	// ListLagMS is the time in milliseconds after which a change shows in the instance list.
	ListLagMS int `json:"list_lag_ms"`
}

// ServiceFaults holds the faults of one service.
type ServiceFaults struct {
	// Outage is empty, "refuse" (connections are refused) or "unavailable" (every call is answered with 503).
	Outage string `json:"outage"`
	// SlowMS is a delay in milliseconds before each call takes effect and is answered.
	SlowMS int `json:"slow_ms"`
	// AnswerLostNext is the number of next writes that take effect without an answer.
	AnswerLostNext int `json:"answer_lost_next"`
	// AnswerLostShare is the share, from 0 to 1, of the writes after the first AnswerLostNext ones that take effect without
	// an answer.
	AnswerLostShare float64 `json:"answer_lost_share"`
}

// The kinds of outage.
const (
	OutageRefuse      = "refuse"
	OutageUnavailable = "unavailable"
)

// The names of the services for Listen.
const (
	ServiceTable     = "table"
	ServiceObjects   = "objects"
	ServiceInstances = "instances"
)

// Faults returns the faults in force; answer_lost_next counts down.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the faults in force; an error names the field that is out of range.
func (p *Platform) SetFaults(ctx context.Context, f Faults) error {
	if f.ListLagMS < 0 {
		return fmt.Errorf("list_lag_ms must not be negative, got %d", f.ListLagMS)
	}
	byName := map[string]ServiceFaults{ServiceTable: f.Table, ServiceObjects: f.Objects, ServiceInstances: f.Instances}
	for _, name := range []string{ServiceTable, ServiceObjects, ServiceInstances} {
		if err := byName[name].validate(name); err != nil {
			return err
		}
	}
	p.setFaultsMu.Lock()
	defer p.setFaultsMu.Unlock()
	p.mu.Lock()
	p.faults = f
	refusing := make(map[*Server]bool, len(p.servers))
	for name, s := range p.servers {
		refusing[s] = byName[name].Outage == OutageRefuse
	}
	p.mu.Unlock()
	p.instances.setLag(time.Duration(f.ListLagMS) * time.Millisecond)
	for s, refuse := range refusing {
		if err := s.setRefusing(ctx, refuse); err != nil {
			return err
		}
	}
	return nil
}

func (f ServiceFaults) validate(name string) error {
	switch {
	case f.Outage != "" && f.Outage != OutageRefuse && f.Outage != OutageUnavailable:
		return fmt.Errorf("%s.outage must be empty, refuse or unavailable, got %q", name, f.Outage)
	case f.SlowMS < 0:
		return fmt.Errorf("%s.slow_ms must not be negative, got %d", name, f.SlowMS)
	case name == ServiceInstances && (f.AnswerLostNext != 0 || f.AnswerLostShare != 0):
		return fmt.Errorf("%s.answer_lost_next and %[1]s.answer_lost_share must be 0, since the list has no writes", name)
	case f.AnswerLostNext < 0:
		return fmt.Errorf("%s.answer_lost_next must not be negative, got %d", name, f.AnswerLostNext)
	case f.AnswerLostShare < 0 || f.AnswerLostShare > 1:
		return fmt.Errorf("%s.answer_lost_share must be between 0 and 1, got %g", name, f.AnswerLostShare)
	}
	return nil
}

func (p *Platform) getFaults(w http.ResponseWriter, _ *http.Request) {
	berylreply.WriteJSON(w, http.StatusOK, "application/json", p.Faults())
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decodeStrict(w, r, &f) {
		return
	}
	if err := p.SetFaults(r.Context(), f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serviceFaults(name string) ServiceFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch name {
	case ServiceTable:
		return p.faults.Table
	case ServiceObjects:
		return p.faults.Objects
	}
	return p.faults.Instances
}

// loseAnswer reports whether the answer to a write that has taken effect is lost, and counts AnswerLostNext down.
func (p *Platform) loseAnswer(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := &p.faults.Table
	if name == ServiceObjects {
		f = &p.faults.Objects
	}
	if f.AnswerLostNext > 0 {
		f.AnswerLostNext--
		return true
	}
	return f.AnswerLostShare > 0 && p.random.Float64() < f.AnswerLostShare
}

// withFaults returns a handler that applies the faults of the named service to calls of h.
func (p *Platform) withFaults(name string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := p.serviceFaults(name)
		if f.Outage == OutageUnavailable {
			http.Error(w, "service unavailable", http.StatusServiceUnavailable)
			return
		}
		if f.Outage == OutageRefuse {
			// A closed Server accepts no connections. This is reached on connections that it is still closing, and if the
			// handler is used without a Server.
			berylreply.CloseConnection(w)
			return
		}
		// The body is read before the delay, so that the call takes effect even if the client gives up during it.
		b, err := berylintake.ReadBody(w, r, maxObjectBytes+1)
		if err != nil {
			status := http.StatusBadRequest
			var refused *berylintake.RefusedError
			if errors.As(err, &refused) && refused.Kind != berylintake.KindBody {
				status = refused.Status()
			}
			http.Error(w, err.Error(), status)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(b))
		if f.SlowMS > 0 {
			time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
		}
		if !isWrite(name, r) {
			h.ServeHTTP(w, r)
			return
		}
		answer := &bufferedAnswer{header: make(http.Header), status: http.StatusOK}
		h.ServeHTTP(answer, r)
		if answer.status < 300 && p.loseAnswer(name) {
			berylreply.CloseConnection(w)
			return
		}
		maps.Copy(w.Header(), answer.header)
		w.WriteHeader(answer.status)
		_, _ = w.Write(answer.body.Bytes())
	})
}

// bufferedAnswer is an http.ResponseWriter that buffers the answer to a write until it is decided whether it is lost.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the answer's header.
func (a *bufferedAnswer) Header() http.Header { return a.header }

// WriteHeader stores the status.
func (a *bufferedAnswer) WriteHeader(status int) { a.status = status }

// Write appends to the body.
func (a *bufferedAnswer) Write(b []byte) (int, error) { return a.body.Write(b) }

func isWrite(name string, r *http.Request) bool {
	if name == ServiceTable {
		switch operation(r) {
		case "TransactWriteItems", "PutItem", "DeleteItem", "UpdateItem":
			return true
		}
		return false
	}
	return name == ServiceObjects && r.Method == http.MethodPut
}
