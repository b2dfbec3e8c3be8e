package beryldaemon

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/platform/berylgroup"
)

// Answer is a worker's complete answer to a request with an idempotency key. The node holds it until the outcome of the
// request is stored in the claim of that key.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Omitted is true when the body is too large to be stored in the claim.
	Omitted bool
}

// answers holds the answers to requests with an idempotency key, by request id; its zero value works.
type answers struct {
	mu sync.Mutex
	m  map[string]*heldAnswer
}

type heldAnswer struct {
	Answer
	// storing is true once the reducer has asked to store the answer; it may ask again, until the outcome is stored.
	storing bool
}

func (a *answers) put(id string, v Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.m == nil {
		a.m = map[string]*heldAnswer{}
	}
	a.m[id] = &heldAnswer{Answer: v}
}

// beginStore returns the answer and keeps it for a repeated write, until drop is called.
func (a *answers) beginStore(id string) (Answer, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.m[id]
	if h == nil {
		return Answer{}, false
	}
	h.storing = true
	return h.Answer, true
}

func (a *answers) drop(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.m, id)
}

// dropUnlessStoring drops the answer of a completed request, unless it still has to be stored in a claim.
func (a *answers) dropUnlessStoring(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h := a.m[id]; h != nil && !h.storing {
		delete(a.m, id)
	}
}

// executeClaim carries out the effects of idempotency claims, and returns false for any other effect.
func (d *Daemon) executeClaim(ctx context.Context, x berylreducer.Effect) bool {
	switch x := x.(type) {
	case berylreducer.WriteClaim:
		d.writeClaim(x.ID, claimWrite(x.Key, x.Row, x.Expect, x.Expires), nil)
	case berylreducer.ReleaseClaim:
		d.writeClaim(x.ID, claimWrite(x.Key, x.Row, x.Expect, x.Expires), nil)
	case berylreducer.FinishClaim:
		d.finishClaim(x)
	case berylreducer.ReadClaim:
		d.async(ctx, func(ctx context.Context) { d.readClaim(ctx, x) })
	case berylreducer.ReplayAnswer:
		d.deliver(x.ID, x)
	default:
		return false
	}
	return true
}

func claimWrite(key beryllatch.RowKey, row berylreducer.ClaimRow, expect uint64, expires int64) beryllatch.RowWrite {
	// A claim row holds only strings, numbers and bytes, which always encode.
	value, _ := json.Marshal(row)
	return beryllatch.RowWrite{Row: beryllatch.Row{Key: key, Value: value, Expires: expires}, Expect: expect}
}

// writeClaim queues the write of a claim row, which may share a transaction with others. It calls onFinal, if set, once
// the write has succeeded or the row has another version than expected. After any other result the reducer may repeat the
// write.
func (d *Daemon) writeClaim(id string, w beryllatch.RowWrite, onFinal func()) {
	done := func(r berylreducer.WriteResult) {
		if onFinal != nil && (r == berylreducer.WriteDone || r == berylreducer.WriteConflict) {
			onFinal()
		}
		d.Post(berylreducer.ClaimWritten{ID: id, Result: r})
	}
	if !d.claimWriter.Add(berylgroup.Write{Rows: []beryllatch.RowWrite{w}, Done: done}) {
		// The event loop calls this function and is the only reader of events, so it must not block on a full queue.
		go done(berylreducer.WriteFailed)
	}
}

// finishClaim stores the outcome of a request in its claim, together with the answer that this node holds.
func (d *Daemon) finishClaim(x berylreducer.FinishClaim) {
	row := x.Row
	if row.State == berylreducer.ClaimDone {
		a, ok := d.answers.beginStore(x.ID)
		row.Status, row.Header, row.Answer = a.Status, a.Header, a.Body
		row.AnswerOmitted = a.Omitted || !ok
	}
	d.writeClaim(x.ID, claimWrite(x.Key, row, x.Expect, x.Expires), func() { d.answers.drop(x.ID) })
}

func (d *Daemon) readClaim(ctx context.Context, x berylreducer.ReadClaim) {
	stored, err := d.Table.Get(ctx, x.Key)
	e := berylreducer.ClaimRead{ID: x.ID, Failed: err != nil, Version: stored.Version, Expires: stored.Expires}
	if err == nil && stored.Version > 0 {
		e.Failed = json.Unmarshal(stored.Value, &e.Row) != nil
	}
	d.Post(e)
}
