package berylconn

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against bytes that leave after their request was judged as not sent, or after the write limit.
func TestWriteForbidden(t *testing.T) {
	for _, tc := range []struct {
		name  string
		tracker *Tracker
		end   func(*Tracker)
		want  error
	}{
		{"judged", &Tracker{}, func(p *Tracker) { p.MayHaveSent() }, ErrSealed},
		{"closed", &Tracker{}, (*Tracker).Close, ErrSealed},
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
			if tc.end != nil {
				tc.end(tc.tracker)
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
