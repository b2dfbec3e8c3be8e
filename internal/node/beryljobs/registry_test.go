package beryljobs

import (
	"errors"
	"testing"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/common/berylmetrics"
	"gotest.tools/v3/assert"
)

// oddView decodes the rows whose value is "worker".
type oddView struct{ versionView }

func (oddView) Worker(r beryllatch.DataRow) (beryllatch.WorkerInfo, error) {
	if string(r.Value) != "worker" {
		return beryllatch.WorkerInfo{}, errors.New("no worker")
	}
	return beryllatch.WorkerInfo{ID: r.Key}, nil
}

// A row that names no worker must replace the registration that was there, by the feed as by a read of the whole table, and the others
// must hold.
func TestUnreadableRegistrationNamesNoWorker(t *testing.T) {
	s := &session{node: &Node{View: oddView{}, Log: &DecisionLog{}, Metrics: berylmetrics.New()}}
	rows := []beryllatch.DataRow{
		{Key: "a", Value: []byte("worker")}, {Key: "b", Value: []byte("\xff")}, {Key: "c", Value: []byte("worker")}, {Key: "d", Deleted: true},
	}
	workers, unreadable := s.decodeWorkers(rows[:3])
	assert.DeepEqual(t, workers, []beryllatch.WorkerInfo{{ID: "a"}, {ID: "c"}})
	assert.DeepEqual(t, unreadable, []string{"b"})
	e := s.registryChange(append([]beryllatch.DataRow{{Key: "b", Value: []byte("worker")}}, rows...))
	assert.DeepEqual(t, e.Workers, workers)
	assert.DeepEqual(t, e.Removed, []string{"d", "b"})
}
