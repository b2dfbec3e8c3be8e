package berylstall

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// StalledError reports a call that was ended because its answer made no progress; Bytes is how much of the answer's body had come.
type StalledError struct{ Bytes int64 }

func (e *StalledError) Error() string {
	return fmt.Sprintf("the answer made no progress after %d bytes", e.Bytes)
}

// limits are the limits of a call: first until its answer begins, next between two parts of the answer.
type limits struct{ first, next time.Duration }

type limitsKey struct{}

// WithLimits returns a context for a call whose answer has to begin within first, and to go on within next after each part of it. A
// deadline would have to cover the transfer too, which takes as long as the size of the answer and the link require.
func WithLimits(ctx context.Context, first, next time.Duration) context.Context {
	return context.WithValue(ctx, limitsKey{}, limits{first, next})
}

// Transport is an http.RoundTripper that applies the limits of a call's context.
//
// When a call has timed out, it closes the idle connections: if they have gone silent as well, each of the next calls would time out
// on one of them.
type Transport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper; the answer's body returns a *StalledError when it has made no progress.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	l, ok := r.Context().Value(limitsKey{}).(limits)
	if !ok {
		resp, err := t.Base.RoundTrip(r)
		t.closeAfterTimeout(err)
		return resp, err
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	b := &body{transport: t, limit: l.next, ctx: ctx, cancel: cancel}
	b.timer = time.AfterFunc(l.first, func() { cancel(&StalledError{Bytes: b.n.Load()}) })
	resp, err := t.Base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, b.end(err)
	}
	b.timer.Reset(l.next)
	b.ReadCloser, resp.Body = resp.Body, b
	return resp, nil
}

// closeAfterTimeout closes the idle connections if err is a timeout.
func (t *Transport) closeAfterTimeout(err error) {
	var stalled *StalledError
	if errors.As(err, &stalled) || errors.Is(err, context.DeadlineExceeded) {
		t.CloseIdleConnections()
	}
}

// CloseIdleConnections closes the idle connections of the base transport.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// body is the body of an answer with limits.
type body struct {
	io.ReadCloser
	transport *Transport
	limit     time.Duration
	ctx       context.Context
	cancel    context.CancelCauseFunc
	timer     *time.Timer
	n         atomic.Int64
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.n.Add(int64(n))
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		return n, b.end(err)
	case n > 0:
		b.timer.Reset(b.limit)
	}
	return n, err
}

// Close ends the call.
func (b *body) Close() error {
	_ = b.end(nil)
	return b.ReadCloser.Close()
}

// end stops the timer and returns the reason for which the call ended: the *StalledError, if there is one, or err.
func (b *body) end(err error) error {
	b.timer.Stop()
	var stalled *StalledError
	if errors.As(context.Cause(b.ctx), &stalled) {
		err = stalled
	}
	b.cancel(nil)
	b.transport.closeAfterTimeout(err)
	return err
}
