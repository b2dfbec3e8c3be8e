package berylstall

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// slowAnswer answers after begin, with a body whose bytes come one by one, each after gap.
type slowAnswer struct {
	begin, gap time.Duration
	bytes      int
}

func (a slowAnswer) RoundTrip(r *http.Request) (*http.Response, error) {
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-time.After(a.begin):
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(&slowBody{r: r, gap: a.gap, left: a.bytes})}, nil
}

type slowBody struct {
	r    *http.Request
	gap  time.Duration
	left int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	select {
	case <-b.r.Context().Done():
		return 0, b.r.Context().Err()
	case <-time.After(b.gap):
	}
	b.left--
	return copy(p, "x"), nil
}

// An answer that goes on may take longer than the limits, and one that stops is given up.
func TestLimitsOfAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		answer slowAnswer
		want   string
		took   time.Duration
		err    *StalledError
	}{
		"goes on":        {slowAnswer{500 * time.Millisecond, 200 * time.Millisecond, 20}, strings.Repeat("x", 20), 4500 * time.Millisecond, nil},
		"does not begin": {slowAnswer{time.Hour, 0, 1}, "", time.Second, &StalledError{}},
		"stops":          {slowAnswer{0, 400 * time.Millisecond, 2}, "", 300 * time.Millisecond, &StalledError{}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := http.Client{Transport: &Transport{Base: c.answer}}
				r, err := http.NewRequestWithContext(WithLimits(t.Context(), time.Second, 300*time.Millisecond), http.MethodGet, "http://store", nil)
				assert.NilError(t, err)
				start := time.Now()
				var got []byte
				resp, err := client.Do(r)
				if err == nil {
					defer func() { _ = resp.Body.Close() }()
					got, err = io.ReadAll(resp.Body)
				}
				assert.Equal(t, time.Since(start), c.took)
				assert.Equal(t, string(got), c.want)
				var stalled *StalledError
				assert.Equal(t, errors.As(err, &stalled), c.err != nil, "%v", err)
				if c.err != nil {
					assert.Equal(t, *stalled, *c.err)
				}
			})
		})
	}
}
