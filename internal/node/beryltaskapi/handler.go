package beryltaskapi

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/beryllatch/beryllatch/internal/node/berylheader"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/node/berylintake"
	"github.com/beryllatch/beryllatch/internal/node/berylproblem"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
)

// Handler serves the tasks API; set all its fields before use.
type Handler struct {
	// Post queues an event for the reducer.
	Post func(berylreducer.Event)
	// Table gets a row for each large payload before the payload is stored, so that the payload is deleted if its task is
	// not stored.
	Table beryllatch.Table
	// Store holds large payloads and results.
	Store beryllatch.ObjectStore

	calls pendingCalls
}

// Register adds the routes of the handler to a router.
func (h *Handler) Register(r *mux.Router) {
	r.HandleFunc("/v1/queues/{queue}/tasks", h.submit).Methods(http.MethodPost)
	r.HandleFunc("/v1/tasks/{id}", h.getTask).Methods(http.MethodGet)
	r.HandleFunc("/v1/tasks/{id}/result", h.getResult).Methods(http.MethodGet)
	r.HandleFunc("/v1/tasks/{id}", h.cancel).Methods(http.MethodDelete)
}

// Deliver passes an effect to the call that waits for it, and returns false if the effect does not concern the tasks
// API.
func (h *Handler) Deliver(e berylreducer.Effect) bool {
	switch x := e.(type) {
	case berylreducer.ReceivePayload:
		h.calls.deliver(x.CallID, x)
	case berylreducer.AnswerTask:
		h.calls.deliver(x.CallID, x)
	case berylreducer.RefuseTask:
		h.calls.deliver(x.CallID, x)
	default:
		return false
	}
	return true
}

// call is one HTTP call of the API that waits for effects of the reducer.
type call struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	id      string
	effects <-chan berylreducer.Effect
}

func (h *Handler) beginCall(w http.ResponseWriter, r *http.Request) *call {
	id := uuid.NewString()
	w.Header().Set(berylheader.RequestID, id)
	return &call{h: h, w: w, r: r, id: id, effects: h.calls.open(id)}
}

func (c *call) end() { c.h.calls.close(c.id) }

func (c *call) refuse(r beryllatch.Refusal) {
	berylintake.SkipBody(c.w, c.r)
	berylproblem.Write(c.w, c.id, r)
}

func (c *call) refuseBadRequest(err error) {
	c.refuse(beryllatch.Refusal{
		Reason: beryllatch.ReasonBadRequest, RunState: beryllatch.RunStateNotRun, Detail: err.Error(),
	})
}

// awaitAnswer waits for the reducer's answer to the call; it calls receive when the reducer asks for the body. It
// returns false if the reducer has refused the call, after passing the refusal to the caller, or if the caller has
// disconnected.
func (c *call) awaitAnswer(ctx context.Context, receive func()) (berylreducer.AnswerTask, bool) {
	for {
		select {
		case <-ctx.Done():
			return berylreducer.AnswerTask{}, false
		case e := <-c.effects:
			switch e := e.(type) {
			case berylreducer.ReceivePayload:
				receive()
			case berylreducer.AnswerTask:
				return e, true
			case berylreducer.RefuseTask:
				c.refuse(e.Refusal)
				return berylreducer.AnswerTask{}, false
			}
		}
	}
}

func (h *Handler) submit(w http.ResponseWriter, r *http.Request) {
	c := h.beginCall(w, r)
	defer c.end()
	submission, err := parseSubmission(r)
	if err != nil {
		c.refuseBadRequest(err)
		return
	}
	submission.CallID = c.id
	submission.TaskID = newTaskID()
	h.Post(submission)
	a, ok := c.awaitAnswer(r.Context(), func() { h.Post(h.receivePayload(w, r, submission)) })
	if !ok {
		return
	}
	w.Header().Set("Location", "/v1/tasks/"+a.Task.ID)
	writeTask(w, http.StatusAccepted, a.Task)
}

// newTaskID returns an id that sorts by time. The owner of the task's shard finds new tasks by reading the ids of the
// last seconds.
func newTaskID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// lookUp completes the event with the caller's key and the task id, posts it and returns the reducer's answer.
func (h *Handler) lookUp(c *call, r *http.Request, e berylreducer.TaskQueried) (berylreducer.AnswerTask, bool) {
	key, id, err := parseLookup(r)
	if err != nil {
		c.refuseBadRequest(err)
		return berylreducer.AnswerTask{}, false
	}
	e.CallID, e.TaskID, e.KeyHash = c.id, id, key
	h.Post(e)
	return c.awaitAnswer(r.Context(), func() {})
}

func (h *Handler) getTask(w http.ResponseWriter, r *http.Request) {
	c := h.beginCall(w, r)
	defer c.end()
	if a, ok := h.lookUp(c, r, berylreducer.TaskQueried{}); ok {
		writeTask(w, http.StatusOK, a.Task)
	}
}

// cancel answers 202 if the task is cancelled or its cancellation is stored, and 200 with the task's state if it had
// already finished.
func (h *Handler) cancel(w http.ResponseWriter, r *http.Request) {
	c := h.beginCall(w, r)
	defer c.end()
	a, ok := h.lookUp(c, r, berylreducer.TaskQueried{Cancel: true})
	if !ok {
		return
	}
	status := http.StatusOK
	if a.Accepted {
		status = http.StatusAccepted
	}
	writeTask(w, status, a.Task)
}

func writeTask(w http.ResponseWriter, status int, t beryllatch.Task) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(newTaskView(t))
}
