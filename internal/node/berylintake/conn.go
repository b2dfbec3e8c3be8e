package berylintake

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// bodyTimeout is how long the next progressBytes of a body may take. A caller with 4 kbit/s is still served.
	bodyTimeout = 10 * time.Second
	// writeTimeout is how long one write of an answer may take; at least half of it, since the deadline is set for several
	// writes, which costs less.
	writeTimeout = 30 * time.Second
	// lingerTime is for how long a connection whose request was refused is still read after the answer. If it were closed at
	// once, the client's system could drop the answer.
	lingerTime = 500 * time.Millisecond
	// receiveBuffer bounds the bytes of a connection that the system has received and the process has not read, at half of what
	// the system may use for them; peerBuffer is for other nodes, which send larger requests from further away.
	receiveBuffer = 16 << 10
	peerBuffer    = 32 << 10
	// streamBuffer bounds the bodies on a connection of HTTP/2 that no handler has read; its protocol needs this much.
	streamBuffer = 64 << 10
)

// errStopped ends a request whose rest is not read. net/http does not answer a *net.OpError.
var errStopped = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the rest of the request is not read")}

// Answers to requests whose headers are not complete, which net/http closes without an answer.
const (
	noBudgetAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	tooSlowAnswer  = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// conn is an accepted connection.
type conn struct {
	net.Conn
	intake *Intake

	// The following is guarded by intake.mu.
	usage usage
	// readingHeader is true while no request or the header of one is read.
	readingHeader bool
	// size counts the bytes of the present request, sinceProgress those since its last progress.
	size          int64
	sinceProgress int
	// bodyLeft is true until the body of the present request has been read.
	bodyLeft bool
	// multiplexed is true for HTTP/2, where a connection has several requests at once. It is not closed while it has any.
	multiplexed bool
	// stalled is true after the budget of the present request was given to others.
	stalled bool

	mu sync.Mutex
	// readingBody is true while a body is read under bodyTimeout; untilRenewal is how many bytes are left until it is renewed.
	readingBody  bool
	untilRenewal int
	// encrypted is true if net/http speaks TLS on the connection, so that only it can answer.
	encrypted bool
	// stopped is true when nothing more is read.
	stopped bool
	lingers bool
	// writeDeadlineSet is when the deadline of writes was last set.
	writeDeadlineSet time.Time
	closeOnce        sync.Once
}

// Read charges the header of a request, and limits the time for a body.
func (c *conn) Read(p []byte) (int, error) {
	if c.prepareRead() {
		return 0, c.refuseHeader(KindStalled, noBudgetAnswer)
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.untilRenewal -= n
		c.mu.Unlock()
		if !c.intake.received(c, n) {
			return 0, c.refuseHeader(KindBudget, noBudgetAnswer)
		}
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		c.mu.Lock()
		stopped := c.stopped
		c.mu.Unlock()
		if stopped {
			return n, c.refuseHeader(KindStalled, noBudgetAnswer)
		}
		if c.incompleteHeader() {
			return n, c.refuseHeader(KindSlowHeader, tooSlowAnswer)
		}
	}
	return n, err
}

// prepareRead sets the deadline for a read, and reports whether nothing more is read.
func (c *conn) prepareRead() (stopped bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readingBody && c.untilRenewal <= 0 && !c.stopped {
		c.untilRenewal = progressBytes
		_ = c.Conn.SetReadDeadline(time.Now().Add(bodyTimeout)) // On a closed connection the read fails.
	}
	return c.stopped
}

func (c *conn) incompleteHeader() bool {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	return c.readingHeader && c.size > 0
}

// refuseHeader answers a request whose header is not complete, and returns the error that ends the connection. The
// requests with a complete header are answered by their handlers.
func (c *conn) refuseHeader(k Kind, answer string) error {
	if !c.incompleteHeader() {
		return errStopped
	}
	if k != KindStalled {
		c.intake.count(k) // Stalled requests have been counted.
	}
	c.mu.Lock()
	c.stopped, c.lingers = true, true
	encrypted := c.encrypted
	c.mu.Unlock()
	if !encrypted {
		// A client that does not take the answer finds the connection closed.
		_, _ = c.Write([]byte(answer))
	}
	return errStopped
}

// Write limits the time of a write.
func (c *conn) Write(p []byte) (int, error) {
	now := time.Now()
	c.mu.Lock()
	if now.Sub(c.writeDeadlineSet) > writeTimeout/2 {
		c.writeDeadlineSet = now
		_ = c.Conn.SetWriteDeadline(now.Add(writeTimeout)) // On a closed connection the write fails.
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// SetWriteDeadline is called by net/http to remove the deadline after each answer, which Write sets again when it is due.
func (c *conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline is called by net/http between the requests, and at the end of one to stop its read in the background.
// That read must not set a deadline of its own afterwards.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingBody = false
	if c.stopped {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// startBody begins the time limit of a body.
func (c *conn) startBody() {
	c.intake.readingBody(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingBody, c.untilRenewal = true, 0
}

// endBody ends the time limit of a body.
func (c *conn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readingBody && c.untilRenewal != 0 && !c.stopped {
		_ = c.Conn.SetReadDeadline(time.Time{}) // On a closed connection the next read fails.
	}
	c.readingBody = false
}

// stopReading ends the present and all further reads. lingers is true if an answer follows.
func (c *conn) stopReading(lingers bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped, c.lingers = true, c.lingers || lingers
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // On a closed connection the read fails.
}

// CloseWrite is called by net/http after the answer to a request that it has not read.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection, after lingerTime if its request was refused.
func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		c.mu.Lock()
		lingers := c.lingers
		c.mu.Unlock()
		if lingers && c.CloseWrite() == nil {
			go c.linger()
			return
		}
		c.intake.closed(c)
		err = c.Conn.Close()
	})
	return err
}

// linger discards what the client still sends, then closes the connection.
func (c *conn) linger() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) // On a closed connection the read fails.
	buf := make([]byte, 4<<10)
	for {
		if _, err := c.Conn.Read(buf); err != nil {
			break
		}
	}
	c.intake.closed(c)
	_ = c.Conn.Close() // Its client has closed it, or has had the time for the answer.
}

// listener accepts connections within the limits.
type listener struct {
	net.Listener
	intake *Intake
	peer   bool
}

// Listen returns a listener whose connections count towards the limits; peer is true for that of other nodes.
func (in *Intake) Listen(ln net.Listener, peer bool) net.Listener {
	if tcp, ok := ln.(*net.TCPListener); ok {
		size := receiveBuffer
		if peer {
			size = peerBuffer
		}
		// Without it the system's default applies.
		_ = setReceiveBuffer(tcp, size)
	}
	return &listener{Listener: ln, intake: in, peer: peer}
}

// setReceiveBuffer sets the buffer that connections have from their beginning: a client may send before its connection is accepted.
func setReceiveBuffer(ln *net.TCPListener, size int) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size) })
	return errors.Join(err, optErr)
}

// Accept never waits for budget: if no other connection can be closed for a new one, it closes the new one.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.intake.add(raw, l.peer); c != nil {
			return c, nil
		}
		_ = raw.Close() // Nothing was read from it.
	}
}
