package berylcaller

import (
	"context"
	"net/http"

	"github.com/beryllatch/beryllatch/internal/node/berylheader"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/node/beryldaemon"
	"github.com/beryllatch/beryllatch/internal/node/berylproblem"
	"github.com/gorilla/mux"
)

// Node is the part of the daemon that the handler uses.
type Node interface {
	// Submit posts the arrival of a request; the channel delivers the effects that concern it.
	Submit(e berylreducer.RequestArrived) <-chan berylreducer.Effect
	// Post hands an event to the reducer.
	Post(e berylreducer.Event)
	// KeepAnswer holds the whole answer of a keyed request until its claim is settled.
	KeepAnswer(id string, a beryldaemon.Answer)
	// Release forgets the channel of an answered request.
	Release(id string)
}

// Handler serves the requests of callers.
type Handler struct {
	Node     Node
	Upstream beryllatch.Upstream
	// ignoreCuts takes an answer that breaks off for a whole one; only tests set it.
	ignoreCuts bool
}

// Register adds the routes of the handler to a router.
func (h *Handler) Register(r *mux.Router) {
	r.HandleFunc("/v1/queues/{queue}/requests", h.serveRequest).Methods(http.MethodPost)
}

func (h *Handler) serveRequest(w http.ResponseWriter, r *http.Request) {
	in, err := parse(r)
	w.Header().Set(berylheader.RequestID, in.publicID())
	if err != nil {
		berylproblem.Write(w, in.publicID(), beryllatch.Refusal{
			Reason: beryllatch.ReasonBadRequest, RunState: beryllatch.RunStateNotRun, Detail: err.Error(),
		})
		return
	}
	if err := in.body.prefetch(w); err != nil {
		berylproblem.Write(w, in.publicID(), beryllatch.Refusal{
			Reason: beryllatch.ReasonBadRequest, RunState: beryllatch.RunStateNotRun, Detail: err.Error(),
		})
		return
	}
	x := exchange{h: h, w: w, r: r, in: in}
	effects := h.Node.Submit(in.arrival())
	defer h.Node.Release(in.id)
	x.serve(r.Context(), effects)
}

// exchange is one request and its answer.
type exchange struct {
	h  *Handler
	w  http.ResponseWriter
	r  *http.Request
	in *input
	winner
}

func (x *exchange) serve(ctx context.Context, effects <-chan berylreducer.Effect) {
	gone := ctx.Done()
	for {
		select {
		case e := <-effects:
			if x.apply(ctx, e) {
				return
			}
		case <-gone:
			// The reducer ends an abandoned request like any other, with one last effect.
			gone = nil
			x.h.Node.Post(berylreducer.RequestAbandoned{ID: x.in.id})
		}
	}
}

// apply carries out one effect and reports whether the exchange has ended.
func (x *exchange) apply(ctx context.Context, e berylreducer.Effect) bool {
	switch e := e.(type) {
	case berylreducer.Dispatch:
		go x.run(ctx, e)
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

func (x *exchange) finish() {
	if a := x.buffered(); a != nil {
		a.write(x.w)
	}
}

// replay answers with the stored answer of the first request that had the idempotency key.
func (x *exchange) replay(row berylreducer.ClaimRow) {
	x.w.Header().Set(headerReplayed, "true")
	(&answer{status: row.Status, header: row.Header, body: row.Answer}).write(x.w)
}

func (x *exchange) refuse(refusal beryllatch.Refusal) {
	if x.isCommitted() {
		// The caller must not take the part that it has received for a whole answer.
		panic(http.ErrAbortHandler)
	}
	berylproblem.Write(x.w, x.in.publicID(), refusal)
}
