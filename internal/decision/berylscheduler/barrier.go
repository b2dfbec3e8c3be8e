package berylscheduler

import (
	"strconv"

	"github.com/beryllatch/beryllatch"
)

// The barrier row belongs to the transactions of the journal.
const (
	BarrierTable = "barrier"
	BarrierKey   = "scheduler"
)

// barrier keeps transactions of unknown outcome from being performed late. A condition such as "this row does not exist" holds again
// once the row has been deleted, so that the transaction that created the row could bring it back. Each transaction therefore requires
// a version of the barrier row, and the next one after an unknown outcome writes that row: once it is performed, none that was sent
// before it can be.
type barrier struct {
	// version is the version of the barrier row, 0 if there is none.
	version int64
	// outdated is true while a transaction of unknown outcome requires the present version.
	outdated bool
}

// guard adds the barrier row to a transaction and reports whether the transaction writes it.
func (b *barrier) guard(tx *beryllatch.RowTransaction, epoch int64) bool {
	if b.outdated {
		addPut(tx, BarrierTable, BarrierKey, b.version, strconv.AppendInt(nil, epoch, 10))
		return true
	}
	addCondition(tx, BarrierTable, BarrierKey, b.version)
	return false
}

// observe records the version of the stored barrier row. Only transactions of this epoch write the row, so that a new version means that
// all transactions of unknown outcome are settled.
func (b *barrier) observe(version int64) {
	if version > b.version {
		*b = barrier{version: version}
	}
}
