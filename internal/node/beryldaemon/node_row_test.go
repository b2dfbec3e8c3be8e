package beryldaemon

import (
	"testing"

	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"gotest.tools/v3/assert"
)

// Guards against node rows that differ after encoding and decoding, and against damaged rows that decode without an
// error.
func TestNodeRow(t *testing.T) {
	row := berylreducer.NodeRow{
		Identity: berylreducer.Identity{Node: "n1", Incarnation: "n1-1"}, Renewal: 7, State: berylreducer.NodeLive,
	}
	value, err := EncodeNodeRow(row)
	assert.NilError(t, err)
	got, err := DecodeNodeRow("n1-1", value)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, row)
	_, err = DecodeNodeRow("n1-1", value[:len(value)/2])
	assert.ErrorContains(t, err, "decode node row")
}
