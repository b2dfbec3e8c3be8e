package berylconn

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against bytes that are sent after their request was reported as not sent, or after the write limit.
func TestWriteForbidden(t *testing.T) {
	for _, tc := range []struct {
		name    string
		tracker *Tracker
		// finish, if not nil, is called before the write.
		finish func(*Tracker)
		want   error
	}{
		{"after MayHaveSent", &Tracker{}, func(tracker *Tracker) { tracker.MayHaveSent() }, ErrSealed},
		{"after Close", &Tracker{}, (*Tracker).Close, ErrSealed},
		{"past the write limit", &Tracker{WriteBy: time.Now().Add(-time.Second)}, nil, os.ErrDeadlineExceeded},
		{"allowed", &Tracker{WriteBy: time.Now().Add(time.Hour)}, nil, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client, server := net.Pipe()
			received := make(chan int64)
			go func() {
				n, _ := io.Copy(io.Discard, server)
				received <- n
			}()
			c := &Conn{Conn: client}
			tc.tracker.gotConn(c)
			if tc.finish != nil {
				tc.finish(tc.tracker)
			}
			_, err := c.Write([]byte("x"))
			assert.ErrorIs(t, err, tc.want)
			assert.Equal(t, tc.tracker.MayHaveSent(), tc.want == nil)
			tc.tracker.Close()
			n := <-received
			assert.Equal(t, n == 1, tc.want == nil)
		})
	}
}
