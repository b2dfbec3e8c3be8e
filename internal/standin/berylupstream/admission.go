package berylupstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch/internal/upstream/berylworker"
)

// The headers that choose the work in tests.
const (
	HeaderRunMS       = "Beryllatch-Test-Run-Ms"
	HeaderAnswerBytes = "Beryllatch-Test-Answer-Bytes"
	HeaderBodySum     = "Beryllatch-Test-Body-Sha256"
)

// maxBodyBytes and maxAnswerBytes keep one execution from filling the memory.
const (
	maxBodyBytes   = 64 << 20
	maxAnswerBytes = 64 << 20
)

// order is what a start request asks for.
type order struct {
	id          string
	requestID   string
	team        string
	queue       string
	fence       uint64
	startBy     time.Time
	lease       time.Time
	run         time.Duration
	answerBytes int
}

// refusal says why work is not started.
type refusal struct {
	status int
	reason string
	detail string
	// ran forbids the claim that the work has not been run.
	ran bool
}

func (f *refusal) write(w http.ResponseWriter) {
	if f.ran {
		problem(w, f.status, f.reason, f.detail)
		return
	}
	refuse(w, f.status, f.reason, f.detail)
}

func badRequest(detail string) *refusal {
	return &refusal{status: http.StatusBadRequest, reason: "bad_request", detail: detail}
}

func malformed(header string) *refusal {
	return badRequest("header " + header + " is missing or malformed")
}

func conflict(reason, detail string) *refusal {
	return &refusal{status: http.StatusConflict, reason: reason, detail: detail}
}

func unavailable(reason, detail string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, detail: detail}
}

// parseOrder reads the headers of a start request.
func (k *Worker) parseOrder(r *http.Request) (order, *refusal) {
	h := r.Header
	o := order{
		id: h.Get(berylworker.HeaderExecutionID), requestID: h.Get(berylworker.HeaderRequestID),
		team: h.Get(berylworker.HeaderTeam), queue: h.Get(berylworker.HeaderQueue), run: k.cfg.run,
	}
	if o.id == "" {
		return o, malformed(berylworker.HeaderExecutionID)
	}
	var err error
	if o.startBy, err = time.Parse(time.RFC3339Nano, h.Get(berylworker.HeaderStartBy)); err != nil {
		return o, malformed(berylworker.HeaderStartBy)
	}
	if o.lease, err = time.Parse(time.RFC3339Nano, h.Get(berylworker.HeaderLeaseExpiry)); err != nil {
		return o, malformed(berylworker.HeaderLeaseExpiry)
	}
	if o.fence, err = parseFence(h); err != nil {
		return o, malformed(berylworker.HeaderFence)
	}
	if v := h.Get(HeaderRunMS); v != "" {
		ms, err := strconv.ParseUint(v, 10, 31)
		if err != nil {
			return o, malformed(HeaderRunMS)
		}
		o.run = time.Duration(ms) * time.Millisecond
	}
	if v := h.Get(HeaderAnswerBytes); v != "" {
		if o.answerBytes, err = strconv.Atoi(v); err != nil || o.answerBytes < 0 || o.answerBytes > maxAnswerBytes {
			return o, malformed(HeaderAnswerBytes)
		}
	}
	return o, nil
}

func parseFence(h http.Header) (uint64, error) {
	v := h.Get(berylworker.HeaderFence)
	if v == "" {
		return 0, nil
	}
	return strconv.ParseUint(v, 10, 64)
}

// admit checks everything that forbids a start and takes a slot; the body has not been read yet.
func (k *Worker) admit(r *http.Request, o order) *refusal {
	if surplus, ok := r.Context().Value(surplusKey{}).(bool); ok && surplus {
		return unavailable("too_many_connections", fmt.Sprintf("more than %d connections are open", k.cfg.connections))
	}
	if f := o.late(); f != nil {
		return f
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.rebooting:
		return unavailable("rebooting", "the worker is rebooting")
	case k.leaving:
		return unavailable("leaving", "the worker is leaving")
	case k.running >= k.cfg.slots:
		return unavailable("no_slot", fmt.Sprintf("all %d slots are taken", k.cfg.slots))
	}
	k.running++
	return nil
}

func (k *Worker) releaseSlot() {
	k.mu.Lock()
	k.running--
	k.mu.Unlock()
}

func (o order) late() *refusal {
	now := time.Now()
	if now.After(o.startBy) {
		return unavailable("start_by_passed", "start-by passed "+now.Sub(o.startBy).String()+" ago")
	}
	if now.After(o.lease) {
		return unavailable("lease_expired", "the lease expired "+now.Sub(o.lease).String()+" ago")
	}
	return nil
}

// receive waits out a freeze, reads the body of an admitted order and checks start-by once more.
func (k *Worker) receive(w http.ResponseWriter, r *http.Request, o order) ([]byte, *refusal) {
	ctx, cancel := context.WithDeadline(r.Context(), o.startBy)
	defer cancel()
	for {
		k.mu.Lock()
		frozen, changed := k.faults.Freeze, k.changed
		k.mu.Unlock()
		if !frozen {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, unavailable("start_by_passed", "the worker was frozen")
		}
	}
	// A server without deadlines waits for a stalled body; the check below still keeps it from starting late.
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(o.startBy)
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		if f := o.late(); f != nil {
			return nil, f
		}
		return nil, badRequest("body: " + err.Error())
	}
	_ = rc.SetReadDeadline(time.Time{})
	return b, o.late()
}
