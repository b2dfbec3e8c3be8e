package berylconn_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/beryllatch/beryllatch/internal/common/berylconn"
)

// Guards against a request whose first byte has left being reported as not sent, and the reverse.
func TestSent(t *testing.T) {
	counted := berylconn.CountingDial((&net.Dialer{}).DialContext)
	failing := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	for _, tc := range []struct {
		name string
		dial berylconn.DialContext
		// used makes the connection carry an answered request before the one that fails.
		used    bool
		writeBy time.Duration
		want    bool
	}{
		{"dial fails", failing, false, 0, false},
		{"new connection", counted, false, 0, true},
		{"used connection", counted, true, 0, true},
		{"new connection, past the write limit", counted, false, -time.Second, false},
		{"used connection, past the write limit", counted, true, -time.Second, false},
		{"connection that isn't counted", (&net.Dialer{}).DialContext, false, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if r.URL.Path == "/fail" {
					panic(http.ErrAbortHandler)
				}
			}))
			defer srv.Close()
			transport := &http.Transport{DialContext: tc.dial}
			do := func(p *berylconn.Tracker, path string) error {
				ctx := p.Attach(t.Context())
				// The reader's type is hidden, so that the transport cannot repeat the request.
				body := io.MultiReader(strings.NewReader("body"))
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL+path, body)
				assert.NilError(t, err)
				resp, err := transport.RoundTrip(req)
				if err != nil {
					return err
				}
				_, err = io.Copy(io.Discard, resp.Body)
				return errors.Join(err, resp.Body.Close())
			}
			if tc.used {
				assert.NilError(t, do(&berylconn.Tracker{}, "/ok"))
			}
			p := &berylconn.Tracker{}
			if tc.writeBy != 0 {
				p.WriteBy = time.Now().Add(tc.writeBy)
			}
			assert.Assert(t, do(p, "/fail") != nil)
			assert.Equal(t, p.MayHaveSent(), tc.want)
		})
	}
}
