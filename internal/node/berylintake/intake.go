package berylintake

import (
	"maps"
	"net"
	"net/http"
	"sync"
	"time"
)

// Kind is a kind of refusal, as counted and logged.
type Kind string

// The kinds of refusals.
const (
	// KindBody is a body that is larger than allowed, KindHeader such a header.
	KindBody   Kind = "body_too_large"
	KindHeader Kind = "header_too_large"
	// KindSlowBody and KindSlowHeader are requests that came too slowly.
	KindSlowBody   Kind = "body_too_slow"
	KindSlowHeader Kind = "header_too_slow"
	// KindBudget is a request for which there was no budget, KindStalled one whose budget was given to others.
	KindBudget  Kind = "no_budget"
	KindStalled Kind = "stalled"
	// KindConnection is a connection that was closed for a new one, KindFull a new one that was closed since all others were
	// being answered.
	KindConnection Kind = "connection_closed"
	KindFull       Kind = "connections_full"
)

const (
	// connectionCharge is the memory of a connection without a request: a goroutine and the buffers of net/http.
	connectionCharge = 16 << 10
	// headerFactor is the memory of a decoded header as a multiple of its size; the worst are short fields with
	// different names.
	headerFactor = 16
	// headerEstimate is the charge above which the size of a header is worked out; most headers stay below it.
	headerEstimate = headerFactor * 1 << 10
	// progressBytes is how many bytes of a request count as progress.
	progressBytes = 4 << 10
)

// Intake is the budget and the connections of a process; use New to make one.
type Intake struct {
	limits Limits

	mu    sync.Mutex
	used  int64
	conns map[*conn]struct{}
	// refused counts the refusals since the last call of takeRefused.
	refused map[Kind]int64
}

// New returns an intake without connections.
func New(limits Limits) *Intake {
	return &Intake{limits: limits, conns: make(map[*conn]struct{}), refused: make(map[Kind]int64)}
}

// Usage returns the charged bytes and the open connections.
func (in *Intake) Usage() (bytes int64, connections int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.used, len(in.conns)
}

// takeRefused returns how many refusals of each kind there were since its last call.
func (in *Intake) takeRefused() map[Kind]int64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	out := maps.Clone(in.refused)
	clear(in.refused)
	return out
}

func (in *Intake) count(k Kind) {
	in.mu.Lock()
	in.refused[k]++
	in.mu.Unlock()
}

// add registers a new connection, and closes another one if there are too many. It returns nil if none may be closed.
func (in *Intake) add(raw net.Conn, peer bool) *conn {
	now := time.Now()
	c := &conn{Conn: raw, intake: in, readingHeader: true, usage: usage{peer: peer, progress: now}}
	in.mu.Lock()
	var closed []*conn
	for len(in.conns) >= in.limits.Connections || !in.limits.granted(in.used, connectionCharge, 0) {
		v := in.leastUseful()
		if v == nil {
			in.refused[KindFull]++
			in.mu.Unlock()
			closeAll(closed)
			return nil
		}
		in.refused[KindConnection]++
		in.remove(v)
		closed = append(closed, v)
	}
	in.conns[c] = struct{}{}
	in.used += connectionCharge
	in.mu.Unlock()
	closeAll(closed)
	return c
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Conn.Close() // Its server goroutine notices, and closes it again.
	}
}

// leastUseful returns the connection that is closed for a new one, or nil. The caller holds in.mu.
func (in *Intake) leastUseful() *conn {
	var first *conn
	for c := range in.conns {
		if _, ok := c.usage.rank(); ok && (first == nil || c.usage.closesBefore(first.usage)) {
			first = c
		}
	}
	return first
}

// remove takes a connection and its charges out of the accounts. The caller holds in.mu.
func (in *Intake) remove(c *conn) {
	if _, ok := in.conns[c]; !ok {
		return
	}
	delete(in.conns, c)
	in.used -= connectionCharge + c.usage.held
	c.usage.held = 0
}

// charge charges n bytes for the present request of a connection, of which size bytes are received or expected next. If
// there is no budget, requests that stall are ended first.
func (in *Intake) charge(c *conn, n, size int64) bool {
	in.mu.Lock()
	granted, stalled := in.tryCharge(c, n, size)
	in.mu.Unlock()
	for _, v := range stalled {
		v.stopReading(true)
	}
	return granted
}

// tryCharge returns whether n bytes were charged, and the requests that have to be ended. The caller holds in.mu.
func (in *Intake) tryCharge(c *conn, n, size int64) (granted bool, stalled []*conn) {
	if _, ok := in.conns[c]; !ok {
		return false, nil
	}
	if !in.limits.granted(in.used, n, size) {
		now := time.Now()
		for v := range in.conns {
			if v != c && v.usage.stalled(now) {
				in.refused[KindStalled]++
				in.used -= v.usage.held
				v.usage.held, v.stalled = 0, true
				stalled = append(stalled, v)
			}
		}
		if !in.limits.granted(in.used, n, size) {
			return false, stalled
		}
	}
	in.used += n
	c.usage.held += n
	return true, stalled
}

// release gives back n bytes that were charged for the present request.
func (in *Intake) release(c *conn, n int64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	n = min(n, c.usage.held)
	in.used -= n
	c.usage.held -= n
}

// received records n bytes from a connection. It returns false if they belong to a header for which there is no budget.
func (in *Intake) received(c *conn, n int) bool {
	in.mu.Lock()
	c.size += int64(n)
	c.sinceProgress += n
	if c.sinceProgress >= progressBytes {
		c.sinceProgress = 0
		c.usage.progress = time.Now()
	}
	var stalled []*conn
	granted := true
	if c.readingHeader {
		granted, stalled = in.tryCharge(c, int64(n)*headerFactor, c.size)
	}
	in.mu.Unlock()
	for _, v := range stalled {
		v.stopReading(true)
	}
	return granted
}

// began records that the header of a request is complete, and reduces the charge to what it needs: a part of the body may have
// been received with it.
func (in *Intake) began(c *conn, r *http.Request) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if c.readingHeader && c.usage.held > headerEstimate {
		if n := c.usage.held - headerFactor*headerSize(r); n > 0 {
			in.used -= n
			c.usage.held -= n
		}
	}
	c.readingHeader = false
	c.bodyLeft = r.ContentLength != 0
	c.usage.answering = true
	c.multiplexed = r.ProtoMajor > 1
	c.usage.progress = time.Now()
}

// readingBody records that the rest of a request is awaited.
func (in *Intake) readingBody(c *conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	c.usage.answering = c.multiplexed || !c.bodyLeft
}

// readBody records that the handler has got a part of the body, the last one if ended is set, and that the client is not waited for.
func (in *Intake) readBody(c *conn, ended bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	c.bodyLeft = c.bodyLeft && !ended
	c.usage.answering = !c.stalled
}

// bodyEnded records that the body of a request is complete. It returns false if its budget has been given to others.
func (in *Intake) bodyEnded(c *conn) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	c.bodyLeft = false
	c.usage.answering = !c.stalled
	return !c.stalled
}

func (in *Intake) hasBodyLeft(c *conn) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return c.bodyLeft
}

// hasStalled reports whether the budget of the present request was given to others.
func (in *Intake) hasStalled(c *conn) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return c.stalled
}

// answered records that a request has been answered and that its connection stays open.
func (in *Intake) answered(c *conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.used -= c.usage.held
	c.usage = usage{peer: c.usage.peer, answered: true, progress: time.Now()}
	c.size, c.sinceProgress, c.readingHeader = 0, 0, !c.multiplexed
}

// closed takes a connection out of the accounts.
func (in *Intake) closed(c *conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if _, ok := in.conns[c]; ok && c.readingHeader && c.size >= maxHeader {
		in.refused[KindHeader]++
	}
	in.remove(c)
}
