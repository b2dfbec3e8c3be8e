package berylcall

import (
	"bytes"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// OwnBody is a http.RoundTripper that sends a copy of each request's body.
//
// The AWS SDK touches a request's body again once the answer's header has arrived. If the transport has not yet seen the
// end of the body by then, its write fails and it closes the connection, and the rest of the answer is lost.
type OwnBody struct{ Next http.RoundTripper }

// RoundTrip reads the whole body into memory before it sends the request.
func (t OwnBody) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return t.Next.RoundTrip(r)
	}
	b, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	if err != nil {
		return nil, eris.Wrap(err, "read request body")
	}
	own := r.Clone(r.Context())
	own.Body, own.GetBody = copiedBody{bytes.NewReader(b)}, nil
	own.ContentLength = int64(len(b))
	return t.Next.RoundTrip(own)
}

// copiedBody hides the reader's type, so that the transport cannot rewind the body and send it again.
type copiedBody struct{ io.Reader }

// Close does nothing.
func (copiedBody) Close() error { return nil }
