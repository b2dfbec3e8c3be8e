package beryldaemon

import (
	"encoding/json"

	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"github.com/rotisserie/eris"
)

// EncodeNodeRow returns the stored value of a node row. It leaves out the incarnation, which is the row's key, to keep
// the rows small: every node reads the rows of all nodes.
func EncodeNodeRow(row berylreducer.NodeRow) ([]byte, error) {
	row.Incarnation = ""
	b, err := json.Marshal(row)
	return b, eris.Wrap(err, "encode node row")
}

// DecodeNodeRow reads the stored value of an incarnation's node row.
func DecodeNodeRow(incarnation string, value []byte) (berylreducer.NodeRow, error) {
	var row berylreducer.NodeRow
	err := json.Unmarshal(value, &row)
	row.Incarnation = incarnation
	return row, eris.Wrap(err, "decode node row")
}
