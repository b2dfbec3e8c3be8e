package berylworker

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylconn"
)

// ErrStartByPassed reports a request that was not completely written before its start-by time.
var ErrStartByPassed = errors.New("start-by passed before the request was written")

// ErrUnframed reports an answer whose end cannot be distinguished from a broken connection.
var ErrUnframed = errors.New("answer has neither a content length nor chunked encoding")

// exchange is one request to a worker and its answer.
type exchange struct {
	method  string
	address string
	path    string
	// rawPath is the escaped path; empty if it needs no escapes.
	rawPath string
	// id is sent with the request; the answer must carry the same one.
	id     string
	header http.Header
	body   io.Reader
	// expectContinue makes the transport wait for the worker's consent (100 Continue) before it sends the body.
	expectContinue bool
	// startBy is the latest time for writing the request, and answerBy the latest time for reading the answer; zero means
	// no limit.
	startBy  time.Time
	answerBy time.Time
}

// withAction returns the exchange with the path of an action on the execution or task that its id names.
func (x exchange) withAction(prefix, action string) exchange {
	x.path, x.rawPath = prefix+x.id+action, prefix+url.PathEscape(x.id)+action
	return x
}

// do sends the request once and returns the answer, whatever its status. It returns an error instead if the answer does
// not carry the exchange's id, has no detectable end, or says that the work was not run.
func (c *Client) do(parent context.Context, x exchange) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(parent)
	release := func() { cancel(nil) }
	if !x.answerBy.IsZero() {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, x.answerBy)
		release = func() { stop(); cancel(nil) }
	}
	tracker := &berylconn.Tracker{WriteBy: x.startBy}
	if !x.startBy.IsZero() {
		t := time.AfterFunc(time.Until(x.startBy), func() { cancel(ErrStartByPassed) })
		tracker.OnWritten = func() { t.Stop() }
		defer t.Stop()
	}
	req := x.newRequest(tracker.Attach(ctx))
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		err = roundTripError(parent, ctx, !tracker.MayHaveSent() || c.cfg.assumeNotSent, err)
		release()
		return nil, err
	}
	if err := c.checkAnswer(resp, x.id); err != nil && !c.cfg.skipAnswerCheck {
		// Further bytes of another execution's answer may arrive on the connection, so it must not be reused.
		tracker.Close()
		_ = resp.Body.Close()
		release()
		return nil, err
	}
	if resp.Header.Get(HeaderRunState) == string(beryllatch.RunStateNotRun) {
		defer release()
		return nil, &beryllatch.ExecutionError{
			Outcome: beryllatch.OutcomeRefused, Reason: beryllatch.ReasonWorkerRefused, Err: statusError(resp),
		}
	}
	resp.Body = &answerBody{ReadCloser: resp.Body, release: release, acceptTruncated: c.cfg.acceptTruncated}
	return resp, nil
}

func (x exchange) newRequest(ctx context.Context) *http.Request {
	h := x.header
	if h == nil {
		h = make(http.Header)
	}
	h.Set(HeaderExecutionID, x.id)
	req := &http.Request{
		Method: x.method, URL: &url.URL{Scheme: "http", Host: x.address, Path: x.path, RawPath: x.rawPath}, Host: x.address,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: h,
	}
	if x.method != http.MethodGet {
		req.Body, req.ContentLength = onceBody{x.body}, x.contentLength()
	}
	if x.expectContinue {
		h.Set("Expect", "100-continue")
	}
	return req.WithContext(ctx)
}

// contentLength returns the length of the body, or 0 if it is unknown; the transport then uses chunked encoding.
func (x exchange) contentLength() int64 {
	if b, ok := x.body.(interface{ Len() int }); ok {
		return int64(b.Len())
	}
	n, err := strconv.ParseInt(x.header.Get("Content-Length"), 10, 64)
	if err != nil || n < 0 || x.body == nil {
		return 0
	}
	return n
}

// onceBody hides the type of a body, so that the transport can neither rewind it nor see that it is empty. Either would
// let the transport repeat the request.
type onceBody struct{ r io.Reader }

// Read reads from the body; a nil body is empty.
func (b onceBody) Read(p []byte) (int, error) {
	if b.r == nil {
		return 0, io.EOF
	}
	return b.r.Read(p)
}

// Close closes the body if it is an io.Closer.
func (b onceBody) Close() error {
	if c, ok := b.r.(io.Closer); ok {
		return c.Close()
	}
	return nil
}

// roundTripError returns the error of an exchange without an answer; notSent says that no byte of the request can have
// reached the worker.
func roundTripError(parent, ctx context.Context, notSent bool, err error) error {
	e := &beryllatch.ExecutionError{
		Outcome: beryllatch.OutcomeUnknown, Reason: beryllatch.ReasonAnswerLost, Err: err,
	}
	if notSent {
		e.Outcome, e.Reason = beryllatch.OutcomeNotSent, beryllatch.ReasonWorkerUnreachable
	}
	if cause := context.Cause(ctx); cause != nil {
		e.Err = cause
	}
	if errors.Is(parent.Err(), context.Canceled) {
		e.Reason = beryllatch.ReasonCallerGone
	}
	return e
}

// checkAnswer checks that the answer carries the id, and that it is final and its end can be detected.
func (c *Client) checkAnswer(resp *http.Response, id string) error {
	if got := resp.Header.Get(HeaderExecutionID); got != id {
		return &beryllatch.ExecutionError{
			Outcome: beryllatch.OutcomeUnknown, Reason: beryllatch.ReasonAnswerMismatch,
			Err: &MismatchError{Want: id, Got: got},
		}
	}
	framed := resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked") || c.cfg.acceptTruncated
	if !framed || resp.StatusCode < http.StatusOK {
		return &beryllatch.ExecutionError{
			Outcome: beryllatch.OutcomeUnknown, Reason: beryllatch.ReasonAnswerLost, Err: ErrUnframed,
		}
	}
	return nil
}

// answerBody reports a truncated body as an unknown outcome.
type answerBody struct {
	io.ReadCloser
	release         func()
	acceptTruncated bool
}

// Read returns a *beryllatch.ExecutionError for every error except io.EOF.
func (a *answerBody) Read(p []byte) (int, error) {
	n, err := a.ReadCloser.Read(p)
	if err == nil || err == io.EOF { //nolint:errorlint // Only io.EOF itself marks the end; a wrapped one is an error.
		return n, err
	}
	if a.acceptTruncated {
		return n, io.EOF
	}
	return n, &beryllatch.ExecutionError{
		Outcome: beryllatch.OutcomeUnknown, Reason: beryllatch.ReasonAnswerLost, Err: err,
	}
}

// Close closes the body and releases the resources of the exchange.
func (a *answerBody) Close() error {
	defer a.release()
	return a.ReadCloser.Close()
}
