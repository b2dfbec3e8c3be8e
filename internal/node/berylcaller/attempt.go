package berylcaller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/beryllatch/beryllatch/internal/node/beryldaemon"
	"github.com/beryllatch/beryllatch/internal/node/berylheader"
	"github.com/beryllatch/beryllatch/internal/node/berylintake"
)

// answerLimit is the largest answer in bytes that is buffered; a larger one is streamed to the caller.
const answerLimit = 1 << 20

// firstAnswerBuffer is the size of the first buffer for an answer in bytes.
const firstAnswerBuffer = 4 << 10

// answer is a complete answer of a worker, held in memory.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// failed reports whether the worker answered that the job failed.
func (a *answer) failed() bool { return a.status >= http.StatusInternalServerError }

func (a *answer) write(w http.ResponseWriter) {
	copyAnswerHeaders(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// runAttempt sends the request to a worker and posts the outcome of the attempt. If another attempt has answered the
// caller, it may still be running when the exchange is over.
func (x *exchange) runAttempt(ctx context.Context, e berylreducer.Dispatch) {
	// The attempt continues if the caller disconnects, since the outcome of the execution would otherwise be unknown.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), e.AnswerBy.Wall)
	defer cancel()
	start := time.Now()
	result := x.sendAttempt(ctx, e, start)
	if result.Outcome != beryllatch.OutcomeUnknown {
		x.h.Node.Post(result)
		return
	}
	x.h.settle(ctx, e.Execution, start, result)
}

// sendAttempt sends the request to the worker, receives the answer and returns the event with the outcome.
func (x *exchange) sendAttempt(ctx context.Context, e berylreducer.Dispatch, start time.Time) berylreducer.ExecutionEnded {
	result := berylreducer.ExecutionEnded{ID: e.ID, Attempt: e.Attempt, Outcome: beryllatch.OutcomeAnswered}
	a, err := x.execute(ctx, e)
	result.Duration = time.Since(start)
	result.Replayable = x.req.body.replayable() && !x.isCommitted()
	var failed *beryllatch.ExecutionError
	switch {
	case err == nil:
		x.keepAnswer(a)
		result.Failed = a != nil && a.failed()
	case errors.As(err, &failed):
		result.Outcome, result.Reason = failed.Outcome, failed.Reason
	default:
		result.Outcome, result.Reason = beryllatch.OutcomeUnknown, beryllatch.ReasonAnswerLost
	}
	return result
}

// keepAnswer gives the node the answer to a request with an idempotency key, to be stored in the key's claim. The
// answer is nil if it was streamed; the claim then records only that it was too large to be stored.
func (x *exchange) keepAnswer(a *answer) {
	if x.req.idempotencyKey == "" {
		return
	}
	kept := beryldaemon.Answer{Omitted: true}
	if a != nil && len(a.body) <= berylreducer.MaxStoredAnswer {
		kept = beryldaemon.Answer{Status: a.status, Header: http.Header{}, Body: a.body}
		copyAnswerHeaders(kept.Header, a.header)
	}
	x.h.Node.KeepAnswer(x.req.id, kept)
}

// execute sends the request to the worker and returns the complete answer, or nil if it was streamed to the caller.
func (x *exchange) execute(ctx context.Context, e berylreducer.Dispatch) (*answer, error) {
	h := http.Header{}
	copyRequestHeaders(h, x.r.Header)
	h.Set(berylheader.RequestID, x.req.publicID())
	if n := x.req.body.length(); n >= 0 {
		h.Set("Content-Length", strconv.FormatInt(n, 10))
	}
	resp, err := x.h.Upstream.Execute(ctx, e.Execution, h, x.req.body.reader())
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return x.receive(e.Attempt, resp)
}

// receive reads an answer of up to answerLimit bytes completely before the caller gets any of it. It streams a larger
// one to the caller and returns nil, as it does if the node has no memory for the answer.
func (x *exchange) receive(attempt int, resp *http.Response) (*answer, error) {
	head, complete, err := x.readAnswer(resp.Body)
	if err != nil && !x.h.ignoreTruncation {
		return nil, err
	}
	if complete || err != nil {
		a := &answer{status: resp.StatusCode, header: resp.Header, body: head}
		return a, x.setBuffered(attempt, a)
	}
	if err := x.commit(attempt); err != nil {
		return nil, err
	}
	copyAnswerHeaders(x.w.Header(), resp.Header)
	if resp.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	x.w.WriteHeader(resp.StatusCode)
	// A write fails if the caller has disconnected; the answer is still read to its end, to learn the outcome.
	_, _ = x.w.Write(head)
	_, err = io.Copy(&lenientWriter{w: x.w}, resp.Body)
	if x.h.ignoreTruncation {
		return nil, nil
	}
	return nil, err
}

// readAnswer reads an answer until its end, until it has more than answerLimit bytes, or until there is no budget for more of it; complete
// is false then.
func (x *exchange) readAnswer(body io.Reader) (head []byte, complete bool, err error) {
	for {
		if len(head) == cap(head) {
			size := min(max(2*cap(head), firstAnswerBuffer), answerLimit+1)
			if len(head) == size || !x.reserve(size-cap(head)) {
				return head, false, nil
			}
			head = append(make([]byte, 0, size), head...)
		}
		n, err := body.Read(head[len(head):cap(head)])
		head = head[:len(head)+n]
		if errors.Is(err, io.EOF) {
			return head, true, nil
		}
		if err != nil {
			return head, false, err
		}
	}
}

// reserve reports whether an answer may take n more bytes. That of a caller that has disconnected needs no budget: it is kept only for its
// idempotency key, and the team's ceiling bounds how many there are.
func (x *exchange) reserve(n int) bool {
	ctx := x.r.Context()
	return berylintake.Reserve(ctx, int64(n)) == nil || ctx.Err() != nil
}

// lenientWriter writes to the caller until a write fails, then discards everything. It never returns an error, so that
// an error of io.Copy is always one of the worker's answer.
type lenientWriter struct {
	w      io.Writer
	failed bool
}

func (l *lenientWriter) Write(p []byte) (int, error) {
	if !l.failed {
		_, err := l.w.Write(p)
		l.failed = err != nil
	}
	return len(p), nil
}
