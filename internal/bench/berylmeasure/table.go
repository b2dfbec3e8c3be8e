package berylmeasure

import "github.com/beryllatch/beryllatch"

// table simulates the platform's table: a map with compare-and-set. A stored value is replaced, never modified.
type table map[beryllatch.RowKey]tableRow

type tableRow struct {
	version uint64
	value   any
}

// compareAndSet stores the value if the row has the version expect, and reports whether it did. Version 0 means that
// the row does not exist.
func (t table) compareAndSet(k beryllatch.RowKey, expect uint64, value any) bool {
	if t[k].version != expect {
		return false
	}
	t[k] = tableRow{version: expect + 1, value: value}
	return true
}
