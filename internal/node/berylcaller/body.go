package berylcaller

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch"

	"github.com/rotisserie/eris"
)

const (
	// replayLimit is the largest body that is kept in memory, so that it can be sent to another worker.
	replayLimit = 64 << 10
	// prefetchTimeout bounds a slow sender before it takes a unit.
	prefetchTimeout = 10 * time.Second
)

// body is a request's body; a small one is read whole, a larger one is streamed once.
type body struct {
	r           *http.Request
	buffered    []byte
	isBuffered  bool
	readStarted bool
}

func newBody(r *http.Request) *body { return &body{r: r} }

// prefetch reads a small body whole, so that a slow sender holds neither a unit nor a worker.
func (b *body) prefetch(w http.ResponseWriter) error {
	if b.r.ContentLength > replayLimit || b.r.ContentLength < 0 {
		return nil
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(prefetchTimeout))
	data, err := io.ReadAll(io.LimitReader(b.r.Body, replayLimit+1))
	if err != nil {
		return eris.Wrap(err, "read body")
	}
	_ = rc.SetReadDeadline(time.Time{})
	b.buffered, b.isBuffered = data, true
	return nil
}

// reader returns the body for the next attempt.
func (b *body) reader() io.Reader {
	if b.isBuffered {
		return bytes.NewReader(b.buffered)
	}
	return &trackingReader{b: b, r: io.LimitReader(b.r.Body, maxBody)}
}

// replayable reports whether the next attempt would get the whole body.
func (b *body) replayable() bool { return b.isBuffered || !b.readStarted }

// hash returns the SHA-256 of a buffered body in hexadecimal digits, and nothing for a streamed one.
func (b *body) hash() string {
	if !b.isBuffered {
		return ""
	}
	return beryllatch.HashSecret(string(b.buffered))
}

// length returns the length of the body in bytes, -1 if it is not known.
func (b *body) length() int64 {
	if b.isBuffered {
		return int64(len(b.buffered))
	}
	return b.r.ContentLength
}

// trackingReader notes the first read of a streamed body.
type trackingReader struct {
	b *body
	r io.Reader
}

func (t *trackingReader) Read(p []byte) (int, error) {
	t.b.readStarted = true
	return t.r.Read(p)
}
