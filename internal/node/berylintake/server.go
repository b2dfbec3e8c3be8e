package berylintake

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/beryllatch/beryllatch"
)

const (
	// maxHeader bounds the header of a request. The platform's clients send under 1 KB.
	maxHeader = 16 << 10
	// headerSlack is what net/http reads beyond MaxHeaderBytes.
	headerSlack = 4 << 10
	// firstBuffer is the size of the first buffer for a body of unknown size.
	firstBuffer = 4 << 10
	// decodeFactor is the memory of the copies of a body that WithBody has read, as a multiple of its size: a growing one and the texts of
	// the decoded message.
	decodeFactor = 2
)

// RefusedError reports a body that was not read to its end. Its call has not been carried out.
type RefusedError struct {
	Kind Kind
	// Limit is the largest body in bytes.
	Limit int64
}

// Error says why the body was refused.
func (e *RefusedError) Error() string {
	switch e.Kind {
	case KindBody:
		return fmt.Sprintf("the body is larger than %d bytes", e.Limit)
	case KindSlowBody:
		return fmt.Sprintf("%d bytes of the body took longer than %s", progressBytes, bodyTimeout)
	}
	return "the node has no memory for the body at the moment"
}

// Status returns the HTTP status of the refusal.
func (e *RefusedError) Status() int {
	switch e.Kind {
	case KindBody:
		return http.StatusRequestEntityTooLarge
	case KindSlowBody:
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}

// Reason returns the reason of the refusal.
func (e *RefusedError) Reason() beryllatch.Reason {
	switch e.Kind {
	case KindBody:
		return beryllatch.ReasonBodyTooLarge
	case KindSlowBody:
		return beryllatch.ReasonRequestTooSlow
	}
	return beryllatch.ReasonNoMemory
}

type connKey struct{}

// chargeKey is the context key of what is charged for a request on a multiplexed connection, as a *atomic.Int64.
type chargeKey struct{}

// Protect makes a server keep the limits for the connections of Listen. Headers have 16 KB unless the server has a limit of its own.
// Call it after everything else of the server has been set.
func (in *Intake) Protect(s *http.Server) {
	if s.MaxHeaderBytes == 0 {
		s.MaxHeaderBytes = maxHeader - headerSlack
	}
	s.HTTP2 = &http.HTTP2Config{MaxReceiveBufferPerConnection: streamBuffer, MaxReceiveBufferPerStream: streamBuffer}
	s.Handler = follow(s.Handler)
	connContext, connState := s.ConnContext, s.ConnState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		accepted, _ := unwrap(c)
		return context.WithValue(ctx, connKey{}, accepted)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		accepted, encrypted := unwrap(c)
		switch {
		case accepted == nil:
		case state == http.StateNew && encrypted:
			accepted.mu.Lock()
			accepted.encrypted = true
			accepted.mu.Unlock()
		case state == http.StateIdle:
			in.answered(accepted)
		}
		if connState != nil {
			connState(c, state)
		}
	}
}

// unwrap returns the accepted connection below a connection of net/http, or nil, and whether there is TLS between.
func unwrap(c net.Conn) (accepted *conn, encrypted bool) {
	if t, ok := c.(*tls.Conn); ok {
		c, encrypted = t.NetConn(), true
	}
	accepted, _ = c.(*conn)
	return accepted, encrypted
}

// follow records the beginning and the end of each request.
func follow(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.intake.began(c, r)
		if r.ProtoMajor > 1 {
			followStream(w, r, c, next)
			return
		}
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		returned := false
		defer func() {
			if !returned {
				c.stopReading(false) // After a panic, net/http reads the rest of the body otherwise.
			}
		}()
		next.ServeHTTP(w, r)
		returned = true
		if c.intake.hasBodyLeft(c) {
			c.startBody() // net/http may read the rest.
		}
	})
}

// followStream serves a request on a multiplexed connection, whose header and body were received without a charge.
func followStream(w http.ResponseWriter, r *http.Request, c *conn, next http.Handler) {
	var charged atomic.Int64
	ctx := context.WithValue(r.Context(), chargeKey{}, &charged)
	defer func() { c.intake.release(c, charged.Load()) }()
	if err := Reserve(ctx, connectionCharge+headerFactor*headerSize(r)); err != nil {
		writeRefusal(w, err)
		return
	}
	next.ServeHTTP(w, r.WithContext(ctx))
}

// connOf returns the connection of a request, or nil if it has no limits.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// headerSize returns about how many bytes the header of a request has.
func headerSize(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return int64(n)
}

// SkipBody makes the server answer without reading the rest of the body, and close the connection. A small body with
// a declared length is left to net/http, which reads it so that the connection can be used again.
func SkipBody(w http.ResponseWriter, r *http.Request) {
	c := connOf(r)
	if c == nil || r.ProtoMajor > 1 || !c.intake.hasBodyLeft(c) {
		return
	}
	if r.ContentLength > 0 && r.ContentLength <= smallRequest {
		c.startBody()
		return
	}
	w.Header().Set("Connection", "close")
	c.stopReading(true)
}

// ReadBody reads a body of at most limit bytes and charges it until the request is answered. If it is refused, the error is a
// *RefusedError and the rest of it is not read.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	c := connOf(r)
	if c != nil && r.ProtoMajor == 1 {
		c.startBody()
	}
	data, err := read(c, w, r, limit)
	if c != nil && r.ProtoMajor == 1 && err == nil {
		c.endBody()
		if !c.intake.bodyEnded(c) {
			err = &RefusedError{KindStalled, limit}
		}
	}
	var refused *RefusedError
	if errors.As(err, &refused) {
		if c != nil && refused.Kind != KindStalled {
			c.intake.count(refused.Kind) // Stalled requests have been counted.
		}
		SkipBody(w, r)
		if r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
	}
	return data, err
}

// read reads a body; c is nil if it isn't charged.
func read(c *conn, w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &RefusedError{KindBody, limit}
	}
	// One byte more shows that the body is too large, or lets its end be read.
	most := limit + 1
	if r.ContentLength >= 0 {
		most = r.ContentLength + 1
	}
	var data []byte
	renewAt := 0
	for {
		if len(data) == cap(data) {
			size := min(max(2*int64(cap(data)), firstBuffer), most)
			if !charge(r.Context(), size) {
				return nil, &RefusedError{KindBudget, limit}
			}
			grown := make([]byte, len(data), size)
			copy(grown, data)
			discharge(r.Context(), int64(cap(data)))
			data = grown
		}
		if r.ProtoMajor > 1 && len(data) >= renewAt {
			// Deadlines of HTTP/2 are those of a request; where they are not supported, the read waits for the client.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
			renewAt = len(data) + progressBytes
		}
		n, err := r.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if int64(len(data)) > limit {
			return nil, &RefusedError{KindBody, limit}
		}
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err == nil:
		case c != nil && c.intake.hasStalled(c):
			return nil, &RefusedError{KindStalled, limit}
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, &RefusedError{KindSlowBody, limit}
		default:
			return nil, err
		}
	}
}

// Reserve charges n bytes for what a request becomes until it is answered, such as its decoded form. ctx is that of the request. If
// there is no budget, the error is a *RefusedError.
func Reserve(ctx context.Context, n int64) error {
	c, _ := ctx.Value(connKey{}).(*conn)
	if charge(ctx, n) {
		return nil
	}
	c.intake.count(KindBudget)
	return &RefusedError{Kind: KindBudget}
}

// charge charges n bytes until the request with the context is answered, unless its connection has no limits.
func charge(ctx context.Context, n int64) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || c == nil {
		return true
	}
	if !c.intake.charge(c, n, n) {
		return false
	}
	if charged, ok := ctx.Value(chargeKey{}).(*atomic.Int64); ok {
		charged.Add(n)
	}
	return true
}

// discharge gives back n bytes of charge before the request is answered.
func discharge(ctx context.Context, n int64) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || c == nil || n == 0 {
		return
	}
	c.intake.release(c, n)
	if charged, ok := ctx.Value(chargeKey{}).(*atomic.Int64); ok {
		charged.Add(-n)
	}
}

// WithBody reads each body of at most limit bytes before it calls next, for handlers that read bodies of any size. decoded returns how
// many bytes the body takes once it is decoded, beside copies of it.
func WithBody(limit func() int64, decoded func(r *http.Request, body []byte) int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		data, err := ReadBody(w, r, limit())
		if err == nil {
			err = Reserve(r.Context(), int64(len(data))*decodeFactor+decoded(r, data))
		}
		if err != nil {
			writeRefusal(w, err)
			return
		}
		copied := *r
		copied.Body = io.NopCloser(bytes.NewReader(data))
		next.ServeHTTP(w, &copied)
	})
}

func writeRefusal(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var refused *RefusedError
	if errors.As(err, &refused) {
		status = refused.Status()
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	http.Error(w, err.Error(), status)
}

// WithoutBody is for handlers that read no body.
func WithoutBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		SkipBody(w, r)
		next.ServeHTTP(w, r)
	})
}
