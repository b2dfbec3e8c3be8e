package berylplatform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch/internal/standin/berylreply"
)

// Faults says what goes wrong at each service.
type Faults struct {
	Table     ServiceFaults `json:"table"`
	Objects   ServiceFaults `json:"objects"`
	Instances ServiceFaults `json:"instances"`
	// ListLagMS delays every change of the instance list by so many milliseconds.
	ListLagMS int `json:"list_lag_ms"`
}

// ServiceFaults says what goes wrong at one service.
type ServiceFaults struct {
	// Outage is empty, "refuse" (no connection is accepted) or "unavailable" (every call is answered 503).
	Outage string `json:"outage"`
	// SlowMS delays the effect and the answer of each call by so many milliseconds.
	SlowMS int `json:"slow_ms"`
	// AnswerLostNext is the number of writes to come that take effect and are not answered.
	AnswerLostNext int `json:"answer_lost_next"`
	// AnswerLostShare is the share of writes, from 0 to 1, that take effect and are not answered.
	AnswerLostShare float64 `json:"answer_lost_share"`
}

// The kinds of outage.
const (
	OutageRefuse      = "refuse"
	OutageUnavailable = "unavailable"
)

// The names of the services that Listen serves.
const (
	ServiceTable     = "table"
	ServiceObjects   = "objects"
	ServiceInstances = "instances"
)

// Faults returns the faults in force.
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
	p.setting.Lock()
	defer p.setting.Unlock()
	p.mu.Lock()
	p.faults = f
	gates := make(map[*Gate]bool, len(p.gates))
	for name, g := range p.gates {
		gates[g] = byName[name].Outage == OutageRefuse
	}
	p.mu.Unlock()
	p.instances.setLag(time.Duration(f.ListLagMS) * time.Millisecond)
	for g, shut := range gates {
		if err := g.set(ctx, shut); err != nil {
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
		return fmt.Errorf("%s.answer_lost_next and %[1]s.answer_lost_share: the list has no writes", name)
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

func (p *Platform) service(name string) ServiceFaults {
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

// loseAnswer tells whether the answer of the present write is lost, and counts it.
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

// faulty serves h under the faults of the named service.
func (p *Platform) faulty(name string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := p.service(name)
		if f.Outage == OutageUnavailable {
			http.Error(w, "service unavailable", http.StatusServiceUnavailable)
			return
		}
		if f.Outage == OutageRefuse {
			// Reached only without a gate in front, or on a connection that is being closed.
			berylreply.Cut(w)
			return
		}
		// The whole body is read first, so that the effect comes even if the client gives up during the delay.
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes+1))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
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
		a := &heldAnswer{header: make(http.Header), status: http.StatusOK}
		h.ServeHTTP(a, r)
		if a.status < 300 && p.loseAnswer(name) {
			berylreply.Cut(w)
			return
		}
		maps.Copy(w.Header(), a.header)
		w.WriteHeader(a.status)
		_, _ = w.Write(a.body.Bytes())
	})
}

// heldAnswer keeps an answer until it is known whether it is lost.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the answer's header.
func (a *heldAnswer) Header() http.Header { return a.header }

// WriteHeader keeps the status.
func (a *heldAnswer) WriteHeader(status int) { a.status = status }

// Write keeps a part of the body.
func (a *heldAnswer) Write(b []byte) (int, error) { return a.body.Write(b) }

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
