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

// ErrStartByPassed reports a request that was not wholly written before its start-by.
var ErrStartByPassed = errors.New("start-by passed before the request was written")

// ErrUnframed reports an answer whose end cannot be told from a broken connection.
var ErrUnframed = errors.New("answer has neither a length nor chunks")

// exchange is one request to a worker.
type exchange struct {
	method  string
	address string
	path    string
	// rawPath is the escaped path; empty if it needs no escapes.
	rawPath string
	id      string
	header  http.Header
	body    io.Reader
	// expect asks the worker's consent before the body is sent.
	expect bool
	// startBy ends the writing and answerBy the whole exchange; zero means no limit.
	startBy  time.Time
	answerBy time.Time
}

// at returns the exchange with the path of an action on the work that its id names.
func (x exchange) at(prefix, action string) exchange {
	x.path, x.rawPath = prefix+x.id+action, prefix+url.PathEscape(x.id)+action
	return x
}

// do sends the request once and returns the answer, of any status, that carries the exchange's id.
func (c *Client) do(parent context.Context, x exchange) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(parent)
	end := func() { cancel(nil) }
	if !x.answerBy.IsZero() {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, x.answerBy)
		end = func() { stop(); cancel(nil) }
	}
	probe := &berylconn.Probe{WriteBy: x.startBy}
	if !x.startBy.IsZero() {
		t := time.AfterFunc(time.Until(x.startBy), func() { cancel(ErrStartByPassed) })
		probe.Written = func() { t.Stop() }
		defer t.Stop()
	}
	req := x.request(probe.Attach(ctx))
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		err = failure(parent, ctx, !probe.Sent() || c.cfg.errorsNotSent, err)
		end()
		return nil, err
	}
	if err := c.check(resp, x.id); err != nil && !c.cfg.anyAnswer {
		// The connection may still carry the answer of another execution.
		probe.Close()
		_ = resp.Body.Close()
		end()
		return nil, err
	}
	if resp.Header.Get(HeaderRunState) == string(beryllatch.RunStateNotRun) {
		defer end()
		return nil, &beryllatch.ExecutionError{
			Outcome: beryllatch.OutcomeRefused, Reason: beryllatch.ReasonWorkerRefused, Err: statusError(resp),
		}
	}
	resp.Body = &answer{ReadCloser: resp.Body, end: end, cutIsEnd: c.cfg.cutIsEnd}
	return resp, nil
}

func (x exchange) request(ctx context.Context) *http.Request {
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
		req.Body, req.ContentLength = onceBody{x.body}, x.length()
	}
	if x.expect {
		h.Set("Expect", "100-continue")
	}
	return req.WithContext(ctx)
}

// length returns the length of the body, or 0 if it isn't known; the transport then sends chunks.
func (x exchange) length() int64 {
	if b, ok := x.body.(interface{ Len() int }); ok {
		return int64(b.Len())
	}
	n, err := strconv.ParseInt(x.header.Get("Content-Length"), 10, 64)
	if err != nil || n < 0 || x.body == nil {
		return 0
	}
	return n
}

// onceBody hides the type of a body, so that the transport can neither rewind nor skip it.
type onceBody struct{ r io.Reader }

// Read reads from the body; a nil body is empty.
func (b onceBody) Read(p []byte) (int, error) {
	if b.r == nil {
		return 0, io.EOF
	}
	return b.r.Read(p)
}

// Close closes the body if it can be closed.
func (b onceBody) Close() error {
	if c, ok := b.r.(io.Closer); ok {
		return c.Close()
	}
	return nil
}

func failure(parent, ctx context.Context, notSent bool, err error) error {
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

func (c *Client) check(resp *http.Response, id string) error {
	if got := resp.Header.Get(HeaderExecutionID); got != id {
		return &beryllatch.ExecutionError{
			Outcome: beryllatch.OutcomeUnknown, Reason: beryllatch.ReasonAnswerMismatch,
			Err: &MismatchError{Want: id, Got: got},
		}
	}
	framed := resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked") || c.cfg.cutIsEnd
	if !framed || resp.StatusCode < http.StatusOK {
		return &beryllatch.ExecutionError{
			Outcome: beryllatch.OutcomeUnknown, Reason: beryllatch.ReasonAnswerLost, Err: ErrUnframed,
		}
	}
	return nil
}

// answer reports a body that was cut short as an unknown outcome.
type answer struct {
	io.ReadCloser
	end      func()
	cutIsEnd bool
}

// Read returns an *beryllatch.ExecutionError for anything but the end of the answer.
func (a *answer) Read(p []byte) (int, error) {
	n, err := a.ReadCloser.Read(p)
	if err == nil || err == io.EOF { //nolint:errorlint // A reader's end is io.EOF itself; a wrapped one is a failure.
		return n, err
	}
	if a.cutIsEnd {
		return n, io.EOF
	}
	return n, &beryllatch.ExecutionError{
		Outcome: beryllatch.OutcomeUnknown, Reason: beryllatch.ReasonAnswerLost, Err: err,
	}
}

// Close ends the exchange.
func (a *answer) Close() error {
	defer a.end()
	return a.ReadCloser.Close()
}
