package berylcall

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// closableBody is a body that fails to be read after it was closed.
type closableBody struct {
	io.Reader
	closed bool
}

// Read fails after Close.
func (c *closableBody) Read(p []byte) (int, error) {
	if c.closed {
		return 0, errors.New("read after close")
	}
	return c.Reader.Read(p)
}

// Close makes later reads fail.
func (c *closableBody) Close() error {
	c.closed = true
	return nil
}

// roundTripFunc implements http.RoundTripper.
type roundTripFunc func(r *http.Request) (*http.Response, error)

// RoundTrip calls the function.
func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a lost answer when the sender closes the body of its request while the transport still reads it.
func TestOwnBodyOutlivesClose(t *testing.T) {
	body := &closableBody{Reader: strings.NewReader("request")}
	next := roundTripFunc(func(r *http.Request) (*http.Response, error) {
		assert.NilError(t, body.Close())
		b, err := io.ReadAll(r.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(b), "request")
		assert.Equal(t, r.ContentLength, int64(len(b)))
		assert.Assert(t, r.GetBody == nil, "the transport could send the body again")
		return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, nil
	})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://127.0.0.1/", body)
	assert.NilError(t, err)
	resp, err := CopyBodyTransport{Next: next}.RoundTrip(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
}
