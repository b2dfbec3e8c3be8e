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
)

// answerLimit is the largest answer that is buffered; a larger one is streamed to the caller.
const answerLimit = 1 << 20

// answer is a whole buffered answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// failed reports whether the worker answered that the job failed.
func (a *answer) failed() bool { return a.status >= http.StatusInternalServerError }

func (a *answer) write(w http.ResponseWriter) {
	passAnswer(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// run sends the request to the worker and posts the end of the attempt. It may outlive the exchange, if another attempt
// has answered.
func (x *exchange) run(ctx context.Context, e berylreducer.Dispatch) {
	// The caller's departure must not cut an execution, whose outcome would then be unknown.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), e.AnswerBy.Wall)
	defer cancel()
	start := time.Now()
	ended := x.send(ctx, e, start)
	if ended.Outcome != beryllatch.OutcomeUnknown {
		x.h.Node.Post(ended)
		return
	}
	x.h.settle(ctx, e.Execution, start, ended)
}

func (x *exchange) send(ctx context.Context, e berylreducer.Dispatch, start time.Time) berylreducer.ExecutionEnded {
	ended := berylreducer.ExecutionEnded{ID: e.ID, Attempt: e.Attempt, Outcome: beryllatch.OutcomeAnswered}
	a, err := x.execute(ctx, e)
	ended.Duration = time.Since(start)
	ended.Replayable = x.in.body.replayable() && !x.isCommitted()
	var failed *beryllatch.ExecutionError
	switch {
	case err == nil:
		x.keep(a)
		ended.Failed = a != nil && a.failed()
	case errors.As(err, &failed):
		ended.Outcome, ended.Reason = failed.Outcome, failed.Reason
	default:
		ended.Outcome, ended.Reason = beryllatch.OutcomeUnknown, beryllatch.ReasonAnswerLost
	}
	return ended
}

// keep hands the answer of a keyed request to the node, which stores it with the claim; nil is a streamed answer.
func (x *exchange) keep(a *answer) {
	if x.in.idempotencyKey == "" {
		return
	}
	kept := beryldaemon.Answer{Omitted: true}
	if a != nil && len(a.body) <= berylreducer.MaxStoredAnswer {
		kept = beryldaemon.Answer{Status: a.status, Header: http.Header{}, Body: a.body}
		passAnswer(kept.Header, a.header)
	}
	x.h.Node.KeepAnswer(x.in.id, kept)
}

// execute returns the whole answer, or nil if it was streamed to the caller.
func (x *exchange) execute(ctx context.Context, e berylreducer.Dispatch) (*answer, error) {
	h := http.Header{}
	passRequest(h, x.r.Header)
	h.Set(berylheader.RequestID, x.in.publicID())
	if n := x.in.body.length(); n >= 0 {
		h.Set("Content-Length", strconv.FormatInt(n, 10))
	}
	resp, err := x.h.Upstream.Execute(ctx, e.Execution, h, x.in.body.reader())
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return x.receive(e.Attempt, resp)
}

// receive buffers a small answer whole; a larger one is passed on as it arrives.
func (x *exchange) receive(attempt int, resp *http.Response) (*answer, error) {
	head, err := io.ReadAll(io.LimitReader(resp.Body, answerLimit+1))
	if err != nil && !x.h.ignoreCuts {
		return nil, err
	}
	if len(head) <= answerLimit {
		a := &answer{status: resp.StatusCode, header: resp.Header, body: head}
		return a, x.take(attempt, a)
	}
	if err := x.commit(attempt); err != nil {
		return nil, err
	}
	passAnswer(x.w.Header(), resp.Header)
	if resp.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	x.w.WriteHeader(resp.StatusCode)
	// A failed write means that the caller has gone; the answer is read to its end all the same.
	_, _ = x.w.Write(head)
	_, err = io.Copy(&lenientWriter{w: x.w}, resp.Body)
	if x.h.ignoreCuts {
		return nil, nil
	}
	return nil, err
}

// lenientWriter drops what a departed caller cannot receive, so that only the worker's errors are seen.
type lenientWriter struct {
	w    io.Writer
	gone bool
}

func (l *lenientWriter) Write(p []byte) (int, error) {
	if !l.gone {
		_, err := l.w.Write(p)
		l.gone = err != nil
	}
	return len(p), nil
}
