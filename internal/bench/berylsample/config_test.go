package berylsample

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestConfigIsValid guards against benchmarks that measure a configuration which the system would refuse.
func TestConfigIsValid(t *testing.T) {
	for _, s := range []Size{{Workers: 1, Teams: 1, Pools: 1}, {Workers: 50, Teams: 6}, {Workers: 2520, Teams: 104}} {
		c := Config(s)
		assert.NilError(t, c.Validate())
		assert.Equal(t, len(c.Instances), s.Workers)
	}
}
