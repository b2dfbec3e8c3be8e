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

// The headers with which tests set the run time in milliseconds and the size of the answer, and the header of the answer
// that holds the digest of the request's body.
const (
	HeaderRunMS       = "Beryllatch-Test-Run-Ms"
	HeaderAnswerBytes = "Beryllatch-Test-Answer-Bytes"
	HeaderBodySum     = "Beryllatch-Test-Body-Sha256"
)

// maxBodyBytes and maxAnswerBytes limit one execution, so that it cannot fill the memory.
const (
	maxBodyBytes   = 64 << 20
	maxAnswerBytes = 64 << 20
)

// startRequest holds the headers of a call that starts an execution or a task. A settle call has the same headers.
type startRequest struct {
	id          string
	requestID   string
	team        string
	queue       string
	fence       uint64
	startBy     time.Time
	leaseExpiry time.Time
	runTime     time.Duration
	answerBytes int
}

// refusal is the reason why a start or another call is refused.
type refusal struct {
	status int
	reason string
	detail string
	// hasStarted is set if the work has started before, so that the answer must not have the run state "not run".
	hasStarted bool
}

func (f *refusal) write(w http.ResponseWriter) {
	if f.hasStarted {
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

// parseStart parses the headers of a start request.
func (k *Worker) parseStart(r *http.Request) (startRequest, *refusal) {
	h := r.Header
	req := startRequest{
		id: h.Get(berylworker.HeaderExecutionID), requestID: h.Get(berylworker.HeaderRequestID),
		team: h.Get(berylworker.HeaderTeam), queue: h.Get(berylworker.HeaderQueue), runTime: k.cfg.runTime,
	}
	if req.id == "" {
		return req, malformed(berylworker.HeaderExecutionID)
	}
	var err error
	if req.startBy, err = time.Parse(time.RFC3339Nano, h.Get(berylworker.HeaderStartBy)); err != nil {
		return req, malformed(berylworker.HeaderStartBy)
	}
	if req.leaseExpiry, err = time.Parse(time.RFC3339Nano, h.Get(berylworker.HeaderLeaseExpiry)); err != nil {
		return req, malformed(berylworker.HeaderLeaseExpiry)
	}
	if req.fence, err = parseFence(h); err != nil {
		return req, malformed(berylworker.HeaderFence)
	}
	if v := h.Get(HeaderRunMS); v != "" {
		ms, err := strconv.ParseUint(v, 10, 31)
		if err != nil {
			return req, malformed(HeaderRunMS)
		}
		req.runTime = time.Duration(ms) * time.Millisecond
	}
	if v := h.Get(HeaderAnswerBytes); v != "" {
		if req.answerBytes, err = strconv.Atoi(v); err != nil || req.answerBytes < 0 || req.answerBytes > maxAnswerBytes {
			return req, malformed(HeaderAnswerBytes)
		}
	}
	return req, nil
}

func parseFence(h http.Header) (uint64, error) {
	v := h.Get(berylworker.HeaderFence)
	if v == "" {
		return 0, nil
	}
	return strconv.ParseUint(v, 10, 64)
}

// admit takes a slot, or returns why the work must not start. It is called before the body is read.
func (k *Worker) admit(r *http.Request, req startRequest) *refusal {
	if surplus, ok := r.Context().Value(surplusKey{}).(bool); ok && surplus {
		return unavailable("too_many_connections", fmt.Sprintf("more than %d connections are open", k.cfg.connections))
	}
	if f := req.checkDeadlines(); f != nil {
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

// checkDeadlines returns a refusal if the start-by time has passed or the lease has expired.
func (req startRequest) checkDeadlines() *refusal {
	now := time.Now()
	if now.After(req.startBy) {
		return unavailable("start_by_passed", "start-by passed "+now.Sub(req.startBy).String()+" ago")
	}
	if now.After(req.leaseExpiry) {
		return unavailable("lease_expired", "the lease expired "+now.Sub(req.leaseExpiry).String()+" ago")
	}
	return nil
}

// receive waits while the worker is frozen, reads the body of an admitted request and checks its deadlines again.
func (k *Worker) receive(w http.ResponseWriter, r *http.Request, req startRequest) ([]byte, *refusal) {
	ctx, cancel := context.WithDeadline(r.Context(), req.startBy)
	defer cancel()
	for {
		k.mu.Lock()
		frozen, changed := k.faults.Freeze, k.faultsChanged
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
	// Where read deadlines are not supported, a stalled body is waited for; the check below still prevents a late start.
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(req.startBy)
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		if f := req.checkDeadlines(); f != nil {
			return nil, f
		}
		return nil, badRequest("body: " + err.Error())
	}
	_ = rc.SetReadDeadline(time.Time{})
	return b, req.checkDeadlines()
}
