package berylload

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against medians that depend on the order of the passes.
func TestMedian(t *testing.T) {
	assert.Equal(t, median([]float64{3, 1, 2}), 2.0)
	assert.Equal(t, median([]float64{5}), 5.0)
}

// Guards against failed calls that are counted as answered, which would make the figures look better than they are.
func TestPassCountsFailures(t *testing.T) {
	n := 0
	r := pass(t.Context(), 1, 20*time.Millisecond, func(context.Context, int) error {
		n++
		time.Sleep(time.Millisecond)
		if n%2 == 0 {
			return errors.New("refused")
		}
		return nil
	})
	assert.Equal(t, r.count+r.failed, int64(n))
	assert.Assert(t, r.failed > 0)
	assert.Equal(t, r.latency.TotalCount(), r.count)
}
