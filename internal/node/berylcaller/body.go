package berylcaller

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/node/berylintake"

	"github.com/rotisserie/eris"
)

const (
	// replayLimit is the largest body in bytes that is held in memory, so that it can be sent again in another attempt.
	replayLimit = 64 << 10
	// prefetchTimeout bounds the reading of such a body, which precedes the request's admission.
	prefetchTimeout = 10 * time.Second
)

// body is a request's body: a small one is buffered, a large one can be streamed once only.
type body struct {
	r *http.Request
	// buffered is the complete body if isBuffered is set.
	buffered   []byte
	isBuffered bool
	// streamed is the body if it isn't buffered; prefetch sets it.
	streamed io.Reader
	// readStarted is true once a part of a streamed body has been read.
	readStarted bool
}

func newBody(r *http.Request) *body { return &body{r: r} }

// prefetch buffers a small body before the request is admitted, so that a caller that sends it slowly occupies neither
// a unit nor a worker in the meantime. A large one is streamed.
func (b *body) prefetch(w http.ResponseWriter) error {
	if b.r.ContentLength > replayLimit || b.r.ContentLength < 0 {
		streamed, err := berylintake.Stream(w, b.r)
		b.streamed = streamed
		return err
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(prefetchTimeout))
	data, err := berylintake.ReadBody(w, b.r, replayLimit)
	if err != nil {
		return eris.Wrap(err, "read body")
	}
	_ = rc.SetReadDeadline(time.Time{})
	b.buffered, b.isBuffered = data, true
	return nil
}

// reader returns the body for the next attempt; it is complete only if replayable returns true.
func (b *body) reader() io.Reader {
	if b.isBuffered {
		return bytes.NewReader(b.buffered)
	}
	return &trackingReader{b: b, r: io.LimitReader(b.streamed, maxBody)}
}

// replayable reports whether another attempt would get the complete body.
func (b *body) replayable() bool { return b.isBuffered || !b.readStarted }

// hash returns the SHA-256 of a buffered body in hexadecimal digits, or the empty string for a streamed one.
func (b *body) hash() string {
	if !b.isBuffered {
		return ""
	}
	return beryllatch.HashSecret(string(b.buffered))
}

// length returns the length of the body in bytes, or -1 if it is not known.
func (b *body) length() int64 {
	if b.isBuffered {
		return int64(len(b.buffered))
	}
	return b.r.ContentLength
}

// trackingReader sets readStarted at the first read of a streamed body.
type trackingReader struct {
	b *body
	r io.Reader
}

func (t *trackingReader) Read(p []byte) (int, error) {
	t.b.readStarted = true
	return t.r.Read(p)
}
