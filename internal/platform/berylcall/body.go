package berylcall

import (
	"bytes"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// CopyBodyTransport is a http.RoundTripper that sends a copy of each request's body.
//
// The AWS SDK closes the body of a request as soon as the header of the answer has arrived. If the transport has not read
// the body to its end by then, its write fails, it closes the connection, and the rest of the answer is lost.
type CopyBodyTransport struct{ Next http.RoundTripper }

// RoundTrip reads the whole body into memory before it sends the request.
func (t CopyBodyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return t.Next.RoundTrip(r)
	}
	b, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	if err != nil {
		return nil, eris.Wrap(err, "read request body")
	}
	clone := r.Clone(r.Context())
	clone.Body, clone.GetBody = copiedBody{bytes.NewReader(b)}, nil
	clone.ContentLength = int64(len(b))
	return t.Next.RoundTrip(clone)
}

// copiedBody hides the type of the reader, so that the transport cannot rewind the body and send it again.
type copiedBody struct{ io.Reader }

// Close does nothing: the body is in memory.
func (copiedBody) Close() error { return nil }
