package berylconn

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

// Tracker follows one HTTP/1 request over the connections that the transport gives it.
type Tracker struct {
	// WriteBy is the wall-clock time after which no byte of the request is written; zero means no limit.
	WriteBy time.Time
	// Written, if not nil, is called once the whole request has been written.
	OnWritten func()

	mu      sync.Mutex
	conn    net.Conn
	startCount    int64
	sentEarlier bool
}

// Attach returns a context that makes the transport report to the probe.
func (p *Tracker) Attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { p.gotConn(i.Conn) },
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if i.Err == nil && p.OnWritten != nil {
				p.OnWritten()
			}
		},
	})
}

// MayHaveSent closes the connection of a failed request and tells whether any byte of it may have left.
// It must not be called for a request that was answered, since its connection may serve another one by then.
func (p *Tracker) MayHaveSent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sentEarlier || p.sealLocked()
}

// Close closes the connection of an answered request.
// A connection that the transport already keeps for reuse is sealed too, so that a request which is given it surely
// has not been sent.
func (p *Tracker) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conn.(*Conn); ok {
		c.seal()
	} else if p.conn != nil {
		_ = p.conn.Close()
	}
}

func (p *Tracker) gotConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The transport asks for a second connection only after it has given up the first.
	p.sentEarlier = p.sentEarlier || p.sealLocked()
	p.conn = c
	if counted, ok := c.(*Conn); ok {
		counted.setWriteLimit(p.WriteBy)
		p.startCount = counted.count()
	}
}

func (p *Tracker) sealLocked() bool {
	if p.conn == nil {
		return false
	}
	c, ok := p.conn.(*Conn)
	if !ok {
		// A connection that isn't counted may have carried anything.
		return true
	}
	return c.seal() > p.startCount
}
