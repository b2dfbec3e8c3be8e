package berylintake

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
)

const (
	// maxHeader bounds the header of a request. The platform's clients send under 1 KB.
	maxHeader = 16 << 10
	// headerSlack is what net/http reads beyond MaxHeaderBytes.
	headerSlack = 4 << 10
	// firstBuffer is the size of the first buffer for a body of unknown size.
	firstBuffer = 4 << 10
	// decodeFactor is the memory of a peers' request as a multiple of its size, beside the body that is read here: a growing
	// copy and the decoded message.
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

type connKey struct{}

// Protect makes a server keep the limits for the connections of Listen.
func (in *Intake) Protect(s *http.Server) {
	s.MaxHeaderBytes = maxHeader - headerSlack
	s.Handler = follow(s.Handler)
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok && state == http.StateIdle {
			in.answered(c)
		}
	}
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
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		c.startBody()
		returned := false
		defer func() {
			if !returned {
				c.stopReading() // After a panic, net/http reads the rest of the body otherwise.
			}
		}()
		next.ServeHTTP(w, r)
		returned = true
		c.intake.handled(c)
	})
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
	if c == nil || r.ContentLength >= 0 && r.ContentLength <= smallRequest || !c.intake.hasBodyLeft(c) {
		return
	}
	w.Header().Set("Connection", "close")
	c.stopReading()
}

// ReadBody reads a body of at most limit bytes and charges it until the request is answered. If it is refused, the error is a
// *RefusedError and the rest of it is not read.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	c := connOf(r)
	data, err := read(c, r, limit)
	if c != nil && err == nil {
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
		w.Header().Set("Connection", "close")
	}
	return data, err
}

// read reads a body; c is nil if it isn't charged.
func read(c *conn, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &RefusedError{KindBody, limit}
	}
	// One byte more shows that the body is too large, or lets its end be read.
	most := limit + 1
	if r.ContentLength >= 0 {
		most = r.ContentLength + 1
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			size := min(max(2*int64(cap(data)), firstBuffer), most)
			if c != nil && !c.intake.charge(c, size, size) {
				return nil, &RefusedError{KindBudget, limit}
			}
			grown := make([]byte, len(data), size)
			copy(grown, data)
			if c != nil && cap(data) > 0 {
				c.intake.release(c, int64(cap(data)))
			}
			data = grown
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

// WithBody reads each body of at most limit bytes before it calls next, for handlers that read bodies of any size.
func WithBody(limit func() int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		data, err := ReadBody(w, r, limit())
		if c := connOf(r); c != nil && err == nil {
			if n := int64(len(data)) * decodeFactor; !c.intake.charge(c, n, int64(len(data))) {
				c.intake.count(KindBudget)
				err = &RefusedError{Kind: KindBudget}
			}
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
