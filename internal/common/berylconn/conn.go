package berylconn

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// ErrSealed reports a write to a connection whose request has already been judged.
var ErrSealed = errors.New("connection is sealed")

// Conn counts the bytes handed to a connection, and refuses writes once it is sealed or past its write limit.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	byteCount   int64
	sealed  bool
	writeBy time.Time
}

// Write counts p before it is passed on, so that the count is never below what has left.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.admit(len(p)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// setWriteLimit sets the wall-clock time after which writes fail; the zero time removes it.
func (c *Conn) setWriteLimit(t time.Time) {
	c.mu.Lock()
	c.writeBy = t
	c.mu.Unlock()
	// A closed connection refuses the deadline, and every later write with it.
	_ = c.SetWriteDeadline(t)
}

func (c *Conn) admit(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.sealed:
		return ErrSealed
	case !c.writeBy.IsZero() && time.Now().After(c.writeBy):
		// The runtime's own deadline fires late in a process that was paused.
		return os.ErrDeadlineExceeded
	}
	c.byteCount += int64(n)
	return nil
}

func (c *Conn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byteCount
}

// seal refuses every later write and returns the final count.
func (c *Conn) seal() int64 {
	c.mu.Lock()
	c.sealed = true
	n := c.byteCount
	c.mu.Unlock()
	_ = c.Close()
	return n
}

// DialContext has the signature of http.Transport.DialContext.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// CountingDial returns a dial function whose connections are of type *Conn.
func CountingDial(d DialContext) DialContext {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c}, nil
	}
}
