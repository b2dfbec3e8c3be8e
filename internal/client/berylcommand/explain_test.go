package berylcommand

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestExplain guards against lines of other jobs, node events from before the first or after the last line of the job,
// and lines that are not in the order of time.
func TestExplain(t *testing.T) {
	logs := `{"time":"2026-01-01T00:00:03Z","level":"info","epoch":2,"task":"5c0e.0.0.1","worker":"i-1","detail":"failed","run":7,"message":"run_end"}
noise
{"time":"2026-01-01T00:00:01Z","level":"info","call":"submit","job":"5c0e","outcome":"ok","message":"call"}
{"time":"2026-01-01T00:00:02Z","level":"info","subject":"n2","message":"takeover"}
{"time":"2026-01-01T00:00:09Z","level":"info","subject":"n3","message":"takeover"}
{"time":"2026-01-01T00:00:02Z","level":"info","job":"other","message":"job_done"}
`
	var out bytes.Buffer
	s := &session{stdin: strings.NewReader(logs), stdout: &out}
	assert.NilError(t, (&explainCommand{Job: "5c0e"}).Run(s))
	assert.Equal(t, out.String(), `2026-01-01T00:00:01Z call call=submit job=5c0e outcome=ok
2026-01-01T00:00:02Z takeover subject=n2
2026-01-01T00:00:03Z run_end epoch=2 task=5c0e.0.0.1 run=7 worker=i-1 detail=failed
`)
	s.stdin = strings.NewReader(logs)
	assert.ErrorContains(t, (&explainCommand{Job: "none"}).Run(s), "no line")
}
