package berylconn

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// ErrSealed reports a write to a sealed connection. A connection is sealed before its request is reported as sent or not
// sent, so that no byte can be sent afterwards.
var ErrSealed = errors.New("connection is sealed")

// Conn counts the bytes that are written to a connection. It refuses writes once it is sealed or its write limit has
// passed.
type Conn struct {
	net.Conn

	mu        sync.Mutex
	byteCount int64
	sealed    bool
	writeBy   time.Time
}

// Write counts p before it writes it, so that the count is never below the number of bytes sent.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.admit(len(p)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// setWriteLimit sets the wall-clock time after which writes fail; the zero time removes the limit.
func (c *Conn) setWriteLimit(t time.Time) {
	c.mu.Lock()
	c.writeBy = t
	c.mu.Unlock()
	// The error is ignored: a closed connection refuses the deadline, but also every later write.
	_ = c.SetWriteDeadline(t)
}

// admit counts n bytes as written, or returns an error if they must not be written.
func (c *Conn) admit(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.sealed:
		return ErrSealed
	case !c.writeBy.IsZero() && time.Now().After(c.writeBy):
		// In a process that was paused, the write deadline takes effect too late.
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

// seal closes the connection, refuses every later write and returns the final count.
func (c *Conn) seal() int64 {
	c.mu.Lock()
	c.sealed = true
	n := c.byteCount
	c.mu.Unlock()
	_ = c.Close()
	return n
}

// DialContext is the type of http.Transport.DialContext.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// CountingDial wraps a dial function so that its connections are of type *Conn.
func CountingDial(d DialContext) DialContext {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c}, nil
	}
}
