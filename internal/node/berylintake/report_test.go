package berylintake

import (
	"bytes"
	"testing"

	"github.com/beryllatch/beryllatch/internal/common/berylmetrics"
	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
)

// Guards against a line for each refused request, which would let clients flood the log, and against refusals that are counted twice.
func TestReport(t *testing.T) {
	in, m := New(ample), berylmetrics.New()
	for range 1000 {
		in.count(KindBudget)
	}
	in.count(KindBody)
	var out bytes.Buffer
	l := &log.Logger{Writer: log.IOWriter{Writer: &out}}
	in.report(m, l)
	in.report(m, l)
	assert.Equal(t, bytes.Count(out.Bytes(), []byte("\n")), 2, out.String())
	assert.Equal(t, m.Counter("intake.refused.no_budget"), int64(1000))
	assert.Equal(t, m.Counter("intake.refused.body_too_large"), int64(1))
}
