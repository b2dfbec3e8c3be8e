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

// An attempt of unknown outcome, followed by attempts that reach no scheduling node, must not be refused as not run:
// the first one may have been stored.
func TestOpenTryIsNeverReportedAsNotRun(t *testing.T) {
	unknown := &beryllatch.Refusal{Reason: beryllatch.ReasonPlatformUnavailable, RunState: beryllatch.RunStateUnknown}
	refused := &beryllatch.Refusal{Reason: beryllatch.ReasonPlatformUnavailable, RunState: beryllatch.RunStateNotRun}
	for name, c := range map[string]struct {
		answers []error
		want    beryllatch.RunState
	}{
		"open, then nobody":                {[]error{unknown, noScheduler("")}, beryllatch.RunStateUnknown},
		"nobody":                           {[]error{noScheduler("")}, beryllatch.RunStateNotRun},
		"nobody, then open":                {[]error{noScheduler(""), unknown}, beryllatch.RunStateUnknown},
		"open, then refused by the holder": {[]error{unknown, refused}, beryllatch.RunStateNotRun},
		"open, then accepted":              {[]error{unknown, nil}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				n := &Node{Metrics: berylmetrics.New()}
				attempts := 0
				err := n.retry(ctx, func() error {
					attempts++
					return c.answers[min(attempts, len(c.answers))-1]
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
