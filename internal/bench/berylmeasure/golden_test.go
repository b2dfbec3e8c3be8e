package berylmeasure

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against an unintended change of a policy, and against results that depend on anything but the seed. After an
// intended change, run the test with -update.
func TestSummaries(t *testing.T) {
	cases := map[string]Selection{
		"chosen":    {Policies: []string{ChosenPolicy}},
		"baselines": {Runs: []string{"bursts", runFull}},
		"waves":     {Policies: []string{"one_at_a_time"}, Runs: []string{runWave}},
	}
	for name, s := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s.Deployment, s.Pace = tinyDeployment(), tinyPace()
			report, err := Measure(t.Context(), Plan{Seed: 7, Parallel: 2, Deployments: []Selection{s}})
			assert.NilError(t, err)
			var out strings.Builder
			for _, r := range report.Results {
				assert.Equal(t, r.brokenCount(), 0, r.Summary())
				out.WriteString(r.Summary() + "\n")
			}
			assert.NilError(t, report.Print(&out))
			assert.NilError(t, report.WriteCharts(t.TempDir()))
			golden.Assert(t, out.String(), name+".golden")
		})
	}
}
