package beryljobs

import (
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylmetrics"
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

// The gauge of a reason for which no instance is left any more must not keep its value.
func TestGaugesOfWavesAreReset(t *testing.T) {
	n := &Node{Log: &DecisionLog{}, Metrics: berylmetrics.New()}
	s := &session{node: n}
	gauges := func() map[string]struct{ Value int64 } {
		w := httptest.NewRecorder()
		n.Metrics.ServeHTTP(w, nil)
		var out map[string]struct{ Value int64 }
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &out))
		return out
	}
	s.carryOut(berylscheduler.WavesLeft{Left: 3, Reasons: map[string]int{"move": 1, "maximum": 2}})
	assert.Equal(t, gauges()["waves.left"].Value, int64(3))
	assert.Equal(t, gauges()["waves.left.maximum"].Value, int64(2))
	s.carryOut(berylscheduler.WavesLeft{Left: 1, Reasons: map[string]int{"move": 1}})
	assert.Equal(t, gauges()["waves.left.maximum"].Value, int64(0))
	assert.Equal(t, gauges()["waves.left.move"].Value, int64(1))
}
