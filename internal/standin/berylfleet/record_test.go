package berylfleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// What a team has running must be checked at each start: the ceiling, a tenth more, and one task more; runs without a lease don't count.
func TestCheckOfTheCeiling(t *testing.T) {
	for name, c := range map[string]struct {
		ceiling, starts int
		lease           time.Duration
		violations      int
	}{
		"none":         {0, 9, time.Minute, 0},
		"below":        {4000, 5, time.Minute, 0},
		"above":        {4000, 6, time.Minute, 1},
		"lease is out": {4000, 6, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := NewFleet(&Store{})
			f.Ceiling = c.ceiling
			f.Expect("j", Needs{CPU: 1000})
			w := f.Add("m", "p", "")
			w.leaseUntil.Store(time.Now().Add(c.lease).UnixNano())
			for i := range c.starts {
				f.recordStart(w, order{Task: fmt.Sprintf("j.0.0.%d", i), RunID: 1})
			}
			assert.Equal(t, len(f.Violations()), c.violations, "%v", f.Violations())
		})
	}
}
