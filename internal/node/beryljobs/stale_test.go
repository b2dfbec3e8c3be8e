package beryljobs

import (
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"gotest.tools/v3/assert"
)

// After a suspension of the machine a key may have been withdrawn, although the monotonic clock shows no time since the last
// answer of the store.
func TestConfigurationIsStaleAfterASuspension(t *testing.T) {
	n := &Node{Log: &DecisionLog{}}
	n.deployment.Store(&beryllatch.Deployment{Version: 1})
	n.recordOperationsRead(time.Now())
	assert.Assert(t, n.Ready())
	// Without its monotonic reading, a time is compared by the wall clock.
	n.operationsRead = n.operationsRead.Round(0).Add(-staleAfter - time.Second)
	assert.Assert(t, !n.Ready())
	assert.Assert(t, n.Deployment() == nil)
	n.recordOperationsRead(time.Now())
	assert.Assert(t, n.Ready())
}
