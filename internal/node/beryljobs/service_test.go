package beryljobs

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylmetrics"
	"gotest.tools/v3/assert"
)

// A try of unknown outcome, followed by tries that reach no scheduling node, must not end as "not run": the first one may
// have been stored.
func TestOpenTryIsNeverReportedAsNotRun(t *testing.T) {
	open := &beryllatch.Refusal{Reason: beryllatch.ReasonPlatformUnavailable, RunState: beryllatch.RunStateUnknown}
	full := &beryllatch.Refusal{Reason: beryllatch.ReasonPlatformUnavailable, RunState: beryllatch.RunStateNotRun}
	for name, c := range map[string]struct {
		answers []error
		want    beryllatch.RunState
	}{
		"open, then nobody":                {[]error{open, noHolder("")}, beryllatch.RunStateUnknown},
		"nobody":                           {[]error{noHolder("")}, beryllatch.RunStateNotRun},
		"nobody, then open":                {[]error{noHolder(""), open}, beryllatch.RunStateUnknown},
		"open, then refused by the holder": {[]error{open, full}, beryllatch.RunStateNotRun},
		"open, then accepted":              {[]error{open, nil}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				n := &Node{Metrics: berylmetrics.New()}
				tries := 0
				err := n.again(ctx, func() error {
					tries++
					return c.answers[min(tries, len(c.answers))-1]
				})
				var f *beryllatch.Refusal
				if !errors.As(err, &f) {
					assert.Equal(t, c.want, beryllatch.RunState(""))
					return
				}
				assert.Equal(t, f.RunState, c.want)
			})
		})
	}
}
