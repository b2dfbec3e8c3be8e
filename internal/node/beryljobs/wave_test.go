package beryljobs

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylscheduler"
	"gotest.tools/v3/assert"
)

// waveView writes the status of waves to a row.
type waveView struct{ plainView }

func (waveView) WaveStatus(int, bool) beryllatch.DataRow {
	return beryllatch.DataRow{Table: "status", Key: "wave", Value: []byte("done")}
}

// A scheduling node that has been replaced must not write the status of a wave: its successor may have found instances of it that are
// still to be maintained.
func TestReplacedNodeWritesNoWaveStatus(t *testing.T) {
	testCluster(t, 0, func(t *testing.T, c *cluster) {
		c.view = waveView{}
		c.join(0.4)
		time.Sleep(2 * time.Second)
		n := c.nodes[c.schedulingNodes()[0]]
		s := n.localSession()
		status := func() beryllatch.DataRow {
			row, err := c.store.Row(context.Background(), "status", "", "wave")
			assert.NilError(t, err)
			return row
		}
		_, err := c.store.Commit(context.Background(), beryllatch.RowTransaction{Puts: []beryllatch.DataRow{
			dutyRow(schedulingNode{Node: "successor", Address: "successor", Incarnation: "1", Epoch: s.self.Epoch + 1}),
		}})
		assert.NilError(t, err)
		e, ok := s.callPlatform(berylscheduler.WriteWaveStatus{Wave: 1, Done: true}).(berylscheduler.StatusWritten)
		assert.Assert(t, ok)
		var conflict *beryllatch.RowConflictError
		assert.Assert(t, errors.As(e.Err, &conflict), "%v", e.Err)
		assert.Equal(t, status().Version, int64(0))
	})
}
