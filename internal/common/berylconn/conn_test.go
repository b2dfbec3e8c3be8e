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
		probe *Probe
		end   func(*Probe)
		want  error
	}{
		{"judged", &Probe{}, func(p *Probe) { p.Sent() }, ErrSealed},
		{"closed", &Probe{}, (*Probe).Close, ErrSealed},
		{"past the write limit", &Probe{WriteBy: time.Now().Add(-time.Second)}, nil, os.ErrDeadlineExceeded},
		{"allowed", &Probe{WriteBy: time.Now().Add(time.Hour)}, nil, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client, server := net.Pipe()
			received := make(chan int64)
			go func() {
				n, _ := io.Copy(io.Discard, server)
				received <- n
			}()
			c := &Conn{Conn: client}
			tc.probe.got(c)
			if tc.end != nil {
				tc.end(tc.probe)
			}
			_, err := c.Write([]byte("x"))
			assert.ErrorIs(t, err, tc.want)
			assert.Equal(t, tc.probe.Sent(), tc.want == nil)
			tc.probe.Close()
			n := <-received
			assert.Equal(t, n == 1, tc.want == nil)
		})
	}
}
