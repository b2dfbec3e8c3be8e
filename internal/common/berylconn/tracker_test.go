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

// Guards against a request being reported as not sent although its first byte was sent, and the reverse.
func TestSent(t *testing.T) {
	counted := berylconn.CountingDial((&net.Dialer{}).DialContext)
	failing := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	for _, tc := range []struct {
		name string
		dial berylconn.DialContext
		// used sends a request that is answered on the connection before the one that fails.
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
			do := func(tracker *berylconn.Tracker, path string) error {
				ctx := tracker.Attach(t.Context())
				// MultiReader hides the reader's type, so that the transport cannot repeat the request.
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
			tracker := &berylconn.Tracker{}
			if tc.writeBy != 0 {
				tracker.WriteBy = time.Now().Add(tc.writeBy)
			}
			assert.Assert(t, do(tracker, "/fail") != nil)
			assert.Equal(t, tracker.MayHaveSent(), tc.want)
		})
	}
}
