package beryltaskapi

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/node/berylintake"
	"github.com/beryllatch/beryllatch/internal/node/beryltask"
)

// receivePayload reads the body of an admitted submission and returns the event for the reducer. A small payload is
// part of the event; a large one is streamed into the object store.
func (h *Handler) receivePayload(w http.ResponseWriter, r *http.Request, s berylreducer.TaskSubmitted) berylreducer.Event {
	if r.ContentLength <= beryltask.MaxInline {
		payload, err := berylintake.ReadBody(w, r, beryltask.MaxInline)
		if err != nil {
			return berylreducer.PayloadFailed{CallID: s.CallID, Reason: bodyReason(err)}
		}
		return berylreducer.PayloadReceived{CallID: s.CallID, Payload: payload}
	}
	streamed, err := berylintake.Stream(w, r)
	if err != nil {
		return berylreducer.PayloadFailed{CallID: s.CallID, Reason: bodyReason(err)}
	}
	name := "payload/" + s.TaskID
	if err := beryltask.SchedulePayloadDeletion(r.Context(), h.Table, time.Now(), s.TaskID, name); err != nil {
		return berylreducer.PayloadFailed{CallID: s.CallID, Reason: beryllatch.ReasonPlatformUnavailable}
	}
	body := &countingReader{r: streamed}
	err = h.Store.Put(r.Context(), name, body, r.ContentLength)
	switch {
	case body.err != nil:
		return berylreducer.PayloadFailed{CallID: s.CallID, Reason: beryllatch.ReasonBadRequest}
	case err != nil || body.n != r.ContentLength:
		return berylreducer.PayloadFailed{CallID: s.CallID, Reason: beryllatch.ReasonPlatformUnavailable}
	}
	return berylreducer.PayloadReceived{CallID: s.CallID, Object: name}
}

// bodyReason returns the reason of a refusal of a task whose body could not be read.
func bodyReason(err error) beryllatch.Reason {
	var refused *berylintake.RefusedError
	if errors.As(err, &refused) {
		return refused.Reason()
	}
	return beryllatch.ReasonBadRequest
}

// countingReader counts the bytes of a body and keeps its read error, so that a failure of the caller's connection can
// be distinguished from one of the object store.
type countingReader struct {
	r   io.Reader
	n   int64
	err error
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	if err != nil && !errors.Is(err, io.EOF) {
		c.err = err
	}
	return n, err
}
