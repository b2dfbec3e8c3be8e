package berylcaller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch/internal/node/berylheader"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/node/beryldaemon"
	"github.com/beryllatch/beryllatch/internal/node/berylintake"
	"github.com/beryllatch/beryllatch/internal/node/berylproblem"
	"github.com/gorilla/mux"
)

// Node is the part of the daemon that the handler uses.
type Node interface {
	// Submit posts the arrival of a request and returns the channel on which the effects that concern it arrive.
	Submit(e berylreducer.RequestArrived) <-chan berylreducer.Effect
	// Post queues an event for the reducer.
	Post(e berylreducer.Event)
	// KeepAnswer holds the complete answer to a request with an idempotency key until the outcome is stored in the key's
	// claim.
	KeepAnswer(id string, a beryldaemon.Answer)
	// Release removes the channel of a request that has been answered.
	Release(id string)
}

// Handler serves the requests of callers; Node and Upstream must be set.
type Handler struct {
	Node     Node
	Upstream beryllatch.Upstream
	// ignoreTruncation makes the handler take a truncated answer for complete; only tests set it.
	ignoreTruncation bool
}

// Register adds the routes of the handler to a router.
func (h *Handler) Register(r *mux.Router) {
	r.HandleFunc("/v1/queues/{queue}/requests", h.serveRequest).Methods(http.MethodPost)
}

func (h *Handler) serveRequest(w http.ResponseWriter, r *http.Request) {
	q, err := parseRequest(r)
	w.Header().Set(berylheader.RequestID, q.publicID())
	if err != nil {
		berylintake.SkipBody(w, r)
		berylproblem.Write(w, q.publicID(), beryllatch.Refusal{
			Reason: beryllatch.ReasonBadRequest, RunState: beryllatch.RunStateNotRun, Detail: err.Error(),
		})
		return
	}
	if err := q.body.prefetch(w); err != nil {
		berylproblem.Write(w, q.publicID(), bodyRefusal(err))
		return
	}
	x := exchange{h: h, w: w, r: r, req: q}
	effects := h.Node.Submit(q.arrival())
	defer h.Node.Release(q.id)
	x.serve(r.Context(), effects)
}

// bodyRefusal returns the refusal of a request whose body could not be read.
func bodyRefusal(err error) beryllatch.Refusal {
	f := beryllatch.Refusal{Reason: beryllatch.ReasonBadRequest, RunState: beryllatch.RunStateNotRun, Detail: err.Error()}
	var refused *berylintake.RefusedError
	if errors.As(err, &refused) {
		f.Reason = refused.Reason()
		if refused.Status() == http.StatusServiceUnavailable {
			f.RetryAfter = time.Second
		}
	}
	return f
}

// exchange is one request with its answer, over one or more attempts.
type exchange struct {
	h   *Handler
	w   http.ResponseWriter
	r   *http.Request
	req *request
	winner
}

// serve carries out the effects of the request until one of them completes it.
func (x *exchange) serve(ctx context.Context, effects <-chan berylreducer.Effect) {
	disconnected := ctx.Done()
	for {
		select {
		case e := <-effects:
			if x.apply(ctx, e) {
				return
			}
		case <-disconnected:
			// The caller has disconnected. The reducer still completes the request with a last effect, as usual.
			disconnected = nil
			x.h.Node.Post(berylreducer.RequestAbandoned{ID: x.req.id})
		}
	}
}

// apply carries out one effect and reports whether it completes the exchange.
func (x *exchange) apply(ctx context.Context, e berylreducer.Effect) bool {
	switch e := e.(type) {
	case berylreducer.Dispatch:
		go x.runAttempt(ctx, e)
		return false
	case berylreducer.Finish:
		x.finish()
		return true
	case berylreducer.ReplayAnswer:
		x.replay(e.Row)
		return true
	case berylreducer.Refuse:
		x.refuse(e.Refusal)
		return true
	}
	return false
}

// finish sends the buffered answer to the caller; a streamed one has been sent already.
func (x *exchange) finish() {
	if a := x.buffered(); a != nil {
		a.write(x.w)
	}
}

// replay answers with the stored answer to the first request that had the same idempotency key.
func (x *exchange) replay(row berylreducer.ClaimRow) {
	x.w.Header().Set(headerReplayed, "true")
	(&answer{status: row.Status, header: row.Header, body: row.Answer}).write(x.w)
}

// refuse answers with a refusal, or aborts the connection if a part of an answer has been sent.
func (x *exchange) refuse(refusal beryllatch.Refusal) {
	if x.isCommitted() {
		// Aborting the connection shows the caller that the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
	berylintake.SkipBody(x.w, x.r)
	berylproblem.Write(x.w, x.req.publicID(), refusal)
}
