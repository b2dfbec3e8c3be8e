package berylintake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// streamCharge is the memory of a body that is passed on while it arrives: the buffers on its way.
const streamCharge = 64 << 10

// Stream returns the body of a request for a handler that passes it on while it arrives. The client has bodyTimeout for each progressBytes,
// without the time in which the handler doesn't read. The error is a *RefusedError if there is no budget.
func Stream(w http.ResponseWriter, r *http.Request) (io.Reader, error) {
	c := connOf(r)
	if c == nil || r.Body == nil || r.Body == http.NoBody {
		return r.Body, nil
	}
	if err := Reserve(r.Context(), streamCharge); err != nil {
		SkipBody(w, r)
		return nil, err
	}
	return &stream{ctx: r.Context(), conn: c, body: r.Body, control: http.NewResponseController(w), multiplexed: r.ProtoMajor > 1}, nil
}

// stream is a body that is read with a limit on the time for its progress.
type stream struct {
	// ctx ends when the handler returns; the connection belongs to the next request then.
	ctx         context.Context
	conn        *conn
	body        io.Reader
	control     *http.ResponseController
	multiplexed bool
	// left is the time for the next untilProgress bytes.
	left          time.Duration
	untilProgress int
	ended         bool
}

// Read reads what has arrived, or waits for it within the time that is left.
func (s *stream) Read(p []byte) (int, error) {
	if s.ended {
		return s.body.Read(p)
	}
	if s.untilProgress <= 0 {
		s.left, s.untilProgress = bodyTimeout, progressBytes
	}
	start := time.Now()
	s.setReading(true, start.Add(s.left))
	n, err := s.body.Read(p)
	s.left -= time.Since(start)
	s.untilProgress -= n
	s.ended = errors.Is(err, io.EOF)
	s.setReading(false, time.Time{})
	return n, err
}

// setReading records whether the client is waited for, and until when.
func (s *stream) setReading(reading bool, deadline time.Time) {
	if s.ctx.Err() != nil {
		return
	}
	if s.multiplexed {
		_ = s.control.SetReadDeadline(deadline) // Where it is not supported, the read waits for the client.
		return
	}
	if reading {
		s.conn.intake.readingBody(s.conn)
	} else {
		s.conn.intake.readBody(s.conn, s.ended)
	}
	_ = s.conn.SetReadDeadline(deadline) // On a closed connection the read fails.
}
