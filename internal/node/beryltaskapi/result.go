package beryltaskapi

import (
	"io"
	"net/http"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/node/beryltask"
)

func (h *Handler) getResult(w http.ResponseWriter, r *http.Request) {
	c := h.beginCall(w, r)
	defer c.end()
	a, ok := h.lookUp(c, r, berylreducer.TaskQueried{Result: true})
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	out := &startedWriter{w: w}
	err := beryltask.CopyResult(r.Context(), h.Store, a.Task, out)
	if err == nil {
		return
	}
	if out.started {
		// Aborting the connection shows the caller that the result is incomplete.
		panic(http.ErrAbortHandler)
	}
	c.refuse(beryllatch.Refusal{
		Reason: beryllatch.ReasonPlatformUnavailable, RunState: beryllatch.RunStateNotRun,
		Detail: "the result could not be read",
	})
}

// startedWriter records whether anything has been written; the answer's status can no longer change then.
type startedWriter struct {
	w       io.Writer
	started bool
}

func (s *startedWriter) Write(p []byte) (int, error) {
	s.started = s.started || len(p) > 0
	return s.w.Write(p)
}
