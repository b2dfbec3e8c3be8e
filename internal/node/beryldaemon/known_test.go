package beryldaemon

import (
	"context"
	"io"
	"testing"

	"github.com/beryllatch/beryllatch"
	"github.com/beryllatch/beryllatch/internal/decision/berylreducer"
	"gotest.tools/v3/assert"
)

// memoryTable is a table in memory that applies transactions atomically. If loseAnswer is set, the next transaction
// takes effect but returns an error.
type memoryTable struct {
	beryllatch.Table
	rows       map[beryllatch.RowKey]beryllatch.Row
	writes     int
	loseAnswer bool
}

// Get returns the stored row.
func (t *memoryTable) Get(_ context.Context, k beryllatch.RowKey) (beryllatch.Row, error) {
	return t.rows[k], nil
}

// Transact applies the writes if all their conditions hold.
func (t *memoryTable) Transact(_ context.Context, writes ...beryllatch.RowWrite) error {
	for _, w := range writes {
		if t.rows[w.Row.Key].Version != w.Expect {
			return io.ErrUnexpectedEOF
		}
	}
	for _, w := range writes {
		w.Row.Version = w.Expect + 1
		t.rows[w.Row.Key] = w.Row
		t.writes++
	}
	if t.loseAnswer {
		t.loseAnswer = false
		return io.ErrUnexpectedEOF
	}
	return nil
}

// Guards against a node row that is stored without its list of known incarnations, against an unchanged list that is
// written with every renewal, and against renewals that keep failing after a lost answer or after the table has dropped
// the list.
func TestKnownListIsStoredWithItsRow(t *testing.T) {
	table := &memoryTable{rows: map[beryllatch.RowKey]beryllatch.Row{}}
	d := &Daemon{Table: table}
	row := berylreducer.NodeRow{Identity: berylreducer.Identity{Node: "n1", Incarnation: "n1-1"}}
	node, list := berylreducer.NodeKey("n1-1"), berylreducer.KnownKey("n1-1")
	renew := func(known ...string) error {
		row.Renewal++
		row.Known = known
		replaced, err := d.writeNode(t.Context(), row)
		assert.Assert(t, !replaced)
		return err
	}
	check := func(version uint64, known string, writes int) {
		t.Helper()
		assert.Equal(t, table.rows[node].Version, version)
		assert.Equal(t, string(table.rows[list].Value), known)
		assert.Equal(t, table.writes, writes)
	}
	assert.NilError(t, renew())
	check(1, "", 1)
	assert.NilError(t, renew("n1-1"))
	check(2, `["n1-1"]`, 3)
	assert.NilError(t, renew("n1-1"))
	check(3, `["n1-1"]`, 4)
	table.loseAnswer = true
	assert.ErrorIs(t, renew("n1-1", "n2-1"), io.ErrUnexpectedEOF)
	check(4, `["n1-1","n2-1"]`, 6)
	assert.NilError(t, renew("n1-1", "n2-1"))
	check(5, `["n1-1","n2-1"]`, 7)
	delete(table.rows, list)
	assert.ErrorIs(t, renew("n1-1"), io.ErrUnexpectedEOF)
	assert.NilError(t, renew("n1-1"))
	check(6, `["n1-1"]`, 9)
}
