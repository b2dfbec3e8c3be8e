package berylconn

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

// Tracker finds out whether any byte of one HTTP/1 request may have been sent, on any connection that the transport uses
// for it. The result is exact for connections of a CountingDial; on any other connection, the whole request counts as sent.
type Tracker struct {
	// WriteBy is the wall-clock time after which no byte of the request is written; zero means no limit.
	WriteBy time.Time
	// OnWritten, if not nil, is called once the whole request has been written.
	OnWritten func()

	mu   sync.Mutex
	conn net.Conn
	// startCount is the byte count of conn when the request got it.
	startCount int64
	// sentEarlier is true if bytes may have been sent on an earlier connection.
	sentEarlier bool
}

// Attach returns a context for the request with which the transport reports to the tracker.
func (t *Tracker) Attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { t.gotConn(i.Conn) },
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if i.Err == nil && t.OnWritten != nil {
				t.OnWritten()
			}
		},
	})
}

// MayHaveSent closes the connection of a failed request and reports whether any byte of the request may have been sent.
// It must not be called for a request that was answered: the connection may already serve another request.
func (t *Tracker) MayHaveSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sentEarlier || t.sealLocked()
}

// Close closes the connection of an answered request, so that it is not reused. The transport may already keep it for
// reuse; because it is sealed, a request that is assigned to it from then on certainly is not sent.
func (t *Tracker) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.conn.(*Conn); ok {
		c.seal()
	} else if t.conn != nil {
		_ = t.conn.Close()
	}
}

func (t *Tracker) gotConn(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// The transport takes another connection only after it has given up the first.
	t.sentEarlier = t.sentEarlier || t.sealLocked()
	t.conn = c
	if counted, ok := c.(*Conn); ok {
		counted.setWriteLimit(t.WriteBy)
		t.startCount = counted.count()
	}
}

func (t *Tracker) sealLocked() bool {
	if t.conn == nil {
		return false
	}
	c, ok := t.conn.(*Conn)
	if !ok {
		// On a connection that doesn't count its bytes, any may have been sent.
		return true
	}
	return c.seal() > t.startCount
}
